//! The client of the cloud that provides the machines.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use thiserror::Error;

use crate::{
    http::client::{CallError, HttpClient, Response},
    protocol::{MachineId, MachineList, MachineNames, MachineType, MachineTypes, ProvisionRequest},
    settings::Settings,
    state::Budget,
};

/// The maximum number of machines in one deletion.
pub const MAX_DELETED_MACHINES: usize = 100;

/// The maximum number of machines in one provision request.
pub const MAX_PROVISIONED_MACHINES: u32 = 50;

/// The text in the body of a 503 response that means that the cloud has no machines available.
const NO_CAPACITY: &[u8] = b"no capacity";

/// The number of machines on one page of the machine list.
const LIST_PAGE_LIMIT: usize = 500;

/// The maximum number of idle connections kept open to the cloud.
const IDLE_CONNECTIONS: usize = 2;

/// The reason why a request to the cloud failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// The cloud has none of the requested machines available. Nothing was provisioned.
    #[error("no capacity")]
    NoCapacity,
    /// The cloud responded with a status other than 200. The request was certainly not carried
    /// out.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// No usable response came. The request may have been carried out.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(#[from] CallError),
}

/// The requests that the leader makes to the cloud.
pub trait CloudApi: Send + Sync {
    /// Returns the machine types that can be provisioned.
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    /// Provisions machines and returns their ids. A repeated request with the same name
    /// provisions nothing more and returns the same ids.
    fn provision(
        &self,
        request: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>>;
    /// Returns up to `MAX_DELETED_MACHINES` machines to the cloud.
    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>>;
    /// Returns the page of the machine list that begins after the machine named `since`, or the
    /// first page if `since` is empty. The list may be out of date by up to `list_lag_s`.
    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>>;
}

/// The client of the cloud's HTTP API.
pub struct HttpCloud {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    budget: Arc<Budget>,
}

impl HttpCloud {
    /// Creates a client of the cloud that the settings name.
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.leader_lease();
        Self {
            client: HttpClient::new(IDLE_CONNECTIONS, settings.worker_lease(), timeout),
            address: settings.services.cloud,
            timeout,
            // Most requests come from the leader, which may use half of the rate. The other half
            // is left for the last calls of a preceding leader.
            budget: Arc::new(Budget::new(settings.cluster.cloud.rps / 2.0)),
        }
    }

    async fn call<B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: String,
        body: Option<&B>,
    ) -> Result<Response, CloudError> {
        self.budget.take(1.0).await;
        let response = self.client.call(method, self.address, &path, body, self.timeout).await?;
        match response.status {
            StatusCode::OK => Ok(response),
            StatusCode::SERVICE_UNAVAILABLE
                if response.body.windows(NO_CAPACITY.len()).any(|w| w == NO_CAPACITY) =>
            {
                Err(CloudError::NoCapacity)
            }
            other => Err(CloudError::Refused(other)),
        }
    }
}

impl CloudApi for HttpCloud {
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        Box::pin(async move {
            let response = self.call::<()>(Method::GET, "/machine_types".into(), None).await?;
            Ok(response.parse::<MachineTypes>()?.types)
        })
    }

    fn provision(
        &self,
        request: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async move {
            let response = self.call(Method::POST, "/rentals".into(), Some(&request)).await?;
            Ok(response.parse::<MachineNames>()?.machines)
        })
    }

    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>> {
        Box::pin(async move {
            let body = MachineNames { machines };
            self.call(Method::POST, "/rentals/delete".into(), Some(&body)).await?;
            Ok(())
        })
    }

    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>> {
        let mut path = format!("/rentals?Limit={LIST_PAGE_LIMIT}");
        if !since.is_empty() {
            path.push_str("&Since=");
            path.push_str(since);
        }
        Box::pin(async move { Ok(self.call::<()>(Method::GET, path, None).await?.parse()?) })
    }
}
