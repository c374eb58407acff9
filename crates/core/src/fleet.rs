//! Machines: what their workers report, what is ordered, and when a place is proven
//! empty.
//!
//! Guards against a task on two machines at once. A place counts as empty only after a
//! newer report from a worker that has seen our token, with the task gone or exited; a
//! new session; a confirmed return of the machine; or the end of its lease. A start that
//! went out directly and was not answered may still run late, so the exited entry that
//! would stop it is kept until the order is resolved.

pub(crate) mod direct_calls;
mod images;
mod lease;
mod liveness;
pub(crate) mod machine;
mod orders;
mod reports;
pub(crate) mod stop_statistics;
mod stops;
pub(crate) mod survey;
mod tasks;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rushyoke_wire::cloud::{ListedMachine, Phase as CloudPhase};
use serde_json::value::RawValue;

use crate::env::Env;
use crate::jobs::Name;
use crate::term::Term;
pub(crate) use machine::{Machine, Reservation};

/// Reports come at their interval, give or take a quarter.
const LATEST_REPORT_FACTOR: f64 = 1.25;
/// A report that was answered is followed by the next within its interval and this.
const REPORT_DELAY_ALLOWANCE: Duration = Duration::from_secs(1);
/// Least time between direct calls that ask whether a copy or a worker came.
const COPY_PROBE: Duration = Duration::from_secs(2);
/// Share of a lease within which an answered report surely renewed it.
const RENEWED: f64 = 0.7;
/// Names of returned machines that are remembered, against late reports.
const GONE_KEPT: usize = 4000;
/// And at least so many for each machine that is there, since whole fleets are replaced.
const GONE_PER_MACHINE: usize = 4;

/// A task's full name and its attempt.
type Attempt = (String, u64);

/// A report's tasks, as far as they are known.
pub(crate) enum ReportedTasks<'a> {
    /// As they came from the worker.
    Raw(&'a RawValue),
    /// In the report, with their digest.
    Parsed(u64),
    /// Those with this digest, which were told before.
    Digest(u64),
}

/// Most workers find a new leader by themselves, and a report soon after their first shows its
/// token: only machines with services are shown it directly before this time.
fn report_fencing_window(report: Duration) -> Duration {
    report.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE
}

/// Tells lists of tasks apart.
pub(crate) fn digest(tasks: &RawValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    tasks.get().hash(&mut hasher);
    hasher.finish()
}

/// Tells apart the ways in which a report came.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Channel {
    Report,
    Direct,
}
impl Term {
    pub fn update_machine_types(&mut self, env: &Env) {
        for machine in self.machines.values_mut() {
            let kind = env.machine_type(&machine.kind);
            machine.apply_type(kind);
        }
    }

    /// The machine and everything on it are gone.
    pub fn remove_machine(&mut self, env: &mut Env, name: &Name) {
        let now = env.steady();
        let Some(machine) = self.machines.get(name) else {
            return;
        };
        for key in machine.tasks.clone() {
            self.note_displaced(&key, name);
            self.clear_placement(env, &key, now);
        }
        self.machines.remove(name);
        if let Some(failover) = &mut self.failover {
            failover.forget_drain(name);
        }
        self.destination_gone(name);
        self.renting.mark_gone(name, GONE_KEPT.max(GONE_PER_MACHINE * self.machines.len()));
        self.scheduling_due = true;
    }

    /// The cloud's list names this machine.
    pub fn machine_listed(&mut self, env: &mut Env, listed: &ListedMachine) {
        let now = env.steady();
        let name = Name::from(listed.id.as_str());
        if self.renting.is_gone(&name) {
            return;
        }
        if listed.phase == CloudPhase::Failed {
            if self.machines.contains_key(&name) {
                tracing::info!(machine = &*name, "failed, says the cloud");
                self.remove_machine(env, &name);
                self.renting.queue_release(name);
            }
            return;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, 1e6));
            let known = now.checked_sub(age).unwrap_or(now);
            Machine { known_since: known, ..Machine::new(name.clone(), now) }
        });
        if machine.kind.is_empty() {
            machine.kind = listed.kind.clone();
            machine.zone = listed.zone.clone();
            self.zones.insert(listed.zone.clone());
            machine.spot = listed.spot;
            machine.apply_type(env.machine_type(&listed.kind));
        }
        if machine.addr.is_empty() {
            machine.addr = listed.addr.clone();
        }
        if listed.phase == CloudPhase::Running && !machine.up && !machine.addr.is_empty() {
            // Its worker may report to another node still: show it the token.
            machine.up = true;
            machine.last_heard = now;
            machine.last_reported = now;
            self.call_soon(&name);
        }
    }
}
