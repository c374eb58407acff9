//! Workers' reports: what is learned from them, and which are late copies.
//!
//! Guards against a task on two machines at once. Only a newer report from a worker that has seen our
//! token proves that a task is not on its machine; a copy proves nothing and renews nothing.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_wire::worker::{Order, Orders, Report, TaskReport, TaskState};

use super::stop_statistics::StopEvent;
use super::stops::MachineOrders;
use super::{Attempt, COPY_PROBE, Channel, Machine, RENEWED, ReportedTasks, digest, report_fencing_window};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

impl Term {
    /// A worker's report that this leader answers; `None` if its tasks must be told.
    pub fn handle_report(&mut self, env: &mut Env, report: Report, tasks: ReportedTasks) -> Option<HttpResponse> {
        let now = env.steady();
        let name = Name::from(report.machine.as_str());
        let lapsed = self.machines.get(&name).is_some_and(|m| m.expired_session.is_some_and(|s| report.session <= s));
        if lapsed || self.renting.is_gone(&name) {
            // Its tasks were given up; an answer would keep them alive.
            return Some(HttpResponse::later(503, "the lease of this session has ended"));
        }
        let free = self.available_direct_calls(env) > 0;
        if let Some(machine) = self.machines.get_mut(&name)
            && (report.session, report.seq) <= machine.newest_report
        {
            // A copy that comes late proves nothing and renews nothing: its worker may be
            // long dead. Or the worker began anew: its answer to a direct call tells.
            if free && machine.direct_call.is_none() && machine.next_call_at.is_none_or(|t| t <= now) {
                machine.next_call_at = Some(now + COPY_PROBE);
                self.probe(env, &name);
            }
            return Some(HttpResponse::later(503, "an older report"));
        }
        let seen = (report.session, report.seq);
        let message = if self.ready() {
            match self.apply_reported_tasks(env, &name, report, tasks) {
                Ok(true) => self.orders_for(now, &name, Channel::Report),
                Ok(false) => return None,
                Err(error) => {
                    tracing::error!(machine = &*name, %error, "malformed report");
                    return Some(HttpResponse::error(400, "loads: malformed"));
                }
            }
        } else {
            self.stops_while_loading(&report, tasks)?
        };
        if message.stops_omitted {
            self.call_soon(&name);
            return Some(HttpResponse::later(503, "its stops do not fit into an answer"));
        }
        self.note_response(now, &name, seen, &message.orders);
        Some(HttpResponse::json(200, &Orders { token: self.token, session: None, orders: message.orders }))
    }

