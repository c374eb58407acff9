//! A pass over the jobs that wait: their order, and what each turn does.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rushyoke_wire::job::{Kind, Priority};

use crate::env::Env;
use crate::jobs::*;
use crate::quota::Resources;
use crate::term::Term;

/// Tasks placed in one pass, or one for each machine if these are more; the rest comes with
/// the next.
const PASS_TASKS: u32 = 256;
/// Jobs looked at in one pass that find no machine.
const PASS_MISSES: u32 = 64;
/// Jobs in one pass for which others are stopped: that weighs many machines' tasks.
const PASS_STOPS: u32 = 4;

/// A job that starves gets its tasks in so many slices.
const SLICES: u32 = 4;
/// Machines on which room that comes free is kept for it at a time.
const STARVED_MACHINES: usize = 16;
/// What a job within its guarantee may wait if the users do not say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(5);

/// Jobs by what they may ask of others; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// Services of the highest priority never wait behind others.
    UrgentService,
    /// Within their team's guarantee, or starving: of these the ones that starve go first.
    Guaranteed,
    /// Beyond their team's guarantee.
    Beyond,
}

/// A job's place in the queue; the smaller goes first.
struct Turn {
    job: Name,
    /// While a zone is evacuated; else all are of one.
    tier: usize,
    class: Class,
    starved: bool,
    priority: Priority,
    /// Beyond its guarantee, and its team has more than its fair share of the fleet.
    over_share: bool,
    /// Whether no aim of its class can be met any more.
    hopeless: bool,
    /// CPU seconds that have no place yet. What runs ends without more room, so a job that
    /// lacks a task or two goes before one that has just come.
    work: f64,
}

impl Turn {
    fn order(&self, other: &Turn) -> Ordering {
        self.tier
            .cmp(&other.tier)
            .then(self.class.cmp(&other.class))
            .then(other.starved.cmp(&self.starved))
            .then(other.priority.cmp(&self.priority))
            .then(self.over_share.cmp(&other.over_share))
            .then(self.hopeless.cmp(&other.hopeless))
            .then(self.work.total_cmp(&other.work))
            .then_with(|| self.job.cmp(&other.job))
    }
}

/// What a pass has left to give, and what it has learnt.
struct Pass {
    /// The jobs within their team's guarantee.
    within: BTreeSet<Name>,
    /// Tasks that may still be placed, jobs that found no machine, and jobs for which others may still
    /// be stopped.
    left: u32,
    misses: u32,
    stops: u32,
    /// The most room on any machine, for work that may use spot machines and for all.
    most: [Resources; 2],
    /// Teams at their limit, and the priority of the job that waits for it: what comes free goes to
    /// that job and not to a lesser one of the same pass.
    held: BTreeMap<String, Priority>,
}

impl Pass {
    /// Whether a job of more weight waits for the team's limit.
    fn is_held(&self, team: &str, priority: Priority) -> bool {
        self.held.get(team).is_some_and(|waiting| *waiting > priority)
    }
}

/// Whether the job is too late for every aim that the users set for its class. Among
/// the others the one with the least left to do goes first: when more is asked than can
/// be done, so the most jobs are in time. A deadline counts from the submission, aims from when the
/// last job that it awaits was done.
fn hopeless(env: &Env, job: &Job) -> bool {
    if job.spec.kind == Kind::Service {
        return false;
    }
    let since = |ms: u64| env.now.wall_ms as f64 / 1000.0 - ms as f64 / 1000.0;
    let end = since(job.eligible_ms) + job.mean_run_s;
    let aims = env.facts.objectives.iter().filter(|o| o.kind == "finished");
    let aims = aims.filter(|o| o.class.as_ref() == Some(&job.spec.class)).filter_map(|o| o.time_limit);
    let left = aims.map(|within| within.as_secs_f64() - end);
    let left = left.chain(job.effective_deadline_ms.map(|due| -since(due) - job.mean_run_s)).reduce(f64::max);
    left.is_some_and(|left| left < 0.0)
}

