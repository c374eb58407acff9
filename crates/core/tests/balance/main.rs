//! Stories of load spreading. The world checks the users' rules at every step.

mod bursts;
mod failures;
mod support;
