//! Stepped rollout: a service's replicas move to a new version in steps. The rollout can be
//! rolled back at any point, and no step of it reduces the number of answering replicas
//! below the number that answered when it began.
//!
//! [`record`] is the durable state of a service; [`command`] applies operators' commands to
//! it; [`planner`] is the pure state machine that decides what the owner of a service does
//! next; an [`Executor`] on each controller takes commands and drives the services that it
//! owns.

#![warn(missing_docs)]

pub mod command;
pub mod command_markers;
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
