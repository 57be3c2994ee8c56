//! Renewal of worker leases while no controller can lead.
//!
//! If a leader ends during an outage of the state service, no successor can be elected
//! until the outage ends, and worker leases are shorter than most outages. Meanwhile the
//! other controllers answer worker heartbeats as followers, with the fencing token that
//! the worker already knows and with no commands except those that stop tasks of
//! cancelled jobs. Such an answer renews the worker's lease and starts nothing.
//!
//! A leader takes the tasks of a silent worker as terminated once the worker's lease
//! must have expired (`fleet.rs`). Answers by followers would invalidate this proof.
//! Renewal abstentions prevent that: a controller that receives a leader's heartbeat
//! answers no worker heartbeat for a fixed time, and acknowledges the leader's heartbeat
//! in its own next one. The leader uses the proof only while the abstentions of all other
//! controllers have covered the whole period that the proof counts. Heartbeats may be
//! late or lost: the leader counts an abstention from when it *sent* the acknowledged
//! heartbeat, and without abstentions it has no proof. A controller that acknowledges a
//! heartbeat of this term no longer leads an earlier term either, since the heartbeat
//! carries a token that supersedes its own. So the abstentions of all others are a proof
//! even for workers from which this leader never received a heartbeat: the last worker
//! heartbeat that another controller answered was sent before the abstentions began.
//!
//! A controller that renews leases may not know the latest cancellations. For example,
//! the state service may refuse only the leader's requests while another controller
//! confirms cancellations, and then become unavailable to all controllers. A controller that
//! receives such cancellations in a notice from another one stops their tasks,
//! since an end that was confirmed to a user is durable. A controller, as the leader or as a
//! follower, renews leases only while it knows, for each controller, all cancellations that any
//! of its processes may have confirmed up to a recent moment (`KnownCancellations`). The moment
//! must be recent enough for worker leases to expire within `cancel_s` of a later cancellation.
//!
//! What a process knows is lost when it crashes, and one that starts during an outage can read
//! nothing. So no controller confirms a cancellation to a user before the controllers that
//! it is in contact with have acknowledged it (`CancellationReplication`), and a started process
//! renews no lease until the others have told it what they know.

mod abstentions;
mod cancellation_replication;
mod known_cancellations;

pub use abstentions::{LeaderHeartbeat, OutgoingHeartbeat, RenewalAbstentions};
pub use cancellation_replication::{CancellationReplication, Position, ReplicationClaim};
pub use known_cancellations::{KnowledgeReport, KnownCancellations};

#[cfg(test)]
mod replication_tests;
#[cfg(test)]
mod tests;
