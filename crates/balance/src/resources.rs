//! Amounts of CPUs, GPUs and memory.

use rushyoke_wire::job::JobSpec;

/// Tolerance for comparing amounts, since sums of decimal fractions are not exact.
const TOLERANCE: f64 = 1e-6;
/// Upper bound of [`Resources::fit_count`], reached when a request asks for almost nothing.
const MAX_FIT_COUNT: f64 = 1e6;

/// The resources that a task requests or that a machine provides.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of CPUs.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Tolerance for comparing amounts, since sums of decimal fractions are not exact.
    pub const TOLERANCE: f64 = TOLERANCE;

    /// Returns the resources that one task of the job requests.
    pub fn of(spec: &JobSpec) -> Resources {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Adds `other` to each amount in place.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `other` from each amount in place.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Returns each amount multiplied by `factor`.
    pub fn scaled(self, factor: f64) -> Resources {
        Resources { cpus: self.cpus * factor, gpus: self.gpus * factor, memory_gb: self.memory_gb * factor }
    }

    /// Returns the sum of both.
    pub fn plus(mut self, other: Resources) -> Resources {
        self.add(other);
        self
    }

    /// Returns the difference of both; amounts may be negative.
    pub fn minus(mut self, other: Resources) -> Resources {
        self.sub(other);
        self
    }

    /// Whether every amount is zero or negative, within the tolerance.
    pub fn is_zero(&self) -> bool {
        self.cpus <= TOLERANCE && self.gpus <= TOLERANCE && self.memory_gb <= TOLERANCE
    }

    /// Raises each amount to at least that of `other`.
    pub fn expand_to(&mut self, other: Resources) {
        self.cpus = self.cpus.max(other.cpus);
        self.gpus = self.gpus.max(other.gpus);
        self.memory_gb = self.memory_gb.max(other.memory_gb);
    }

    /// Whether a request of `need` fits, within the tolerance.
    pub fn can_fit(&self, need: Resources) -> bool {
        need.cpus <= self.cpus + TOLERANCE
            && need.gpus <= self.gpus + TOLERANCE
            && need.memory_gb <= self.memory_gb + TOLERANCE
    }

    /// Returns how many requests of `need` fit.
    pub fn fit_count(&self, need: Resources) -> u32 {
        let count = |available: f64, requested: f64| {
            if requested > 0.0 { (available + TOLERANCE) / requested } else { f64::INFINITY }
        };
        let smallest =
            count(self.cpus, need.cpus).min(count(self.gpus, need.gpus)).min(count(self.memory_gb, need.memory_gb));
        smallest.clamp(0.0, MAX_FIT_COUNT) as u32
    }

    /// Returns the dominant share, as in dominant resource fairness: the largest of the shares of `total` over
    /// CPUs, GPUs and memory. A resource that `total` lacks is left out.
    pub fn dominant_share(&self, total: Resources) -> f64 {
        let share = |amount: f64, whole: f64| if whole > TOLERANCE { amount / whole } else { 0.0 };
        share(self.cpus, total.cpus).max(share(self.gpus, total.gpus)).max(share(self.memory_gb, total.memory_gb))
    }
}
