//! The state service: its client behind a trait, the budget of requests and
//! writes, and the writer that packs changes into transactions.

mod budget;

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use thiserror::Error;
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    http::client::{Answer, CallError, HttpClient},
    protocol::{
        Committed, Condition, Events, ItemPage, LeaseGrant, LeaseRequest, Refused, Transaction,
        Write,
    },
    settings::Settings,
};

pub use budget::{Budget, Reserve};

/// Why the state service did not do as asked, or may not have.
#[derive(Debug, Error)]
pub enum StateError {
    /// 503 or 429: certainly not carried out.
    #[error("refused with {0}")]
    Refused(StatusCode),
    /// 400: malformed, or larger than the service takes. Certainly not carried
    /// out, and no repeat will be.
    #[error("rejected: {0}")]
    Rejected(String),
    /// 409: these keys had another version.
    #[error("conflict on {0:?}")]
    Conflict(Vec<String>),
    /// 404 or 400 on a lease: it has ended.
    #[error("no such lease")]
    NoLease,
    /// 410: the watch's revision is too old.
    #[error("revision too old")]
    TooOld,
    /// It may have been carried out, or may still be.
    #[error("unsure: {0}")]
    Unsure(#[from] CallError),
}

/// What the controllers ask of the state service. Behind a trait so that
/// stories can be told against a store in memory.
pub trait StateApi: Send + Sync {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>>;
    fn multi(&self, txn: &Transaction) -> BoxFuture<'_, Result<u64, StateError>>;
    fn lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>>;
    fn touch(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;
    fn drop_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>>;
    fn follow(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>>;
}

pub struct HttpState {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl HttpState {
    pub fn new(settings: &Settings) -> Self {
        let timeout = settings.state_timeout();
        Self {
            client: HttpClient::new(8, settings.worker_lease(), timeout),
            addr: settings.services.state,
            timeout,
        }
    }

    fn refused(answer: &Answer) -> StateError {
        match answer.status.as_u16() {
            503 | 429 => StateError::Refused(answer.status),
            410 => StateError::TooOld,
            404 => StateError::NoLease,
            409 => match answer.parse::<Refused>() {
                Ok(refused) => StateError::Conflict(refused.failed),
                Err(e) => StateError::Unsure(e),
            },
            400 if answer.body.windows(13).any(|w| w == b"no such lease") => StateError::NoLease,
            400 => StateError::Rejected(String::from_utf8_lossy(&answer.body).into_owned()),
            other => StateError::Unsure(CallError::Malformed(format!("status {other}"))),
        }
    }

    async fn call<B: serde::Serialize + Sync>(
        &self,
        method: Method,
        path: String,
        body: Option<&B>,
        within: Duration,
    ) -> Result<Answer, StateError> {
        let answer = self.client.call(method, self.addr, &path, body, within).await?;
        if answer.status == StatusCode::OK { Ok(answer) } else { Err(Self::refused(&answer)) }
    }
}

impl StateApi for HttpState {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>> {
        let mut path = format!("/kv?Prefix={prefix}&Limit=500");
        if !since.is_empty() {
            path.push_str("&Since=");
            path.push_str(since);
        }
        Box::pin(async move {
            // A page may hold half a megabyte; the answer takes its time.
            let answer = self.call::<()>(Method::GET, path, None, self.timeout * 2).await?;
            Ok(answer.parse()?)
        })
    }

    fn multi(&self, txn: &Transaction) -> BoxFuture<'_, Result<u64, StateError>> {
        let txn = txn.clone();
        Box::pin(async move {
            let answer = self.call(Method::POST, "/multi".into(), Some(&txn), self.timeout).await?;
            Ok(answer.parse::<Committed>()?.revision)
        })
    }

    fn lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>> {
        let body = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
        Box::pin(async move {
            let answer =
                self.call(Method::POST, "/leases".into(), Some(&body), self.timeout).await?;
            Ok(answer.parse::<LeaseGrant>()?.lease)
        })
    }

    fn touch(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}/touch");
            self.call::<()>(Method::POST, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn drop_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            let path = format!("/leases/{lease}");
            self.call::<()>(Method::DELETE, path, None, self.timeout).await?;
            Ok(())
        })
    }

