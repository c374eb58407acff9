//! Placement of waiting tasks: the choice of a machine for each task of a job. The order in which jobs
//! are considered is in `pass`.

mod pass;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rushyoke_wire::job::{JobSpec, Kind, Priority};

use crate::env::Env;
use crate::fleet::Machine;
use crate::jobs::*;
use crate::quota::Resources;
use crate::term::Term;

/// Cost of an empty machine over a full one, in seconds, when work is packed onto few machines.
const EMPTY_MACHINE_COST_S: f64 = 2.0;
/// Difference in a machine's utilization, as a share, below which balanced placement treats two
/// machines as equally good.
const LEVEL_UTILIZATION_STEP: f64 = 0.05;
/// Number of machines considered for a service's replica, as a multiple of the usual sample.
const SERVICE_SAMPLE_FACTOR: usize = 8;

/// How the tasks of a job are distributed over machines.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Strategy {
    /// Places one task per ranking, because each placement changes the ranking.
    OneByOne,
    /// Fills each machine before the next, in the order of the ranking.
    Pack,
    /// Places one task per ranking on each machine whose cost exceeds the lowest by at most `within_s`
    /// seconds.
    Level { within_s: f64 },
}

/// Parameters for placing tasks of a job on machines that were ranked for it.
struct Round<'a> {
    job: &'a Name,
    /// Maximum number of tasks to place.
    limit: u32,
    /// Whether the job is beyond its team's guarantee.
    beyond_guarantee: bool,
    strategy: Strategy,
}

/// Whether a job's constraints on spot machines, machine types and zone allow the machine.
pub(crate) fn meets_constraints(spec: &JobSpec, machine: &Machine) -> bool {
    (!machine.spot || spec.spot)
        && spec.types.as_ref().is_none_or(|types| types.contains(&machine.type_name))
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
}

impl Term {
    /// Places up to `limit` tasks of a job and returns the number placed. `beyond_guarantee` tells
    /// whether the job is beyond its team's guarantee.
    fn place_job(&mut self, env: &mut Env, name: &Name, limit: u32, beyond_guarantee: bool) -> u32 {
        let mut placed = 0;
        while placed < limit {
            let job = &self.jobs[name];
            let strategy = self.strategy(job);
            let ranked = self.rank(env, job, Resources::of(&job.spec));
            let mut available_cpus = self.cpus_outside_reserve(env, job);
            let round = Round { job: name, limit: limit - placed, beyond_guarantee, strategy };
            let count = self.place_round(env.steady(), &round, ranked, &mut available_cpus);
            placed += count;
            // Only a sample of the machines was filled. While a zone is evacuated, the remaining tasks are placed
            // too, so that no later tier goes before them.
            if count == 0 || strategy == Strategy::Pack && !self.is_evacuating() {
                break;
            }
        }
        placed
    }

    /// Returns the strategy by which a job's tasks are placed.
    fn strategy(&self, job: &Job) -> Strategy {
        if job.spec.kind == Kind::Service || job.spec.spread || job.spec.one_zone {
            return Strategy::OneByOne;
        }
        match &self.balancer {
            Some(balancer) => {
                Strategy::Level { within_s: balancer.cost_model().contention_s(job.mean_run_s, LEVEL_UTILIZATION_STEP) }
            }
            None => Strategy::Pack,
        }
    }

    /// Places tasks on the ranked machines, and returns the number placed.
    fn place_round(&mut self, now: Instant, round: &Round, ranked: Vec<(f64, Name)>, available_cpus: &mut f64) -> u32 {
        let lowest_cost = ranked.first().map_or(0.0, |(cost, _)| *cost);
        let mut placed = 0;
        for (cost, machine) in ranked {
            let per_machine = match round.strategy {
                Strategy::Pack => u32::MAX,
                Strategy::OneByOne if placed > 0 => return placed,
                Strategy::Level { within_s } if cost > lowest_cost + within_s => return placed,
                Strategy::OneByOne | Strategy::Level { .. } => 1,
            };
            let mut on_machine = 0;
            while on_machine < per_machine
                && placed < round.limit
                && self.try_place_task(now, round, &machine, available_cpus)
            {
                on_machine += 1;
                placed += 1;
            }
        }
        placed
    }

    /// Returns the CPUs on on-demand machines that a job may take without using the reserve for services.
    fn cpus_outside_reserve(&self, env: &Env, job: &Job) -> f64 {
        if job.spec.priority == Priority::Production {
            return f64::INFINITY;
        }
        self.free_on_demand_cpus(env.steady()) - self.renting.service_reserve(env)
    }

    /// Returns the number of free CPUs on on-demand machines that accept tasks.
    pub fn free_on_demand_cpus(&self, now: Instant) -> f64 {
        let on_demand = self.machines.values().filter(|m| !m.spot && m.is_schedulable(now));
        on_demand.map(|m| m.total.cpus - m.used.cpus).sum()
    }

