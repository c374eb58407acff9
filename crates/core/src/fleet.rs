//! The fleet: what workers report, which orders they are sent, and when a task's placement is
//! proven to be over.
//!
//! Keeps a task from running on two machines at once. A placement ends only after one of these:
//! a newer report, from a worker that has seen this leader's token, in which the task is missing
//! or has exited; a new session of the worker; the confirmed release of the machine; or the
//! expiry of the worker's lease. A start that was sent by a direct call may be carried out late or a
//! second time. It is refused by the worker's entry for the attempt, and once that is to be forgotten,
//! or is missing, by a higher token (`tokens`).

mod attempt;
pub(crate) mod direct_calls;
mod images;
mod lease;
mod liveness;
pub(crate) mod machine;
pub(crate) mod order_log;
mod orders;
mod reports;
mod restarts;
pub(crate) mod stop_statistics;
mod stops;
pub(crate) mod survey;
mod tasks;
mod tokens;

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use rushyoke_wire::cloud::{ListedMachine, Phase as CloudPhase};
use serde_json::value::RawValue;

use crate::env::Env;
use crate::jobs::Name;
use crate::term::Term;
pub(crate) use attempt::{Attempt, UnexpectedAttempt};
pub(crate) use machine::{Machine, Reservation};

/// Longest time between two reports, as a multiple of the report interval. Workers vary the interval by up to a quarter.
const LATEST_REPORT_FACTOR: f64 = 1.25;
/// Allowance for transmission and processing, on top of the longest time between two reports.
const REPORT_DELAY_ALLOWANCE: Duration = Duration::from_secs(1);
/// Least time between probes caused by stale reports. A probe shows whether the report was a
/// delayed duplicate or the worker has restarted.
const STALE_REPORT_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// A lease that was renewed less than this share of its duration ago cannot have expired.
const RENEWED_LEASE_SHARE: f64 = 0.7;
/// Least number of names of removed machines to remember, so that their late reports are recognized.
const MIN_REMOVED_NAMES_KEPT: usize = 4000;
/// Least number of those names per present machine, since whole fleets are replaced.
const REMOVED_NAMES_KEPT_PER_MACHINE: usize = 4;

/// The tasks of a report, in the form in which they arrived.
pub(crate) enum ReportedTasks<'a> {
    /// Unparsed JSON from the worker.
    Raw(&'a RawValue),
    /// Already parsed into the report; holds their digest.
    Parsed(u64),
    /// Not included: the tasks sent earlier that have this digest.
    Digest(u64),
}

impl ReportedTasks<'_> {
    /// Returns the digest of the tasks.
    fn digest(&self) -> u64 {
        match self {
            ReportedTasks::Raw(raw) => digest(raw),
            ReportedTasks::Parsed(digest) | ReportedTasks::Digest(digest) => *digest,
        }
    }
}

/// Returns the time after a takeover in which reports suffice to fence most workers: they find the
/// new leader themselves and see its token in the response to their first report. Within this time
/// only machines with services are shown the token by direct calls.
fn report_fencing_window(report_interval: Duration) -> Duration {
    report_interval.mul_f64(LATEST_REPORT_FACTOR) + REPORT_DELAY_ALLOWANCE
}

/// Returns a digest by which lists of tasks are compared.
pub(crate) fn digest(tasks: &RawValue) -> u64 {
    let mut hasher = DefaultHasher::new();
    tasks.get().hash(&mut hasher);
    hasher.finish()
}

/// How a worker and the leader exchange a message.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Channel {
    /// A report from the worker and the response to it.
    Report,
    /// A direct call to the worker and its response.
    Direct,
}

impl Term {
    /// Applies changed machine types to all machines.
    pub fn update_machine_types(&mut self, env: &Env) {
        for machine in self.machines.values_mut() {
            let machine_type = env.machine_type(&machine.type_name);
            machine.apply_type(machine_type);
        }
    }

    /// Removes a machine that no longer exists, and ends the placements of its tasks.
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
        self.give_up_moves_to(name);
        self.renting
            .remember_removed(name, MIN_REMOVED_NAMES_KEPT.max(REMOVED_NAMES_KEPT_PER_MACHINE * self.machines.len()));
        self.scheduling_due = true;
    }

    /// Updates the fleet from a machine in the cloud's list.
    pub fn machine_listed(&mut self, env: &mut Env, listed: &ListedMachine) {
        let now = env.steady();
        let name = Name::from(listed.id.as_str());
        if self.renting.was_removed(&name) {
            return;
        }
        if listed.phase == CloudPhase::Failed {
            if self.machines.contains_key(&name) {
                tracing::info!(machine = &*name, "the cloud lists it as failed");
                self.remove_machine(env, &name);
                self.renting.queue_release(name);
            }
            return;
        }
        let machine = self.machines.entry(name.clone()).or_insert_with(|| {
            let age = Duration::from_secs_f64(listed.age_s.clamp(0.0, 1e6));
            let rented_at = now.checked_sub(age).unwrap_or(now);
            Machine { known_since: rented_at, ..Machine::new(name.clone(), now) }
        });
        if machine.type_name.is_empty() {
            machine.type_name = listed.machine_type.clone();
            machine.zone = listed.zone.clone();
            self.zones.insert(listed.zone.clone());
            machine.spot = listed.spot;
            machine.apply_type(env.machine_type(&listed.machine_type));
        }
        if machine.addr.is_empty() {
            machine.addr = listed.addr.clone();
        }
        if listed.phase == CloudPhase::Running && !machine.up && !machine.addr.is_empty() {
            // Its worker may still report to another node: a direct call shows it this leader's token.
            machine.up = true;
            machine.last_heard = now;
            machine.last_reported = now;
            self.queue_direct_call(&name);
        }
    }
}
