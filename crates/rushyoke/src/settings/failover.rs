//! Section `failover:` of the operators' file: zone failover.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rushyoke_core::{Facts, FailoverSettings, FailoverSettingsError, Tier};
use serde::Deserialize;

/// Largest accepted number of seconds; larger ones might not fit into a `Duration`.
const MAX_SECONDS: f64 = 1e9;

/// The section as it is in the file; keys left out keep their defaults. Off unless `enabled` is true.
#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct FailoverSection {
    enabled: bool,
    tiers: Vec<TierEntry>,
    careful_tiers: Vec<String>,
    least_machines: Option<usize>,
    suspect_share: Option<f64>,
    lost_share: Option<f64>,
    confirm_s: Option<f64>,
    return_share: Option<f64>,
    probation_s: Option<f64>,
    longest_probation_s: Option<f64>,
    half_life_s: Option<f64>,
    ramp_share: Option<f64>,
    ramp_step_s: Option<f64>,
    keep_machines_s: Option<f64>,
    evacuation_s: Option<f64>,
    max_reruns: BTreeMap<String, u32>,
    held_out: Vec<String>,
    admitted: Vec<String>,
}

/// A tier of classes as it is in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TierEntry {
    name: String,
    classes: Vec<String>,
}

impl FailoverSection {
    /// Checks the settings, also while failover is off. Returns them if it is on.
    pub(super) fn into_settings(self) -> Result<Option<FailoverSettings>, String> {
        let enabled = self.enabled;
        let settings = self.convert()?;
        settings.check().map_err(|error| error.to_string())?;
        Ok(enabled.then_some(settings))
    }

    /// Converts the section into settings; only the times and the lists of names are checked.
    fn convert(self) -> Result<FailoverSettings, String> {
        let mut settings = FailoverSettings::default();
        settings.min_machines = self.least_machines.unwrap_or(settings.min_machines);
        let shares = [
            (self.suspect_share, &mut settings.suspect_share),
            (self.lost_share, &mut settings.lost_share),
            (self.return_share, &mut settings.return_share),
            (self.ramp_share, &mut settings.ramp_share),
        ];
        for (value, target) in shares {
            *target = value.unwrap_or(*target);
        }
        let times = [
            ("confirm_s", self.confirm_s, &mut settings.lost_confirmation),
            ("probation_s", self.probation_s, &mut settings.probation),
            ("longest_probation_s", self.longest_probation_s, &mut settings.max_probation),
            ("half_life_s", self.half_life_s, &mut settings.penalty_half_life),
            ("ramp_step_s", self.ramp_step_s, &mut settings.ramp_step),
            ("keep_machines_s", self.keep_machines_s, &mut settings.machine_retention),
            ("evacuation_s", self.evacuation_s, &mut settings.max_evacuation),
        ];
        for (name, value, target) in times {
            *target = value.map_or(Ok(*target), |value| seconds(name, value))?;
        }
        settings.tiers = self.tiers.into_iter().map(|TierEntry { name, classes }| Tier { name, classes }).collect();
        settings.max_reruns = self.max_reruns;
        let names = |setting, kind, listed: &[String]| {
            FailoverSettings::names(setting, kind, listed).map_err(|error| error.to_string())
        };
        settings.tiers_avoiding_probation = names("careful_tiers", "tier", &self.careful_tiers)?;
        settings.excluded_zones = names("held_out", "zone", &self.held_out)?;
        settings.admitted_zones = names("admitted", "zone", &self.admitted)?;
        Ok(settings)
    }
}

/// Checks the names of classes and zones against those in the platform's file.
pub(super) fn check_names(settings: &FailoverSettings, facts: &Facts) -> Result<(), FailoverSettingsError> {
    let classes: BTreeSet<String> = facts.objectives.iter().filter_map(|objective| objective.class.clone()).collect();
    let zones: BTreeSet<String> = facts.controller_zones.values().cloned().collect();
    settings.check_names(&classes, &zones)
}

/// Converts a setting in seconds into a duration.
fn seconds(name: &str, value: f64) -> Result<Duration, String> {
    match (0.0..=MAX_SECONDS).contains(&value) {
        true => Ok(Duration::from_secs_f64(value)),
        false => Err(format!("failover.{name}: must be a number of seconds, 0 or more")),
    }
}
