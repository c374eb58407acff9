//! Settings of load balancing, with units, defaults and range checks.

use std::collections::BTreeSet;
use std::time::Duration;

/// The operators' settings. Shares are fractions of one; gains and costs are expected times.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Additional run time of a task on a full machine compared with an empty one, as a share of its run
    /// time.
    pub contention_slowdown: f64,
    /// Remaining run time assumed for a running service when contention is priced.
    pub service_horizon: Duration,
    /// Minimum expected net gain of a move.
    pub min_gain: Duration,
    /// Minimum ratio of a move's gain to its cost.
    pub gain_ratio: f64,
    /// Minimum difference in utilization between the source and the destination of a move.
    pub utilization_gap: f64,
    /// Moves that may begin each minute, per machine of the fleet.
    pub moves_per_machine: f64,
    /// Time after a move during which a machine does not take the opposite role in another one.
    pub cooldown: Duration,
    /// Time allowed for each step of a move. A move that stays in one state for twice as long is given up.
    pub booking_timeout: Duration,
    /// Maximum time since its start at which a task without checkpoints may be moved.
    pub max_age_without_checkpoint: Duration,
    /// Share of the fleet that teams above their fair share must leave free.
    pub free_share: f64,
    /// Share that they must leave free when placing tasks that are expected to run for longer than `short_run`.
    pub free_share_long_runs: f64,
    /// Longest time that a job is held back to leave resources free.
    pub max_hold: Duration,
    /// Expected run time up to which a task counts as short; longer ones must leave more of the fleet free.
    pub short_run: Duration,
    /// Classes of jobs that are never moved.
    pub protected_classes: BTreeSet<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            contention_slowdown: 0.5,
            service_horizon: Duration::from_secs(60),
            min_gain: Duration::from_secs(5),
            gain_ratio: 1.5,
            utilization_gap: 0.1,
            moves_per_machine: 6.0,
            cooldown: Duration::from_secs(30),
            booking_timeout: Duration::from_secs(30),
            max_age_without_checkpoint: Duration::from_secs(5),
            free_share: 0.05,
            free_share_long_runs: 0.2,
            max_hold: Duration::from_secs(20),
            short_run: Duration::from_secs(120),
            protected_classes: BTreeSet::new(),
        }
    }
}

/// Upper bound of `max_hold`: holding jobs back for longer while resources are free would break the promise
/// to users.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// A setting that is out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("balance.{setting}: must be {low} to {high}{unit}")]
pub struct SettingsError {
    /// The setting's key in the operators' file.
    pub setting: &'static str,
    /// The smallest allowed value.
    pub low: f64,
    /// The largest allowed value.
    pub high: f64,
    /// The unit of the value, with a leading space, or empty.
    pub unit: &'static str,
}

impl Settings {
    /// Checks the range of every setting; the error names the first that is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        let numbers = [
            ("crowding_share", self.contention_slowdown, 0.0, 10.0),
            ("gain_ratio", self.gain_ratio, 1.0, 100.0),
            ("use_gap", self.utilization_gap, 0.01, 1.0),
            ("moves_per_machine", self.moves_per_machine, 0.0, 60.0),
            ("free_share", self.free_share, 0.0, 0.5),
            ("free_share_long", self.free_share_long_runs, 0.0, 0.9),
        ];
        for (setting, value, low, high) in numbers {
            in_range(setting, value, low, high, "")?;
        }
        let durations = [
            ("service_horizon_s", self.service_horizon, 0.0, 3600.0),
            ("least_gain_s", self.min_gain, 0.0, 3600.0),
            ("cooldown_s", self.cooldown, 1.0, 3600.0),
            ("booking_s", self.booking_timeout, 5.0, 300.0),
            ("fresh_s", self.max_age_without_checkpoint, 0.0, 3600.0),
            ("hold_s", self.max_hold, 0.0, MAX_HOLD.as_secs_f64()),
            ("borrow_s", self.short_run, 1.0, 86_400.0),
        ];
        for (setting, value, low, high) in durations {
            in_range(setting, value.as_secs_f64(), low, high, " seconds")?;
        }
        Ok(())
    }
}

fn in_range(setting: &'static str, value: f64, low: f64, high: f64, unit: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError { setting, low, high, unit }) }
}
