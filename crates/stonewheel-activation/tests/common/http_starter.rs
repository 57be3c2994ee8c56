//! A replica starter whose replicas are HTTP servers on loopback. Each server logs its own
//! start. The servers keep running when the controller that started them ends.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use futures_util::future::BoxFuture;
use stonewheel_activation::{ReplicaOrder, ReplicaStarter, Replicas, StarterError};
use tokio::{net::TcpListener, runtime::Handle, time::sleep};
use tokio_util::sync::CancellationToken;
use warp::Filter;

#[derive(Default)]
struct State {
    /// Model and job of each start, logged by the servers themselves.
    starts: Vec<(String, String)>,
    /// Endpoints of the servers that are ready, by job.
    endpoints: BTreeMap<String, String>,
    /// Token that stops the server, by job; present from the start order on.
    stop_tokens: BTreeMap<String, CancellationToken>,
    /// Highest fencing token seen, by model.
    epochs: HashMap<String, u64>,
    refused_orders: usize,
    served_requests: usize,
}

/// Starts and stops model servers.
#[derive(Clone)]
pub struct HttpStarter {
    state: Arc<Mutex<State>>,
    runtime: Handle,
    startup_time: Duration,
}

impl HttpStarter {
    /// Creates a starter whose model servers run on `runtime`.
    pub fn new(runtime: Handle, startup_time: Duration) -> Self {
        Self { state: Arc::default(), runtime, startup_time }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Returns the number of starts that model servers logged.
    pub fn started(&self) -> usize {
        self.lock().starts.len()
    }

    /// Returns the number of orders refused because of a lower fencing token.
    pub fn refused(&self) -> usize {
        self.lock().refused_orders
    }

    /// Returns the number of requests that model servers answered.
    pub fn served(&self) -> usize {
        self.lock().served_requests
    }

    /// Returns the number of model servers that are ready.
    pub fn ready_count(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// Ends all model servers without an order from a controller, as after a crash.
    pub fn stop_all(&self) {
        let mut state = self.lock();
        state.endpoints.clear();
        for (_, server) in std::mem::take(&mut state.stop_tokens) {
            server.cancel();
        }
    }

    async fn run_server(self, model: String, job: String, stop: CancellationToken) {
        self.lock().starts.push((model, job.clone()));
        sleep(self.startup_time).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = listener.local_addr().expect("an address").to_string();
        let starter = self.clone();
        let answer = warp::any().and(warp::body::bytes()).map(move |body: bytes::Bytes| {
            starter.lock().served_requests += 1;
            body.to_vec()
        });
        self.lock().endpoints.insert(job.clone(), endpoint);
        let stop_signal = stop.clone();
        let server = warp::serve(answer).incoming(listener);
        server.graceful(async move { stop_signal.cancelled().await }).run().await;
    }

    fn accept(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let mut state = self.lock();
        let highest = state.epochs.entry(order.model.clone()).or_default();
        if order.epoch < *highest {
            state.refused_orders += 1;
            return Err(StarterError::Stale);
        }
        *highest = order.epoch;
        Ok(())
    }
}

impl ReplicaStarter for HttpStarter {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move {
            self.accept(&order)?;
            let mut state = self.lock();
            if !state.stop_tokens.contains_key(&order.job) {
                let stop = CancellationToken::new();
                state.stop_tokens.insert(order.job.clone(), stop.clone());
                let server = self.clone().run_server(order.model, order.job, stop);
                self.runtime.spawn(server);
            }
            Ok(())
        })
    }

    fn probe(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<Replicas, StarterError>> {
        let order = order.clone();
        Box::pin(async move {
            let state = self.lock();
            Ok(match state.endpoints.get(&order.job) {
                Some(endpoint) => Replicas::Ready(vec![endpoint.clone()]),
                None if state.stop_tokens.contains_key(&order.job) => Replicas::Pending,
                None => Replicas::Gone,
            })
        })
    }

    fn stop(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move {
            self.accept(&order)?;
            let mut state = self.lock();
            state.endpoints.remove(&order.job);
            let stop = state.stop_tokens.remove(&order.job);
            stop.inspect(CancellationToken::cancel);
            Ok(())
        })
    }
}
