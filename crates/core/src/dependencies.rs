//! Jobs that await others, as the leader sees them. The durable truth is the end of the job that is
//! awaited, `job/<id>`, which is written once: a dependent goes on when that says done, and is
//! over when it says cancelled. What stands here is derived from it, and derived again by a new leader.
//!
//! Guards against a task that starts before all that its job awaits is durably done, and against
//! a job that is left waiting for one that was cancelled. Only accepted jobs can be named, so
//! there are no cycles; chains may be long, so nothing here recurs.

pub(crate) mod state;

use std::collections::BTreeSet;
use std::time::Duration;

use rushyoke_wire::job::Priority;

use crate::calls::{LoadCall, Purpose};
use crate::env::Env;
use crate::io::*;
use crate::jobs::*;
use crate::term::Term;

/// Records of awaited jobs that are read at a time.
const MAX_READS: usize = 8;
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The more urgent of two deadlines.
fn earlier_deadline(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}

impl Term {
    /// Takes note of what a job awaits. One that has begun has nothing to wait for.
    pub fn link_dependencies(&mut self, env: &mut Env, name: &Name) {
        let Some(job) = self.jobs.get_mut(name) else { return };
        let begun = !job.placements.is_empty() || job.done_count > 0;
        if job.cancelled || begun || job.spec.dependencies.is_empty() {
            return;
        }
        job.eligible_ms = env.now.wall_ms;
        let dependencies: BTreeSet<Name> = job.spec.dependencies.iter().map(|id| Name::from(id.as_str())).collect();
        job.pending_dependencies = dependencies.clone();
        let (priority, due_ms) = (job.effective_priority, job.effective_deadline_ms);
        let mut lost = false;
        for dependency in &dependencies {
            self.dependencies.dependents.entry(dependency.clone()).or_default().insert(name.clone());
            match self.jobs.get(dependency) {
                Some(dependency) => lost |= dependency.cancelled,
                None => {
                    self.dependencies.unread.insert(dependency.clone());
                }
            }
        }
        self.raise_priorities(dependencies, priority, due_ms);
        if lost {
            self.orphan(env, vec![name.clone()]);
        }
    }

    /// Jobs take the highest priority and the most urgent deadline of those that need them.
    fn raise_priorities(&mut self, dependencies: BTreeSet<Name>, priority: Priority, due_ms: Option<u64>) {
        let mut left: Vec<Name> = dependencies.into_iter().collect();
        while let Some(name) = left.pop() {
            let Some(job) = self.jobs.get_mut(&name) else { continue };
            let sooner = earlier_deadline(job.effective_deadline_ms, due_ms) != job.effective_deadline_ms;
            if job.effective_priority >= priority && !sooner {
                continue;
            }
            job.effective_priority = job.effective_priority.max(priority);
            job.effective_deadline_ms = earlier_deadline(job.effective_deadline_ms, due_ms);
            left.extend(job.pending_dependencies.iter().cloned());
        }
    }

    /// Takes back what cancelled jobs gave to those that they needed.
    fn recompute_priorities(&mut self, dependencies: BTreeSet<Name>) {
        let mut left: Vec<Name> = dependencies.into_iter().collect();
        while let Some(name) = left.pop() {
            let Some(job) = self.jobs.get(&name).filter(|job| !job.cancelled) else { continue };
            let (mut priority, mut due_ms) = (job.spec.priority, job.own_deadline_ms());
            let dependents = self.dependencies.dependents.get(&name).into_iter().flatten();
            for dependent in dependents.filter_map(|id| self.jobs.get(id)).filter(|job| !job.cancelled) {
                priority = priority.max(dependent.effective_priority);
                due_ms = earlier_deadline(due_ms, dependent.effective_deadline_ms);
            }
            if (priority, due_ms) == (job.effective_priority, job.effective_deadline_ms) {
                continue;
            }
            left.extend(job.pending_dependencies.iter().cloned());
            if let Some(job) = self.jobs.get_mut(&name) {
                (job.effective_priority, job.effective_deadline_ms) = (priority, due_ms);
            }
        }
    }

    /// A job has ended durably: those that await it go on, or end with it.
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
                tracing::debug!(job = &*name, "all that it awaits is done");
                job.eligible_ms = env.now.wall_ms;
                self.scheduling_due = true;
            }
        }
    }

    /// A job that these need was cancelled, and so are they, with all that needs them in turn.
    fn orphan(&mut self, env: &mut Env, mut left: Vec<Name>) {
        let mut needed: BTreeSet<Name> = BTreeSet::new();
        while let Some(name) = left.pop() {
            let Some(job) = self.jobs.get_mut(&name).filter(|job| !job.cancelled) else {
                continue;
            };
            tracing::debug!(job = &*name, "a job that it needs was cancelled");
            job.orphaned = true;
            needed.extend(job.pending_dependencies.iter().cloned());
            self.stop_cancelled_job(env, &name);
            left.extend(self.dependencies.dependents.remove(&name).into_iter().flatten());
        }
        self.recompute_priorities(needed);
    }

    /// A user cancelled a job: nothing of it starts any more, all that is there must go, and so must
    /// all that needs it.
    pub fn job_cancelled(&mut self, env: &mut Env, name: &Name) {
        self.stop_cancelled_job(env, name);
        let needed = self.jobs.get(name).map(|job| job.pending_dependencies.clone()).unwrap_or_default();
        self.recompute_priorities(needed);
        self.dependency_ended(env, name, RecordState::Cancelled);
    }

    /// A job is forgotten, and awaits nothing any more.
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

    /// Reads how awaited jobs ended that are not in the table.
    pub fn read_dependencies(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.dependencies.unread.is_empty() || self.dependencies.retry.is_some_and(|from| from > now) {
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

    pub fn dependency_read_outcome(&mut self, env: &mut Env, dependency: Name, outcome: Outcome<StoreResponse>) {
        self.dependencies.reading.remove(&dependency);
        if let Outcome::Responded(StoreResponse::Item(Some(item))) = outcome
            && let Ok(record) = serde_json::from_value::<JobRecord>(item.value)
        {
            if record.state != RecordState::Open {
                self.dependency_ended(env, &dependency, record.state);
                return;
            }
            // It is in the table by now, and tells of its end itself.
            if self.jobs.contains_key(&dependency) {
                return;
            }
        }
        if self.dependencies.dependents.contains_key(&dependency) {
            self.dependencies.unread.insert(dependency);
            self.dependencies.retry = Some(env.steady() + RETRY_DELAY);
        }
    }
}
