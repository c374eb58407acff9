//! Scenario tests of zones that are lost and return. The simulation checks the invariants that users rely on at every
//! step.

mod evacuation;
mod leaders;
mod returns;
mod support;
