//! Stepped rollout: a service's replicas move to a new version in steps, with a way back
//! at any point, and never by our doing do fewer answer than when the change began.
//!
//! [`record`] is the durable state of a service; [`command`] changes it for operators;
//! [`planner`] is the pure state machine that says what its owner does next; an
//! [`Executor`] at each controller takes commands and drives what it owns.

#![warn(missing_docs)]

pub mod command;
mod condition;
mod executor;
mod host;
mod observer;
pub mod planner;
pub mod record;
mod routes;
mod settings;

pub use condition::{ConditionError, PromotionCondition, StepFigures};
pub use executor::{CommandFailure, Executor};
pub use host::{HostError, ProbeResult, ReplicaHost, ReplicaOrder};
pub use routes::serve;
pub use settings::{RolloutSettings, Rollouts, ServiceSettings, is_section, parse_sections};
