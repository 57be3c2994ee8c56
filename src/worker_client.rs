//! Orders to workers' own addresses, over HTTP.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};

use crate::{
    http::client::{CallError, HttpClient},
    protocol::{DirectCommands, WorkerHeartbeat},
    settings::Settings,
};

/// Orders sent to a worker's own address. The answer is its report after
/// them, or after refusing them; without an answer they may still be carried
/// out for as long as token and session match.
pub trait WorkerApi: Send + Sync {
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>>;
}

/// Each call takes a socket; the leader composes no more commands than there are
/// sockets for them (`controller/direct_orders.rs`), so none waits here.
pub struct HttpWorkers {
    client: HttpClient,
    timeout: Duration,
}

impl HttpWorkers {
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.heartbeat_interval();
        // Orders to one machine mostly come alone, so nothing is kept open
        // for longer than a call may last.
        // A connection is given up before the call is, so that it is known then
        // that nothing was sent.
        let client = HttpClient::new(1, timeout / 4, timeout * 3 / 4);
        Self { client, timeout }
    }
}

impl WorkerApi for HttpWorkers {
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>> {
        let address = address.parse::<SocketAddr>();
        Box::pin(async move {
            let address = address.map_err(|e| CallError::Malformed(e.to_string()))?;
            let body = Some(&commands);
            let answer =
                self.client.call(Method::POST, address, "/commands", body, self.timeout).await?;
            match answer.status {
                StatusCode::OK | StatusCode::CONFLICT => answer.parse(),
                other => Err(CallError::Malformed(format!("status {other}"))),
            }
        })
    }
}
