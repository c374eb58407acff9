//! How evenly machines are utilized, computed from running sums.

/// Running sums over the utilization of machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evenness {
    machines: usize,
    sum: f64,
    squares: f64,
}

impl Evenness {
    /// Adds a machine with this utilization.
    pub fn add(&mut self, utilization: f64) {
        self.machines += 1;
        self.sum += utilization;
        self.squares += utilization * utilization;
    }

    /// Removes a machine that was added with this utilization.
    pub fn remove(&mut self, utilization: f64) {
        self.machines -= 1;
        if self.machines == 0 {
            // Drops the rounding errors that have accumulated in the sums.
            *self = Evenness::default();
            return;
        }
        self.sum -= utilization;
        self.squares -= utilization * utilization;
    }

    /// Number of machines counted.
    pub fn machines(&self) -> usize {
        self.machines
    }

    /// Mean utilization, or 0 without machines.
    pub fn mean(&self) -> f64 {
        if self.machines == 0 { 0.0 } else { self.sum / self.machines as f64 }
    }

    /// Coefficient of variation: the standard deviation divided by the mean; 0 is perfectly even.
    pub fn variation(&self) -> f64 {
        let mean = self.mean();
        if mean <= f64::EPSILON {
            return 0.0;
        }
        let variance = self.squares / self.machines as f64 - mean * mean;
        variance.max(0.0).sqrt() / mean
    }

    /// Jain's fairness index: 1 is perfectly even, and 1/n means that one of n machines does all the work.
    pub fn jain(&self) -> f64 {
        if self.squares <= f64::EPSILON {
            return 1.0;
        }
        (self.sum * self.sum / (self.machines as f64 * self.squares)).min(1.0)
    }
}
