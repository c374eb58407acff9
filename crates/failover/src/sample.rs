//! What a sample of the machines tells when some fall silent: whether a zone, or a good part of the fleet,
//! is cut off rather than a few machines dead.

use std::collections::{BTreeMap, BTreeSet};

/// Machines of a zone that must have been asked for the zone to be taken for cut off.
const ASKED_OF_ZONE: usize = 6;
/// Of those asked so many parts of so many must be mute for this node to be out of reach itself.
const MOST: (usize, usize) = (4, 5);

/// Machines, and the ordinary ones among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineCounts {
    /// All.
    pub all: usize,
    /// Those that the cloud does not take back.
    pub ordinary: usize,
}

impl MachineCounts {
    /// Counts a machine.
    pub fn add_machine(&mut self, spot: bool) {
        self.all += 1;
        self.ordinary += usize::from(!spot);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: usize,
    failed: usize,
}

/// Answers of a sample of machines, by zone.
#[derive(Clone, Debug, Default)]
pub struct SurveySample {
    zones: BTreeMap<String, Tally>,
    asked: MachineCounts,
    failed: MachineCounts,
    mute: usize,
}

impl SurveySample {
    /// Counts a machine that was asked: `failed` if it is silent too, `mute` if it did not answer, whatever
    /// it reports.
    pub fn add_result(&mut self, zone: &str, spot: bool, failed: bool, mute: bool) {
        let tally = self.zones.entry(zone.to_owned()).or_default();
        tally.asked += 1;
        tally.failed += usize::from(failed);
        self.asked.add_machine(spot);
        self.mute += usize::from(mute);
        if failed {
            self.failed.add_machine(spot);
        }
    }

    /// Zones of which most did not answer, while most of another zone did.
    pub fn partitioned_zones(&self) -> BTreeSet<String> {
        let (cut, whole): (Vec<_>, Vec<_>) = self.zones.iter().partition(|(_, tally)| tally.failed * 2 > tally.asked);
        let enough = |(_, tally): &(&String, &Tally)| tally.asked >= ASKED_OF_ZONE && !whole.is_empty();
        cut.into_iter().filter(enough).map(|(zone, _)| zone.clone()).collect()
    }

    /// How many of a fleet are silent, by the sample.
    pub fn estimate_unresponsive(&self, fleet: MachineCounts) -> MachineCounts {
        let part = |failed: usize, asked: usize, fleet: usize| failed * fleet / asked.max(1);
        MachineCounts {
            all: part(self.failed.all, self.asked.all, fleet.all),
            ordinary: part(self.failed.ordinary, self.asked.ordinary, fleet.ordinary),
        }
    }

    /// Whether so many did not answer that this node is out of reach, rather than they.
    pub fn most_calls_failed(&self) -> bool {
        self.asked.all > 0 && self.mute * MOST.1 >= self.asked.all * MOST.0
    }
}
