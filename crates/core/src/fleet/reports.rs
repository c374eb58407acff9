//! Workers' reports: what the leader learns from them, and how it recognizes delayed duplicates.
//!
//! Keeps a task from running on two machines at once. Only a newer report, from a worker that has seen this leader's
//! token, proves that a task is not on its machine. A duplicate proves nothing and renews no lease.

use std::collections::BTreeSet;
use std::time::Instant;

use rushyoke_wire::worker::{Order, Orders, Report, TaskReport, TaskState};

use super::order_log::{Authority, OrderEvent};
use super::restarts::ReportedList;
use super::stop_statistics::StopEvent;
use super::stops::MachineOrders;
use super::{
    Attempt, Channel, Machine, RENEWED_LEASE_SHARE, ReportedTasks, STALE_REPORT_PROBE_INTERVAL, UnexpectedAttempt,
    report_fencing_window,
};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

impl Term {
    /// Handles a worker's report and returns the response, or `None` if the worker must send its tasks first.
    pub fn handle_report(&mut self, env: &mut Env, report: Report, tasks: ReportedTasks) -> Option<HttpResponse> {
        let now = env.steady();
        let name = Name::from(report.machine.as_str());
        let lease_expired = self
            .machines
            .get(&name)
            .is_some_and(|machine| machine.expired_session.is_some_and(|session| report.session <= session));
        if lease_expired || self.renting.was_removed(&name) {
            // Its tasks are considered lost; a response would renew their lease.
            return Some(HttpResponse::later(503, "the lease of this session has ended"));
        }
        let may_call = self.available_direct_calls(env) > 0;
        if let Some(machine) = self.machines.get_mut(&name)
            && (report.session, report.seq) <= machine.newest_report
        {
            // A delayed duplicate proves nothing and renews nothing: its worker may have died
            // since. Or the worker has restarted, which its response to a probe will show.
            machine.token_due |= !machine.direct_starts.is_empty();
            if may_call && machine.direct_call.is_none() && machine.next_call_at.is_none_or(|at| at <= now) {
                machine.next_call_at = Some(now + STALE_REPORT_PROBE_INTERVAL);
                self.probe(env, &name);
            }
            return Some(HttpResponse::later(503, "an older report"));
        }
        let report_number = (report.session, report.seq);
        let message = if self.ready() && self.may_predate_restart(&name, report.session) {
            self.confirm_by_call(env, &name, ReportedList::of(&report, &tasks));
            self.orders_for(now, &name, Channel::Report)
        } else if self.ready() {
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
            self.queue_direct_call(&name);
            return Some(HttpResponse::later(503, "its stops do not fit into an answer"));
        }
        self.note_response(now, &name, report_number, &message.orders);
        let token = self.token_for(&name);
        Some(HttpResponse::json(200, &Orders { token, session: None, orders: message.orders }))
    }

    /// Notes a response to a report, which renews the worker's lease.
    fn note_response(&mut self, now: Instant, name: &Name, report_number: (u64, u64), orders: &[Order]) {
        let cancelled_stops = self.count_cancelled_stops(orders);
        if cancelled_stops > 0 {
            tracing::debug!(machine = &**name, token = self.token, seen = ?report_number, cancelled_stops, "response with stops");
        }
        self.stop_statistics.record(StopEvent::SentInResponse, cancelled_stops);
        let ready = self.ready();
        if !ready {
            self.last_response_before_load = Some(now);
        }
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if !machine.may_predate_restart(report_number.0) {
            machine.newest_report = machine.newest_report.max(report_number);
        }
        if ready {
            machine.last_response = Some(now);
            machine.report_gap = Some(now.duration_since(machine.last_reported));
            machine.last_reported = now;
        }
    }

    /// Returns the stops for a response that is sent before the records are loaded, since all other
    /// tasks of the worker run on for another lease; `None` if the worker must send its tasks first.
    fn stops_while_loading(&self, report: &Report, tasks: ReportedTasks) -> Option<MachineOrders> {
        if !self.jobs.values().any(|job| job.cancelled) {
            return Some(MachineOrders::default());
        }
        let parsed: Vec<TaskReport>;
        let listed = match tasks {
            ReportedTasks::Raw(raw) => {
                parsed = serde_json::from_str(raw.get()).unwrap_or_default();
                &parsed
            }
            ReportedTasks::Parsed(_) => &report.tasks,
            ReportedTasks::Digest(_) => return None,
        };
        Some(MachineOrders::with_stops(&self.attempts_of_cancelled_jobs(listed)))
    }

