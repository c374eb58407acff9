//! Evaluates direct calls to a sample of machines when some become unresponsive, to distinguish a partitioned
//! zone, or a partition of much of the fleet, from a few dead machines.

use std::collections::{BTreeMap, BTreeSet};

/// Machines of a zone that must have been probed before the zone can be considered partitioned.
const MIN_PROBES_PER_ZONE: usize = 6;
/// Share of failed calls, as numerator and denominator, from which on this node itself is likely unreachable.
const UNREACHABLE_NODE_SHARE: (usize, usize) = (4, 5);

/// A number of machines, and of the on-demand machines among them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MachineCounts {
    /// All machines.
    pub all: usize,
    /// On-demand machines, which the cloud does not reclaim.
    pub on_demand: usize,
}

impl MachineCounts {
    /// Counts a machine.
    pub fn add_machine(&mut self, spot: bool) {
        self.all += 1;
        self.on_demand += usize::from(!spot);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneTally {
    probed: usize,
    unresponsive: usize,
}

/// Results of probing a sample of machines, by zone.
#[derive(Clone, Debug, Default)]
pub struct SurveySample {
    zones: BTreeMap<String, ZoneTally>,
    probed: MachineCounts,
    unresponsive: MachineCounts,
    /// Machines whose direct call failed, whether or not they report.
    calls_failed: usize,
}

impl SurveySample {
    /// Adds a machine that was probed. `call_failed` tells whether it did not respond, and `unresponsive` whether it
    /// does not report either.
    pub fn add_result(&mut self, zone: &str, spot: bool, unresponsive: bool, call_failed: bool) {
        let tally = self.zones.entry(zone.to_owned()).or_default();
        tally.probed += 1;
        tally.unresponsive += usize::from(unresponsive);
        self.probed.add_machine(spot);
        self.calls_failed += usize::from(call_failed);
        if unresponsive {
            self.unresponsive.add_machine(spot);
        }
    }

    /// Returns the zones of which most probed machines are unresponsive, unless that is so in every zone.
    pub fn partitioned_zones(&self) -> BTreeSet<String> {
        let (unreachable, reachable): (Vec<_>, Vec<_>) =
            self.zones.iter().partition(|(_, tally)| tally.unresponsive * 2 > tally.probed);
        let is_conclusive =
            |(_, tally): &(&String, &ZoneTally)| tally.probed >= MIN_PROBES_PER_ZONE && !reachable.is_empty();
        unreachable.into_iter().filter(is_conclusive).map(|(zone, _)| zone.clone()).collect()
    }

    /// Estimates the number of unresponsive machines in the fleet by extrapolating the sample.
    pub fn estimate_unresponsive(&self, fleet: MachineCounts) -> MachineCounts {
        let extrapolate = |unresponsive: usize, probed: usize, fleet: usize| unresponsive * fleet / probed.max(1);
        MachineCounts {
            all: extrapolate(self.unresponsive.all, self.probed.all, fleet.all),
            on_demand: extrapolate(self.unresponsive.on_demand, self.probed.on_demand, fleet.on_demand),
        }
    }

    /// Whether so many calls failed that this node is likely unreachable, rather than the machines.
    pub fn most_calls_failed(&self) -> bool {
        self.probed.all > 0
            && self.calls_failed * UNREACHABLE_NODE_SHARE.1 >= self.probed.all * UNREACHABLE_NODE_SHARE.0
    }
}
