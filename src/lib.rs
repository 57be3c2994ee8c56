//! stonewheel: a scheduler for fleets that serve language models.
//!
//! A leading controller periodically admits waiting elastic jobs in arrival
//! order and sets every job's width by a dynamic program maximising summed
//! throughput scaling factors, resizing through checkpoint and resume.

#![warn(missing_docs)]

pub mod activation;
pub mod admission_limit;
pub mod cloud;
pub mod controller;
pub mod coordination;
pub mod dependencies;
pub mod election;
pub mod fencing;
pub mod fleet;
pub mod http;
pub mod lease_renewal;
pub mod lending;
pub mod node;
pub mod peers;
pub mod replica_jobs;
pub mod replies;
pub mod rollout;
pub mod scheduler;
pub mod settings;
pub mod state;
pub mod store;
pub mod worker_client;

pub use stonewheel_protocol as protocol;
