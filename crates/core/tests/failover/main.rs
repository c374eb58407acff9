//! Stories of zones that are lost and return. The world checks the users' rules at every step.

mod evacuation;
mod leaders;
mod returns;
mod support;
