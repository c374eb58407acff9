//! Amounts of processors, GPUs and memory.

use rushyoke_wire::job::JobSpec;

/// Amounts compare with this slack, since sums of decimals are not exact.
const TOLERANCE: f64 = 1e-6;
/// The most times that one amount is said to fit into another.
const MOST_TIMES: f64 = 1e6;

/// What a task needs, or a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// The slack with which amounts compare.
    pub const TOLERANCE: f64 = TOLERANCE;

    /// What a task of the job needs.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Adds to each amount.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Takes from each amount.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Each amount so many times.
    pub fn scaled(self, times: f64) -> Resources {
        Resources { cpus: self.cpus * times, gpus: self.gpus * times, memory_gb: self.memory_gb * times }
    }

    /// The sum of both.
    pub fn plus(mut self, other: Resources) -> Resources {
        self.add(other);
        self
    }

    /// The difference of both.
    pub fn minus(mut self, other: Resources) -> Resources {
        self.sub(other);
        self
    }

    /// Nothing of anything.
    pub fn is_zero(&self) -> bool {
        self.cpus <= TOLERANCE && self.gpus <= TOLERANCE && self.memory_gb <= TOLERANCE
    }

    /// Grows to hold as much of each as `other` does.
    pub fn expand_to(&mut self, other: Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory_gb = self.memory_gb.max(other.memory_gb);
    }

    /// Whether `need` fits.
    pub fn can_fit(&self, need: Resources) -> bool {
        need.cpus <= self.cpus + TOLERANCE
            && need.gpus <= self.gpus + TOLERANCE
            && need.memory_gb <= self.memory_gb + TOLERANCE
    }

    /// How many times `need` fits.
    pub fn fit_count(&self, need: Resources) -> u32 {
        let part = |have: f64, want: f64| {
            if want > 0.0 { (have + TOLERANCE) / want } else { f64::INFINITY }
        };
        let times =
            part(self.cpus, need.cpus).min(part(self.gpus, need.gpus)).min(part(self.memory_gb, need.memory_gb));
        times.clamp(0.0, MOST_TIMES) as u32
    }

    /// The largest share that this is of `total`, over the resources that `total` has: the dominant
    /// share of dominant resource fairness.
    pub fn dominant_share(&self, total: Resources) -> f64 {
        let part = |have: f64, all: f64| if all > TOLERANCE { have / all } else { 0.0 };
        part(self.cpus, total.cpus).max(part(self.gpus, total.gpus)).max(part(self.memory_gb, total.memory_gb))
    }
}
