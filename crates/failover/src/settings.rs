//! Settings of zone failover, with units, defaults and checks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Classes of jobs that are placed together in an evacuation, before those of all later tiers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Name of the tier.
    pub name: String,
    /// Classes of the tier.
    pub classes: Vec<String>,
}

/// The operators' settings; shares are fractions of one.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Tiers in the order of their placement. Classes without a tier come after them, ordered by priority and
    /// guarantee.
    pub tiers: Vec<Tier>,
    /// Names of the tiers that avoid zones on probation while other zones have free resources.
    pub tiers_avoiding_probation: BTreeSet<String>,
    /// Minimum number of machines out of contact for a zone to be suspected or lost.
    pub min_machines: usize,
    /// Share of a zone's machines that must be out of contact for the zone to be suspected.
    pub suspect_share: f64,
    /// Share of a zone's machines that must be out of contact for the zone to be lost.
    pub lost_share: f64,
    /// How long that share must be out of contact, with calls to them failing, before the zone is lost.
    pub lost_confirmation: Duration,
    /// Share of a lost zone's machines that must report in time before the zone is returning.
    pub return_share: f64,
    /// Length of the probation of a returned zone after a single loss.
    pub probation: Duration,
    /// Longest probation of a zone that is lost repeatedly.
    pub max_probation: Duration,
    /// Half-life of the flap penalty.
    pub penalty_half_life: Duration,
    /// Initial share of a returned zone's CPUs that may be given work each second.
    pub ramp_share: f64,
    /// Time after which that share doubles, unless starts were lost.
    pub ramp_step: Duration,
    /// How long unresponsive machines of a lost zone are kept after their leases have expired.
    pub machine_retention: Duration,
    /// Longest time after a zone's loss during which placement follows the order of tiers.
    pub max_evacuation: Duration,
    /// Number of times that a task may be restarted because of zone failures, by class; unlimited without an entry.
    pub max_reruns: BTreeMap<String, u32>,
    /// Zones that are given no new work, whatever their state.
    pub excluded_zones: BTreeSet<String>,
    /// Zones whose probation ends at once when they return.
    pub admitted_zones: BTreeSet<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tiers: Vec::new(),
            tiers_avoiding_probation: BTreeSet::new(),
            min_machines: 3,
            suspect_share: 0.5,
            lost_share: 0.8,
            lost_confirmation: Duration::from_millis(500),
            return_share: 0.5,
            probation: Duration::from_secs(120),
            max_probation: Duration::from_secs(600),
            penalty_half_life: Duration::from_secs(150),
            ramp_share: 0.1,
            ramp_step: Duration::from_secs(1),
            machine_retention: Duration::from_secs(20),
            max_evacuation: Duration::from_secs(60),
            max_reruns: BTreeMap::new(),
            excluded_zones: BTreeSet::new(),
            admitted_zones: BTreeSet::new(),
        }
    }
}

