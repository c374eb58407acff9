//! Section `balance:` of the operators' file: rebalancing.

use std::collections::BTreeSet;
use std::time::Duration;

use rushyoke_core::BalanceSettings;
use serde::Deserialize;

/// Largest accepted number of seconds; larger ones might not fit into a `Duration`.
const MAX_SECONDS: f64 = 1e9;

/// The section as it is in the file; keys left out keep their defaults. Off unless `enabled` is true.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct BalanceSection {
    enabled: bool,
    crowding_share: Option<f64>,
    service_horizon_s: Option<f64>,
    least_gain_s: Option<f64>,
    gain_ratio: Option<f64>,
    use_gap: Option<f64>,
    moves_per_machine: Option<f64>,
    cooldown_s: Option<f64>,
    booking_s: Option<f64>,
    fresh_s: Option<f64>,
    free_share: Option<f64>,
    free_share_long: Option<f64>,
    hold_s: Option<f64>,
    borrow_s: Option<f64>,
    protected: Vec<String>,
}

impl BalanceSection {
    /// Checks the settings, also while rebalancing is off. Returns them if it is on.
    pub(super) fn into_settings(self) -> Result<Option<BalanceSettings>, String> {
        let mut settings = BalanceSettings::default();
        let shares = [
            (self.crowding_share, &mut settings.contention_slowdown),
            (self.gain_ratio, &mut settings.gain_ratio),
            (self.use_gap, &mut settings.utilization_gap),
            (self.moves_per_machine, &mut settings.moves_per_machine),
            (self.free_share, &mut settings.free_share),
            (self.free_share_long, &mut settings.free_share_long_runs),
        ];
        for (value, target) in shares {
            *target = value.unwrap_or(*target);
        }
        let times = [
            ("service_horizon_s", self.service_horizon_s, &mut settings.service_horizon),
            ("least_gain_s", self.least_gain_s, &mut settings.min_gain),
            ("cooldown_s", self.cooldown_s, &mut settings.cooldown),
            ("booking_s", self.booking_s, &mut settings.booking_timeout),
            ("fresh_s", self.fresh_s, &mut settings.max_age_without_checkpoint),
            ("hold_s", self.hold_s, &mut settings.max_hold),
            ("borrow_s", self.borrow_s, &mut settings.short_run),
        ];
        for (name, value, target) in times {
            *target = value.map_or(Ok(*target), |value| seconds(name, value))?;
        }
        settings.protected_classes = protected_classes(self.protected)?;
        settings.check().map_err(|error| error.to_string())?;
        Ok(self.enabled.then_some(settings))
    }
}

/// Converts a setting in seconds into a duration.
fn seconds(name: &str, value: f64) -> Result<Duration, String> {
    match (0.0..=MAX_SECONDS).contains(&value) {
        true => Ok(Duration::from_secs_f64(value)),
        false => Err(format!("balance.{name}: must be a number of seconds, 0 or more")),
    }
}

/// Checks the classes of jobs that are never moved.
fn protected_classes(classes: Vec<String>) -> Result<BTreeSet<String>, String> {
    let mut protected = BTreeSet::new();
    for class in classes {
        if class.trim().is_empty() {
            return Err("balance.protected: names an empty class".into());
        }
        if !protected.insert(class.clone()) {
            return Err(format!("balance.protected: class {class} is listed twice"));
        }
    }
    Ok(protected)
}
