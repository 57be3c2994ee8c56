//! In-memory state service with the faults of a real one: outages, refusals, lost answers,
//! late transactions, copies of answered requests, and watches that are too far behind.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use futures_util::future::BoxFuture;
use hyper::StatusCode;
use serde_json::value::RawValue;
use stonewheel_http_client::CallError;
use stonewheel_protocol::{Condition, Event, Events, Item, ItemPage, Transaction, Write};
use stonewheel_state::{StateApi, StateError};
use tokio::time::{Instant, sleep};

use crate::faults::{Delays, LateTransactions, RepeatedDeliveries};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Store {
    revision: u64,
    kv: BTreeMap<String, (Box<RawValue>, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Box<RawValue>>)>,
    /// When each change of `log` was made.
    changed_at: Vec<Instant>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    outage: bool,
    /// Whether an outage begins with the next transaction that is executed.
    outage_after_next_commit: bool,
    /// Clients that are answered with status 503.
    refused_clients: HashSet<String>,
    /// Clients whose transactions are held back and not answered.
    held_clients: HashSet<String>,
    held_transactions: Vec<Transaction>,
    /// Number of next transactions to execute without an answer, by client.
    answers_to_lose: HashMap<String, u32>,
    /// Latency of each call in addition to `LATENCY`.
    extra_latency: Duration,
    limits: Limits,
    /// Number of transactions that were rejected because they exceeded `limits`.
    rejected_count: u32,
    /// Number of latest changes that a watch can start from; `None`: all changes.
    watch_window: Option<usize>,
    /// Number of watches that failed because their revision had left `watch_window`.
    too_old_count: u32,
    /// Selects the list requests that fail.
    failing_lists: Option<Delays>,
    /// Selects the transactions that are executed late or lose their answer.
    late_transactions: Option<LateTransactions>,
    /// Selects the transactions and lease requests of which copies arrive.
    repeated_requests: Option<RepeatedDeliveries>,
    /// Requests and writes of all clients so far.
    usage: StateUsage,
    /// End of the suspension of each suspended client; its calls wait until then.
    frozen_until: HashMap<String, Instant>,
}

/// Number of requests and writes that clients sent to the state service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateUsage {
    /// Requests of any kind.
    pub requests: u64,
    /// Puts and deletes.
    pub writes: u64,
}

/// A value that was put to a key, and when.
#[derive(Clone, Debug)]
pub struct PastPut {
    /// When the value was put.
    pub at: Instant,
    /// The key.
    pub key: String,
    /// The JSON text of the value.
    pub value: String,
}

/// Largest value, in bytes, and largest number of writes in a transaction.
#[derive(Clone, Copy)]
struct Limits {
    value_bytes: usize,
    writes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { value_bytes: 8 * 1024, writes: 24 }
    }
}

impl Store {
    fn expire(&mut self) {
        let now = Instant::now();
        if self.outage {
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, expires_at))| *expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn record_change(&mut self, key: String, value: Option<Box<RawValue>>) {
        self.log.push((self.revision, key, value));
        self.changed_at.push(Instant::now());
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .kv
            .iter()
            .filter(|(_, (_, _, key_lease))| *key_lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.kv.remove(&key);
            self.record_change(key, None);
        }
    }

    fn multi(&mut self, txn: &Transaction) -> Result<u64, StateError> {
        let too_large = |write: &Write| match write {
            Write::Put { value, .. } => value.get().len() > self.limits.value_bytes,
            Write::Delete { .. } => false,
        };
        if txn.writes.len() > self.limits.writes
            || txn.conditions.len() > self.limits.writes * 4
            || txn.writes.iter().any(too_large)
        {
            self.rejected_count += 1;
            return Err(StateError::Rejected("too large".into()));
        }
        let lease_expired = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        if txn.writes.iter().any(lease_expired) {
            return Err(StateError::LeaseExpired);
        }
        let version = |key: &String| self.kv.get(key).map_or(0, |(_, version, _)| *version);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|condition| version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(StateError::Conflict(failed));
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    self.kv.insert(key.clone(), (value.clone(), self.revision, *lease));
                    self.record_change(key.clone(), Some(value.clone()));
                }
                Write::Delete { key } => {
                    if self.kv.remove(key).is_some() {
                        self.record_change(key.clone(), None);
                    }
                }
            }
        }
        Ok(self.revision)
    }

    fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (ttl, Instant::now() + ttl));
        self.next_lease
    }

    fn renew_lease(&mut self, lease: u64) -> Result<(), StateError> {
        let (ttl, expires_at) = self.leases.get_mut(&lease).ok_or(StateError::LeaseExpired)?;
        *expires_at = Instant::now() + *ttl;
        Ok(())
    }
}

