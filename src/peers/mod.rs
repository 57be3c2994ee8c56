//! Links between the controllers: each sends the others heartbeats several times per
//! leader lease, in bitcode frames over TCP.
//!
//! A heartbeat carries no authority. It lets a superseded leader learn of its
//! successor, a node that alone lost the state service learn that it is the only
//! one, a leader know that nobody else renews workers' leases
//! (`lease_renewal`), and a leader that receives no worker heartbeats learn
//! that the workers live.
//!
//! `frames` encodes and decodes messages, `links` sends and receives them, and
//! `peer_status` holds what this controller knows of the others.

mod frames;
mod links;
mod peer_status;

pub use frames::{
    MIN_FRAME_LIMIT, Message, SUPPORTED_FEATURES, decode, encode, frame_limit_for,
    max_cancellations_per_frame,
};
pub use links::{LinkSettings, MessageHandler, listen, max_links, send_heartbeats};
pub use peer_status::Peers;

#[cfg(test)]
mod tests;
