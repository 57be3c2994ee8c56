//! The client of workers' own addresses: direct commands, over HTTP.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};

use crate::{
    http::client::{CallError, HttpClient},
    protocol::{DirectCommands, WorkerHeartbeat},
    settings::Settings,
};

/// What the leader requests of workers.
pub trait WorkerApi: Send + Sync {
    /// Sends commands to a worker's own address. The answer is its heartbeat after it
    /// has carried them out or refused them; without an answer they may still be
    /// carried out for as long as fencing token and incarnation match.
    fn command(
        &self,
        address: &str,
        commands: DirectCommands,
    ) -> BoxFuture<'_, Result<WorkerHeartbeat, CallError>>;
}

/// Workers' HTTP interface. Each call takes a socket; the leader composes no more
/// direct requests than there are sockets for them (`controller/direct_commands.rs`),
/// so none waits here.
pub struct HttpWorkers {
    client: HttpClient,
    timeout: Duration,
}

impl HttpWorkers {
    /// A client with time-outs that follow from the heartbeat interval.
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.heartbeat_interval();
        // Commands to one machine mostly come alone, so no connection is kept open
        // for longer than a call may last. An attempt to connect ends before the
        // call does, so that it is known then that nothing was sent.
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