    /// A report is answered, which renews the worker's lease.
    fn note_response(&mut self, now: Instant, name: &Name, seen: (u64, u64), orders: &[Order]) {
        let cancelled_stops = self.count_cancelled_stops(orders);
        if cancelled_stops > 0 {
            tracing::debug!(machine = &**name, token = self.token, ?seen, cancelled_stops, "answer with stops");
        }
        self.stops.record(StopEvent::SentInResponse, cancelled_stops);
        let ready = self.ready();
        if !ready {
            self.last_response_before_load = Some(now);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.newest_report = machine.newest_report.max(seen);
        if ready {
            machine.last_response = Some(now);
            machine.report_gap = Some(now.duration_since(machine.last_reported));
            machine.last_reported = now;
        }
    }

    /// What an answer must stop that is given while the tables are not filled, since it lets
    /// all else run for another lease; `None` if the tasks must be told for that.
    fn stops_while_loading(&self, report: &Report, tasks: ReportedTasks) -> Option<MachineOrders> {
        if !self.jobs.values().any(|job| job.cancelled) {
            return Some(MachineOrders::default());
        }
        let read: Vec<TaskReport>;
        let listed = match tasks {
            ReportedTasks::Raw(raw) => {
                read = serde_json::from_str(raw.get()).unwrap_or_default();
                &read
            }
            ReportedTasks::Parsed(_) => &report.tasks,
            ReportedTasks::Digest(_) => return None,
        };
        Some(MachineOrders::with_stops(&self.attempts_of_cancelled_jobs(listed)))
    }

    /// Listed tasks of cancelled jobs that have not ended.
    pub(super) fn attempts_of_cancelled_jobs(&self, listed: &[TaskReport]) -> Vec<Attempt> {
        let cancelled = |task: &&TaskReport| {
            let job = parse_task(&task.task).and_then(|(id, _)| self.jobs.get(id));
            task.state != TaskState::Exited && job.is_some_and(|job| job.cancelled)
        };
        listed.iter().filter(cancelled).map(|task| (task.task.clone(), task.attempt)).collect()
    }

    /// Reads a report's tasks only if they are not those of the report before: in a large
    /// fleet most are, and there is nothing to learn from them but that the machine lives.
    /// False if they changed and are not there to be read.
    pub(super) fn apply_reported_tasks(
        &mut self,
        env: &mut Env,
        name: &Name,
        mut report: Report,
        tasks: ReportedTasks,
    ) -> Result<bool, serde_json::Error> {
        let digest = match &tasks {
            ReportedTasks::Raw(raw) => digest(raw),
            ReportedTasks::Parsed(digest) | ReportedTasks::Digest(digest) => *digest,
        };
        if let Some(machine) = self.machines.get_mut(name)
            && machine.tasks_digest == Some(digest)
            && machine.session == report.session
            && machine.seq < report.seq
            && machine.fenced.is_some()
            && report.token >= self.token
            && report.notice_s.is_none()
            && (machine.addr == report.addr || matches!(tasks, ReportedTasks::Digest(_)))
        {
            machine.seq = report.seq;
            machine.note_alive(env.steady(), Channel::Report, env.facts.report_interval);
            return Ok(true);
        }
        match tasks {
            ReportedTasks::Raw(raw) => report.tasks = serde_json::from_str(raw.get())?,
            ReportedTasks::Parsed(_) => {}
            ReportedTasks::Digest(_) => return Ok(false),
        }
        if self.apply_report(env, name, &report, Channel::Report)
            && let Some(machine) = self.machines.get_mut(name)
        {
            machine.tasks_digest = Some(digest);
        }
        Ok(true)
    }

    /// Learns from a report; false if it says nothing of the tasks.
    pub(super) fn apply_report(&mut self, env: &mut Env, name: &Name, report: &Report, via: Channel) -> bool {
        let now = env.steady();
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(machine = &**name, spot = report.spot, zone = report.zone, "an unexpected machine reports");
            Machine { unverified: true, ..Machine::new(name.clone(), now) }
        });
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return false;
        }
        machine.tasks_digest = None;
        if !machine.up || machine.kind != report.kind {
            machine.mark_up(now, report, env.machine_type(&report.kind));
            self.zones.insert(report.zone.clone());
            self.scheduling_due = true;
        }
        machine.addr = report.addr.clone();
        machine.note_alive(now, via, env.facts.report_interval);
        let new_session = report.session > machine.session && machine.session > 0;
        let renewed =
            machine.last_response.is_some_and(|t| now.duration_since(t) < env.facts.worker_lease.mul_f64(RENEWED));
        if new_session && renewed && via == Channel::Report && machine.fenced.is_some() && !machine.responses_lost {
            // Its lease ended although it was answered: the answers do not reach it. It gets
            // no work and is returned; its tasks move once that is confirmed, or by its session.
            tracing::info!(machine = &**name, "answers do not reach it; given up");
            machine.responses_lost = true;
            machine.releasing = true;
        }
        machine.session = report.session;
        machine.seq = report.seq;
        if report.token < self.token {
            self.show_token(env, name, report, via);
            return false;
        }
        let was_fenced = machine.fenced.is_some();
        machine.fenced.get_or_insert(now);
        machine.unverified = false;
        if new_session && was_fenced {
            self.handle_new_session(env, name);
        }
        self.compare_tasks(env, name, report);
        self.handle_reclaim_notice(env, name, report.notice_s);
        true
    }

    /// An earlier leader may still command the worker: it must be shown the token first. The answer to
    /// a report does so too, a little later; and it renews the worker's lease, so it must stop what is
    /// cancelled.
    fn show_token(&mut self, env: &Env, name: &Name, report: &Report, via: Channel) {
        let cancelled = self.attempts_of_cancelled_jobs(&report.tasks).into_iter();
        let unexpected = cancelled.map(|attempt| (attempt, false)).collect();
        self.machines.get_mut(name).expect("reported").unexpected = unexpected;
        let since = env.steady().duration_since(self.started_at);
        let later = via == Channel::Report && since < report_fencing_window(env.facts.report_interval);
        if !later || self.machines[name].hosts_service() {
            self.call_soon(name);
        }
    }

    /// Compares the tasks that a worker lists with those placed on its machine.
    fn compare_tasks(&mut self, env: &mut Env, name: &Name, report: &Report) {
        let mut seen: BTreeSet<TaskKey> = BTreeSet::new();
        let mut unexpected = Vec::new();
        let mut listed: BTreeSet<Attempt> = BTreeSet::new();
        for task in &report.tasks {
            let attempt: Attempt = (task.task.clone(), task.attempt);
            let key = parse_task(&task.task).map(|(id, index)| (Name::from(id), index));
            if let Some(key) = key.filter(|key| self.is_placed(key, name, task.attempt)) {
                seen.insert(key.clone());
                self.apply_task_report(env, &key, task);
            } else if !self.machines[name].exited.contains_key(&attempt) {
                unexpected.push((attempt.clone(), task.state == TaskState::Exited));
            }
            listed.insert(attempt);
        }
        let machine = self.machines.get_mut(name).expect("reported");
        let stop = unexpected.iter().any(|(_, exited)| !exited);
        machine.unexpected = unexpected;
        machine.orders_due = true;
        machine.exited.retain(|attempt, _| listed.contains(attempt));
        let missing: Vec<TaskKey> = machine.tasks.difference(&seen).cloned().collect();
        let has_stops = self.has_task_to_stop_now(&self.machines[name]);
        self.machines.get_mut(name).expect("reported").has_immediate_stops = has_stops;
        if stop {
            self.call_soon(name);
        }
        self.handle_missing_tasks(env, name, missing);
    }

    fn is_placed(&self, key: &TaskKey, machine: &Name, attempt: u64) -> bool {
        let place = self.jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        place.is_some_and(|place| place.machine == *machine && place.attempt == attempt)
    }

    /// Tasks placed on the machine that its worker does not list. A start that was only ordered is
    /// repeated; what was there before, or came from a record, is proven gone.
    fn handle_missing_tasks(&mut self, env: &mut Env, name: &Name, missing: Vec<TaskKey>) {
        let now = env.steady();
        for key in missing {
            let place = &self.jobs[&key.0].placements[&key.1];
            let late = self.machines[name].unresolved_starts.contains(&(format!("{}/{}", key.0, key.1), place.attempt));
            if !matches!(place.stage, Stage::Planned | Stage::Ordered) && !late {
                tracing::debug!(job = &*key.0, task = key.1, machine = &**name, "not there");
                self.clear_placement(env, &key, now);
            }
        }
    }

    /// A new session: the worker has dropped everything, and no order of the old
    /// session is taken any more.
    fn handle_new_session(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = self.machines.get_mut(name).expect("reported");
        machine.unresolved_starts.clear();
        machine.exited.clear();
        machine.images.clear();
        tracing::info!(machine = &**name, session = machine.session, tasks = machine.tasks.len(), "new session");
        for key in machine.tasks.clone() {
            if self.jobs[&key.0].placements[&key.1].start_sent {
                self.note_displaced(&key, name);
                self.clear_placement(env, &key, now);
            }
        }
    }
}
