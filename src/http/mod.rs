//! HTTP, both sides: warp routes for users and workers, and the client.

mod body;
pub mod server;

pub use stonewheel_http_client as client;
pub use stonewheel_http_server::listen;
