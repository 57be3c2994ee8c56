//! The interface of the state service as the controllers use it, and its errors.

use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Events, ItemPage, Transaction};
use thiserror::Error;

/// The error of a request to the state service. The variants differ in whether the
/// request may still have taken effect.
#[derive(Clone, Debug, Error)]
pub enum StateError {
    /// Status 503 or 429. The request had no effect and may be retried.
    #[error("state service refused the request with status {0}")]
    Refused(StatusCode),
    /// Status 400: the request is malformed or exceeds a limit of the service. It had
    /// no effect, and a retry would fail in the same way. Holds the response body.
    #[error("state service rejected the request: {0}")]
    Rejected(String),
    /// Status 409: these keys don't have the versions that the transaction expects.
    /// It had no effect.
    #[error("transaction conflicts on keys {0:?}")]
    Conflict(Vec<String>),
    /// Status 404, or 400 with a body that names the lease: the lease has expired or
    /// was revoked.
    #[error("lease expired or revoked")]
    LeaseExpired,
    /// Status 410: the service no longer keeps the changes after this revision, so a
    /// watch can't resume from it. All records must be read again.
    #[error("watch revision is too old")]
    RevisionTooOld,
    /// The request may have taken effect, or may still take effect later.
    #[error("outcome of the request is unknown: {0}")]
    OutcomeUnknown(#[from] CallError),
}

/// The requests that controllers make to the state service. A trait, so that tests can
/// run against an in-memory store.
pub trait StateApi: Send + Sync {
    /// Returns one page of the items whose keys begin with `prefix`, in key order.
    /// The page starts after the key `since`, or at the first item if `since` is empty.
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>>;

    /// Commits a transaction if all its conditions hold, and returns the revision that
    /// the service assigned to it.
    fn transact(&self, transaction: &Transaction) -> BoxFuture<'_, Result<u64, StateError>>;

    /// Creates a lease that expires after `ttl` unless it is renewed, and returns its
    /// number.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>>;

    /// Renews a lease: it then expires after its full time to live, counted from now.
    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;

    /// Ends a lease immediately, which deletes the keys that are attached to it.
    fn revoke_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;

    /// Returns the changes to keys that begin with `prefix` after the revision `since`.
    /// If there is none yet, the request waits for the first one, for `wait` at most.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>>;
}
