//! Workers that restarted on their machine and count sessions and messages anew.
//!
//! A late copy of a report from before the restart has higher numbers than what the worker sends since, so that it would
//! count as the newest and end the placements of tasks that run. Until the worker's session is higher than any before
//! the restart, its reports show only that it is alive: what it runs is learned from responses to direct calls, which
//! cannot be copies.

use std::time::{Duration, Instant};

use rushyoke_wire::worker::Report;

use super::{Channel, Machine, ReportedTasks};
use crate::env::Env;
use crate::jobs::Name;
use crate::term::Term;

/// What a report lists, to be compared with that of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportedList {
    /// Digest of the tasks.
    tasks_digest: u64,
    /// Whether the cloud gave notice that it reclaims the machine.
    has_notice: bool,
}

impl ReportedList {
    /// Returns what a report with these tasks lists.
    pub(super) fn of(report: &Report, tasks: &ReportedTasks) -> ReportedList {
        ReportedList { tasks_digest: tasks.digest(), has_notice: report.notice_s.is_some() }
    }
}

impl Machine {
    /// Notes that the worker has restarted, and forgets the numbers of its messages. While nothing was heard from it, its
    /// session may have risen once per lease before it restarted.
    pub(super) fn note_restart(&mut self, now: Instant, worker_lease: Duration) {
        let silence = now.duration_since(self.last_heard);
        let sessions_unheard = 1 + (silence.as_secs_f64() / worker_lease.as_secs_f64()) as u64;
        let last_session = self.session + sessions_unheard;
        self.last_session_before_restart = self.last_session_before_restart.max(Some(last_session));
        self.confirmed_list = None;
        (self.session, self.seq, self.newest_report) = (0, 0, (0, 0));
    }

    /// Whether a report of this session may be a copy from before the worker restarted.
    pub(super) fn may_predate_restart(&self, session: u64) -> bool {
        self.last_session_before_restart.is_some_and(|last_session| session <= last_session)
    }
}

impl Term {
    /// Whether a report of this session may be a copy from before the worker on the machine restarted.
    pub(super) fn may_predate_restart(&self, name: &Name, session: u64) -> bool {
        self.machines.get(name).is_some_and(|machine| machine.may_predate_restart(session))
    }

    /// Calls a machine whose reports may be copies from before a restart, if the last one lists anything else than what
    /// was confirmed. While a call cannot be made, the next report brings it about.
    pub(super) fn confirm_by_call(&mut self, env: &mut Env, name: &Name, list: ReportedList) {
        let now = env.steady();
        let may_call = self.available_direct_calls(env) > 0;
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.note_alive(now, Channel::Report, env.facts.report_interval);
        let call_due = machine.direct_call.is_none() && machine.next_call_at.is_none_or(|at| at <= now);
        if may_call && call_due && machine.confirmed_list != Some(list) {
            machine.confirmed_list = Some(list);
            self.probe(env, name);
        }
    }
}
