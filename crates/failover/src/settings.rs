//! What operators set for failover, with units, defaults and checks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Classes of jobs that are placed together, before all later tiers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// The classes.
    pub classes: Vec<String>,
}

/// The operators' settings; all shares are parts of one.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Tiers of classes, the first to be placed first. Classes that none names come after them, by their
    /// priority and guarantee.
    pub tiers: Vec<Tier>,
    /// Tiers whose work keeps off a zone on probation while there is room elsewhere, by name.
    pub tiers_avoiding_probation: BTreeSet<String>,
    /// Machines that must be silent for a zone to be suspected.
    pub min_machines: usize,
    /// Share of a zone's machines that must be out of reach for the zone to be suspected.
    pub suspect_share: f64,
    /// Share of a zone's machines that must be out of reach for the zone to be lost.
    pub lost_share: f64,
    /// For how long they must be out of reach, with calls that failed, before the zone is lost.
    pub lost_confirmation: Duration,
    /// Share of a lost zone's machines that must report in time for the zone to be returning.
    pub return_share: f64,
    /// How long a zone that has returned is on probation.
    pub probation: Duration,
    /// The longest probation of a zone that is lost again and again.
    pub max_probation: Duration,
    /// Time in which the penalty for a loss halves.
    pub penalty_half_life: Duration,
    /// Share of a returned zone's CPUs that may be given work each second at first.
    pub ramp_share: f64,
    /// After so long without trouble that share doubles.
    pub ramp_step: Duration,
    /// How long the silent machines of a lost zone are kept beyond their leases.
    pub machine_retention: Duration,
    /// How long after its loss a zone's evacuation orders placement by tiers at the most.
    pub max_evacuation: Duration,
    /// How often a task of a class may begin anew because of zones; without an entry, as often as needed.
    pub max_reruns: BTreeMap<String, u32>,
    /// Zones that get no new work, whatever they show.
    pub excluded_zones: BTreeSet<String>,
    /// Zones that are let in at once when they return.
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

/// The longest that tiers may order placement after a loss: work of the last tier must not starve.
const LONGEST_EVACUATION_S: f64 = 120.0;

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// A number out of range.
    #[error("failover.{setting}: must be {low} to {high}{unit}")]
    Range {
        /// The setting's name in the operators' file.
        setting: &'static str,
        /// The least that it may be.
        low: f64,
        /// The most that it may be.
        high: f64,
        /// What it counts.
        unit: &'static str,
    },
    /// A name that is empty.
    #[error("failover.{setting}: names an empty {what}")]
    Empty {
        /// The setting's name.
        setting: &'static str,
        /// What should be named.
        what: &'static str,
    },
    /// A name that stands twice.
    #[error("failover.{setting}: {what} {name} stands twice")]
    Duplicate {
        /// The setting's name.
        setting: &'static str,
        /// What is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A name that nothing else names.
    #[error("failover.{setting}: unknown {what} {name}")]
    Unknown {
        /// The setting's name.
        setting: &'static str,
        /// What is named.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// The share for a verdict is below the share for a suspicion.
    #[error("failover.lost_share: must not be below suspect_share")]
    LostShareBelowSuspectShare,
    /// The longest probation is shorter than the first.
    #[error("failover.longest_probation_s: must not be below probation_s")]
    MaxProbationBelowProbation,
    /// A zone is to be held out and let in.
    #[error("failover.admitted: zone {0} is held out too")]
    ExcludedAndAdmitted(String),
}

impl Settings {
    /// Checks every setting; the error names the first that makes no sense.
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
        let shares = [
            ("least_machines", self.min_machines as f64, 1.0, 1000.0),
            ("suspect_share", self.suspect_share, 0.1, 1.0),
            ("lost_share", self.lost_share, 0.1, 1.0),
            ("return_share", self.return_share, 0.1, 1.0),
            ("ramp_share", self.ramp_share, 0.001, 1.0),
        ];
        for (setting, value, low, high) in shares {
            in_range(setting, value, low, high, "")?;
        }
        let times = [
            ("confirm_s", self.lost_confirmation, 0.0, 60.0),
            ("probation_s", self.probation, 1.0, 3600.0),
            ("longest_probation_s", self.max_probation, 1.0, 86_400.0),
            ("half_life_s", self.penalty_half_life, 1.0, 86_400.0),
            ("ramp_step_s", self.ramp_step, 0.1, 60.0),
            ("keep_machines_s", self.machine_retention, 0.0, 600.0),
            ("evacuation_s", self.max_evacuation, 1.0, LONGEST_EVACUATION_S),
        ];
        for (setting, value, low, high) in times {
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
            named_once("tiers", "tier", &tier.name, &mut names)?;
            if tier.classes.is_empty() {
                return Err(SettingsError::Empty { setting: "tiers", what: "list of classes" });
            }
            for class in &tier.classes {
                named_once("tiers", "class", class, &mut classes)?;
            }
        }
        known("careful_tiers", "tier", &self.tiers_avoiding_probation, &names)
    }

    /// Checks names against the classes and the zones that the platform knows; of what it does not tell
    /// any name may be.
    pub fn check_names(&self, classes: &BTreeSet<String>, zones: &BTreeSet<String>) -> Result<(), SettingsError> {
        if !classes.is_empty() {
            let tiered = self.tiers.iter().flat_map(|tier| &tier.classes);
            known("tiers", "class", tiered, classes)?;
            known("max_reruns", "class", self.max_reruns.keys(), classes)?;
        }
        if !zones.is_empty() {
            known("held_out", "zone", &self.excluded_zones, zones)?;
            known("admitted", "zone", &self.admitted_zones, zones)?;
        }
        Ok(())
    }
}

fn in_range(setting: &'static str, value: f64, low: f64, high: f64, unit: &'static str) -> Result<(), SettingsError> {
    if (low..=high).contains(&value) { Ok(()) } else { Err(SettingsError::Range { setting, low, high, unit }) }
}

/// Takes a name into a list of names; it must be neither empty nor there already.
pub(crate) fn named_once(
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
    /// A list of names as a set; no name may be empty or stand twice.
    pub fn names(
        setting: &'static str,
        what: &'static str,
        listed: &[String],
    ) -> Result<BTreeSet<String>, SettingsError> {
        let mut names = BTreeSet::new();
        for name in listed {
            named_once(setting, what, name, &mut names)?;
        }
        Ok(names)
    }
}

fn known<'a>(
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