/// Whether a job starves: none of its tasks was placed for so long, while others are. With
/// more work than room the order of the queue alone would leave large jobs, and those too
/// late for every aim, waiting for ever. `age` is the time since its submission.
fn starves(env: &Env, job: &Job, age: Duration) -> bool {
    let waited = match job.last_placed {
        Some(at) => env.steady().duration_since(at),
        None => age,
    };
    // The later slices come sooner, so that the last of its tasks starts in time too.
    waited >= if job.was_starved { env.policy.starvation_timeout / 2 } else { env.policy.starvation_timeout }
}

impl Term {
    /// Gives each job that starves a slice of its tasks, to be placed before all but services.
    fn mark_starving(&mut self, env: &Env) {
        for job in self.jobs.values_mut().filter(|job| job.starvation_credit == 0 && job.waiting_tasks() > 0) {
            let age = Duration::from_millis(env.now.wall_ms.saturating_sub(job.eligible_ms));
            if starves(env, job, age) {
                tracing::debug!(job = &*job.id, waiting = job.waiting_tasks(), "starves; served out of turn");
                job.starvation_credit = job.spec.tasks.div_ceil(SLICES).min(job.waiting_tasks());
                job.was_starved = true;
            }
        }
    }

    /// The jobs within their team's guarantee.
    pub fn jobs_within_guarantee(&self) -> BTreeSet<Name> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| !job.cancelled && !job.is_blocked()).collect();
        jobs.sort_by(|a, b| a.eligible_ms.cmp(&b.eligible_ms).then_with(|| a.id.cmp(&b.id)));
        self.quotas.jobs_within_guarantee(jobs.into_iter()).into_iter().collect()
    }

    /// Starts what can start. Places are planned here and ordered once they are durable.
    pub fn place_pass(&mut self, env: &mut Env) {
        let now = env.steady();
        if self.jobs.values().all(|job| job.next_ready_task(now).is_none()) {
            return;
        }
        self.mark_starving(env);
        let within = self.jobs_within_guarantee();
        if self.failover.is_some() {
            self.jobs_within_quota = Arc::new(within.clone());
        }
        let turns = self.turns(env, &within);
        let mut pass = Pass {
            within,
            left: PASS_TASKS.max(self.machines.len() as u32),
            misses: 0,
            stops: PASS_STOPS,
            most: self.most_room(now),
            held: BTreeMap::new(),
        };
        for turn in turns {
            let job = &self.jobs[&turn.job];
            if pass.is_held(&job.spec.team, turn.priority) || self.is_bound_to_closed_zones(now, job) {
                continue;
            }
            if pass.left == 0 || pass.misses > PASS_MISSES {
                self.scheduling_due = true;
                break;
            }
            self.serve(env, &mut pass, &turn);
        }
    }

    /// The jobs with tasks that may start, in their order.
    fn turns(&self, env: &Env, within: &BTreeSet<Name>) -> Vec<Turn> {
        let now = env.steady();
        let waiting = self.jobs.values().filter(|job| job.next_ready_task(now).is_some());
        let mut turns: Vec<Turn> = waiting.map(|job| self.turn_of(env, job, within.contains(&job.id))).collect();
        turns.sort_by(Turn::order);
        turns
    }

    fn turn_of(&self, env: &Env, job: &Job, inside: bool) -> Turn {
        let class = match (job.spec.kind, job.spec.priority) {
            (Kind::Service, Priority::Production) => Class::UrgentService,
            _ if inside => Class::Guaranteed,
            _ => Class::Beyond,
        };
        Turn {
            job: job.id.clone(),
            tier: if self.is_evacuating() { self.tier_of(job) } else { 0 },
            class: if job.starvation_credit > 0 { class.min(Class::Guaranteed) } else { class },
            starved: job.starvation_credit > 0,
            priority: job.effective_priority,
            over_share: class == Class::Beyond && self.exceeds_fair_share(&job.spec.team),
            hopeless: hopeless(env, job),
            work: f64::from(job.waiting_tasks()) * job.spec.cpus * job.mean_run_s,
        }
    }

    /// The most room on any machine, for work that may use spot machines and for all: it only shrinks
    /// within a pass, and most jobs that wait in a full fleet need more.
    fn most_room(&self, now: Instant) -> [Resources; 2] {
        let mut most = [Resources::default(); 2];
        for machine in self.machines.values().filter(|m| m.is_schedulable(now)) {
            let free = machine.total.minus(machine.used);
            let kinds = if machine.spot { &mut most[..1] } else { &mut most[..] };
            kinds.iter_mut().for_each(|room| room.expand_to(free));
        }
        most
    }

    /// A job's turn: places its tasks, and sees to those that find no room.
    fn serve(&mut self, env: &mut Env, pass: &mut Pass, turn: &Turn) {
        let spec = &self.jobs[&turn.job].spec;
        let need = Resources::of(spec);
        let limited = self.is_at_team_limit(&spec.team, need);
        if !limited && pass.most[usize::from(!spec.spot)].can_fit(need) {
            let share = if turn.starved { pass.left.min(self.jobs[&turn.job].starvation_credit) } else { pass.left };
            let borrows = turn.class == Class::Beyond && !turn.starved;
            pass.left -= self.place_job(env, &turn.job, share, borrows);
        }
        if turn.starved {
            self.keep_for_starved(env, pass, turn, limited);
        } else if self.jobs[&turn.job].next_ready_task(env.steady()).is_some() {
            pass.misses += 1;
            self.make_way(env, pass, turn, need);
        }
    }

    /// Whether the team's limit lets no task of this size start.
    pub fn is_at_team_limit(&self, team: &str, need: Resources) -> bool {
        self.quotas.usage(team).is_none_or(|usage| usage.headroom(need) == 0)
    }

    /// What comes free is kept for a job that starves, or smaller tasks would take it all.
    fn keep_for_starved(&mut self, env: &mut Env, pass: &mut Pass, turn: &Turn, limited: bool) {
        let job = &self.jobs[&turn.job];
        if job.starvation_credit == 0 {
            return;
        }
        if limited {
            pass.held.insert(job.spec.team.clone(), Priority::Production);
        } else {
            self.reserve_freed_resources(env, &turn.job, (job.starvation_credit as usize).min(STARVED_MACHINES));
        }
    }

    /// Tasks of the job found no room: others are stopped, or what comes free is kept, as far as its
    /// class allows.
    fn make_way(&mut self, env: &mut Env, pass: &mut Pass, turn: &Turn, need: Resources) {
        let job = &self.jobs[&turn.job];
        let at_limit = self.quotas.usage(&job.spec.team).is_some_and(|usage| usage.headroom(need) == 0);
        if at_limit {
            if !pass.held.contains_key(&job.spec.team) {
                pass.held.insert(job.spec.team.clone(), turn.priority);
                self.preempt_for_quota(env, &turn.job, &pass.within);
            }
            return;
        }
        let stops_others = match turn.class {
            Class::UrgentService => true,
            Class::Guaranteed => self.patience_over(env, job),
            Class::Beyond => return,
        };
        if !stops_others {
            self.reserve_freed_resources(env, &turn.job, usize::MAX);
        } else if pass.stops > 0 {
            pass.stops -= 1;
            self.preempt_for_job(env, &turn.job, &pass.within);
        }
    }

    /// Work that ends by itself frees room all the time, and a task that is stopped has
    /// run in vain: others are stopped only for a job that has waited for a good part of
    /// what the users allow.
    fn patience_over(&self, env: &Env, job: &Job) -> bool {
        let allowed = env.facts.objectives.iter().find(|o| o.kind == "guarantee").and_then(|o| o.time_limit);
        let patience = allowed.unwrap_or(DEFAULT_PATIENCE).mul_f64(env.policy.preemption_delay_share);
        u128::from(env.now.wall_ms.saturating_sub(job.eligible_ms)) >= patience.as_millis()
    }
}
