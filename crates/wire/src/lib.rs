//! Message types of all interfaces of rushyoke. Where the names on the wire differ from the Rust names, serde
//! attributes set them.

#![warn(missing_docs)]

pub mod cloud;
pub mod job;
pub mod peer;
pub mod store;
pub mod worker;
