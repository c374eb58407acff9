//! Relays workers' reports from a follower to the leader, many at a time, and passes the leader's
//! responses back. All controllers thus share the fleet's connections and the parsing of its messages,
//! which keeps the leader from being overloaded, and workers stay connected when the leader changes.
//!
//! A relaying node decides nothing: each response is made by the leader for that one report. A worker
//! counts its lease from when it sent the report and ignores responses that come after a few seconds,
//! so a late relay is harmless. No report is kept for longer than a call to the leader may take, and
//! one that cannot be relayed gets a response at once.

pub(crate) mod state;

use std::time::Duration;

use rushyoke_wire::peer::{FullReport, RelayRequest, RelayResponse, RelayedReport, RelayedResponse, RelayedTask};
use rushyoke_wire::worker::{Report, ReportRedirect, TaskReport};
use serde_json::value::RawValue;

use crate::fleet::{ReportedTasks, digest};
use crate::io::*;
use crate::node::Node;
use state::{ForwardedTasks, PendingReport, ReportOutcome};

/// Maximum number of reports relayed at a time. Together with `MAX_TASKS` it keeps them within the
/// size limit of a request's body.
const MAX_REPORTS: usize = 150;
/// Number of tasks listed in the reports after which no more are added.
const MAX_TASKS: usize = 800;
/// Number of batches sent during a worker's report interval.
const BATCHES_PER_INTERVAL: u32 = 10;
/// How long no report is relayed to a leader after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_secs(3);
/// How long the tasks last forwarded for a worker are remembered if it no longer reports here.
const FORWARDED_TTL: Duration = Duration::from_secs(30);

impl Node {
    /// Returns the token of the leader to which this node relays reports.
    pub(crate) fn relays_to(&self) -> Option<u64> {
        let now = self.env.steady();
        let leader = self.election.other_leader_token().filter(|_| self.token().is_none());
        leader.filter(|leader| self.relaying.paused.is_none_or(|(token, until)| token != *leader || until <= now))
    }

    /// Returns the node to which workers are redirected. A leader that didn't respond may be dead: a
    /// worker sent there would hang for seconds, while one that searches on its own soon finds the
    /// leader.
    pub(crate) fn redirect_target(&self) -> Option<String> {
        let paused = self.relaying.paused.is_some_and(|(_, until)| until > self.env.steady());
        self.election.other_leader().filter(|_| !paused)
    }

    /// Queues a report to be relayed. Returns false if it can't be relayed.
    pub(crate) fn queue_relay(&mut self, request_id: RequestId, report: Report, tasks: Box<RawValue>) -> bool {
        if self.relays_to().is_none() {
            return false;
        }
        let digest = digest(&tasks);
        self.relaying.pending.push_back(PendingReport { request_id, report, tasks, digest, tasks_requested: false });
        true
    }

    /// Sends the next batch of reports if it is due and no batch is in flight.
    pub(crate) fn relay_tick(&mut self) {
        let now = self.env.steady();
        self.relaying.redirect_budget = 1;
        if self.relaying.last_sweep_at.is_none_or(|swept_at| now.duration_since(swept_at) >= FORWARDED_TTL) {
            self.relaying.last_sweep_at = Some(now);
            self.relaying.forwarded.retain(|_, forwarded| now.duration_since(forwarded.at) < FORWARDED_TTL);
        }
        let (Some(token), Some(label)) = (self.relays_to(), self.election.other_leader()) else {
            // The leader has changed, perhaps to this node.
            for pending in std::mem::take(&mut self.relaying.pending) {
                self.handle_report(pending.request_id, pending.report, Some(pending.tasks));
            }
            return;
        };
        // There is no point in waiting once a batch is full.
        let not_full = self.relaying.pending.len() < MAX_REPORTS;
        let elapsed = self.relaying.last_sent_at.map(|sent_at| now.duration_since(sent_at));
        let too_early =
            not_full && elapsed.is_some_and(|elapsed| elapsed < self.env.facts.report_interval / BATCHES_PER_INTERVAL);
        if too_early || !self.relaying.in_flight.is_empty() || self.relaying.pending.is_empty() {
            return;
        }
        self.relaying.last_sent_at = Some(now);
        let (mut reports, mut tasks) = (Vec::new(), 0);
        while reports.len() < MAX_REPORTS && tasks < MAX_TASKS {
            let Some(pending) = self.relaying.pending.pop_front() else {
                break;
            };
            let report = &pending.report;
            let forwarded = self.relaying.forwarded.get(&report.machine);
            let unchanged = forwarded.is_some_and(|forwarded| {
                (forwarded.token, forwarded.digest) == (token, pending.digest) && forwarded.addr == report.addr
            });
            let full = if unchanged && !pending.tasks_requested {
                None
            } else {
                match parse_tasks(&pending.tasks) {
                    Ok(list) => {
                        tasks += list.len();
                        Some(FullReport {
                            addr: report.addr.clone(),
                            machine_type: report.machine_type.clone(),
                            zone: report.zone.clone(),
                            spot: report.spot,
                            tasks: list,
                        })
                    }
                    Err(error) => {
                        tracing::error!(machine = report.machine, %error, "malformed report");
                        self.env.respond(pending.request_id, HttpResponse::error(400, "loads: malformed"));
                        continue;
                    }
                }
            };
            reports.push(RelayedReport {
                machine: report.machine.clone(),
                session: report.session,
                seq: report.seq,
                token: report.token,
                notice_s: report.notice_s,
                digest: pending.digest,
                full,
            });
            self.relaying.in_flight.push(pending);
        }
        if !reports.is_empty() {
            self.env.relay_reports(label, RelayRequest { token, reports });
        }
    }

