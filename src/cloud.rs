//! The cloud: its client behind a trait.

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

/// Names that one deletion may carry, and machines one rental may ask for.
pub const DELETE_LIMIT: usize = 100;
pub const RENT_LIMIT: u32 = 50;

#[derive(Debug, Error)]
pub enum CloudError {
    #[error("no capacity")]
    NoCapacity,
    #[error("refused with {0}")]
    Refused(StatusCode),
    #[error("unsure: {0}")]
    Unsure(#[from] CallError),
}

pub trait CloudApi: Send + Sync {
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>>;
    fn rent(&self, rental: ProvisionRequest) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>>;
    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>>;
    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>>;
}

pub struct HttpCloud {
    client: HttpClient,
    address: SocketAddr,
    timeout: Duration,
    budget: Arc<Budget>,
}

impl HttpCloud {
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.leader_lease();
        Self {
            client: HttpClient::new(2, settings.worker_lease(), timeout),
            address: settings.services.cloud,
            timeout,
            // Only the leader talks to the cloud in earnest; what is held
            // back leaves room for a predecessor's last calls.
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
                if answer.body.windows(11).any(|w| w == b"no capacity") =>
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

    fn rent(&self, rental: ProvisionRequest) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async move {
            let answer = self.call(Method::POST, "/rentals".into(), Some(&rental)).await?;
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
        let mut path = "/rentals?Limit=500".to_owned();
        if !since.is_empty() {
            path.push_str("&Since=");
            path.push_str(since);
        }
        Box::pin(async move { Ok(self.call::<()>(Method::GET, path, None).await?.parse()?) })
    }
}
