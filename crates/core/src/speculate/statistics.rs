//! The pure steps of the eSplash path, so that they can be checked on worked numbers: levels, cells, straggler
//! values and the gain of a restart; and the statistics of a term.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use crate::jobs::Name;

/// Run times of finished tasks, summed so that they can be merged.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Moments {
    /// Numbers added.
    pub count: u32,
    sum: f64,
    squares: f64,
}

impl Moments {
    /// Adds a number.
    pub fn add(&mut self, run_s: f64) {
        self.count += 1;
        self.sum += run_s;
        self.squares += run_s * run_s;
    }

    /// Adds all numbers of another.
    pub fn merge(&mut self, other: &Moments) {
        self.count += other.count;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    /// Their mean.
    pub fn mean(&self) -> f64 {
        self.sum / f64::from(self.count.max(1))
    }

    /// Their variance.
    pub fn variance(&self) -> f64 {
        let mean = self.mean();
        (self.squares / f64::from(self.count.max(1)) - mean * mean).max(0.0)
    }

    /// The cell (μ, δ) if it may be used.
    pub fn cell(&self, minimum: u32) -> Option<Cell> {
        let cell = Cell { mean_s: self.mean(), std_dev_s: self.variance().sqrt() };
        (self.count >= minimum && cell.std_dev_s > 1e-9).then_some(cell)
    }
}

/// A usable cell of the statistics table.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cell {
    /// Mean run time.
    pub mean_s: f64,
    /// δ: the standard deviation. The paper's variance, in seconds squared, makes a task
    /// of 40 s wait for hundreds of seconds; measured in docs/performance.md.
    pub std_dev_s: f64,
}

/// A machine's mean run time per type of task that it has finished.
pub type Performance = BTreeMap<Name, f64>;

/// Group `a` is better than `b` in some dimension and worse in another.
fn crossed(a: &Bounds, b: &Bounds) -> bool {
    let shared = || a.iter().filter_map(|(dim, x)| b.get(dim).map(|y| (x, y)));
    shared().any(|(x, y)| x.0 > y.1) && shared().any(|(x, y)| y.0 > x.1)
}

/// The groups overlap in some dimension.
fn overlaps(a: &Bounds, b: &Bounds) -> bool {
    a.iter().any(|(dim, x)| b.get(dim).is_some_and(|y| x.0 <= y.1 && y.0 <= x.1))
}

type Bounds = BTreeMap<Name, (f64, f64)>;

fn widen(bounds: &mut Bounds, by: &Bounds) {
    for (dim, (low, high)) in by {
        let entry = bounds.entry(dim.clone()).or_insert((*low, *high));
        *entry = (entry.0.min(*low), entry.1.max(*high));
    }
}

/// Algorithm 1: merges machines that do not dominate one another into groups.
pub fn groups(points: &[Performance]) -> Vec<Vec<usize>> {
    let bounds_of = |p: &Performance| p.iter().map(|(dim, e)| (dim.clone(), (*e, *e))).collect::<Bounds>();
    let mut groups: Vec<(Vec<usize>, Bounds)> =
        points.iter().enumerate().map(|(i, p)| (vec![i], bounds_of(p))).collect();
    let mut i = 0;
    while i < groups.len() {
        let found = (i + 1..groups.len()).find(|j| crossed(&groups[i].1, &groups[*j].1));
        let Some(j) = found else {
            i += 1;
            continue;
        };
        let (members, bounds) = groups.swap_remove(j);
        groups[i].0.extend(members);
        widen(&mut groups[i].1, &bounds);
        while let Some(j) = (0..groups.len()).find(|j| *j != i && overlaps(&groups[i].1, &groups[*j].1)) {
            let (members, bounds) = groups.swap_remove(j);
            if i == groups.len() {
                i = j;
            }
            groups[i].0.extend(members);
            widen(&mut groups[i].1, &bounds);
        }
        i = 0;
    }
    groups.into_iter().map(|(members, _)| members).collect()
}

/// Mean squared difference over the dimensions that both have.
fn distance(a: &Performance, b: &Performance) -> f64 {
    let shared: Vec<f64> = a.iter().filter_map(|(dim, x)| b.get(dim).map(|y| (x - y) * (x - y))).collect();
    if shared.is_empty() { f64::INFINITY } else { shared.iter().sum::<f64>() / shared.len() as f64 }
}

fn center(points: &[Performance], members: &[usize]) -> Performance {
    let mut sums: BTreeMap<Name, (f64, f64)> = BTreeMap::new();
    for (dim, e) in members.iter().flat_map(|i| points[*i].iter()) {
        let sum = sums.entry(dim.clone()).or_default();
        *sum = (sum.0 + e, sum.1 + 1.0);
    }
    sums.into_iter().map(|(dim, (sum, n))| (dim, sum / n)).collect()
}