/// An in-memory state service. Clones share one store.
#[derive(Clone, Default)]
pub struct MemState(Arc<Mutex<Store>>);

impl MemState {
    /// Returns the state service API as the process `name` sees it.
    pub fn client(&self, name: &str) -> Arc<dyn StateApi> {
        Arc::new(MemClient { store: self.clone(), name: name.into() })
    }

    /// Starts or ends an outage. Leases do not expire during the outage and have their full
    /// time to live after it.
    pub fn set_outage(&self, on: bool) {
        let mut store = lock(&self.0);
        store.expire();
        store.outage = on;
        let now = Instant::now();
        for (ttl, expires_at) in store.leases.values_mut() {
            *expires_at = now + *ttl;
        }
    }

    /// Begins an outage with the next transaction that is executed: its client gets the answer,
    /// and no other client learns of its writes.
    pub fn begin_outage_after_next_commit(&self) {
        lock(&self.0).outage_after_next_commit = true;
    }

    /// Answers this client with status 503, or serves it again.
    pub fn refuse(&self, client: &str, on: bool) {
        let mut store = lock(&self.0);
        if on {
            store.refused_clients.insert(client.into());
        } else {
            store.refused_clients.remove(client);
        }
    }

    /// Lowers the limits of values and transactions for all later transactions.
    pub fn lower_limits(&self, value_bytes: usize, writes: usize) {
        lock(&self.0).limits = Limits { value_bytes, writes };
    }

    /// Returns the number of transactions that were rejected because they exceeded the limits.
    pub fn rejected(&self) -> u32 {
        lock(&self.0).rejected_count
    }

    /// Limits watches to the latest `changes` changes.
    pub fn set_window(&self, changes: usize) {
        lock(&self.0).watch_window = Some(changes);
    }

    /// Returns the number of watches that failed because their revision was too old.
    pub fn too_old(&self) -> u32 {
        lock(&self.0).too_old_count
    }

    /// Makes list requests fail: `(seed, share)`, where `share` is the part of them that fails.
    pub fn set_failing(&self, failing: Option<(u64, f64)>) {
        lock(&self.0).failing_lists =
            failing.map(|(seed, share)| Delays::new(seed, share, 0.0..1.0));
    }

    /// Selects the later transactions that get no answer and are executed late.
    pub fn set_late_transactions(&self, late: Option<LateTransactions>) {
        lock(&self.0).late_transactions = late;
    }

    /// Selects the later transactions and lease requests of which copies arrive.
    pub fn set_repeated_requests(&self, repeated: Option<RepeatedDeliveries>) {
        lock(&self.0).repeated_requests = repeated;
    }

    /// Executes copies of a request that is being answered, after delays that are drawn here. An
    /// outage refuses them.
    fn deliver_copies(&self, execute: impl Fn(&mut Store) + Clone + Send + 'static) {
        let delays = lock(&self.0).repeated_requests.as_mut().map(RepeatedDeliveries::draw);
        for delay in delays.into_iter().flatten() {
            let (state, execute) = (self.clone(), execute.clone());
            tokio::spawn(async move {
                sleep(delay).await;
                let mut store = lock(&state.0);
                store.expire();
                if !store.outage {
                    execute(&mut store);
                }
            });
        }
    }

    /// Suspends the client's process: its calls wait until `until`.
    pub fn freeze(&self, client: &str, until: Instant) {
        lock(&self.0).frozen_until.insert(client.into(), until);
    }

    /// Adds a latency to every call of every client.
    pub fn set_slow(&self, extra_latency: Duration) {
        lock(&self.0).extra_latency = extra_latency;
    }

