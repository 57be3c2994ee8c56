//! HTTP, both sides: the routes and the listener for users and workers, and the
//! client.

mod body;
mod responses;
mod routes;
pub mod server;

pub use routes::{RequestHandler, routes};
pub use stonewheel_http_client as client;
pub use stonewheel_http_server::listen;
