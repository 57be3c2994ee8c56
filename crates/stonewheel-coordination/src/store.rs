//! Access to the state service through the budget and the writer of the whole controller, so
//! that all its parts together keep within its share of the limits.

use std::sync::Arc;

use serde::Serialize;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Condition, Events, Item, Write};
use stonewheel_state::{Budget, Reserve, StateApi, StateError, Writer};
use tokio::time::Duration;

use crate::PREFIX;

/// The state service, used within this controller's share of the limits.
#[derive(Clone)]
pub struct Store {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writer: Arc<Writer>,
}

impl Store {
    /// Returns a store that uses the request budget and the writer of the whole controller.
    pub fn new(api: Arc<dyn StateApi>, requests: Arc<Budget>, writer: Arc<Writer>) -> Self {
        Self { api, requests, writer }
    }

    /// Reads all shared records. Also returns the revision at which the first page was read:
    /// later changes may be missing from the records.
    pub(crate) async fn read_all(&self) -> Result<(Vec<Item>, u64), StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut start_revision = None;
        loop {
            self.requests.take_with_reserve(1.0, Reserve::Quarter).await;
            let page = self.api.list(PREFIX, &since).await?;
            start_revision.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, start_revision.unwrap_or(0)));
            }
        }
    }

    /// Returns the changes after the revision `since`; waits for the first one up to `wait`.
    pub(crate) async fn watch(&self, since: u64, wait: Duration) -> Result<Events, StateError> {
        let reserve = if wait.is_zero() { Reserve::Quarter } else { Reserve::Half };
        self.requests.take_with_reserve(1.0, reserve).await;
        self.api.watch(PREFIX, since, wait).await
    }

    /// Commits a change and returns its revision.
    pub(crate) async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        self.writer.commit(conditions, writes).await
    }

    pub(crate) async fn grant_lease(&self, ttl: Duration) -> Result<u64, StateError> {
        self.requests.take(1.0).await;
        self.api.grant_lease(ttl).await
    }

    pub(crate) async fn renew_lease(&self, lease: u64) -> Result<(), StateError> {
        self.requests.take(1.0).await;
        self.api.renew_lease(lease).await
    }

    pub(crate) async fn revoke_lease(&self, lease: u64) {
        self.requests.take(1.0).await;
        // A lease that can't be revoked expires by itself.
        let _ = self.api.revoke_lease(lease).await;
    }
}

/// Returns a write that sets `key` to `value`, attached to a lease if one is given.
pub fn put<T: Serialize>(key: String, value: &T, lease: Option<u64>) -> Result<Write, StateError> {
    let value = serde_json::value::to_raw_value(value)
        .map_err(|error| StateError::OutcomeUnknown(CallError::Malformed(error.to_string())))?;
    Ok(Write::Put { key, value, lease })
}
