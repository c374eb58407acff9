//! Speculative restarts as in the eSplash paper: levels of machines, run time statistics per level and
//! task type, stragglers, and at most one restart per period. Each job is a task type, as in the paper.
//!
//! The computations that don't depend on the leader's state are in `statistics`.

pub mod statistics;

pub use statistics::*;

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use rushyoke_wire::job::Kind;

use crate::env::Env;
use crate::fleet::{Machine, Reservation};
use crate::jobs::{Job, Name, Stage, TaskKey};
use crate::place::meets_constraints;
use crate::quota::Resources;
use crate::term::Term;

/// Number of finished tasks of a type that a machine needs before their mean counts for its performance.
const MIN_RUNS_PER_TYPE: u32 = 3;
/// How long a machine stays marked as a straggler after its straggler value last exceeded the threshold.
const STRAGGLER_MARK_DURATION: Duration = Duration::from_secs(30);

/// A task that may be restarted on another machine.
struct RestartCandidate {
    key: TaskKey,
    /// Lowest level of the machines on which the task may be restarted.
    minimum_level: usize,
    /// Expected run time at or above that level, in seconds.
    expected_s: f64,
    /// Expected gain of the restart, in seconds.
    gain_s: f64,
    target: Name,
}

impl Term {
    /// Once per period, updates the levels and stragglers and restarts at most one task.
    pub fn speculation_tick(&mut self, env: &mut Env) {
        let now = env.steady();
        let policy = env.policy.clone();
        if !policy.speculation
            || self.speculation.last_tick.is_some_and(|t| now.duration_since(t) < policy.speculation_period)
        {
            return;
        }
        self.speculation.last_tick = Some(now);
        let levels = self.update_levels(env);
        let mut cells: HashMap<Name, Vec<Option<Cell>>> = HashMap::new();
        for job in self.speculation.finished.keys() {
            cells.insert(job.clone(), self.speculation.cells(job, levels, policy.min_cell_tasks));
        }
        self.mark_stragglers(now, &cells, policy.straggler_threshold);
        let candidates = self.candidates(env, &cells, levels);
        let best = candidates.into_iter().max_by(|a, b| a.gain_s.total_cmp(&b.gain_s));
        let Some(best) = best else { return };
        tracing::info!(
            job = &*best.key.0,
            task = best.key.1,
            minimum_level = best.minimum_level,
            expected_s = best.expected_s,
            gain_s = best.gain_s,
            target = &*best.target,
            "restarting a task of a straggling machine"
        );
        let job = self.jobs.get_mut(&best.key.0).expect("a candidate");
        job.restarted.insert(best.key.1);
        let need = Resources::of(&job.spec);
        let grace = if job.spec.checkpoint_interval_s > 0.0 { job.spec.save_s } else { 0.0 };
        let target = self.machines.get_mut(&best.target).expect("a candidate");
        let until = now + crate::place::PREEMPTION_RESERVATION_DURATION;
        target.reservation = Some(Reservation { job: best.key.0.clone(), resources: need, until, by_preemption: true });
        self.stop_task(env, &best.key.0, best.key.1, grace);
    }

    /// Recomputes the machines' levels from their finished tasks, and returns the number of levels.
    fn update_levels(&mut self, env: &mut Env) -> usize {
        let mut performances: BTreeMap<Name, Performance> = BTreeMap::new();
        for (job, machines) in &self.speculation.finished {
            for (machine, stats) in machines.iter().filter(|(_, stats)| stats.count >= MIN_RUNS_PER_TYPE) {
                performances.entry(machine.clone()).or_default().insert(job.clone(), stats.mean());
            }
        }
        let names: Vec<Name> = performances.keys().cloned().collect();
        let points: Vec<Performance> = performances.into_values().collect();
        let machine_levels = levels(&points, env.policy.max_levels, &mut env.rng);
        let count = machine_levels.iter().max().map_or(1, |level| level + 1);
        self.speculation.levels = names.into_iter().zip(machine_levels).collect();
        for machine in self.machines.values_mut() {
            machine.level = self.speculation.levels.get(&machine.name).copied().unwrap_or(0);
        }
        count
    }

