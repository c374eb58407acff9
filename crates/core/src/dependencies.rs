//! Dependencies between jobs, as the leader tracks them.
//!
//! The durable state is the final record of a dependency, `job/<id>`, which is written once: a dependent may
//! start when the record's state is done, and is cancelled when it is cancelled. The tables here are derived from
//! these records, and a new leader derives them again.
//!
//! No task starts before all dependencies of its job are durably done, and no job is left waiting for a
//! cancelled one. A submission can name only accepted jobs, so there are no cycles. Chains may be long, so they are
//! followed in loops and not by recursion.

pub(crate) mod state;

use std::collections::BTreeSet;
use std::time::Duration;

use rushyoke_wire::job::Priority;

use crate::calls::{LoadCall, Purpose};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

/// Largest number of dependencies' records that are read at a time.
const MAX_READS: usize = 8;
/// Delay before the record of a dependency is read again.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Returns the earlier of two deadlines; `None` if there is neither.
fn earlier_deadline(first: Option<u64>, second: Option<u64>) -> Option<u64> {
    first.into_iter().chain(second).min()
}

impl Term {
    /// Registers a job's dependencies. A job with placed or done tasks has no pending ones, since it has started.
    pub fn link_dependencies(&mut self, env: &mut Env, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        let has_started = !job.placements.is_empty() || job.done_count > 0;
        if job.cancelled || has_started || job.spec.dependencies.is_empty() {
            return;
        }
        job.eligible_ms = env.now.wall_ms;
        let dependencies: BTreeSet<Name> = job.spec.dependencies.iter().map(|id| Name::from(id.as_str())).collect();
        job.pending_dependencies = dependencies.clone();
        let (priority, deadline_ms) = (job.effective_priority, job.effective_deadline_ms);
        let mut has_cancelled_dependency = false;
        for dependency in &dependencies {
            self.dependencies.dependents.entry(dependency.clone()).or_default().insert(name.clone());
            match self.jobs.get(dependency) {
                Some(dependency) => has_cancelled_dependency |= dependency.cancelled,
                None => {
                    self.dependencies.unread.insert(dependency.clone());
                }
            }
        }
        self.raise_priorities(dependencies, priority, deadline_ms);
        if has_cancelled_dependency {
            self.orphan(env, vec![name.clone()]);
        }
    }

    /// Raises the priorities and advances the deadlines of dependencies, direct and indirect, to those of a
    /// dependent.
    fn raise_priorities(&mut self, dependencies: BTreeSet<Name>, priority: Priority, deadline_ms: Option<u64>) {
        let mut unvisited: Vec<Name> = dependencies.into_iter().collect();
        while let Some(name) = unvisited.pop() {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            let has_later_deadline =
                earlier_deadline(job.effective_deadline_ms, deadline_ms) != job.effective_deadline_ms;
            if job.effective_priority >= priority && !has_later_deadline {
                continue;
            }
            job.effective_priority = job.effective_priority.max(priority);
            job.effective_deadline_ms = earlier_deadline(job.effective_deadline_ms, deadline_ms);
            unvisited.extend(job.pending_dependencies.iter().cloned());
        }
    }

    /// Recomputes the priorities and deadlines of dependencies after dependents were cancelled.
    fn recompute_priorities(&mut self, dependencies: BTreeSet<Name>) {
        let mut unvisited: Vec<Name> = dependencies.into_iter().collect();
        while let Some(name) = unvisited.pop() {
            let Some(job) = self.jobs.get(&name).filter(|job| !job.cancelled) else { continue };
            let (mut priority, mut deadline_ms) = (job.spec.priority, job.own_deadline_ms());
            let dependents = self.dependencies.dependents.get(&name).into_iter().flatten();
            for dependent in dependents.filter_map(|id| self.jobs.get(id)).filter(|job| !job.cancelled) {
                priority = priority.max(dependent.effective_priority);
                deadline_ms = earlier_deadline(deadline_ms, dependent.effective_deadline_ms);
            }
            if (priority, deadline_ms) == (job.effective_priority, job.effective_deadline_ms) {
                continue;
            }
            unvisited.extend(job.pending_dependencies.iter().cloned());
            if let Some(job) = self.jobs.get_mut(&name) {
                (job.effective_priority, job.effective_deadline_ms) = (priority, deadline_ms);
            }
        }
    }

