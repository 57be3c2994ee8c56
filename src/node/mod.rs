//! One controller: its watch cache, what it answers users, workers and the other
//! controllers, and the background tasks that keep it going.
//!
//! | module | job |
//! | --- | --- |
//! | `instance` | the state that all tasks share |
//! | `run` | the background tasks and listeners |
//! | `records` | keeps the watch cache current |
//! | `candidate`, `leadership`, `term` | the node in an election, and the term it won |
//! | `leading`, `cloud_loop` | carries out what the leader decides |
//! | `requests`, `submission`, `users`, `internal_jobs` | requests about jobs |
//! | `workers`, `follower_renewals` | answers to worker heartbeats |
//! | `messages`, `rejected_heartbeats` | heartbeats of the other controllers |

mod candidate;
mod cloud_loop;
mod follower_renewals;
mod instance;
mod internal_jobs;
mod leadership;
mod leading;
mod messages;
mod records;
mod rejected_heartbeats;
mod requests;
mod run;
mod state_health;
mod submission;
mod tasks;
mod term;
mod users;
mod workers;

pub use crate::replies::{HeartbeatReply, Unavailable, UserReply};
pub use instance::Node;
pub use internal_jobs::InternalJobReply;
