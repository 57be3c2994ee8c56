//! stonewheel: a scheduler for fleets that serve language models.
//!
//! The controllers elect a leader. Periodically the leader admits waiting elastic jobs in
//! arrival order and sets the width of each job by a dynamic program that maximises the sum of
//! the throughput scaling factors. Jobs are resized by checkpoint and resume.

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
