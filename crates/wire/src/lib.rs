//! The messages of every interface of rushyoke. Rust names follow the project's
//! vocabulary; the names on the wire are set by serde.

#![warn(missing_docs)]

pub mod cloud;
pub mod job;
pub mod peer;
pub mod store;
pub mod worker;