    /// Handles the durable end of a job: its dependents may start if it is done, and are cancelled if it is cancelled.
    pub fn dependency_ended(&mut self, env: &mut Env, dependency: &Name, state: RecordState) {
        let Some(dependents) = self.dependencies.dependents.remove(dependency) else {
            return;
        };
        if state == RecordState::Cancelled {
            self.orphan(env, dependents.into_iter().collect());
            return;
        }
        for name in dependents {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            job.pending_dependencies.remove(dependency);
            if !job.is_blocked() {
                tracing::debug!(job = &*name, "all dependencies of the job are done");
                job.eligible_ms = env.now.wall_ms;
                self.scheduling_due = true;
            }
        }
    }

    /// Cancels jobs with a cancelled dependency, and all their dependents.
    fn orphan(&mut self, env: &mut Env, mut orphans: Vec<Name>) {
        let mut dependencies: BTreeSet<Name> = BTreeSet::new();
        while let Some(name) = orphans.pop() {
            let Some(job) = self.jobs.get_mut(&name).filter(|job| !job.cancelled) else {
                continue;
            };
            tracing::debug!(job = &*name, "a dependency of the job was cancelled");
            job.orphaned = true;
            dependencies.extend(job.pending_dependencies.iter().cloned());
            self.stop_cancelled_job(env, &name);
            orphans.extend(self.dependencies.dependents.remove(&name).into_iter().flatten());
        }
        self.recompute_priorities(dependencies);
    }

    /// Handles a user's cancellation of a job: no more of its tasks are started, all placed ones are stopped, and its
    /// dependents are cancelled.
    pub fn job_cancelled(&mut self, env: &mut Env, name: &Name) {
        self.stop_cancelled_job(env, name);
        let dependencies = self.jobs.get(name).map(|job| job.pending_dependencies.clone()).unwrap_or_default();
        self.recompute_priorities(dependencies);
        self.dependency_ended(env, name, RecordState::Cancelled);
    }

    /// Removes a job that is no longer tracked from the dependents of its dependencies.
    pub fn unlink_dependencies(&mut self, job: &Job) {
        for dependency in &job.spec.dependencies {
            if let Some(dependents) = self.dependencies.dependents.get_mut(dependency.as_str()) {
                dependents.remove(&job.id);
                if dependents.is_empty() {
                    self.dependencies.dependents.remove(dependency.as_str());
                    self.dependencies.unread.remove(dependency.as_str());
                }
            }
        }
    }

    /// Reads the final records of dependencies that are not in the table of unfinished jobs.
    pub fn read_dependencies(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.dependencies.unread.is_empty() || self.dependencies.retry_at.is_some_and(|retry_at| retry_at > now) {
            return;
        }
        while self.dependencies.reading.len() < MAX_READS {
            let Some(dependency) = self.dependencies.unread.pop_first() else { return };
            if self.dependencies.reading.insert(dependency.clone()) {
                let op = StoreOp::Get(job_key(&dependency));
                env.call_store(Purpose::Load(LoadCall::Dependency(dependency)), Urgency::High, op);
            }
        }
    }

    /// Handles the outcome of reading a dependency's record.
    pub fn dependency_read_outcome(&mut self, env: &mut Env, dependency: Name, outcome: Outcome<StoreResponse>) {
        self.dependencies.reading.remove(&dependency);
        if let Outcome::Responded(StoreResponse::Item(Some(item))) = outcome
            && let Ok(record) = serde_json::from_value::<JobRecord>(item.value)
        {
            if record.state != RecordState::Open {
                self.dependency_ended(env, &dependency, record.state);
                return;
            }
            // The job has been added to the unfinished jobs since, and its end will be handled there.
            if self.jobs.contains_key(&dependency) {
                return;
            }
        }
        if self.dependencies.dependents.contains_key(&dependency) {
            self.dependencies.unread.insert(dependency);
            self.dependencies.retry_at = Some(env.steady() + RETRY_DELAY);
        }
    }
}