    /// Holds back the client's transactions without an answer until `deliver_held` or
    /// `release_held`.
    pub fn hold(&self, client: &str) {
        lock(&self.0).held_clients.insert(client.into());
    }

    /// Executes the held-back transactions and serves their clients again. Returns the
    /// result of each transaction.
    pub fn deliver_held(&self) -> Vec<Result<u64, StateError>> {
        let mut store = lock(&self.0);
        store.expire();
        store.held_clients.clear();
        let held_transactions = std::mem::take(&mut store.held_transactions);
        held_transactions.iter().map(|txn| store.multi(txn)).collect()
    }

    /// Serves the held clients again. Returns the held-back transactions, which the test may
    /// pass to `execute` later.
    pub fn release_held(&self) -> Vec<Transaction> {
        let mut store = lock(&self.0);
        store.held_clients.clear();
        std::mem::take(&mut store.held_transactions)
    }

    /// Executes transactions that were held back. Returns the result of each transaction.
    pub fn execute(&self, late: Vec<Transaction>) -> Vec<Result<u64, StateError>> {
        let mut store = lock(&self.0);
        store.expire();
        late.iter().map(|txn| store.multi(txn)).collect()
    }

    /// Returns the number of transactions that are held back.
    pub fn held_count(&self) -> usize {
        lock(&self.0).held_transactions.len()
    }

    /// Loses the answers to the client's next `count` transactions; they are still executed.
    pub fn lose_answers(&self, client: &str, count: u32) {
        lock(&self.0).answers_to_lose.insert(client.into(), count);
    }

    /// Returns the number of requests and writes of all clients so far.
    pub fn usage(&self) -> StateUsage {
        lock(&self.0).usage
    }

    /// Returns the JSON text of a key's value, if the key exists.
    pub fn value(&self, key: &str) -> Option<String> {
        lock(&self.0).kv.get(key).map(|(v, ..)| v.get().to_owned())
    }

    /// Returns all values that were ever put to keys with this prefix, in order.
    pub fn put_history(&self, prefix: &str) -> Vec<PastPut> {
        let store = lock(&self.0);
        let changes = store.changed_at.iter().zip(&store.log);
        let of_prefix = changes.filter(|(_, (_, key, _))| key.starts_with(prefix));
        let puts = of_prefix.filter_map(|(at, (_, key, value))| {
            let value = value.as_ref()?.get().to_owned();
            Some(PastPut { at: *at, key: key.clone(), value })
        });
        puts.collect()
    }

    /// Returns the version of a key, or 0 if the key does not exist.
    pub fn version(&self, key: &str) -> u64 {
        lock(&self.0).kv.get(key).map_or(0, |(_, v, _)| *v)
    }

    /// Returns the keys with this prefix in ascending order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let store = lock(&self.0);
        let from = store.kv.range(prefix.to_owned()..);
        from.map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Commits a transaction immediately, as if by another client.
    pub fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        lock(&self.0).multi(&Transaction { conditions, writes })
    }
}

struct MemClient {
    store: MemState,
    name: String,
}

impl MemClient {
    /// Counts a request, then waits for its latency and while the process is suspended.
    async fn wait_for_arrival(&self) {
        let (latency, frozen_until) = {
            let mut store = lock(&self.store.0);
            store.usage.requests += 1;
            (LATENCY + store.extra_latency, store.frozen_until.get(&self.name).copied())
        };
        sleep(latency).await;
        if let Some(until) = frozen_until {
            tokio::time::sleep_until(until).await;
        }
    }

    /// Returns the store, unless an outage or a refusal keeps this client from it.
    fn available_store(&self) -> Result<MutexGuard<'_, Store>, StateError> {
        let mut store = lock(&self.store.0);
        store.expire();
        if store.outage || store.refused_clients.contains(&self.name) {
            return Err(StateError::Refused(StatusCode::SERVICE_UNAVAILABLE));
        }
        Ok(store)
    }
}

/// Latency of a call without faults.
const LATENCY: Duration = Duration::from_millis(3);