    fn follow(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>> {
        let path = format!("/follow?Prefix={prefix}&Since={since}&BlockMs={}", wait.as_millis());
        Box::pin(async move {
            let answer = self.call::<()>(Method::GET, path, None, wait + self.timeout).await?;
            Ok(answer.parse()?)
        })
    }
}

/// A lock is only poisoned when a holder panicked, and the process then ends.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// One change that must be applied as a whole, alone or with others.
struct Change {
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    reply: oneshot::Sender<Result<u64, StateError>>,
}

/// Group commit: changes that wait together leave in one transaction.
///
/// A transaction fails as a whole, so a change that conflicts is taken out
/// (its owner is told) and the others are tried again without it.
pub struct Writer {
    api: Arc<dyn StateApi>,
    requests: Arc<Budget>,
    writes: Budget,
    queue: Mutex<VecDeque<Change>>,
    wake: Notify,
    max_ops: usize,
    max_conditions: usize,
    max_bytes: usize,
    timeout: Duration,
}

/// The share of the service's own burst that one controller may use.
const WRITE_BURST: f64 = 0.5;

/// Transactions under way at once: one slow answer must not stop all writing.
pub const IN_FLIGHT: usize = 3;

impl Writer {
    pub fn new(api: Arc<dyn StateApi>, settings: &Settings, requests: Arc<Budget>) -> Self {
        let limits = settings.state_limits();
        Self {
            api,
            requests,
            // The jobs of a pipeline come to one controller at once. Mostly the
            // others write little then; if they do, the service refuses some
            // and those are tried again.
            writes: Budget::with_burst(
                settings.share(limits.writes_per_s, false),
                limits.writes_per_s * WRITE_BURST,
            ),
            queue: Mutex::default(),
            wake: Notify::new(),
            max_ops: limits.transaction_writes,
            max_conditions: limits.transaction_conditions(),
            max_bytes: crate::protocol::BODY_LIMIT - 4096,
            timeout: settings.state_timeout(),
        }
    }

    pub fn set_write_rate(&self, rate: f64) {
        self.writes.set_rate(rate);
    }

    /// How many writes could leave now and still leave a reserve for urgent ones.
    pub fn spare(&self) -> usize {
        if lock(&self.queue).is_empty() { self.writes.spare(Reserve::Half) } else { 0 }
    }

    /// Commits a change and returns the revision it got.
    pub async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let (reply, answer) = oneshot::channel();
        lock(&self.queue).push_back(Change { conditions, writes, reply });
        self.wake.notify_one();
        answer.await.unwrap_or(Err(StateError::Unsure(CallError::Timeout)))
    }

    /// The writer's long-lived duty.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let slots = Arc::new(tokio::sync::Semaphore::new(IN_FLIGHT));
        loop {
            let Ok(slot) = slots.clone().acquire_owned().await else { return };
            let group = loop {
                let group = self.next_group();
                if !group.is_empty() {
                    break group;
                }
                tokio::select! {
                    () = self.wake.notified() => {}
                    () = stop.cancelled() => return,
                }
            };
            let ops: usize = group.iter().map(|c| c.writes.len()).sum();
            self.writes.take(ops as f64).await;
            let writer = self.clone();
            tokio::spawn(async move {
                writer.send(group).await;
                drop(slot);
            });
        }
    }

