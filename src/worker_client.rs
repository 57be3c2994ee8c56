//! The HTTP client that sends direct commands to workers' addresses.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};

use crate::{
    http::client::{CallError, HttpClient},
    protocol::{DirectCommands, WorkerHeartbeat},
    settings::Settings,
};

/// The requests that the leader makes to workers.
pub trait WorkerApi: Send + Sync {
    /// Sends commands to a worker's address. Returns the worker's heartbeat after it has carried
    /// out or refused the commands. If no response comes, they may still be carried out for as
    /// long as their fencing token and incarnation match those of the worker.
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>>;
}

/// The client of workers' HTTP API. Each call takes a socket. The leader limits the direct
/// requests in flight to the number of sockets for them (`controller/direct_commands.rs`), so no
/// call has to wait for a socket here.
pub struct HttpWorkers {
    client: HttpClient,
    timeout: Duration,
}

impl HttpWorkers {
    /// Creates a client whose time-outs derive from the heartbeat interval.
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.heartbeat_interval();
        // Consecutive calls to one machine are rare, so an idle connection is closed after a
        // fraction of a call's time-out. An attempt to connect times out before the call does, so
        // that the error shows that nothing was sent.
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
            let response =
                self.client.call(Method::POST, address, "/commands", body, self.timeout).await?;
            match response.status {
                StatusCode::OK | StatusCode::CONFLICT => response.parse(),
                other => Err(CallError::Malformed(format!("status {other}"))),
            }
        })
    }
}
