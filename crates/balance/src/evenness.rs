//! How evenly machines are used, from running sums.

/// Sums over the use of machines, kept as it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Evenness {
    machines: usize,
    sum: f64,
    squares: f64,
}

impl Evenness {
    /// One more machine with this use.
    pub fn add(&mut self, used: f64) {
        self.machines += 1;
        self.sum += used;
        self.squares += used * used;
    }

    /// A machine with this use less.
    pub fn remove(&mut self, used: f64) {
        self.machines -= 1;
        if self.machines == 0 {
            // Nothing is left, so neither are rounding errors.
            *self = Evenness::default();
            return;
        }
        self.sum -= used;
        self.squares -= used * used;
    }

    /// Machines counted.
    pub fn machines(&self) -> usize {
        self.machines
    }

    /// The mean use.
    pub fn mean(&self) -> f64 {
        if self.machines == 0 { 0.0 } else { self.sum / self.machines as f64 }
    }

    /// Coefficient of variation: the standard deviation over the mean; 0 is perfectly even.
    pub fn variation(&self) -> f64 {
        let mean = self.mean();
        if mean <= f64::EPSILON {
            return 0.0;
        }
        let variance = self.squares / self.machines as f64 - mean * mean;
        variance.max(0.0).sqrt() / mean
    }

    /// Jain's fairness index: 1 is perfectly even, 1/n means that one machine has it all.
    pub fn jain(&self) -> f64 {
        if self.squares <= f64::EPSILON {
            return 1.0;
        }
        (self.sum * self.sum / (self.machines as f64 * self.squares)).min(1.0)
    }
}
