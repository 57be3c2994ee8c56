//! Links between the controllers: each controller sends every other one heartbeats several
//! times per leader lease, in bitcode frames over TCP.
//!
//! A heartbeat grants no authority. From heartbeats
//!
//! - a superseded leader learns of its successor,
//! - a controller that cannot reach the state service learns whether the others can,
//! - a leader learns that no other controller renews workers' leases
//!   (`lease_renewal`),
//! - all controllers learn of cancellations and of what the others know of them, and
//! - a leader that receives no worker heartbeats learns that the workers are alive.
//!
//! `frames` encodes and decodes messages, `links` sends and receives them, and
//! `peer_status` records what the other controllers reported.

mod frames;
mod links;
mod peer_status;

pub use frames::{
    MIN_FRAME_LIMIT, Message, SUPPORTED_FEATURES, decode, encode, frame_limit_for,
    max_cancellations_per_frame,
};
pub use links::{LinkSettings, MessageHandler, listen, max_links, send_heartbeats};
pub use peer_status::{PeerTimings, Peers, SyncedHeartbeat};

#[cfg(test)]
mod tests;