    /// Returns the listed attempts of cancelled jobs that have not exited.
    pub(super) fn attempts_of_cancelled_jobs(&self, listed: &[TaskReport]) -> Vec<Attempt> {
        let cancelled = |task: &&TaskReport| {
            let job = parse_task(&task.task).and_then(|(id, _)| self.jobs.get(id));
            task.state != TaskState::Exited && job.is_some_and(|job| job.cancelled)
        };
        listed.iter().filter(cancelled).map(Attempt::listed).collect()
    }

    /// Parses and applies a report's tasks only if they differ from those of the previous report.
    /// In a large fleet most are the same, and show only that the machine is alive. Returns false
    /// if they changed and the report does not include them.
    pub(super) fn apply_reported_tasks(
        &mut self,
        env: &mut Env,
        name: &Name,
        mut report: Report,
        tasks: ReportedTasks,
    ) -> Result<bool, serde_json::Error> {
        let digest = tasks.digest();
        if let Some(machine) = self.machines.get_mut(name)
            && machine.tasks_digest == Some(digest)
            && machine.session == report.session
            && machine.seq < report.seq
            && machine.fenced_at.is_some()
            && report.token >= self.token
            && machine.has_kept_token(report.token)
            && report.notice_s.is_none()
            && (machine.addr == report.addr || matches!(tasks, ReportedTasks::Digest(_)))
        {
            machine.seq = report.seq;
            machine.note_shown_token(report.token);
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

    /// Applies a report, or the response to a direct call; returns false if it shows nothing about the tasks.
    pub(super) fn apply_report(&mut self, env: &mut Env, name: &Name, report: &Report, channel: Channel) -> bool {
        let now = env.steady();
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            tracing::info!(
                machine = &**name,
                spot = report.spot,
                zone = report.zone,
                "an unexpected machine has reported"
            );
            Machine { unverified: true, ..Machine::new(name.clone(), now) }
        });
        if (report.session, report.seq) <= (machine.session, machine.seq) {
            return false;
        }
        machine.tasks_digest = None;
        if !machine.up || machine.type_name != report.machine_type {
            machine.mark_up(now, report, env.machine_type(&report.machine_type));
            self.zones.insert(report.zone.clone());
            self.scheduling_due = true;
        }
        machine.addr = report.addr.clone();
        machine.note_alive(now, channel, env.facts.report_interval);
        let new_session = report.session > machine.session && machine.session > 0;
        let renewed = machine
            .last_response
            .is_some_and(|at| now.duration_since(at) < env.facts.worker_lease.mul_f64(RENEWED_LEASE_SHARE));
        if new_session
            && renewed
            && channel == Channel::Report
            && machine.fenced_at.is_some()
            && !machine.responses_lost
        {
            // Its lease expired although its reports got responses, so these do not reach it. It
            // gets no work and is released. Its tasks are placed again once the release is
            // confirmed, or once its new session shows that they have stopped.
            tracing::info!(machine = &**name, "responses do not reach its worker; releasing the machine");
            machine.responses_lost = true;
            machine.releasing = true;
        }
        machine.session = report.session;
        machine.seq = report.seq;
        if report.token < self.token || !machine.has_kept_token(report.token) {
            self.show_token(env, name, report, channel);
            return false;
        }
        machine.note_shown_token(report.token);
        let was_fenced = machine.fenced_at.is_some();
        machine.fenced_at.get_or_insert(now);
        machine.unverified = false;
        if new_session && was_fenced {
            self.handle_new_session(env, name);
        }
        self.compare_tasks(env, name, report);
        self.handle_reclaim_notice(env, name, report.notice_s);
        true
    }

    /// Arranges for a worker to see this leader's token, since an earlier leader may still command it. The response to
    /// a report also shows the token, a little later; and as it renews the worker's lease, it must stop the tasks of
    /// cancelled jobs.
    fn show_token(&mut self, env: &Env, name: &Name, report: &Report, channel: Channel) {
        let cancelled = self.attempts_of_cancelled_jobs(&report.tasks).into_iter();
        let unexpected_attempts = cancelled.map(|attempt| UnexpectedAttempt { attempt, is_alive: true }).collect();
        let machine = self.machines.get_mut(name).expect("reported");
        machine.unexpected_attempts = unexpected_attempts;
        machine.token_due = machine.fenced_at.is_some();
        let leading_for = env.steady().duration_since(self.started_at);
        let response_suffices =
            channel == Channel::Report && leading_for < report_fencing_window(env.facts.report_interval);
        if !response_suffices || self.machines[name].hosts_service() {
            self.queue_direct_call(name);
        }
    }

