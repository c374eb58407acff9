//! The computations of the eSplash paper as pure functions, which can be checked with worked examples: levels,
//! cells, straggler values and the gain of a restart. Also holds the run time statistics of a term.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::jobs::Name;

/// Count, sum and sum of squares of the run times of finished tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTimeStats {
    /// Number of run times added.
    pub count: u32,
    sum_s: f64,
    sum_of_squares: f64,
}

impl RunTimeStats {
    /// Adds a run time.
    pub fn add(&mut self, run_s: f64) {
        self.count += 1;
        self.sum_s += run_s;
        self.sum_of_squares += run_s * run_s;
    }

    /// Adds all run times of another instance.
    pub fn merge(&mut self, other: &RunTimeStats) {
        self.count += other.count;
        self.sum_s += other.sum_s;
        self.sum_of_squares += other.sum_of_squares;
    }

    /// Returns the mean run time.
    pub fn mean(&self) -> f64 {
        self.sum_s / f64::from(self.count.max(1))
    }

    /// Returns the variance of the run times.
    pub fn variance(&self) -> f64 {
        let mean = self.mean();
        (self.sum_of_squares / f64::from(self.count.max(1)) - mean * mean).max(0.0)
    }

    /// Returns the cell (μ, δ) if it has at least `minimum` run times and these are not all equal.
    pub fn cell(&self, minimum: u32) -> Option<Cell> {
        let cell = Cell { mean_s: self.mean(), std_dev_s: self.variance().sqrt() };
        (self.count >= minimum && cell.std_dev_s > 1e-9).then_some(cell)
    }
}

/// A usable cell of the statistics table: the run times of a task type at one level.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Mean run time, in seconds.
    pub mean_s: f64,
    /// Standard deviation of the run time (δ), in seconds. The paper uses the variance, in seconds squared,
    /// with which a task of 40 s would wait for hundreds of seconds before it counts as late.
    pub std_dev_s: f64,
}

/// A machine's mean run time per task type. Task types are the dimensions of the machine's point.
pub type Performance = BTreeMap<Name, f64>;

/// Whether each of two groups is slower than the other in some dimension, so that neither dominates.
fn neither_dominates(a: &Bounds, b: &Bounds) -> bool {
    let shared = || a.iter().filter_map(|(dim, x)| b.get(dim).map(|y| (x, y)));
    shared().any(|(x, y)| x.0 > y.1) && shared().any(|(x, y)| y.0 > x.1)
}

/// Whether two groups overlap in some dimension.
fn overlaps(a: &Bounds, b: &Bounds) -> bool {
    a.iter().any(|(dim, x)| b.get(dim).is_some_and(|y| x.0 <= y.1 && y.0 <= x.1))
}

/// Lowest and highest mean run time of a group in each dimension.
type Bounds = BTreeMap<Name, (f64, f64)>;

/// Extends bounds to include others.
fn extend_bounds(bounds: &mut Bounds, others: &Bounds) {
    for (dim, (low, high)) in others {
        let entry = bounds.entry(dim.clone()).or_insert((*low, *high));
        *entry = (entry.0.min(*low), entry.1.max(*high));
    }
}

/// Algorithm 1: merges machines that don't dominate one another into groups. Returns the indices of each
/// group's points.
pub fn groups(points: &[Performance]) -> Vec<Vec<usize>> {
    let bounds_of =
        |point: &Performance| point.iter().map(|(dim, mean)| (dim.clone(), (*mean, *mean))).collect::<Bounds>();
    let mut groups: Vec<(Vec<usize>, Bounds)> =
        points.iter().enumerate().map(|(i, p)| (vec![i], bounds_of(p))).collect();
    let mut i = 0;
    while i < groups.len() {
        let found = (i + 1..groups.len()).find(|j| neither_dominates(&groups[i].1, &groups[*j].1));
        let Some(j) = found else {
            i += 1;
            continue;
        };
        let (members, bounds) = groups.swap_remove(j);
        groups[i].0.extend(members);
        extend_bounds(&mut groups[i].1, &bounds);
        while let Some(j) = (0..groups.len()).find(|j| *j != i && overlaps(&groups[i].1, &groups[*j].1)) {
            let (members, bounds) = groups.swap_remove(j);
            if i == groups.len() {
                i = j;
            }
            groups[i].0.extend(members);
            extend_bounds(&mut groups[i].1, &bounds);
        }
        i = 0;
    }
    groups.into_iter().map(|(members, _)| members).collect()
}

