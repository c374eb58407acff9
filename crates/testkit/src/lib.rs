//! In-memory fakes of everything around the controllers, for tests: the state service,
//! the cloud, workers, users and the network between them, driven by one simulated clock.
//! They follow the published protocol. A [`Checker`] verifies the guarantees given to users
//! while a scenario runs.

#![warn(missing_docs)]

mod checker;
mod cloud;
mod deployment;
mod scenario;
mod simulation;
mod store;
mod worker;

pub use checker::Checker;
pub use cloud::{Cloud, RentedMachine};
pub use deployment::{facts, job, service};
pub use scenario::{all_in_state, dependent_job, job_id, millis, secs};
pub use simulation::{MachineFault, NetworkInterruption, Simulation};
pub use store::Store;
pub use worker::{Task, Worker};
