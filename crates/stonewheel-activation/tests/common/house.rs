//! Stand-in model servers on loopback: each is a real HTTP server, and notes its own
//! start. They outlive the controllers that ask for them.

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
    /// Noted by the servers themselves: model and job.
    started: Vec<(String, String)>,
    /// Where those that answer do so, by job.
    endpoints: BTreeMap<String, String>,
    asked_for: BTreeMap<String, CancellationToken>,
    epochs: HashMap<String, u64>,
    refused: usize,
    served: usize,
}

/// Starts and stops stand-in model servers.
#[derive(Clone)]
pub struct House {
    state: Arc<Mutex<State>>,
    servers: Handle,
    boot: Duration,
}

impl House {
    /// `servers`: the runtime that the model servers run on.
    pub fn new(servers: Handle, boot: Duration) -> Self {
        Self { state: Arc::default(), servers, boot }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Starts that model servers noted.
    pub fn started(&self) -> usize {
        self.lock().started.len()
    }

    /// Orders that were refused since somebody else acts.
    pub fn refused(&self) -> usize {
        self.lock().refused
    }

    /// Requests that model servers answered.
    pub fn served(&self) -> usize {
        self.lock().served
    }

    /// Model servers that answer now.
    pub fn answering(&self) -> usize {
        self.lock().endpoints.len()
    }

    /// All model servers end by themselves.
    pub fn lose_all(&self) {
        let mut state = self.lock();
        state.endpoints.clear();
        for (_, server) in std::mem::take(&mut state.asked_for) {
            server.cancel();
        }
    }

    async fn run_server(self, model: String, job: String, stop: CancellationToken) {
        self.lock().started.push((model, job.clone()));
        sleep(self.boot).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let endpoint = listener.local_addr().expect("an address").to_string();
        let house = self.clone();
        let answer = warp::any().and(warp::body::bytes()).map(move |body: bytes::Bytes| {
            house.lock().served += 1;
            body.to_vec()
        });
        self.lock().endpoints.insert(job.clone(), endpoint);
        let gone = stop.clone();
        let server = warp::serve(answer).incoming(listener);
        server.graceful(async move { gone.cancelled().await }).run().await;
    }

    fn accept(&self, order: &ReplicaOrder) -> Result<(), StarterError> {
        let mut state = self.lock();
        let highest = state.epochs.entry(order.model.clone()).or_default();
        if order.epoch < *highest {
            state.refused += 1;
            return Err(StarterError::Stale);
        }
        *highest = order.epoch;
        Ok(())
    }
}

impl ReplicaStarter for House {
    fn start(&self, order: &ReplicaOrder) -> BoxFuture<'_, Result<(), StarterError>> {
        let order = order.clone();
        Box::pin(async move {
            self.accept(&order)?;
            let mut state = self.lock();
            if !state.asked_for.contains_key(&order.job) {
                let stop = CancellationToken::new();
                state.asked_for.insert(order.job.clone(), stop.clone());
                let server = self.clone().run_server(order.model, order.job, stop);
                self.servers.spawn(server);
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
                None if state.asked_for.contains_key(&order.job) => Replicas::Pending,
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
            let stop = state.asked_for.remove(&order.job);
            stop.inspect(CancellationToken::cancel);
            Ok(())
        })
    }
}