/// Upper bound of `max_evacuation`, so that the last tier does not starve.
const MAX_EVACUATION_S: f64 = 120.0;

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A number is out of range.
    #[error("failover.{setting}: must be {low} to {high}{unit}")]
    Range {
        /// The setting's key in the operators' file.
        setting: &'static str,
        /// The smallest allowed value.
        low: f64,
        /// The largest allowed value.
        high: f64,
        /// The unit of the value, with a leading space, or empty.
        unit: &'static str,
    },
    /// A name or a list is empty.
    #[error("failover.{setting}: contains an empty {what}")]
    Empty {
        /// The setting's key.
        setting: &'static str,
        /// The kind of item that is empty.
        what: &'static str,
    },
    /// A name is listed more than once.
    #[error("failover.{setting}: {what} {name} is listed twice")]
    Duplicate {
        /// The setting's key.
        setting: &'static str,
        /// The kind of item that is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A name is not defined anywhere.
    #[error("failover.{setting}: unknown {what} {name}")]
    Unknown {
        /// The setting's key.
        setting: &'static str,
        /// The kind of item that is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The share for a loss is below the share for a suspicion.
    #[error("failover.lost_share: must not be below suspect_share")]
    LostShareBelowSuspectShare,
    /// The longest probation is shorter than the first one.
    #[error("failover.longest_probation_s: must not be below probation_s")]
    MaxProbationBelowProbation,
    /// A zone is both excluded and admitted.
    #[error("failover.admitted: zone {0} is also listed in held_out")]
    ExcludedAndAdmitted(String),
}

impl Settings {
    /// Checks every setting; the error names the first invalid one.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_numbers()?;
        self.check_tiers()?;
        for zone in &self.admitted_zones {
            if self.excluded_zones.contains(zone) {
                return Err(SettingsError::ExcludedAndAdmitted(zone.clone()));
            }
        }
        Ok(())
    }

    fn check_numbers(&self) -> Result<(), SettingsError> {
        let numbers = [
            ("least_machines", self.min_machines as f64, 1.0, 1000.0),
            ("suspect_share", self.suspect_share, 0.1, 1.0),
            ("lost_share", self.lost_share, 0.1, 1.0),
            ("return_share", self.return_share, 0.1, 1.0),
            ("ramp_share", self.ramp_share, 0.001, 1.0),
        ];
        for (setting, value, low, high) in numbers {
            in_range(setting, value, low, high, "")?;
        }
        let durations = [
            ("confirm_s", self.lost_confirmation, 0.0, 60.0),
            ("probation_s", self.probation, 1.0, 3600.0),
            ("longest_probation_s", self.max_probation, 1.0, 86_400.0),
            ("half_life_s", self.penalty_half_life, 1.0, 86_400.0),
            ("ramp_step_s", self.ramp_step, 0.1, 60.0),
            ("keep_machines_s", self.machine_retention, 0.0, 600.0),
            ("evacuation_s", self.max_evacuation, 1.0, MAX_EVACUATION_S),
        ];
        for (setting, value, low, high) in durations {
            in_range(setting, value.as_secs_f64(), low, high, " seconds")?;
        }
        if self.lost_share < self.suspect_share {
            return Err(SettingsError::LostShareBelowSuspectShare);
        }
        if self.max_probation < self.probation {
            return Err(SettingsError::MaxProbationBelowProbation);
        }
        Ok(())
    }

    fn check_tiers(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        let mut classes = BTreeSet::new();
        for tier in &self.tiers {
            insert_unique("tiers", "tier", &tier.name, &mut names)?;
            if tier.classes.is_empty() {
                return Err(SettingsError::Empty { setting: "tiers", what: "list of classes" });
            }
            for class in &tier.classes {
                insert_unique("tiers", "class", class, &mut classes)?;
            }
        }
        check_known("careful_tiers", "tier", &self.tiers_avoiding_probation, &names)
    }

    /// Checks the names of classes and zones against those that the platform defines. An empty set means that the
    /// platform does not define them, and any name is valid.
    pub fn check_names(&self, classes: &BTreeSet<String>, zones: &BTreeSet<String>) -> Result<(), SettingsError> {
        if !classes.is_empty() {
            let tier_classes = self.tiers.iter().flat_map(|tier| &tier.classes);
            check_known("tiers", "class", tier_classes, classes)?;
            check_known("max_reruns", "class", self.max_reruns.keys(), classes)?;
        }
        if !zones.is_empty() {
            check_known("held_out", "zone", &self.excluded_zones, zones)?;
            check_known("admitted", "zone", &self.admitted_zones, zones)?;
        }
        Ok(())
    }
}

fn in_range(setting: &'static str, value: f64, low: f64, high: f64, unit: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError::Range { setting, low, high, unit }) }
}

/// Adds a name to a set; it must be neither empty nor in the set already.
pub(crate) fn insert_unique(
    setting: &'static str,
    what: &'static str,
    name: &str,
    names: &mut BTreeSet<String>,
) -> Result<(), SettingsError> {
    if name.trim().is_empty() {
        return Err(SettingsError::Empty { setting, what });
    }
    if !names.insert(name.to_owned()) {
        return Err(SettingsError::Duplicate { setting, what, name: name.to_owned() });
    }
    Ok(())
}

impl Settings {
    /// Returns a list of names as a set; names must be unique and not empty.
    pub fn names(
        setting: &'static str,
        what: &'static str,
        listed: &[String],
    ) -> Result<BTreeSet<String>, SettingsError> {
        let mut names = BTreeSet::new();
        for name in listed {
            insert_unique(setting, what, name, &mut names)?;
        }
        Ok(names)
    }
}

/// Checks that all names are defined.
fn check_known<'a>(
    setting: &'static str,
    what: &'static str,
    names: impl IntoIterator<Item = &'a String>,
    known: &BTreeSet<String>,
) -> Result<(), SettingsError> {
    match names.into_iter().find(|name| !known.contains(*name)) {
        None => Ok(()),
        Some(name) => Err(SettingsError::Unknown { setting, what, name: name.clone() }),
    }
}
