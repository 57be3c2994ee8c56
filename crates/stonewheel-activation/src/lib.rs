//! Scale to zero: a model without traffic is scaled to zero, its next request starts it, and all
//! controllers agree on the one cold start that is under way.
//!
//! [`record`] is the durable state of a model, changed by compare-and-set alone;
//! [`planner`] is the pure state machine that says what a controller does next;
//! [`Activator`] carries that out, holds requests meanwhile and lets them through.
//! What starts and stops replicas is behind [`ReplicaStarter`]. The argument for its
//! safety is in `docs/design/activation.md`.

#![warn(missing_docs)]

mod activator;
mod gateway;
mod holder;
mod model;
pub mod planner;
pub mod record;
mod settings;
mod starter;

pub use activator::{Activator, Admission, ModelStatus, Refusal, conditions_fit_transaction};
pub use gateway::serve;
pub use holder::HolderUsage;
pub use settings::{ActivationSettings, Listen, ModelSettings, is_section, parse_sections};
pub use starter::{ReplicaOrder, ReplicaStarter, Replicas, StarterError};
