//! The pooled HTTP client for calls to the state service, the cloud and workers.

#![warn(missing_docs)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;
use tokio::time::{Instant, timeout, timeout_at};

/// The divisor that gives the minimum grace period from a call's time limit: time to read a
/// response that has already arrived.
const MIN_GRACE_DIVISOR: u32 = 16;

/// The reason why a call got no usable response. Except for `NotConnected`, the request may have
/// been carried out, may still be carried out, or may never be.
#[derive(Clone, Debug, Error)]
pub enum CallError {
    /// No response came within the call's time limit.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed after the request may have been sent.
    #[error("connection: {0}")]
    Connection(String),
    /// No connection was established, so the request was certainly not carried out: an aborted
    /// connection attempt doesn't complete later.
    #[error("not connected: {0}")]
    NotConnected(String),
    /// The response doesn't have the expected form.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A response that was read completely.
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the body is not a valid `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Malformed(e.to_string()))
    }
}

/// A client that keeps connections open for later calls. Clones share the connections.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client that keeps up to `max_idle` idle connections to each address, closes a
    /// connection that was idle for `idle_timeout`, and aborts an attempt to connect after
    /// `connect_timeout`.
    pub fn new(max_idle: usize, idle_timeout: Duration, connect_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(max_idle)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the response. When `time_limit` has passed the request is
    /// dropped, which also closes its connection.
    ///
    /// # Errors
    ///
    /// Fails if no response could be read completely within the limit.
    pub async fn call<B: Serialize>(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Option<&B>,
        time_limit: Duration,
    ) -> Result<Response, CallError> {
        let failed = |e: &dyn std::error::Error| CallError::Connection(e.to_string());
        let bytes = match body {
            Some(body) => serde_json::to_vec(body).map_err(|e| failed(&e))?,
            None => Vec::new(),
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::from(bytes))
            .map_err(|e| failed(&e))?;
        let exchange = async {
            let sent = self.client.request(request).await;
            let response = sent.map_err(|error| {
                let reason = error.to_string();
                if error.is_connect() {
                    CallError::NotConnected(reason)
                } else {
                    CallError::Connection(reason)
                }
            })?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|e| failed(&e))?;
            Ok(Response { status, body: body.to_bytes() })
        };
        timeout_with_delay_grace(time_limit, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

/// Runs `exchange` with a time limit that is extended by the delay of this process.
///
/// When the process is overloaded, timers fire late while responses already wait in its
/// sockets. After a timer that fired late, `exchange` may continue for as long as the timer was
/// late, at most for `time_limit`, so that a response that has arrived is read. Otherwise an
/// overloaded leader would consider its lease lost, which causes further load.
async fn timeout_with_delay_grace<T>(
    time_limit: Duration,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let deadline = Instant::now() + time_limit;
    if let Ok(output) = timeout_at(deadline, &mut exchange).await {
        return Some(output);
    }
    let timer_delay = Instant::now().saturating_duration_since(deadline);
    let grace = timer_delay.clamp(time_limit / MIN_GRACE_DIVISOR, time_limit);
    timeout(grace, exchange).await.ok()
}

#[cfg(test)]
mod tests;
