//! The HTTP client of the state service.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use stonewheel_http_client::{CallError, HttpClient, Response};
use stonewheel_protocol::{
    Committed, Events, FailedConditions, ItemPage, LeaseGrant, LeaseRequest, Transaction,
};

use crate::{StateApi, StateError};

/// The number of idle connections that are kept open for reuse.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// The page size of a list request, in items.
const LIST_LIMIT: usize = 500;
/// The text in the body of a 400 response to a transaction whose lease has expired.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

/// The state service, reached over HTTP.
pub struct HttpState {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
}

impl HttpState {
    /// Returns a client of the state service at `address`. One call may take `timeout`;
    /// an unused connection is kept open for `idle_timeout`.
    pub fn new(address: SocketAddr, timeout: Duration, idle_timeout: Duration) -> Self {
        let client = HttpClient::new(MAX_IDLE_CONNECTIONS, idle_timeout, timeout);
        Self { client, address, timeout }
    }

    /// Maps a response whose status is not 200 to its error.
    fn error_from_response(response: &Response) -> StateError {
        match response.status.as_u16() {
            503 | 429 => StateError::Refused(response.status),
            410 => StateError::RevisionTooOld,
            404 => StateError::LeaseExpired,
            409 => match response.parse::<FailedConditions>() {
                Ok(conditions) => StateError::Conflict(conditions.failed),
                Err(e) => StateError::OutcomeUnknown(e),
            },
            400 if contains(&response.body, NO_SUCH_LEASE) => StateError::LeaseExpired,
            400 => StateError::Rejected(String::from_utf8_lossy(&response.body).into_owned()),
            other => StateError::OutcomeUnknown(CallError::Malformed(format!("status {other}"))),
        }
    }

    async fn call<B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: String,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<Response, StateError> {
        let response = self.client.call(method, self.address, &path, body, timeout).await?;
        if response.status == StatusCode::OK {
            Ok(response)
        } else {
            Err(Self::error_from_response(&response))
        }
    }
}

impl StateApi for HttpState {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>> {
        let mut path = format!("/kv?Prefix={prefix}&Limit={LIST_LIMIT}");
        if !since.is_empty() {
            path.push_str("&Since=");
            path.push_str(since);
        }
        Box::pin(async move {
            // A page may have half a megabyte, so it gets twice the usual time.
            let response = self.call::<()>(Method::GET, path, None, self.timeout * 2).await?;
            Ok(response.parse()?)
        })
    }

    fn transact(&self, transaction: &Transaction) -> BoxFuture<'_, Result<u64, StateError>> {
        let transaction = transaction.clone();
        Box::pin(async move {
            let response =
                self.call(Method::POST, "/multi".into(), Some(&transaction), self.timeout).await?;
            Ok(response.parse::<Committed>()?.revision)
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>> {
        let body = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        Box::pin(async move {
            let response =
                self.call(Method::POST, "/leases".into(), Some(&body), self.timeout).await?;
            Ok(response.parse::<LeaseGrant>()?.lease)
        })
    }

    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}/touch");
            self.call::<()>(Method::POST, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn revoke_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}");
            self.call::<()>(Method::DELETE, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>> {
        let path = format!("/follow?Prefix={prefix}&Since={since}&BlockMs={}", wait.as_millis());
        Box::pin(async move {
            let response = self.call::<()>(Method::GET, path, None, wait + self.timeout).await?;
            Ok(response.parse()?)
        })
    }
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
