//! The client of the cloud that machines come from.

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

/// The most machines that one deletion may name.
pub const MAX_DELETED_MACHINES: usize = 100;

/// The most machines that one provision request may ask for.
pub const MAX_PROVISIONED_MACHINES: u32 = 50;

/// The part of the body of a 503 by which the cloud refuses for want of machines.
const NO_CAPACITY: &[u8] = b"no capacity";

/// The machines on one page of the machine list.
const LIST_PAGE_LIMIT: usize = 500;

/// Connections kept open to the cloud.
const IDLE_CONNECTIONS: usize = 2;

/// Why a request to the cloud failed.
#[derive(Debug, Error)]
pub enum CloudError {
    /// The cloud has no such machines at present. Nothing was provisioned.
    #[error("no capacity")]
    NoCapacity,
    /// Answered with another status than 200. Certainly not carried out.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// It may have been carried out.
    #[error("unsure: {0}")]
    OutcomeUnknown(#[from] CallError),
}

/// What the leader requests of the cloud.
pub trait CloudApi: Send + Sync {
    /// The machine types that can be provisioned.
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    /// Provisions machines. Repeated under the same name it provisions nothing more, and
    /// answers the same.
    fn provision(
        &self,
        request: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>>;
    /// Returns machines to the cloud, at most `MAX_DELETED_MACHINES`.
    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>>;
    /// A page of the machine list, from after the machine named `since` (empty: from the
    /// beginning). The list lags behind.
    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>>;
}

/// The cloud's HTTP interface.
pub struct HttpCloud {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    budget: Arc<Budget>,
}

impl HttpCloud {
    /// The client of the cloud that the settings name.
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.leader_lease();
        Self {
            client: HttpClient::new(IDLE_CONNECTIONS, settings.worker_lease(), timeout),
            address: settings.services.cloud,
            timeout,
            // Only the leader sends most requests; the other half of the rate
            // is left for a predecessor's last calls.
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
        let answer = self.client.call(method, self.address, &path, body, self.timeout).await?;
        match answer.status {
            StatusCode::OK => Ok(answer),
            StatusCode::SERVICE_UNAVAILABLE
                if answer.body.windows(NO_CAPACITY.len()).any(|w| w == NO_CAPACITY) =>
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
            let answer = self.call::<()>(Method::GET, "/machine_types".into(), None).await?;
            Ok(answer.parse::<MachineTypes>()?.types)
        })
    }

    fn provision(
        &self,
        request: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async move {
            let answer = self.call(Method::POST, "/rentals".into(), Some(&request)).await?;
            Ok(answer.parse::<MachineNames>()?.machines)
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
