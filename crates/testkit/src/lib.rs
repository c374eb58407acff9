//! In-memory stand-ins of everything around the controllers, for tests: the state
//! service, the cloud, workers and the network between them, under one simulated clock.
//! They follow the published protocol and check the users' rules as they go.

#![warn(missing_docs)]

mod cloud;
mod deployment;
mod rules;
mod store;
mod story;
mod worker;
mod world;

pub use cloud::{Cloud, Rented};
pub use deployment::{facts, job, service};
pub use rules::Rules;
pub use store::Store;
pub use story::{all, dependent, job_id, millis, secs};
pub use worker::{Task, Worker};
pub use world::{Interruption, Unreachable, World};
