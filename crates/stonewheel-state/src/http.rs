//! The state service over HTTP.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use stonewheel_http_client::{Answer, CallError, HttpClient};
use stonewheel_protocol::{
    Committed, Events, ItemPage, LeaseGrant, LeaseRequest, Refused, Transaction,
};

use crate::{StateApi, StateError};

/// Connections that are kept for later calls.
const IDLE_CONNECTIONS: usize = 8;

/// The state service over HTTP.
pub struct HttpState {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpState {
    /// `timeout`: how long one call may take. `keep`: how long an unused
    /// connection is kept.
    pub fn new(addr: SocketAddr, timeout: Duration, keep: Duration) -> Self {
        Self { client: HttpClient::new(IDLE_CONNECTIONS, keep, timeout), addr, timeout }
    }

    fn refused(answer: &Answer) -> StateError {
        match answer.status.as_u16() {
            503 | 429 => StateError::Refused(answer.status),
            410 => StateError::TooOld,
            404 => StateError::NoLease,
            409 => match answer.parse::<Refused>() {
                Ok(refused) => StateError::Conflict(refused.failed),
                Err(e) => StateError::Unsure(e),
            },
            400 if answer.body.windows(13).any(|w| w == b"no such lease") => StateError::NoLease,
            400 => StateError::Rejected(String::from_utf8_lossy(&answer.body).into_owned()),
            other => StateError::Unsure(CallError::Malformed(format!("status {other}"))),
        }
    }

    async fn call<B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: String,
        body: Option<&B>,
        within: Duration,
    ) -> Result<Answer, StateError> {
        let answer = self.client.call(method, self.addr, &path, body, within).await?;
        if answer.status == StatusCode::OK { Ok(answer) } else { Err(Self::refused(&answer)) }
    }
}

impl StateApi for HttpState {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>> {
        let mut path = format!("/kv?Prefix={prefix}&Limit=500");
        if !since.is_empty() {
            path.push_str("&Since=");
            path.push_str(since);
        }
        Box::pin(async move {
            // A page may hold half a megabyte; the answer takes its time.
            let answer = self.call::<()>(Method::GET, path, None, self.timeout * 2).await?;
            Ok(answer.parse()?)
        })
    }

    fn multi(&self, txn: &Transaction) -> BoxFuture<'_, Result<u64, StateError>> {
        let txn = txn.clone();
        Box::pin(async move {
            let answer = self.call(Method::POST, "/multi".into(), Some(&txn), self.timeout).await?;
            Ok(answer.parse::<Committed>()?.revision)
        })
    }

    fn lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>> {
        let body = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        Box::pin(async move {
            let answer =
                self.call(Method::POST, "/leases".into(), Some(&body), self.timeout).await?;
            Ok(answer.parse::<LeaseGrant>()?.lease)
        })
    }

    fn touch(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}/touch");
            self.call::<()>(Method::POST, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn drop_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}");
            self.call::<()>(Method::DELETE, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn follow(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>> {
        let path = format!("/follow?Prefix={prefix}&Since={since}&BlockMs={}", wait.as_millis());
        Box::pin(async move {
            let answer = self.call::<()>(Method::GET, path, None, wait + self.timeout).await?;
            Ok(answer.parse()?)
        })
    }
}
