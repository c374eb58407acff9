//! The scheduler of rushyoke as a state machine: [`Node::handle`] takes an input and returns the
//! calls and responses to send. It does no I/O and has no clock or source of randomness of its
//! own: the caller passes the time of the steady clock, the time of day and a seed.

#![warn(missing_docs)]

mod calls;
mod dependencies;
mod election;
mod env;
mod facts;
mod failover;
mod fleet;
mod io;
mod jobs;
mod node;
mod place;
mod preempt;
mod quota;
mod rebalance;
mod records;
mod recover;
mod relay;
mod rent;
pub mod speculate;
mod term;
mod users;

pub use rushyoke_balance::{Settings as BalanceSettings, SettingsError as BalanceSettingsError};
pub use rushyoke_failover::{Settings as FailoverSettings, SettingsError as FailoverSettingsError, Tier};

pub use env::Now;
pub use facts::{Facts, Objective, Policy, Team};
pub use fleet::stop_statistics::PendingStops;
pub use io::{
    CallId, CloudOp, CloudResponse, HttpResponse, Input, Outcome, Output, RequestId, StoreOp, StoreResponse, Urgency,
};
pub use node::Node;