    /// Marks the machines whose straggler value exceeds the threshold per running task.
    fn mark_stragglers(&mut self, now: Instant, cells: &HashMap<Name, Vec<Option<Cell>>>, threshold: f64) {
        for machine in self.machines.values_mut() {
            let mut running = 0;
            let mut elapsed_with_cell = Vec::new();
            for key in &machine.tasks {
                let placement = &self.jobs[&key.0].placements[&key.1];
                let (Stage::Running, Some(since)) = (placement.stage, placement.running_since) else {
                    continue;
                };
                running += 1;
                if let Some(cell) = cells.get(&key.0).and_then(|levels| levels[machine.level]) {
                    elapsed_with_cell.push((now.duration_since(since).as_secs_f64(), cell));
                }
            }
            let value = straggler_value(&elapsed_with_cell);
            let straggler = running > 0 && value > threshold * f64::from(running);
            if straggler {
                machine.last_straggling_at = Some(now);
            }
            // The mark is kept for a while. Slow runs lower the machine's level, and at the lower level the machine
            // would soon count as normal.
            let straggler = machine.last_straggling_at.is_some_and(|t| now.duration_since(t) < STRAGGLER_MARK_DURATION);
            if straggler != machine.straggler {
                tracing::info!(
                    machine = &*machine.name,
                    level = machine.level,
                    value,
                    running,
                    straggler,
                    "straggler mark changed"
                );
            } else if value > 0.0 {
                tracing::debug!(
                    machine = &*machine.name,
                    level = machine.level,
                    value,
                    running,
                    straggler,
                    "straggler value"
                );
            }
            machine.straggler = straggler || machine.was_drained_for(|drain| drain.straggling);
        }
    }

    /// Returns the tasks on stragglers whose restart is expected to save time.
    fn candidates(&self, env: &Env, cells: &HashMap<Name, Vec<Option<Cell>>>, levels: usize) -> Vec<RestartCandidate> {
        let now = env.steady();
        let mut candidates = Vec::new();
        for machine in self.machines.values().filter(|m| m.straggler) {
            for key in &machine.tasks {
                let job = &self.jobs[&key.0];
                let placement = &job.placements[&key.1];
                let (Stage::Running, Some(since)) = (placement.stage, placement.running_since) else {
                    continue;
                };
                if job.spec.kind != Kind::Array || placement.stop.is_some() || job.restarted.contains(&key.1) {
                    continue;
                }
                let Some(job_cells) = cells.get(&key.0) else {
                    continue;
                };
                let Some(own_cell) = job_cells[machine.level] else {
                    continue;
                };
                let table = self.level_table(job, job_cells, levels);
                let Some((minimum, expected_s)) = minimum_level(machine.level, &table) else {
                    continue;
                };
                let elapsed = now.duration_since(since).as_secs_f64();
                let gain_s = expected_gain_s(minimum, remaining_s(own_cell.mean_s, elapsed), &table);
                tracing::debug!(
                    job = &*key.0,
                    task = key.1,
                    level = machine.level,
                    minimum,
                    expected_s,
                    gain = gain_s,
                    "restart candidate"
                );
                if gain_s <= 0.0 {
                    continue;
                }
                if let Some(target) = self.restart_target(now, job, minimum, &machine.name) {
                    candidates.push(RestartCandidate {
                        key: key.clone(),
                        minimum_level: minimum,
                        expected_s,
                        gain_s,
                        target,
                    });
                }
            }
        }
        candidates
    }

    /// Returns, for each level, the mean run time of the job's tasks, and the number of its tasks that fit
    /// on the level's machines ("containers" in the paper).
    fn level_table(&self, job: &Job, cells: &[Option<Cell>], levels: usize) -> Vec<(Option<f64>, f64)> {
        let need = Resources::of(&job.spec);
        let mut table: Vec<(Option<f64>, f64)> =
            (0..levels).map(|level| (cells[level].map(|cell| cell.mean_s), 0.0)).collect();
        for machine in
            self.machines.values().filter(|m| m.up && m.counts_as_capacity() && meets_constraints(&job.spec, m))
        {
            table[machine.level.min(levels - 1)].1 += f64::from(machine.total.fit_count(need));
        }
        table
    }

    /// Returns the best machine for a restarted task: not a straggler, at or above the minimum level, and with
    /// enough available resources.
    fn restart_target(&self, now: Instant, job: &Job, minimum: usize, from: &Name) -> Option<Name> {
        let need = Resources::of(&job.spec);
        let zones = self.eligible_zones(job);
        let fits = |m: &&Machine| {
            m.name != *from
                && !m.straggler
                && m.level >= minimum
                && m.reservation.is_none()
                && m.is_schedulable(now)
                && m.in_open_zone()
                && meets_constraints(&job.spec, m)
                && zones.as_ref().is_none_or(|zones| zones.contains(&m.zone))
                && self.available_resources(m, &job.id).can_fit(need)
        };
        let best = self.machines.values().filter(fits).max_by(|a, b| {
            a.images.contains(&job.spec.image).cmp(&b.images.contains(&job.spec.image)).then(a.level.cmp(&b.level))
        });
        best.map(|m| m.name.clone())
    }
}
