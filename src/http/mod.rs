//! HTTP server and client: the routes and the listener for users, the load balancer
//! and workers, and the client for calls to workers and other services.

mod body;
mod responses;
mod routes;
pub mod server;

pub use routes::{RequestHandler, routes};
pub use stonewheel_http_client as client;
pub use stonewheel_http_server::listen;
