//! The pooled HTTP client that the state service, the cloud and workers are called
//! with.

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

/// The shortest time in which an answer that is here already can be read, as a
/// part of the time that a call may take.
const SHORTEST_GRACE_PARTS: u32 = 16;

/// No usable answer came: unless it says otherwise, the request may have been
/// carried out, may still be, or may never be.
#[derive(Debug, Error)]
pub enum CallError {
    #[error("no answer in time")]
    Timeout,
    #[error("connection: {0}")]
    Connection(String),
    /// No connection came about, so the request was certainly not carried out:
    /// an attempt that is given up does not complete later.
    #[error("not connected: {0}")]
    NotConnected(String),
    #[error("malformed answer: {0}")]
    Malformed(String),
}

pub struct Answer {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Answer {
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|e| CallError::Malformed(e.to_string()))
    }
}

#[derive(Clone)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// `idle` connections are kept for later calls; a connection unused for
    /// `keep` is closed.
    pub fn new(idle: usize, keep: Duration, connect: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(keep)
            .pool_max_idle_per_host(idle)
            .build(connector);
        Self { client }
    }

    /// One call. When `within` runs out the request is dropped, which also
    /// closes its connection.
    pub async fn call<B: Serialize>(
        &self,
        method: Method,
        to: SocketAddr,
        path: &str,
        body: Option<&B>,
        within: Duration,
    ) -> Result<Answer, CallError> {
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
            Ok(Answer { status, body: body.to_bytes() })
        };
        despite_own_delay(within, exchange).await.unwrap_or(Err(CallError::Timeout))
    }
}

/// Gives up on `exchange` after `within`, but not for this process's own delay:
/// when it falls behind, timers fire late while answers wait in its sockets. As
/// long as a timer was late, at most `within`, those are still read. Else a
/// leader that is busy would take its lease for lost, which makes more work.
async fn despite_own_delay<T>(within: Duration, exchange: impl Future<Output = T>) -> Option<T> {
    let mut exchange = std::pin::pin!(exchange);
    let deadline = Instant::now() + within;
    if let Ok(answer) = timeout_at(deadline, &mut exchange).await {
        return Some(answer);
    }
    let late = Instant::now().saturating_duration_since(deadline);
    let grace = late.clamp(within / SHORTEST_GRACE_PARTS, within);
    timeout(grace, exchange).await.ok()
}

#[cfg(test)]
mod tests;