    /// Places one more task of the job on the machine if the team's limit and the free resources allow.
    fn try_place_task(&mut self, now: Instant, round: &Round, machine: &Name, available_cpus: &mut f64) -> bool {
        let name = round.job;
        let job = &self.jobs[name];
        let need = Resources::of(&job.spec);
        let Some(task) = job.next_ready_task(now) else { return false };
        let target = &self.machines[machine];
        let needs_service_reserve = !target.spot && *available_cpus < need.cpus;
        let admitted = self.zone_admits(target, need);
        if needs_service_reserve
            || !admitted
            || self.is_at_team_limit(&job.spec.team, need)
            || !self.available_resources(target, name).can_fit(need)
        {
            return false;
        }
        let on_demand = !target.spot;
        if round.beyond_guarantee && !self.is_evacuating() && !self.may_exceed_guarantee(now, name) {
            return false;
        }
        if on_demand {
            *available_cpus -= need.cpus;
        }
        self.place_task(name, task, machine, now);
        true
    }

    /// Places a waiting task on a machine. Its start is ordered once the placement is durable.
    pub fn place_task(&mut self, name: &Name, task: u32, machine: &Name, now: Instant) {
        let attempt = self.next_attempt();
        let job = self.jobs.get_mut(name).expect("chosen");
        job.dequeue(task);
        job.last_placed = Some(now);
        job.starvation_credit = job.starvation_credit.saturating_sub(1);
        let placement = Placement {
            machine: machine.clone(),
            attempt,
            stage: Stage::Planned,
            placed_at: now,
            running_since: None,
            stop: None,
            start: StartState::Unsent,
        };
        job.placements.insert(task, placement);
        self.quotas.add(&job.spec);
        let target = self.machines.get_mut(machine).expect("chosen");
        target.add_task((name.clone(), task), &job.spec);
        if let Some(reservation) = &mut target.reservation
            && reservation.job == *name
        {
            reservation.resources.sub(Resources::of(&job.spec));
            if reservation.resources.is_zero() {
                target.reservation = None;
            }
        }
        tracing::debug!(job = &**name, task, machine = &**machine, attempt, "placed");
        self.note_placement_started(now, &(name.clone(), task), machine);
        self.note_placed_in_zone(now, &(name.clone(), task), machine);
        let priority = crate::records::state::WritePriority::of(&self.jobs[name].spec);
        self.records.mark_changed((name.clone(), task), Some(priority));
    }

    /// Returns the zones in which one more task of the job may be placed, or `None` if any zone will do.
    pub fn eligible_zones(&self, job: &Job) -> Option<BTreeSet<String>> {
        if !job.spec.one_zone && !job.spec.spread {
            return None;
        }
        let mut counts: BTreeMap<String, u32> = self.zones.iter().map(|zone| (zone.clone(), 0)).collect();
        let mut in_unknown_zone = 0;
        for placement in job.placements.values() {
            match self.machines.get(&placement.machine).and_then(|m| counts.get_mut(&m.zone)) {
                Some(count) => *count += 1,
                // The zone of a machine that is known only from a record is unknown.
                _ => in_unknown_zone += 1,
            }
        }
        if job.spec.one_zone {
            if in_unknown_zone > 0 {
                return Some(BTreeSet::new());
            }
            let used: BTreeSet<String> =
                counts.iter().filter(|(_, count)| **count > 0).map(|(zone, _)| zone.clone()).collect();
            if !used.is_empty() {
                return Some(used);
            }
            let need = Resources::of(&job.spec);
            // A closed zone is chosen only if every zone is closed.
            let open_and_capacity = |zone: &String| -> (bool, u32) {
                let in_zone = self.machines.values().filter(|m| m.zone == *zone && meets_constraints(&job.spec, m));
                let task_capacity = in_zone.map(|m| m.total.minus(m.used).fit_count(need)).sum();
                (!self.zone_is_closed(zone), task_capacity)
            };
            return counts.into_keys().max_by_key(|zone| open_and_capacity(zone)).map(|zone| BTreeSet::from([zone]));
        }
        let max_per_zone = job.spec.tasks.div_ceil(2);
        Some(
            counts
                .into_iter()
                .filter(|(_, count)| count + in_unknown_zone < max_per_zone)
                .map(|(zone, _)| zone)
                .collect(),
        )
    }

