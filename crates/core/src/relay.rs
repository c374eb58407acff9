//! Reports that come to a node which does not lead. It hands them to the leader, many at a time,
//! and passes the leader's answers back, so that a fleet's connections and the reading of its
//! messages are shared by all controllers, and stay where they are when the leader changes.
//!
//! Guards against a leader drowned by its fleet. A node that relays is part of the network and
//! decides nothing: each answer is the leader's own, made for this one report, and a worker counts
//! its lease from when it sent the report and drops answers after a few seconds, however late
//! they are passed on. Nothing is kept for longer than a call to the leader may take; what cannot be
//! handed on is answered at once.

pub(crate) mod state;

use std::time::Duration;

use rushyoke_wire::peer::{FullReport, RelayRequest, RelayResponse, RelayedReport, RelayedResponse, RelayedTask};
use rushyoke_wire::worker::{Report, ReportRedirect, TaskReport};
use serde_json::value::RawValue;

use crate::fleet::{ReportedTasks, digest};
use crate::io::*;
use crate::node::Node;
use state::{Held, ReportOutcome, Told};

/// Reports, and tasks listed in them, that are handed on at a time.
/// Together they fit into a request's body.
const REPORTS: usize = 150;
const TASKS: usize = 800;
/// Reports are gathered for one part of so many of a worker's report interval.
const GATHER: u32 = 10;
/// After a call that failed no report is handed to that leader for this time.
const PAUSE: Duration = Duration::from_secs(3);
/// What was told of a worker is forgotten when it has not reported here for so long.
const FORGET: Duration = Duration::from_secs(30);

impl Node {
    /// The token of the leader to which this node hands reports.
    pub(crate) fn relays_to(&self) -> Option<u64> {
        let now = self.env.steady();
        let leader = self.election.other_token().filter(|_| self.token().is_none());
        leader.filter(|leader| self.relaying.paused.is_none_or(|(token, until)| token != *leader || until <= now))
    }

    /// The node to which workers are sent. A leader that did not answer us may be dead: a worker
    /// that is sent there would hang for seconds, while one that looks for itself finds it soon.
    pub(crate) fn where_to(&self) -> Option<String> {
        let paused = self.relaying.paused.is_some_and(|(_, until)| until > self.env.steady());
        self.election.other_holder().filter(|_| !paused)
    }

    /// Takes a report that is to be handed on; false if it cannot be.
    pub(crate) fn relay(&mut self, request_id: RequestId, report: Report, tasks: Box<RawValue>) -> bool {
        if self.relays_to().is_none() {
            return false;
        }
        let digest = digest(&tasks);
        self.relaying.waiting.push_back(Held { request_id, report, tasks, digest, full: false });
        true
    }