    /// Responds, as leader, to reports that another node relays.
    pub(crate) fn relay_requested(&mut self, request_id: RequestId, relay: RelayRequest) {
        let mut response = RelayResponse::default();
        if self.token().is_some_and(|own| relay.token > own) {
            self.step_down("a peer follows a higher token");
        }
        if self.token() == Some(relay.token) {
            for relayed in relay.reports {
                let (report, digest, has_tasks) = unpack(relayed);
                let tasks = if has_tasks { ReportedTasks::Parsed(digest) } else { ReportedTasks::Digest(digest) };
                response.responses.push(match self.respond_to_report(report, tasks) {
                    ReportOutcome::Response(HttpResponse { status, body, retry_after_s }) => {
                        Some(RelayedResponse { status, body, retry_after_s })
                    }
                    ReportOutcome::TasksNeeded => None,
                    ReportOutcome::NotLeader(_) => break,
                });
            }
        }
        let body = rushyoke_wire::peer::encode(&response);
        self.env.respond(request_id, HttpResponse { status: 200, body, retry_after_s: None });
    }

    /// Passes the leader's responses back to the workers.
    pub(crate) fn relay_responded(&mut self, call: CallId, outcome: Outcome<RelayResponse>) {
        if self.env.calls.remove(&call).is_none() {
            return;
        }
        let now = self.env.steady();
        let mut responses = match outcome {
            Outcome::Responded(response) => response.responses.into_iter(),
            _ => {
                self.relaying.paused = self.election.other_leader_token().map(|token| (token, now + FAILURE_PAUSE));
                Vec::new().into_iter()
            }
        };
        let token = self.election.other_leader_token();
        for pending in std::mem::take(&mut self.relaying.in_flight) {
            match (responses.next(), token) {
                (Some(Some(RelayedResponse { status, body, retry_after_s })), Some(token)) => {
                    if status == 200 {
                        let Report { machine, addr, .. } = pending.report;
                        self.relaying
                            .forwarded
                            .insert(machine, ForwardedTasks { token, digest: pending.digest, addr, at: now });
                    }
                    self.env.respond(pending.request_id, HttpResponse { status, body, retry_after_s });
                }
                (Some(None), Some(_)) if !pending.tasks_requested => {
                    self.relaying.pending.push_front(PendingReport { tasks_requested: true, ..pending });
                }
                _ => {
                    // The leader may have processed the report, so it can't be relayed again.
                    self.env.respond(pending.request_id, HttpResponse::later(503, "the leader does not answer"));
                }
            }
        }
    }

    /// Returns a redirect to a less busy node if this leader is busy. Workers are redirected a few at a
    /// time, because a new connection costs as much as several reports.
    pub(crate) fn redirect_worker(&mut self) -> Option<HttpResponse> {
        if self.relaying.redirect_budget == 0 || !self.term.as_ref().is_some_and(|term| term.ready()) {
            return None;
        }
        let label = self.least_busy_follower()?;
        self.relaying.redirect_budget -= 1;
        Some(HttpResponse::json(421, &ReportRedirect { report_to: Some(label) }))
    }
}

/// Parses the list of tasks in a report.
fn parse_tasks(tasks: &RawValue) -> Result<Vec<RelayedTask>, serde_json::Error> {
    let list: Vec<TaskReport> = serde_json::from_str(tasks.get())?;
    let pack = |t: TaskReport| RelayedTask { task: t.task, attempt: t.attempt, state: t.state, cause: t.cause };
    Ok(list.into_iter().map(pack).collect())
}

/// Returns the report, the digest of its tasks, and whether the report contains them.
fn unpack(relayed: RelayedReport) -> (Report, u64, bool) {
    let RelayedReport { machine, session, seq, token, notice_s, digest, full } = relayed;
    let has_tasks = full.is_some();
    let empty = FullReport {
        addr: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        tasks: Vec::new(),
    };
    let FullReport { addr, machine_type, zone, spot, tasks } = full.unwrap_or(empty);
    let unpack =
        |t: RelayedTask| TaskReport { task: t.task, attempt: t.attempt, state: t.state, cause: t.cause, saved: None };
    let tasks = tasks.into_iter().map(unpack).collect();
    (Report { machine, addr, machine_type, zone, spot, session, seq, token, notice_s, tasks }, digest, has_tasks)
}
