//! What operators set for load spreading, with units, defaults and checks.

use std::collections::BTreeSet;
use std::time::Duration;

/// The operators' settings; all times are expected times, all shares are parts of one.
#[derive(Clone, Debug)]
pub struct Settings {
    /// By what share of its run time a task is expected to take longer on a full machine than on an
    /// empty one.
    pub contention_slowdown: f64,
    /// What a running service counts as having left to run, when the crowding of others is priced.
    pub service_horizon: Duration,
    /// Expected time that a move must gain, beyond its cost.
    pub min_gain: Duration,
    /// How many times its cost a move must gain.
    pub gain_ratio: f64,
    /// By how much more the source must be in use than the destination.
    pub utilization_gap: f64,
    /// Moves begun each minute, for each machine of the fleet.
    pub moves_per_machine: f64,
    /// After it took part in a move a machine does not take part in the other direction for so long.
    pub cooldown: Duration,
    /// How long room stays booked at a destination.
    pub booking_timeout: Duration,
    /// A task that saves no progress is moved only within this time after its start.
    pub max_age_without_checkpoint: Duration,
    /// Share of the fleet that stays free from teams which already have more than their fair share.
    pub free_share: f64,
    /// The same for tasks that are expected to run for longer than `short_run`.
    pub free_share_long_runs: f64,
    /// For how long a job is held back at the most for that.
    pub max_hold: Duration,
    /// Tasks expected to run for longer leave more of the fleet free.
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

/// The longest that a job may be held back: a job that waits for long while there is room would
/// break what users are promised.
pub const LONGEST_HOLD: Duration = Duration::from_secs(60);

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("balance.{setting}: must be {low} to {high}{unit}")]
pub struct SettingsError {
    /// The setting's name in the operators' file.
    pub setting: &'static str,
    /// The least that it may be.
    pub low: f64,
    /// The most that it may be.
    pub high: f64,
    /// What it counts.
    pub unit: &'static str,
}

impl Settings {
    /// Checks every setting; the error names the first that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let shares = [
            ("crowding_share", self.contention_slowdown, 0.0, 10.0),
            ("gain_ratio", self.gain_ratio, 1.0, 100.0),
            ("use_gap", self.utilization_gap, 0.01, 1.0),
            ("moves_per_machine", self.moves_per_machine, 0.0, 60.0),
            ("free_share", self.free_share, 0.0, 0.5),
            ("free_share_long", self.free_share_long_runs, 0.0, 0.9),
        ];
        for (setting, value, low, high) in shares {
            in_range(setting, value, low, high, "")?;
        }
        let times = [
            ("service_horizon_s", self.service_horizon, 0.0, 3600.0),
            ("least_gain_s", self.min_gain, 0.0, 3600.0),
            ("cooldown_s", self.cooldown, 1.0, 3600.0),
            ("booking_s", self.booking_timeout, 5.0, 300.0),
            ("fresh_s", self.max_age_without_checkpoint, 0.0, 3600.0),
            ("hold_s", self.max_hold, 0.0, LONGEST_HOLD.as_secs_f64()),
            ("borrow_s", self.short_run, 1.0, 86_400.0),
        ];
        for (setting, value, low, high) in times {
            in_range(setting, value.as_secs_f64(), low, high, " seconds")?;
        }
        Ok(())
    }
}

fn in_range(setting: &'static str, value: f64, low: f64, high: f64, unit: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError { setting, low, high, unit }) }
}