    /// Takes as many waiting changes as one transaction holds. Conditions on
    /// one key must agree, else the later change waits for the next group.
    fn next_group(&self) -> Vec<Change> {
        let mut queue = lock(&self.queue);
        let mut group: Vec<Change> = Vec::new();
        let (mut ops, mut conditions, mut bytes) = (0, 0, 0);
        while let Some(next) = queue.front() {
            let size: usize = next
                .writes
                .iter()
                .map(|w| match w {
                    Write::Put { key, value, .. } => key.len() + value.get().len() + 64,
                    Write::Delete { key } => key.len() + 32,
                })
                .sum::<usize>()
                + next.conditions.iter().map(|c| c.key.len() + 40).sum::<usize>();
            let clash = group.iter().any(|c| {
                c.conditions.iter().any(|a| {
                    next.conditions.iter().any(|b| a.key == b.key && a.version != b.version)
                }) || c.writes.iter().any(|a| next.writes.iter().any(|b| a.key() == b.key()))
            });
            ops += next.writes.len();
            conditions += next.conditions.len();
            bytes += size;
            let full = ops > self.max_ops
                || conditions > self.max_conditions
                || bytes > self.max_bytes
                || clash;
            if full && !group.is_empty() {
                break;
            }
            group.extend(queue.pop_front());
        }
        group
    }

    async fn send_alone(&self, change: Change) {
        self.requests.take(1.0).await;
        self.writes.take(change.writes.len() as f64).await;
        let result = self.api.multi(&merge(std::slice::from_ref(&change))).await;
        let _ = change.reply.send(result);
    }

    async fn send(&self, mut group: Vec<Change>) {
        let deadline = Instant::now() + self.timeout;
        loop {
            let txn = merge(&group);
            self.requests.take(1.0).await;
            let result = self.api.multi(&txn).await;
            match result {
                Ok(revision) => {
                    for change in group {
                        let _ = change.reply.send(Ok(revision));
                    }
                    return;
                }
                // Our budget should prevent this; others' bursts may not.
                Err(StateError::Refused(StatusCode::TOO_MANY_REQUESTS))
                    if Instant::now() < deadline =>
                {
                    tokio::time::sleep(self.timeout / 8).await;
                }
                // One that is too large must not take the others with it.
                Err(StateError::Rejected(_)) if group.len() > 1 => {
                    for change in group {
                        self.send_alone(change).await;
                    }
                    return;
                }
                Err(StateError::Conflict(keys)) if group.len() > 1 => {
                    let touches = |c: &Change| c.conditions.iter().any(|w| keys.contains(&w.key));
                    let (failed, rest): (Vec<_>, Vec<_>) = group.into_iter().partition(touches);
                    // An answer that names none of our keys helps nobody.
                    let hopeless = failed.is_empty();
                    for change in failed {
                        let _ = change.reply.send(Err(StateError::Conflict(keys.clone())));
                    }
                    if hopeless || rest.is_empty() {
                        for change in rest {
                            let _ = change.reply.send(Err(StateError::Conflict(keys.clone())));
                        }
                        return;
                    }
                    group = rest;
                }
                Err(error) => {
                    for change in group {
                        let _ = change.reply.send(Err(copy(&error)));
                    }
                    return;
                }
            }
        }
    }
}

/// What leaves in one transaction: every change as a whole.
fn merge(group: &[Change]) -> Transaction {
    let mut txn = Transaction::default();
    for change in group {
        for condition in &change.conditions {
            if !txn.conditions.contains(condition) {
                txn.conditions.push(condition.clone());
            }
        }
        txn.writes.extend(change.writes.iter().cloned());
    }
    txn
}

/// One answer goes to every change of a group.
fn copy(error: &StateError) -> StateError {
    match error {
        StateError::Refused(status) => StateError::Refused(*status),
        StateError::Rejected(reason) => StateError::Rejected(reason.clone()),
        StateError::Conflict(keys) => StateError::Conflict(keys.clone()),
        StateError::NoLease => StateError::NoLease,
        StateError::TooOld => StateError::TooOld,
        StateError::Unsure(e) => StateError::Unsure(CallError::Connection(e.to_string())),
    }
}