/// Returns the mean squared difference over the dimensions that both points have.
fn distance(a: &Performance, b: &Performance) -> f64 {
    let shared: Vec<f64> = a.iter().filter_map(|(dim, x)| b.get(dim).map(|y| (x - y) * (x - y))).collect();
    if shared.is_empty() { f64::INFINITY } else { shared.iter().sum::<f64>() / shared.len() as f64 }
}

/// Returns the mean of the member points in each dimension.
fn center(points: &[Performance], members: &[usize]) -> Performance {
    let mut sums: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
    for (dim, mean) in members.iter().flat_map(|i| points[*i].iter()) {
        let sum = sums.entry(dim.clone()).or_default();
        *sum = (sum.0 + mean, sum.1 + 1.0);
    }
    sums.into_iter().map(|(dim, (sum, count))| (dim, sum / count)).collect()
}

/// Algorithm 2: k-means clustering in which a group is assigned as a whole, by a vote of its members.
/// Returns each point's level. Levels start at 0; a higher level is faster.
pub fn levels(points: &[Performance], k: usize, rng: &mut StdRng) -> Vec<usize> {
    let groups = groups(points);
    let k = k.min(groups.len());
    if k <= 1 {
        return vec![0; points.len()];
    }
    let indices: Vec<usize> = (0..points.len()).collect();
    let mut centers: Vec<Performance> = indices.sample(rng, k).map(|i| points[*i].clone()).collect();
    let mut assigned = vec![usize::MAX; groups.len()];
    // The assignment usually converges in a few rounds. The bound stops ties that alternate forever.
    for _ in 0..50 {
        let mut changed = false;
        for (group, members) in groups.iter().enumerate() {
            let mut votes = vec![0u32; k];
            for i in members {
                let nearest = (0..k)
                    .min_by(|a, b| distance(&points[*i], &centers[*a]).total_cmp(&distance(&points[*i], &centers[*b])));
                votes[nearest.expect("k is above 1")] += 1;
            }
            let winner = (0..k).rev().max_by_key(|cluster| votes[*cluster]).expect("k is above 1");
            changed |= assigned[group] != winner;
            assigned[group] = winner;
        }
        if !changed {
            break;
        }
        for (cluster, cluster_center) in centers.iter_mut().enumerate() {
            let members: Vec<usize> = groups
                .iter()
                .zip(&assigned)
                .filter(|(_, group_cluster)| **group_cluster == cluster)
                .flat_map(|(members, _)| members.iter().copied())
                .collect();
            if !members.is_empty() {
                *cluster_center = center(points, &members);
            }
        }
    }
    // Run times of different task types are not comparable, so the levels are ordered by each cluster's
    // mean ratio to the overall means.
    let overall = center(points, &indices);
    let slowness = |cluster: usize| -> f64 {
        let ratios: Vec<f64> = centers[cluster]
            .iter()
            .filter_map(|(dim, mean)| overall.get(dim).map(|overall_mean| mean / overall_mean.max(1e-9)))
            .collect();
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
    };
    let mut used: Vec<usize> = assigned.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
    used.sort_by(|a, b| slowness(*b).total_cmp(&slowness(*a)));
    let mut result = vec![0; points.len()];
    for (members, cluster) in groups.iter().zip(&assigned) {
        let level = used.iter().position(|used_cluster| used_cluster == cluster).expect("every used cluster is listed");
        for i in members {
            result[*i] = level;
        }
    }
    result
}