/// Algorithm 2: k-means in which a group moves as a whole, by its members' votes.
/// Returns each point's level; a higher level is faster, and levels start at 0.
pub fn levels(points: &[Performance], k: usize, rng: &mut StdRng) -> Vec<usize> {
    let groups = groups(points);
    let k = k.min(groups.len());
    if k <= 1 {
        return vec![0; points.len()];
    }
    let indices: Vec<usize> = (0..points.len()).collect();
    let mut centers: Vec<Performance> = indices.sample(rng, k).map(|i| points[*i].clone()).collect();
    let mut assigned = vec![usize::MAX; groups.len()];
    // It settles in a few rounds; the bound guards against ties that would alternate.
    for _ in 0..50 {
        let mut moved = false;
        for (g, members) in groups.iter().enumerate() {
            let mut votes = vec![0u32; k];
            for i in members {
                let nearest = (0..k)
                    .min_by(|a, b| distance(&points[*i], &centers[*a]).total_cmp(&distance(&points[*i], &centers[*b])));
                votes[nearest.expect("k is above 1")] += 1;
            }
            let choice = (0..k).rev().max_by_key(|c| votes[*c]).expect("k is above 1");
            moved |= assigned[g] != choice;
            assigned[g] = choice;
        }
        if !moved {
            break;
        }
        for (c, old) in centers.iter_mut().enumerate() {
            let members: Vec<usize> =
                groups.iter().zip(&assigned).filter(|(_, a)| **a == c).flat_map(|(m, _)| m.iter().copied()).collect();
            if !members.is_empty() {
                *old = center(points, &members);
            }
        }
    }
    // Types differ in length: what a cluster needs in comparison orders the levels.
    let overall = center(points, &indices);
    let slowness = |c: usize| -> f64 {
        let ratios: Vec<f64> =
            centers[c].iter().filter_map(|(dim, e)| overall.get(dim).map(|o| e / o.max(1e-9))).collect();
        ratios.iter().sum::<f64>() / ratios.len().max(1) as f64
    };
    let mut used: Vec<usize> = assigned.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
    used.sort_by(|a, b| slowness(*b).total_cmp(&slowness(*a)));
    let mut result = vec![0; points.len()];
    for (members, cluster) in groups.iter().zip(&assigned) {
        let level = used.iter().position(|c| c == cluster).expect("every used cluster is listed");
        for i in members {
            result[*i] = level;
        }
    }
    result
}

/// A machine's straggler value: how far its tasks are past what is usual at its level.
pub fn straggler_value(tasks: &[(f64, Cell)]) -> f64 {
    tasks
        .iter()
        .filter(|(elapsed, cell)| *elapsed > cell.mean_s)
        .map(|(elapsed, cell)| (elapsed - cell.mean_s) / cell.std_dev_s)
        .sum()
}

/// Algorithm 3: the minimum level of least expected time, from `from` up. `table` has
/// for each level the mean, if known, and the containers for this type of task.
pub fn minimum_level(from: usize, table: &[(Option<f64>, f64)]) -> Option<(usize, f64)> {
    let mut best: Option<(usize, f64)> = None;
    for level in from..table.len() {
        let known = table[level..].iter().filter_map(|(mean, containers)| mean.map(|m| (m, *containers)));
        let (sum, all) = known.fold((0.0, 0.0), |(sum, all), (mean, c)| (sum + mean * c, all + c));
        if all > 0.0 && best.is_none_or(|(_, least)| sum / all < least) {
            best = Some((level, sum / all));
        }
    }
    best
}

/// What a restart is expected to gain, over the containers of all levels.
pub fn expected_gain_s(minimum: usize, remaining_s: f64, table: &[(Option<f64>, f64)]) -> f64 {
    let all: f64 = table.iter().map(|(_, containers)| containers).sum();
    if all <= 0.0 {
        return 0.0;
    }
    let won = table[minimum..].iter().filter_map(|(mean, c)| mean.map(|m| c * (remaining_s - m)));
    won.sum::<f64>() / all
}

/// How long the running task still takes: `EstEnd − now`.
pub fn remaining_s(mean: f64, elapsed: f64) -> f64 {
    (mean - elapsed).abs()
}

/// The leader's statistics.
#[derive(Default)]
pub(crate) struct Speculation {
    /// Per task type and machine; the cells of a level merge its machines'.
    pub(super) finished: HashMap<Name, BTreeMap<Name, Moments>>,
    /// Levels of machines that are gone, so that their statistics stay in their cell.
    pub(super) levels: BTreeMap<Name, usize>,
    pub(super) last: Option<Instant>,
}

impl Speculation {
    pub fn record_run(&mut self, job: &Name, machine: &Name, run_s: f64) {
        self.finished.entry(job.clone()).or_default().entry(machine.clone()).or_default().add(run_s);
    }

    pub fn forget(&mut self, job: &Name) {
        self.finished.remove(job);
    }

    pub(super) fn cells(&self, job: &Name, levels: usize, minimum: u32) -> Vec<Option<Cell>> {
        let mut merged = vec![Moments::default(); levels];
        for (machine, moments) in self.finished.get(job).into_iter().flatten() {
            let level = self.levels.get(machine).copied().unwrap_or(0).min(levels - 1);
            merged[level].merge(moments);
        }
        merged.iter().map(|m| m.cell(minimum)).collect()
    }
}