impl StateApi for MemClient {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>> {
        let (prefix, since) = (prefix.to_owned(), since.to_owned());
        Box::pin(async move {
            self.wait_for_arrival().await;
            let mut store = self.available_store()?;
            if store.failing_lists.as_mut().and_then(Delays::draw).is_some() {
                return Err(StateError::Refused(StatusCode::SERVICE_UNAVAILABLE));
            }
            let mut items: Vec<Item> = store
                .kv
                .iter()
                .filter(|(k, _)| k.starts_with(&prefix) && **k > since)
                .take(51)
                .map(|(k, (v, version, _))| Item {
                    key: k.clone(),
                    value: v.clone(),
                    version: *version,
                })
                .collect();
            let more = items.len() > 50;
            items.truncate(50);
            Ok(ItemPage { items, more, revision: store.revision })
        })
    }

    fn transact(&self, txn: &Transaction) -> BoxFuture<'_, Result<u64, StateError>> {
        let txn = txn.clone();
        Box::pin(async move {
            self.wait_for_arrival().await;
            let copy = txn.clone();
            let answer_lost = {
                let mut store = self.available_store()?;
                store.usage.writes += txn.writes.len() as u64;
                let late = store.late_transactions.as_mut().and_then(LateTransactions::draw);
                if let Some(delay) = late {
                    if delay.is_zero() {
                        let _ = store.multi(&txn);
                    } else {
                        let state = self.store.clone();
                        tokio::spawn(async move {
                            sleep(delay).await;
                            state.execute(vec![txn]);
                        });
                    }
                    true
                } else if store.held_clients.contains(&self.name) {
                    store.held_transactions.push(txn);
                    true
                } else {
                    let result = store.multi(&txn);
                    if result.is_ok() && store.outage_after_next_commit {
                        store.outage_after_next_commit = false;
                        store.outage = true;
                    }
                    let answers_to_lose =
                        store.answers_to_lose.entry(self.name.clone()).or_default();
                    if *answers_to_lose == 0 {
                        drop(store);
                        self.store.deliver_copies(move |store| {
                            let _ = store.multi(&copy);
                        });
                        return result;
                    }
                    *answers_to_lose -= 1;
                    true
                }
            };
            assert!(answer_lost);
            sleep(Duration::from_secs(1)).await;
            Err(StateError::OutcomeUnknown(CallError::Timeout))
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>> {
        Box::pin(async move {
            self.wait_for_arrival().await;
            let lease = self.available_store()?.grant_lease(ttl);
            self.store.deliver_copies(move |store| {
                store.grant_lease(ttl);
            });
            Ok(lease)
        })
    }

    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            self.wait_for_arrival().await;
            let renewed = self.available_store()?.renew_lease(lease);
            self.store.deliver_copies(move |store| {
                let _ = store.renew_lease(lease);
            });
            renewed
        })
    }

    fn revoke_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            self.wait_for_arrival().await;
            self.available_store()?.end_lease(lease);
            self.store.deliver_copies(move |store| store.end_lease(lease));
            Ok(())
        })
    }

    fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> BoxFuture<'_, Result<Events, StateError>> {
        let prefix = prefix.to_owned();
        Box::pin(async move {
            self.wait_for_arrival().await;
            let deadline = Instant::now() + wait;
            if wait.is_zero() {
                drop(self.available_store()?);
            }
            loop {
                if let Ok(mut store) = self.available_store() {
                    let window = store.watch_window.unwrap_or(usize::MAX);
                    let oldest = store.log.len().saturating_sub(window);
                    let first = store.log.partition_point(|(r, ..)| *r <= since);
                    if first < oldest {
                        store.too_old_count += 1;
                        return Err(StateError::RevisionTooOld);
                    }
                    let events: Vec<Event> = store.log[first..]
                        .iter()
                        .filter(|(_, k, _)| k.starts_with(&prefix))
                        .map(|(revision, key, value)| Event {
                            put: value.is_some().then(|| key.clone()),
                            delete: value.is_none().then(|| key.clone()),
                            value: value.clone(),
                            version: *revision,
                        })
                        .collect();
                    if !events.is_empty() || Instant::now() >= deadline {
                        return Ok(Events { revision: store.revision, events });
                    }
                }
                sleep(Duration::from_millis(20)).await;
            }
        })
    }
}
