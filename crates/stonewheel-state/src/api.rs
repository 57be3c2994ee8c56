//! What the controllers ask of the state service, and how it may fail.

use std::time::Duration;

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Events, ItemPage, Transaction};
use thiserror::Error;

/// Why the state service did not do as asked, or may not have.
#[derive(Clone, Debug, Error)]
pub enum StateError {
    /// 503 or 429: certainly not carried out.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// 400: malformed, or larger than the service takes. Certainly not carried
    /// out, and no repeat will be.
    #[error("rejected: {0}")]
    Rejected(String),
    /// 409: these keys had another version. Certainly not carried out.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// 404 or 400 on a lease: it has expired or was revoked.
    #[error("no such lease")]
    LeaseExpired,
    /// 410: the service keeps no changes that old, so a watch can't go on from
    /// this revision. All records must be read again.
    #[error("revision too old")]
    RevisionTooOld,
    /// It may have been carried out, or may still be.
    #[error("unsure: {0}")]
    OutcomeUnknown(#[from] CallError),
}

/// What the controllers ask of the state service. Behind a trait so that tests
/// run against a store in memory.
pub trait StateApi: Send + Sync {
    /// A page of the items whose keys begin with `prefix`, in the order of the
    /// keys, after the key `since` (empty: from the first).
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>>;

    /// Carries out a transaction, if all its conditions hold, and returns the
    /// revision that it got.
    fn transact(&self, transaction: &Transaction) -> BoxFuture<'_, Result<u64, StateError>>;

    /// Grants a lease that expires after `ttl` unless it is renewed.
    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>>;

    /// Renews a lease for its whole time.
    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;

    /// Ends a lease at once, and deletes the keys that are attached to it.
    fn revoke_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;

    /// The changes to keys that begin with `prefix` after the revision `since`.
    /// Without any it waits for the first, for `wait` at most.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>>;
}
