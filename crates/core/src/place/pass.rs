//! A scheduling pass over the waiting jobs: their order in the queue, and how each one is served.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_wire::job::{Kind, Priority};

use crate::env::Env;
use crate::jobs::*;
use crate::quota::Resources;
use crate::term::Term;

/// Number of tasks that one pass may place, or the number of machines if that is more. The other tasks
/// follow in the next pass.
const BASE_TASKS_PER_PASS: u32 = 256;
/// A pass ends when more than this number of jobs could not be placed completely.
const MAX_MISSES_PER_PASS: u32 = 64;
/// Number of jobs in one pass that may preempt others. The limit bounds the work of a pass, since preemption
/// compares the tasks of many machines.
const MAX_PREEMPTIONS_PER_PASS: u32 = 4;

/// Number of slices into which the tasks of a starved job are divided; one slice is placed at a time.
const STARVED_JOB_SLICES: u32 = 4;
/// Number of machines on which freed resources are reserved for a starved job at a time.
const STARVED_JOB_MACHINES: usize = 16;
/// How long a job within its guarantee may wait if no objective sets a limit.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(5);

/// Scheduling class of a job, by its rights over other jobs. Earlier variants are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Services with production priority, which never wait behind other jobs.
    UrgentService,
    /// Jobs within their team's guarantee, and starved jobs, which are served first within the class.
    Guaranteed,
    /// Jobs beyond their team's guarantee.
    BeyondGuarantee,
}

/// A waiting job with its sort keys; smaller entries are served first.
struct QueueEntry {
    job: Name,
    /// Failover tier while a zone is evacuated, otherwise 0.
    tier: usize,
    class: Class,
    starved: bool,
    priority: Priority,
    /// Whether the job is beyond its team's guarantee and the team has more than its fair share of the
    /// fleet.
    over_share: bool,
    /// Whether the job can no longer meet its deadline or any objective of its class.
    too_late: bool,
    /// Expected work of the waiting tasks, in CPU seconds. Tasks that already run are not counted, so a job
    /// with only a few tasks left goes before one that has just arrived.
    waiting_cpu_s: f64,
}

impl QueueEntry {
    /// Compares two entries in the order in which they are served.
    fn order(&self, other: &QueueEntry) -> Ordering {
        self.tier
            .cmp(&other.tier)
            .then(self.class.cmp(&other.class))
            .then(other.starved.cmp(&self.starved))
            .then(other.priority.cmp(&self.priority))
            .then(self.over_share.cmp(&other.over_share))
            .then(self.too_late.cmp(&other.too_late))
            .then(self.waiting_cpu_s.total_cmp(&other.waiting_cpu_s))
            .then_with(|| self.job.cmp(&other.job))
    }
}

/// Remaining budgets and intermediate results of one scheduling pass.
struct Pass {
    /// The jobs within their team's guarantee.
    guaranteed: BTreeSet<Name>,
    /// Number of tasks that may still be placed.
    tasks_left: u32,
    /// Number of jobs with tasks that could not be placed.
    misses: u32,
    /// Number of jobs that may still preempt others.
    preemptions_left: u32,
    /// Upper bounds of the free resources of any machine: over all machines, and over on-demand machines.
    max_free: [Resources; 2],
    /// Teams at their limit, with the priority of the first job that waits for it. Quota that becomes free
    /// goes to that job and not to one of lower priority in the same pass.
    quota_waiters: BTreeMap<String, Priority>,
}

impl Pass {
    /// Whether a job of higher priority waits for the team's quota.
    fn is_quota_reserved(&self, team: &str, priority: Priority) -> bool {
        self.quota_waiters.get(team).is_some_and(|waiting| *waiting > priority)
    }
}

/// Whether the job can no longer meet its deadline or any objective of its class. The remaining jobs are
/// served by least remaining work, so that as many as possible finish in time when demand exceeds
/// capacity. A deadline counts from the submission; objectives count from when the last dependency was
/// done.
fn is_too_late(env: &Env, job: &Job) -> bool {
    if job.spec.kind == Kind::Service {
        return false;
    }
    let elapsed_s = |since_ms: u64| env.now.wall_ms as f64 / 1000.0 - since_ms as f64 / 1000.0;
    let expected_total_s = elapsed_s(job.eligible_ms) + job.mean_run_s;
    let objectives = env.facts.objectives.iter().filter(|objective| objective.measure == "finished");
    let time_limits = objectives
        .filter(|objective| objective.class.as_ref() == Some(&job.spec.class))
        .filter_map(|objective| objective.time_limit);
    let slack_s = time_limits.map(|limit| limit.as_secs_f64() - expected_total_s);
    let slack_s =
        slack_s.chain(job.effective_deadline_ms.map(|deadline| -elapsed_s(deadline) - job.mean_run_s)).reduce(f64::max);
    slack_s.is_some_and(|slack_s| slack_s < 0.0)
}