    /// Reports are handed on a few times a second, one call at a time.
    pub(crate) fn relay_tick(&mut self) {
        let now = self.env.steady();
        self.relaying.moves = 1;
        if self.relaying.swept.is_none_or(|t| now.duration_since(t) >= FORGET) {
            self.relaying.swept = Some(now);
            self.relaying.told.retain(|_, told| now.duration_since(told.at) < FORGET);
        }
        let (Some(token), Some(label)) = (self.relays_to(), self.election.other_holder()) else {
            // The leader changed, perhaps to this node.
            for held in std::mem::take(&mut self.relaying.waiting) {
                self.report(held.request_id, held.report, Some(held.tasks));
            }
            return;
        };
        // Nothing is gained by gathering more than goes at a time.
        let gathering = self.relaying.waiting.len() < REPORTS;
        let since = self.relaying.sent.map(|sent| now.duration_since(sent));
        let early = gathering && since.is_some_and(|since| since < self.env.facts.report_interval / GATHER);
        if early || !self.relaying.under_way.is_empty() || self.relaying.waiting.is_empty() {
            return;
        }
        self.relaying.sent = Some(now);
        let (mut reports, mut tasks) = (Vec::new(), 0);
        while reports.len() < REPORTS && tasks < TASKS {
            let Some(held) = self.relaying.waiting.pop_front() else {
                break;
            };
            let report = &held.report;
            let told = self.relaying.told.get(&report.machine);
            let known = told.is_some_and(|t| (t.token, t.digest) == (token, held.digest) && t.addr == report.addr);
            let full = if known && !held.full {
                None
            } else {
                match read(&held.tasks) {
                    Ok(list) => {
                        tasks += list.len();
                        Some(FullReport {
                            addr: report.addr.clone(),
                            kind: report.kind.clone(),
                            zone: report.zone.clone(),
                            spot: report.spot,
                            tasks: list,
                        })
                    }
                    Err(error) => {
                        tracing::error!(machine = report.machine, %error, "malformed report");
                        self.env.respond(held.request_id, HttpResponse::error(400, "loads: malformed"));
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
                digest: held.digest,
                full,
            });
            self.relaying.under_way.push(held);
        }
        if !reports.is_empty() {
            self.env.relay_reports(label, RelayRequest { token, reports });
        }
    }

    /// Reports that another node hands on.
    pub(crate) fn relay_requested(&mut self, request_id: RequestId, relay: RelayRequest) {
        let mut told = RelayResponse::default();
        if self.token().is_some_and(|own| relay.token > own) {
            self.step_down("a peer follows a higher token");
        }
        if self.token() == Some(relay.token) {
            for relayed in relay.reports {
                let (report, digest, full) = unpack(relayed);
                let tasks = if full { ReportedTasks::Parsed(digest) } else { ReportedTasks::Digest(digest) };
                told.answers.push(match self.answer_report(report, tasks) {
                    ReportOutcome::Response(HttpResponse { status, body, retry_after_s }) => {
                        Some(RelayedResponse { status, body, retry_after_s })
                    }
                    ReportOutcome::TasksNeeded => None,
                    ReportOutcome::NotLeader(_) => break,
                });
            }
        }
        let body = rushyoke_wire::peer::encode(&told);
        self.env.respond(request_id, HttpResponse { status: 200, body, retry_after_s: None });
    }

    /// The leader's answers, to be passed back.
    pub(crate) fn relay_responded(&mut self, call: CallId, outcome: Outcome<RelayResponse>) {
        if self.env.calls.remove(&call).is_none() {
            return;
        }
        let now = self.env.steady();
        let mut answers = match outcome {
            Outcome::Responded(told) => told.answers.into_iter(),
            _ => {
                self.relaying.paused = self.election.other_token().map(|token| (token, now + PAUSE));
                Vec::new().into_iter()
            }
        };
        let token = self.election.other_token();
        for held in std::mem::take(&mut self.relaying.under_way) {
            match (answers.next(), token) {
                (Some(Some(RelayedResponse { status, body, retry_after_s })), Some(token)) => {
                    if status == 200 {
                        let Report { machine, addr, .. } = held.report;
                        self.relaying.told.insert(machine, Told { token, digest: held.digest, addr, at: now });
                    }
                    self.env.respond(held.request_id, HttpResponse { status, body, retry_after_s });
                }
                (Some(None), Some(_)) if !held.full => {
                    self.relaying.waiting.push_front(Held { full: true, ..held });
                }
                _ => {
                    // The leader may have taken it, so that it cannot be handed on again.
                    self.env.respond(held.request_id, HttpResponse::later(503, "the leader does not answer"));
                }
            }
        }
    }

    /// A busy leader sends some of its own workers to a node with more time, a few at a time,
    /// since a new connection costs as much as several reports.
    pub(crate) fn hand_over(&mut self) -> Option<HttpResponse> {
        if self.relaying.moves == 0 || !self.term.as_ref().is_some_and(|term| term.ready()) {
            return None;
        }
        let label = self.idlest_follower()?;
        self.relaying.moves -= 1;
        Some(HttpResponse::json(421, &ReportRedirect { report_to: Some(label) }))
    }
}

fn read(tasks: &RawValue) -> Result<Vec<RelayedTask>, serde_json::Error> {
    let list: Vec<TaskReport> = serde_json::from_str(tasks.get())?;
    let pack = |t: TaskReport| RelayedTask { task: t.task, attempt: t.attempt, state: t.state, cause: t.cause };
    Ok(list.into_iter().map(pack).collect())
}

/// The report, the digest of its tasks, and whether they are in it.
fn unpack(relayed: RelayedReport) -> (Report, u64, bool) {
    let RelayedReport { machine, session, seq, token, notice_s, digest, full } = relayed;
    let told = full.is_some();
    let empty =
        FullReport { addr: String::new(), kind: String::new(), zone: String::new(), spot: false, tasks: Vec::new() };
    let FullReport { addr, kind, zone, spot, tasks } = full.unwrap_or(empty);
    let unpack =
        |t: RelayedTask| TaskReport { task: t.task, attempt: t.attempt, state: t.state, cause: t.cause, saved: None };
    let tasks = tasks.into_iter().map(unpack).collect();
    (Report { machine, addr, kind, zone, spot, session, seq, token, notice_s, tasks }, digest, told)
}
