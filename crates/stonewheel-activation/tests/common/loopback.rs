//! Several controllers on loopback, and an HTTP client that sends them requests.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use stonewheel_testing::MemState;
use tokio::time::sleep;

use super::{
    controllers::{Controller, Deployment},
    http_starter::HttpStarter,
    model_settings, settings,
};

/// Time from the last renewal of a session until the session expires.
pub const SESSION_TTL: Duration = Duration::from_secs(3);
/// Time from the start of a model server until the server answers.
pub const STARTUP_TIME: Duration = Duration::from_millis(800);

pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Controllers and the model servers that they start.
pub struct Loopback {
    pub controllers: Vec<Controller>,
    pub deployment: Deployment,
    pub starter: HttpStarter,
    pub client: HttpClient,
    server_runtime: tokio::runtime::Runtime,
}

impl Loopback {
    pub async fn new(size: usize) -> Self {
        let model = model_settings(&[
            ("load_s", "0.8"),
            ("start_s", "20"),
            ("hold_s", "20"),
            ("look_s", "0.05"),
            ("idle_s", "20"),
            ("awake_s", "1"),
            ("retry_s", "1"),
        ]);
        let mut settings = settings(&[("router", model)]);
        (settings.request_s, settings.outage_s) = (2.0, 1.0);
        let server_runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("runs");
        let starter = HttpStarter::new(server_runtime.handle().clone(), STARTUP_TIME);
        let deployment =
            Deployment { state: MemState::default(), settings, size, session_ttl: SESSION_TTL };
        let controllers =
            (0..size).map(|index| deployment.start(index, Arc::new(starter.clone()))).collect();
        let client = Client::builder(TokioExecutor::new()).build_http();
        let loopback = Self { controllers, deployment, starter, client, server_runtime };
        loopback.wait_until_models_known().await;
        loopback
    }

    /// Waits until each controller knows the state of its models.
    async fn wait_until_models_known(&self) {
        for controller in &self.controllers {
            let uri = format!("http://{}/activation", controller.address);
            loop {
                let answer = self.client.get(uri.parse().expect("a uri")).await.expect("an answer");
                let body = answer.into_body().collect().await.expect("a body").to_bytes();
                let status: serde_json::Value = serde_json::from_slice(&body).expect("json");
                if status[0]["known"] == true {
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Sends a request to one controller after another, as a user's client does, until one
    /// answers with status 200. Returns the number of failed tries and the statuses of the
    /// refusals.
    pub fn request(&self, number: usize) -> tokio::task::JoinHandle<(u32, Vec<StatusCode>)> {
        let addresses: Vec<_> = self.controllers.iter().map(|c| c.address).collect();
        let client = self.client.clone();
        tokio::spawn(async move {
            let mut refusals = Vec::new();
            for attempt in 0..60 {
                let address = addresses[(number + attempt) % addresses.len()];
                let text = format!("question {number}");
                let request =
                    Request::post(format!("http://{address}/models/router/ask?n={number}"))
                        .body(Full::from(text.clone()))
                        .expect("a request");
                if let Ok(answer) = client.request(request).await {
                    let status = answer.status();
                    if status == StatusCode::OK {
                        let body = answer.into_body().collect().await.expect("a body").to_bytes();
                        assert_eq!(body, text.as_bytes());
                        return (attempt as u32, refusals);
                    }
                    let retry_after = answer.headers().get(header::RETRY_AFTER);
                    assert!(status != StatusCode::SERVICE_UNAVAILABLE || retry_after.is_some());
                    refusals.push(status);
                }
                sleep(Duration::from_millis(250)).await;
            }
            panic!("request {number} was never answered: {refusals:?}");
        })
    }

    /// Returns the index of the controller that owns the activation, once the record
    /// names one.
    pub async fn owner(&self) -> usize {
        loop {
            if let Some(text) = self.deployment.state.value("sp/a/m/router") {
                let record: serde_json::Value = serde_json::from_str(&text).expect("a record");
                let member = record["state"]["active"]["owner"]["member"].as_str();
                if let Some(index) =
                    member.and_then(|member| member.strip_prefix("m-")?.parse().ok())
                {
                    return index;
                }
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    pub fn end(self) {
        drop(self.controllers);
        self.server_runtime.shutdown_background();
    }
}
