//! Renewal of workers' leases while nobody can lead.
//!
//! A leader that ends within an outage of the state service has no successor
//! until the outage ends, and worker leases are shorter than most outages. So
//! the other controllers answer worker heartbeats meanwhile, with the fencing
//! token that the worker knows and without commands: that renews the worker's
//! lease and starts nothing.
//!
//! Such answers would void a leader's proof that the tasks of a silent worker
//! are confirmed terminated (`fleet.rs`). Renewal abstentions keep both apart: a
//! controller that receives a leader's heartbeat answers no worker heartbeat for
//! a while, and acknowledges the leader's heartbeat in its own next one. A leader
//! uses the proof only while the abstentions of all others have covered the whole
//! time that the proof counts. Heartbeats may come late or not at all: the leader
//! counts an abstention from when it *sent* the acknowledged heartbeat, and
//! without abstentions it has no proof. Whoever acknowledges a heartbeat of this
//! term also leads no more, since a heartbeat carries the token that supersedes
//! it. So abstentions of all others are a proof even for workers from which this
//! leader never received a heartbeat: the last heartbeat that anybody answered
//! was sent before the abstentions began.
//!
//! Whoever renews leases may not know of the latest cancellations: the state
//! service may refuse a leader alone while another controller confirms some, and
//! then be down for all. A leader that receives them in a notice of another
//! controller stops their tasks, since an end that was confirmed to a user is
//! durable. But it answers workers only while, for each other controller, all
//! cancellations that this one may have confirmed to users are known up to a
//! moment so short ago that leases still expire within `cancel_s`
//! (`CancellationWatermarks`). Followers that renew stop at the same limit.

mod abstentions;
mod cancellation_watermarks;

pub use abstentions::{LeaderHeartbeat, OutgoingHeartbeat, RenewalAbstentions};
pub use cancellation_watermarks::CancellationWatermarks;

#[cfg(test)]
mod tests;
