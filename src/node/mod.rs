//! One controller process: it keeps the watch cache current, answers users, workers and
//! the other controllers, and runs as a candidate for leadership and as the leader.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `instance` | the state shared by all tasks of the process |
//! | `run`, `tasks` | spawning and stopping of the background tasks and listeners |
//! | `records`, `state_health` | the watch cache, and whether the state service answers |
//! | `candidate`, `leadership`, `term` | participation in elections, and the state of a term |
//! | `leading`, `cloud_loop` | execution of the leader's decisions |
//! | `requests`, `submission`, `users` | users' requests about jobs |
//! | `internal_jobs` | jobs that other components of this process submit and cancel |
//! | `workers`, `follower_renewals` | responses to worker heartbeats |
//! | `messages` | messages to and from the other controllers |
//! | `rejected_heartbeats` | evidence that workers live although the leader may not receive their heartbeats |

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
