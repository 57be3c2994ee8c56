//! Access to the state service through the controller's own budget and writer, so that all
//! parts together keep within its share.

use std::sync::Arc;

use serde::Serialize;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Condition, Events, Item, Write};
use stonewheel_state::{Budget, Reserve, StateApi, StateError, Writer};
use tokio::time::Duration;

use crate::PREFIX;

/// The state service within this controller's share.
#[derive(Clone)]
pub struct Store {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writer: Arc<Writer>,
}

impl Store {
    /// `requests` and `writer` are those of the whole controller.
    pub fn new(api: Arc<dyn StateApi>, requests: Arc<Budget>, writer: Arc<Writer>) -> Self {
        Self { api, requests, writer }
    }

    /// All shared records, and the revision at which the reading began.
    pub(crate) async fn read_all(&self) -> Result<(Vec<Item>, u64), StateError> {
        let mut items = Vec::new();
        let mut since = String::new();
        let mut began = None;
        loop {
            self.requests.take_with_reserve(1.0, Reserve::Quarter).await;
            let page = self.api.list(PREFIX, &since).await?;
            began.get_or_insert(page.revision);
            if let Some(last) = page.items.last() {
                since.clone_from(&last.key);
            }
            let more = page.more && !page.items.is_empty();
            items.extend(page.items);
            if !more {
                return Ok((items, began.unwrap_or(0)));
            }
        }
    }

    /// What changed after a revision; waits for it up to `wait`.
    pub(crate) async fn watch(&self, since: u64, wait: Duration) -> Result<Events, StateError> {
        let reserve = if wait.is_zero() { Reserve::Quarter } else { Reserve::Half };
        self.requests.take_with_reserve(1.0, reserve).await;
        self.api.watch(PREFIX, since, wait).await
    }

    /// Commits a change, and returns its revision.
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
        // If it can't be revoked it expires by itself.
        let _ = self.api.revoke_lease(lease).await;
    }
}

/// A write of a value, attached to a lease or to none.
pub fn put<T: Serialize>(key: String, value: &T, lease: Option<u64>) -> Result<Write, StateError> {
    let value = serde_json::value::to_raw_value(value)
        .map_err(|error| StateError::OutcomeUnknown(CallError::Malformed(error.to_string())))?;
    Ok(Write::Put { key, value, lease })
}
