//! The pooled HTTP client that the state service, the cloud and workers are called
//! with.

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

/// The shortest time in which a response that has arrived already can be read, as a
/// part of the time that a call may take.
const MIN_GRACE_PARTS: u32 = 16;

/// No usable response came: unless it says otherwise, the request may have been
/// carried out, may still be, or may never be.
#[derive(Clone, Debug, Error)]
pub enum CallError {
    /// No response came within the time of the call.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed after the request may have been sent.
    #[error("connection: {0}")]
    Connection(String),
    /// No connection came about, so the request was certainly not carried out:
    /// an attempt that is given up does not complete later.
    #[error("not connected: {0}")]
    NotConnected(String),
    /// A response came that is not of the expected form.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

/// A response that was read whole.
pub struct Response {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

impl Response {
    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// If the body is not a `T`.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Malformed(e.to_string()))
    }
}

/// A client that keeps connections for later calls. Its clones share them.
#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// `max_idle` connections to each address are kept for later calls; one unused
    /// for `idle_timeout` is closed. `connect_timeout`: how long an attempt to
    /// connect may take.
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

    /// One call. When `time_limit` runs out the request is dropped, which also
    /// closes its connection.
    ///
    /// # Errors
    ///
    /// If no response came that could be read whole.
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
        timeout_despite_own_delay(time_limit, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

/// Gives up on `exchange` after `time_limit`, but not for this process's own delay:
/// when it falls behind, timers fire late while responses wait in its sockets. For
/// as long as the timer was late, at most `time_limit`, those are still read. Else
/// a leader that is busy would take its lease for lost, which makes more work.
async fn timeout_despite_own_delay<T>(
    time_limit: Duration,
    exchange: impl Future<Output = T>,
) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let deadline = Instant::now() + time_limit;
    if let Ok(output) = timeout_at(deadline, &mut exchange).await {
        return Some(output);
    }
    let late = Instant::now().saturating_duration_since(deadline);
    let grace = late.clamp(time_limit / MIN_GRACE_PARTS, time_limit);
    timeout(grace, exchange).await.ok()
}

#[cfg(test)]
mod tests;