    /// Returns the machines that could take one more task of a job with their costs, the cheapest first.
    fn rank(&self, env: &mut Env, job: &Job, need: Resources) -> Vec<(f64, Name)> {
        let now = env.steady();
        let zones = self.eligible_zones(job);
        let mut fitting: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.is_schedulable(now) && meets_constraints(&job.spec, m))
            .filter(|m| zones.as_ref().is_none_or(|zones| zones.contains(&m.zone)))
            .filter(|m| self.available_resources(m, &job.id).can_fit(need) && self.zone_admits(m, need))
            .filter(|m| !job.avoids(&m.name))
            .collect();
        // A random sample bounds the work per task. It is larger for services: they are few, and a machine that
        // has their image saves most of their start time.
        let sample =
            env.policy.placement_sample * if job.spec.kind == Kind::Service { SERVICE_SAMPLE_FACTOR } else { 1 };
        if fitting.len() > sample {
            fitting = fitting.into_iter().sample(&mut env.rng, sample);
        }
        let mut ranked: Vec<(f64, &Machine)> = fitting.into_iter().map(|m| (self.cost(env, job, m), m)).collect();
        ranked.sort_by(|(cost, machine), (other_cost, other)| {
            cost.total_cmp(other_cost).then_with(|| machine.name.cmp(&other.name))
        });
        ranked.into_iter().map(|(cost, m)| (cost, m.name.clone())).collect()
    }

    /// Returns the cost of placing a task of the job on a machine, in seconds.
    fn cost(&self, env: &Env, job: &Job, machine: &Machine) -> f64 {
        let utilization = self.utilization_cost_s(job, machine);
        // Services share few machines, so that the others can be released. The replicas of one service are kept
        // apart, so that the loss of a machine costs only one of them.
        let (no_services, same_service) = if job.spec.kind == Kind::Service {
            let key = |task| (job.id.clone(), task);
            let replicas = machine.tasks.range(key(0)..=key(u32::MAX)).count();
            (if machine.hosts_service() { 0.0 } else { 4.0 }, replicas as f64 * 1.5)
        } else {
            (0.0, 0.0)
        };
        let retiring = if machine.retiring { 40.0 } else { 0.0 };
        let on_demand = if job.spec.spot && !machine.spot { 3.0 } else { 0.0 };
        let failed_before = if job.failed_on.contains(&machine.name) { 60.0 } else { 0.0 };
        let straggler = if machine.straggler { 30.0 } else { 0.0 };
        let probation = self.probation_penalty_s(env.steady(), job, machine);
        self.image_fetch_s(env, job, machine)
            + utilization
            + no_services
            + same_service
            + retiring
            + on_demand
            + failed_before
            + straggler
            + probation
    }

    /// Returns the cost of a machine's utilization, in seconds. With rebalancing enabled, an array task is
    /// expected to run longer on a busier machine. Otherwise fuller machines are preferred, so that the
    /// others can be released.
    fn utilization_cost_s(&self, job: &Job, machine: &Machine) -> f64 {
        let free_share = (machine.total.cpus - machine.used.cpus) / machine.total.cpus.max(1.0);
        match &self.balancer {
            Some(balancer) if job.spec.kind == Kind::Array => {
                let task_share = Resources::of(&job.spec).dominant_share(machine.total);
                let utilization = balancer.load().utilization(&machine.name).unwrap_or(1.0 - free_share);
                balancer.cost_model().contention_s(job.mean_run_s, utilization + task_share)
            }
            _ => EMPTY_MACHINE_COST_S * free_share,
        }
    }

    /// Returns the expected time until the job's image is on the machine. Images that are fetched at the
    /// same time may share the bandwidth.
    pub fn image_fetch_s(&self, env: &Env, job: &Job, machine: &Machine) -> f64 {
        if machine.images.contains(&job.spec.image) {
            return 0.0;
        }
        let rate =
            env.machine_type(&machine.type_name).map_or(1.0, |machine_type| machine_type.fetch_gb_per_s.max(0.01));
        let alone_s = job.spec.image_gb / rate;
        let mut fetching: BTreeSet<&str> = BTreeSet::new();
        for (name, task) in &machine.tasks {
            let Some(owner) = self.jobs.get(name) else { continue };
            let not_running = owner.placements.get(task).is_some_and(|placement| placement.running_since.is_none());
            if not_running && !machine.images.contains(&owner.spec.image) {
                fetching.insert(&owner.spec.image);
            }
        }
        if fetching.contains(job.spec.image.as_str()) { alone_s * 0.6 } else { alone_s * (1.0 + fetching.len() as f64) }
    }

    /// Returns the resources of a machine that are neither used nor booked by an open move.
    pub fn free_resources(&self, machine: &Machine) -> Resources {
        let free = machine.total.minus(machine.used);
        match &self.balancer {
            Some(balancer) => free.minus(balancer.load().booked(&machine.name)),
            None => free,
        }
    }

    /// Returns the resources of a machine that are available to a job: the free resources without those
    /// that are reserved for another job, unless this job precedes that one in an evacuation.
    pub fn available_resources(&self, machine: &Machine, job: &Name) -> Resources {
        let mut available = self.free_resources(machine);
        if let Some(reservation) = &machine.reservation
            && reservation.job != *job
            && !self.precedes_in_evacuation(job, &reservation.job)
        {
            available.sub(reservation.resources);
        }
        available
    }
}

/// How long the resources of stopped tasks stay reserved for the job or task that they were stopped for.
pub(crate) const PREEMPTION_RESERVATION_DURATION: Duration = Duration::from_secs(12);
