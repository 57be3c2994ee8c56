//! HTTP, both sides: warp routes for users and workers, and the client.

pub mod client;
pub mod server;