    /// Compares the tasks that a worker lists with those placed on its machine.
    fn compare_tasks(&mut self, env: &mut Env, name: &Name, report: &Report) {
        let mut seen: BTreeSet<TaskKey> = BTreeSet::new();
        let mut unexpected_attempts = Vec::new();
        let mut listed: BTreeSet<Attempt> = BTreeSet::new();
        for task in &report.tasks {
            let attempt = Attempt::listed(task);
            let key = parse_task(&task.task).map(|(id, index)| (Name::from(id), index));
            if let Some(key) = key.filter(|key| self.is_placed(key, name, task.attempt)) {
                seen.insert(key.clone());
                self.apply_task_report(env, &key, task);
            } else {
                let is_alive = task.state != TaskState::Exited;
                if is_alive || !self.machines[name].exited.contains_key(&attempt) {
                    unexpected_attempts.push(UnexpectedAttempt { attempt: attempt.clone(), is_alive });
                }
            }
            listed.insert(attempt);
        }
        self.log_contradictions(env.steady(), name, report, &unexpected_attempts);
        let machine = self.machines.get_mut(name).expect("reported");
        let must_stop = unexpected_attempts.iter().any(|unexpected| unexpected.is_alive);
        machine.unexpected_attempts = unexpected_attempts;
        machine.orders_due = true;
        machine.exited.retain(|attempt, _| listed.contains(attempt));
        machine.forgets_sent.retain(|attempt| listed.contains(attempt));
        let missing: Vec<TaskKey> = machine.tasks.difference(&seen).cloned().collect();
        let has_stops = self.has_task_to_stop_now(&self.machines[name]);
        self.machines.get_mut(name).expect("reported").has_immediate_stops = has_stops;
        if must_stop {
            self.queue_direct_call(name);
        }
        self.handle_missing_tasks(env, name, missing);
    }

    /// Logs the attempts that a worker lists as alive although they have ended or are not placed on its machine.
    fn log_contradictions(&mut self, now: Instant, name: &Name, report: &Report, unexpected: &[UnexpectedAttempt]) {
        let exited = &self.machines[name].exited;
        let alive = unexpected.iter().filter(|unexpected| unexpected.is_alive).map(|unexpected| &unexpected.attempt);
        let events: Vec<(OrderEvent, Attempt)> = alive
            .map(|attempt| match exited.contains_key(attempt) {
                true => (OrderEvent::EndedAttemptAlive, attempt.clone()),
                false => (OrderEvent::UnplacedAttemptAlive, attempt.clone()),
            })
            .collect();
        let shown_by = Authority { token: report.token, session: report.session };
        self.log_orders(now, name, shown_by, &events);
    }

    /// Whether this attempt of the task is placed on the machine.
    fn is_placed(&self, key: &TaskKey, machine: &Name, attempt: u64) -> bool {
        let placement = self.jobs.get(&key.0).and_then(|job| job.placements.get(&key.1));
        placement.is_some_and(|placement| placement.machine == *machine && placement.attempt == attempt)
    }

    /// Handles tasks that are placed on the machine but not listed by its worker. A task that was only ordered to
    /// start is ordered again. One that was listed before, or comes from a record, is proven to be gone if the worker
    /// refuses all direct calls that start it.
    fn handle_missing_tasks(&mut self, env: &mut Env, name: &Name, missing: Vec<TaskKey>) {
        let now = env.steady();
        for key in missing {
            let placement = &self.jobs[&key.0].placements[&key.1];
            if matches!(placement.stage, Stage::Planned | Stage::Ordered) {
                continue;
            }
            if self.machines[name].may_still_start(&Attempt::of(&key, placement)) {
                self.request_token_raise(name);
            } else {
                tracing::debug!(job = &*key.0, task = key.1, machine = &**name, "task is missing from its machine");
                self.clear_placement(env, &key, now);
            }
        }
    }

    /// Handles a new session: the worker has stopped all tasks, and accepts no more orders of the old session. Their starts
    /// are kept in mind, since a worker that restarts has its first session again. It may have done so since it sent this
    /// report; so a start that has not arrived yet keeps its placement until the worker has shown a higher token again.
    fn handle_new_session(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let machine = self.machines.get_mut(name).expect("reported");
        let may_repeat_sessions = machine.may_predate_restart(machine.session);
        machine.exited.clear();
        machine.images.clear();
        tracing::info!(machine = &**name, session = machine.session, tasks = machine.tasks.len(), "new session");
        for key in machine.tasks.clone() {
            let placement = &self.jobs[&key.0].placements[&key.1];
            let attempt = Attempt::of(&key, placement);
            let machine = self.machines.get_mut(name).expect("reported");
            if let StartState::Unanswered { token } = placement.start {
                machine.direct_starts.insert(attempt, token);
                self.request_token_raise(name);
            } else if may_repeat_sessions && machine.may_still_start(&attempt) {
                self.request_token_raise(name);
            } else if placement.start.may_be_sent() {
                self.note_displaced(&key, name);
                self.clear_placement(env, &key, now);
            }
        }
    }
}
