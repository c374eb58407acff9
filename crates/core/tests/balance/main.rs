//! Scenario tests of rebalancing. The simulation checks the invariants that users rely on at every step.

mod bursts;
mod failures;
mod support;