/// Whether a job is starved: none of its tasks was placed for the time that the policy allows. Under
/// overload, the order of the queue alone would let large jobs, and those too late for every objective,
/// wait forever. `age` is the time since the job became eligible.
fn is_starved(env: &Env, job: &Job, age: Duration) -> bool {
    let waited = match job.last_placed {
        Some(at) => env.steady().duration_since(at),
        None => age,
    };
    // Later slices follow sooner, so that the job's last tasks also start in time.
    waited >= if job.was_starved { env.policy.starvation_timeout / 2 } else { env.policy.starvation_timeout }
}

impl Term {
    /// Lets each starved job place a slice of its tasks ahead of all other jobs except urgent services.
    fn mark_starving(&mut self, env: &Env) {
        for job in self.jobs.values_mut().filter(|job| job.starvation_credit == 0 && job.waiting_tasks() > 0) {
            let age = Duration::from_millis(env.now.wall_ms.saturating_sub(job.eligible_ms));
            if is_starved(env, job, age) {
                tracing::debug!(
                    job = &*job.id,
                    waiting = job.waiting_tasks(),
                    "job starved; serving it ahead of others"
                );
                job.starvation_credit = job.spec.tasks.div_ceil(STARVED_JOB_SLICES).min(job.waiting_tasks());
                job.was_starved = true;
            }
        }
    }

