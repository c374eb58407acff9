//! The demand for machines: waiting tasks, and tasks that will need a new machine, in groups of equal tasks.

use std::collections::{BTreeMap, BTreeSet};

use crate::env::Env;
use crate::jobs::Job;
use crate::quota::Resources;
use crate::term::Term;

use super::requirements::Requirements;

/// Waiting tasks that need the same resources and can use the same machines.
pub(super) struct TaskGroup {
    pub requirements: Requirements,
    /// Resources of one task.
    pub size: Resources,
    /// Number of tasks.
    pub tasks: u32,
}

impl TaskGroup {
    /// Returns the resources of this number of its tasks.
    pub fn resources_for(&self, tasks: u32) -> Resources {
        self.size.scaled(f64::from(tasks))
    }
}

/// Collects tasks into groups.
#[derive(Default)]
struct Groups {
    /// Numbers of tasks by requirements and size. Amounts are not negative, so their bits have their order.
    tasks: BTreeMap<(Requirements, [u64; 3]), u32>,
}

impl Groups {
    fn add(&mut self, requirements: Requirements, size: Resources, tasks: u32) {
        let size = [size.cpus, size.gpus, size.memory_gb].map(|amount| amount.max(0.0).to_bits());
        *self.tasks.entry((requirements, size)).or_default() += tasks;
    }

    /// Returns the groups, those with the fewest machines to choose from first, and larger tasks before smaller ones.
    fn into_sorted(self, env: &Env) -> Vec<TaskGroup> {
        let groups = self.tasks.into_iter().map(|((requirements, size), tasks)| {
            let [cpus, gpus, memory_gb] = size.map(f64::from_bits);
            let offers = requirements.count_offers(&env.machine_types);
            (offers, TaskGroup { requirements, size: Resources { cpus, gpus, memory_gb }, tasks })
        });
        let mut groups: Vec<(usize, TaskGroup)> = groups.collect();
        groups.sort_by(|(offers, group), (other_offers, other)| {
            let spot = |group: &TaskGroup| group.requirements.allows_spot();
            let larger_first = other.size.cpus.total_cmp(&group.size.cpus);
            offers.cmp(other_offers).then(spot(group).cmp(&spot(other))).then(larger_first)
        });
        groups.into_iter().map(|(_, group)| group).collect()
    }
}

impl Term {
    /// Returns the number of waiting tasks of a job that its team's limit would let start, and subtracts what they need
    /// from `remaining`, the resources that each team may still use.
    fn startable_tasks(&self, job: &Job, remaining: &mut BTreeMap<String, Resources>) -> u32 {
        let waiting = job.waiting_tasks();
        if waiting == 0 {
            return 0;
        }
        let team = remaining.entry(job.spec.team.clone()).or_insert_with(|| {
            self.quotas.usage(&job.spec.team).map_or(Resources::default(), |usage| usage.remaining())
        });
        let need = Resources { memory_gb: 0.0, ..Resources::of(&job.spec) };
        let tasks = waiting.min(team.fit_count(need));
        team.sub(need.scaled(f64::from(tasks)));
        tasks
    }

    /// Returns the waiting tasks that may start and the tasks that will have to start on another machine, of the tiers
    /// that `includes_tier` accepts. Earlier tiers use up their teams' quotas first.
    pub(super) fn demand(&self, env: &Env, includes_tier: impl Fn(usize) -> bool) -> Vec<TaskGroup> {
        let mut groups = Groups::default();
        let mut remaining = BTreeMap::new();
        let evacuating = self.is_evacuating();
        let tier = |job: &Job| if evacuating { self.tier_of(job) } else { 0 };
        let mut jobs: Vec<(usize, &Job)> = self.jobs.values().map(|job| (tier(job), job)).collect();
        if evacuating {
            jobs.sort_by_key(|(tier, _)| *tier);
        }
        for (_, job) in jobs.into_iter().filter(|(tier, _)| includes_tier(*tier)) {
            let tasks = self.startable_tasks(job, &mut remaining);
            if tasks > 0 {
                let zones = self.allowed_zones(job);
                let requirements = Requirements::of(&job.spec, zones, &env.machine_types);
                groups.add(requirements, Resources::of(&job.spec), tasks);
            }
        }
        // Tasks on partitioned machines will need other machines once the leases of these expire.
        for machine in self.machines.values().filter(|m| self.will_lose_tasks(m)) {
            for (name, _) in &machine.tasks {
                let job = &self.jobs[name];
                // A job that is limited to this zone waits until the zone returns.
                let may_move = job.spec.zone.as_ref() != Some(&machine.zone);
                if may_move && includes_tier(tier(job)) {
                    let requirements = Requirements::of(&job.spec, None, &env.machine_types);
                    groups.add(requirements, Resources::of(&job.spec), 1);
                }
            }
        }
        groups.into_sorted(env)
    }

    /// Returns the tiers of all jobs, earlier ones first.
    pub(super) fn tiers(&self) -> BTreeSet<usize> {
        self.jobs.values().map(|job| self.tier_of(job)).collect()
    }

    /// Returns the zones where a job's next task may be placed; `None` if all are allowed.
    pub fn allowed_zones(&self, job: &Job) -> Option<Vec<String>> {
        let zones = self.eligible_zones(job);
        match (&job.spec.zone, zones) {
            (Some(zone), None) => Some(vec![zone.clone()]),
            (Some(zone), Some(zones)) => Some(zones.into_iter().filter(|z| z == zone).collect()),
            (None, Some(zones)) => Some(zones.into_iter().collect()),
            (None, None) => None,
        }
    }
}
