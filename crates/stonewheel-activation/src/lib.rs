//! Scale to zero: a model without traffic is scaled to zero replicas, and the next request
//! starts them again. All controllers agree on a single cold start at a time.
//!
//! [`record`] is the durable state of a model, changed only by compare-and-set;
//! [`planner`] is the pure state machine that chooses a controller's next step;
//! [`Activator`] carries the steps out, and holds requests until the model is ready.
//! Replicas are started and stopped through [`ReplicaStarter`]. The safety argument is
//! in `docs/design/activation.md`.

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