/// Returns a machine's straggler value: by how many standard deviations its late tasks exceed the mean run
/// time at the machine's level, in total. `tasks` has the elapsed time, in seconds, and the cell of each
/// running task.
pub fn straggler_value(tasks: &[(f64, Cell)]) -> f64 {
    tasks
        .iter()
        .filter(|(elapsed, cell)| *elapsed > cell.mean_s)
        .map(|(elapsed, cell)| (elapsed - cell.mean_s) / cell.std_dev_s)
        .sum()
}

/// Algorithm 3: returns the minimum level with the lowest expected run time, from level `from` upwards, and
/// that run time in seconds. `table` has, for each level, the mean run time if known, and the number of
/// containers (tasks of this type that fit on the level's machines).
pub fn minimum_level(from: usize, table: &[(Option<f64>, f64)]) -> Option<(usize, f64)> {
    let mut best: Option<(usize, f64)> = None;
    for level in from..table.len() {
        let measured =
            table[level..].iter().filter_map(|(mean_s, containers)| mean_s.map(|mean_s| (mean_s, *containers)));
        let (sum_s, containers) =
            measured.fold((0.0, 0.0), |(sum_s, total), (mean_s, count)| (sum_s + mean_s * count, total + count));
        if containers > 0.0 && best.is_none_or(|(_, lowest_s)| sum_s / containers < lowest_s) {
            best = Some((level, sum_s / containers));
        }
    }
    best
}

/// Returns the expected gain of a restart at or above the minimum level, in seconds, averaged over the
/// containers of all levels.
pub fn expected_gain_s(minimum: usize, remaining_s: f64, table: &[(Option<f64>, f64)]) -> f64 {
    let containers: f64 = table.iter().map(|(_, count)| count).sum();
    if containers <= 0.0 {
        return 0.0;
    }
    let gains =
        table[minimum..].iter().filter_map(|(mean_s, count)| mean_s.map(|mean_s| count * (remaining_s - mean_s)));
    gains.sum::<f64>() / containers
}

/// Returns the estimated remaining time of a running task (`EstEnd − now`), in seconds. A task that has
/// exceeded the mean run time is expected to take as long again as the excess.
pub fn remaining_s(mean_s: f64, elapsed_s: f64) -> f64 {
    (mean_s - elapsed_s).abs()
}

/// The leader's statistics of finished tasks, and the levels derived from them.
#[derive(Default)]
pub(crate) struct Speculation {
    /// Run times by task type and machine. A level's cell merges those of its machines.
    pub(super) finished: HashMap<Name, BTreeMap<Name, RunTimeStats>>,
    /// Levels by machine, including machines that are gone, so that their run times stay in their cell.
    pub(super) levels: BTreeMap<Name, usize>,
    /// When the last period began.
    pub(super) last_tick: Option<Instant>,
}

impl Speculation {
    /// Records the run time of a finished task.
    pub fn record_run(&mut self, job: &Name, machine: &Name, run_s: f64) {
        self.finished.entry(job.clone()).or_default().entry(machine.clone()).or_default().add(run_s);
    }

    /// Drops the statistics of a job that has ended.
    pub fn forget(&mut self, job: &Name) {
        self.finished.remove(job);
    }

    /// Returns the job's cell at each level, if it is usable.
    pub(super) fn cells(&self, job: &Name, levels: usize, minimum: u32) -> Vec<Option<Cell>> {
        let mut merged = vec![RunTimeStats::default(); levels];
        for (machine, stats) in self.finished.get(job).into_iter().flatten() {
            let level = self.levels.get(machine).copied().unwrap_or(0).min(levels - 1);
            merged[level].merge(stats);
        }
        merged.iter().map(|stats| stats.cell(minimum)).collect()
    }
}
