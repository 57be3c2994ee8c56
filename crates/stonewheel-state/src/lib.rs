//! Access to the state service, a consensus-backed key-value store: the client trait with
//! its HTTP implementation, rate limits for requests and writes, and a writer that groups
//! changes into transactions.

#![warn(missing_docs)]

mod api;
mod budget;
mod http;
mod locks;
mod versioned;
mod writer;

pub use api::{StateApi, StateError};
pub use budget::{Budget, Reserve};
pub use http::HttpState;
pub use locks::lock;
pub use versioned::Versioned;
pub use writer::{MAX_IN_FLIGHT, Writer, WriterLimits};
