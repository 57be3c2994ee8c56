//! What the controllers ask of the state service, and how it may fail.

use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Events, ItemPage, Transaction};
use thiserror::Error;

/// Why the state service did not do as asked, or may not have.
#[derive(Debug, Error)]
pub enum StateError {
    /// 503 or 429: certainly not carried out.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// 400: malformed, or larger than the service takes. Certainly not carried
    /// out, and no repeat will be.
    #[error("rejected: {0}")]
    Rejected(String),
    /// 409: these keys had another version.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// 404 or 400 on a lease: it has ended.
    #[error("no such lease")]
    NoLease,
    /// 410: the watch's revision is too old.
    #[error("revision too old")]
    TooOld,
    /// It may have been carried out, or may still be.
    #[error("unsure: {0}")]
    Unsure(#[from] CallError),
}

/// What the controllers ask of the state service. Behind a trait so that
/// stories can be told against a store in memory.
pub trait StateApi: Send + Sync {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>>;
    fn multi(&self, txn: &Transaction) -> BoxFuture<'_, Result<u64, StateError>>;
    fn lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>>;
    fn touch(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;
    fn drop_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;
    fn follow(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>>;
}