    /// Returns the jobs within their team's guarantee.
    pub fn jobs_within_guarantee(&self) -> BTreeSet<Name> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| !job.cancelled && !job.is_blocked()).collect();
        jobs.sort_by(|a, b| a.eligible_ms.cmp(&b.eligible_ms).then_with(|| a.id.cmp(&b.id)));
        self.quotas.jobs_within_guarantee(jobs.into_iter()).into_iter().collect()
    }

    /// Runs a scheduling pass. Tasks are placed here; their starts are ordered once the placements are
    /// durable.
    pub fn place_pass(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.jobs.values().all(|job| job.next_ready_task(now).is_none()) {
            return;
        }
        self.mark_starving(env);
        let guaranteed = self.jobs_within_guarantee();
        if self.failover.is_some() {
            self.jobs_within_quota = Arc::new(guaranteed.clone());
        }
        let queue = self.build_queue(env, &guaranteed);
        let mut pass = Pass {
            guaranteed,
            tasks_left: BASE_TASKS_PER_PASS.max(self.machines.len() as u32),
            misses: 0,
            preemptions_left: MAX_PREEMPTIONS_PER_PASS,
            max_free: self.max_free_resources(now),
            quota_waiters: BTreeMap::new(),
        };
        for entry in queue {
            let job = &self.jobs[&entry.job];
            if pass.is_quota_reserved(&job.spec.team, entry.priority) || self.is_bound_to_closed_zones(now, job) {
                continue;
            }
            if pass.tasks_left == 0 || pass.misses > MAX_MISSES_PER_PASS {
                self.scheduling_due = true;
                break;
            }
            self.serve(env, &mut pass, &entry);
        }
    }

    /// Returns the jobs that have a task to place now, in the order in which they are served.
    fn build_queue(&self, env: &Env, guaranteed: &BTreeSet<Name>) -> Vec<QueueEntry> {
        let now = env.steady();
        let waiting = self.jobs.values().filter(|job| job.next_ready_task(now).is_some());
        let mut queue: Vec<QueueEntry> =
            waiting.map(|job| self.queue_entry(env, job, guaranteed.contains(&job.id))).collect();
        queue.sort_by(QueueEntry::order);
        queue
    }

    /// Returns a job's entry in the queue.
    fn queue_entry(&self, env: &Env, job: &Job, is_guaranteed: bool) -> QueueEntry {
        let class = match (job.spec.kind, job.spec.priority) {
            (Kind::Service, Priority::Production) => Class::UrgentService,
            _ if is_guaranteed => Class::Guaranteed,
            _ => Class::BeyondGuarantee,
        };
        QueueEntry {
            job: job.id.clone(),
            tier: if self.is_evacuating() { self.tier_of(job) } else { 0 },
            class: if job.starvation_credit > 0 { class.min(Class::Guaranteed) } else { class },
            starved: job.starvation_credit > 0,
            priority: job.effective_priority,
            over_share: class == Class::BeyondGuarantee && self.exceeds_fair_share(&job.spec.team),
            too_late: is_too_late(env, job),
            waiting_cpu_s: f64::from(job.waiting_tasks()) * job.spec.cpus * job.mean_run_s,
        }
    }

    /// Returns upper bounds of the free resources of any machine: over all machines, and over on-demand
    /// machines. Free resources only shrink within a pass, so the bounds stay valid; in a full fleet they
    /// rule out most waiting jobs at once.
    fn max_free_resources(&self, now: Instant) -> [Resources; 2] {
        let mut max_free = [Resources::default(); 2];
        for machine in self.machines.values().filter(|m| m.is_schedulable(now)) {
            let free = machine.total.minus(machine.used);
            let bounds = if machine.spot { &mut max_free[..1] } else { &mut max_free[..] };
            bounds.iter_mut().for_each(|bound| bound.expand_to(free));
        }
        max_free
    }

    /// Places a job's tasks; for those that do not fit, reserves resources or preempts other tasks.
    fn serve(&mut self, env: &mut Env, pass: &mut Pass, entry: &QueueEntry) {
        let spec = &self.jobs[&entry.job].spec;
        let need = Resources::of(spec);
        let at_limit = self.is_at_team_limit(&spec.team, need);
        if !at_limit && pass.max_free[usize::from(!spec.spot)].can_fit(need) {
            let limit = if entry.starved {
                pass.tasks_left.min(self.jobs[&entry.job].starvation_credit)
            } else {
                pass.tasks_left
            };
            let beyond_guarantee = entry.class == Class::BeyondGuarantee && !entry.starved;
            pass.tasks_left -= self.place_job(env, &entry.job, limit, beyond_guarantee);
        }
        if entry.starved {
            self.reserve_for_starved(env, pass, entry, at_limit);
        } else if self.jobs[&entry.job].next_ready_task(env.steady()).is_some() {
            pass.misses += 1;
            self.relieve_blocked_job(env, pass, entry, need);
        }
    }

    /// Whether the team's limit allows no further task of this size.
    pub fn is_at_team_limit(&self, team: &str, need: Resources) -> bool {
        self.quotas.usage(team).is_none_or(|usage| usage.headroom(need) == 0)
    }

    /// Reserves freed resources or quota for a starved job. Otherwise smaller tasks would take all of them.
    fn reserve_for_starved(&mut self, env: &mut Env, pass: &mut Pass, entry: &QueueEntry, at_limit: bool) {
        let job = &self.jobs[&entry.job];
        if job.starvation_credit == 0 {
            return;
        }
        if at_limit {
            pass.quota_waiters.insert(job.spec.team.clone(), Priority::Production);
        } else {
            self.reserve_freed_resources(env, &entry.job, (job.starvation_credit as usize).min(STARVED_JOB_MACHINES));
        }
    }

    /// Preempts other tasks or reserves freed resources for a job whose tasks could not all be placed, as
    /// its class allows.
    fn relieve_blocked_job(&mut self, env: &mut Env, pass: &mut Pass, entry: &QueueEntry, need: Resources) {
        let job = &self.jobs[&entry.job];
        let at_limit = self.quotas.usage(&job.spec.team).is_some_and(|usage| usage.headroom(need) == 0);
        if at_limit {
            if !pass.quota_waiters.contains_key(&job.spec.team) {
                pass.quota_waiters.insert(job.spec.team.clone(), entry.priority);
                self.preempt_for_quota(env, &entry.job, &pass.guaranteed);
            }
            return;
        }
        let preempts = match entry.class {
            Class::UrgentService => true,
            Class::Guaranteed => self.is_patience_over(env, job),
            Class::BeyondGuarantee => return,
        };
        if !preempts {
            self.reserve_freed_resources(env, &entry.job, usize::MAX);
        } else if pass.preemptions_left > 0 {
            pass.preemptions_left -= 1;
            self.preempt_for_job(env, &entry.job, &pass.guaranteed);
        }
    }

    /// Whether a job has waited long enough to preempt others. Preemption wastes the work of its victims, and
    /// finished tasks free resources all the time. So a job preempts only after it has waited for a
    /// configured share of the time that the objectives allow.
    fn is_patience_over(&self, env: &Env, job: &Job) -> bool {
        let allowed_wait = env
            .facts
            .objectives
            .iter()
            .find(|objective| objective.measure == "guarantee")
            .and_then(|objective| objective.time_limit);
        let patience = allowed_wait.unwrap_or(DEFAULT_PATIENCE).mul_f64(env.policy.preemption_delay_share);
        u128::from(env.now.wall_ms.saturating_sub(job.eligible_ms)) >= patience.as_millis()
    }
}
