//! The state service in memory, with the faults that a real one may have.

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

use crate::faults::{Delays, LateTransactions};

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Store {
    revision: u64,
    kv: BTreeMap<String, (Box<RawValue>, u64, Option<u64>)>,
    log: Vec<(u64, String, Option<Box<RawValue>>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    outage: bool,
    refused: HashSet<String>,
    /// Transactions of these clients are held back and answered by nobody.
    held_clients: HashSet<String>,
    held: Vec<Transaction>,
    /// How many transactions to carry out without an answer, by client.
    mute: HashMap<String, u32>,
    /// How long an answer takes beyond the usual.
    slow: Duration,
    limits: Limits,
    /// Transactions that were larger than that.
    rejected: u32,
    /// How many changes a watch can go back, if not all.
    window: Option<usize>,
    /// Readings that a watch could not go on from.
    too_old: u32,
    /// Which readings of records fail.
    failing: Option<Delays>,
    /// Which transactions come late, or lose their answer.
    late: Option<LateTransactions>,
    /// Calls and changes that were asked for so far.
    usage: StateUsage,
    /// Until when these clients' calls wait, since their process stands still.
    frozen: HashMap<String, Instant>,
}

/// What was asked of the state service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateUsage {
    /// Requests of any kind.
    pub requests: u64,
    /// Puts and deletes.
    pub writes: u64,
}

/// What the state service takes: bytes of a value, writes of a transaction.
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
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (_, at))| *at <= now).map(|(id, _)| *id).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .kv
            .iter()
            .filter(|(_, (_, _, l))| *l == Some(lease))
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.kv.remove(&key);
            self.log.push((self.revision, key, None));
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
            self.rejected += 1;
            return Err(StateError::Rejected("too large".into()));
        }
        let over = |write: &Write| match write {
            Write::Put { lease: Some(lease), .. } => !self.leases.contains_key(lease),
            _ => false,
        };
        if txn.writes.iter().any(over) {
            return Err(StateError::LeaseExpired);
        }
        let version = |key: &String| self.kv.get(key).map_or(0, |(_, v, _)| *v);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Err(StateError::Conflict(failed));
        }
        self.revision += 1;
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    self.kv.insert(key.clone(), (value.clone(), self.revision, *lease));
                    self.log.push((self.revision, key.clone(), Some(value.clone())));
                }
                Write::Delete { key } => {
                    if self.kv.remove(key).is_some() {
                        self.log.push((self.revision, key.clone(), None));
                    }
                }
            }
        }
        Ok(self.revision)
    }
}

/// An in-memory state service. Clones share one store.
#[derive(Clone, Default)]
pub struct MemState(Arc<Mutex<Store>>);

impl MemState {
    /// The state service as the process of this name reaches it.
    pub fn client(&self, name: &str) -> Arc<dyn StateApi> {
        Arc::new(MemClient { store: self.clone(), name: name.into() })
    }

    /// In an outage leases stand still; afterwards each has its full time.
    pub fn set_outage(&self, on: bool) {
        let mut store = lock(&self.0);
        store.expire();
        store.outage = on;
        let now = Instant::now();
        for (ttl, at) in store.leases.values_mut() {
            *at = now + *ttl;
        }
    }

    /// Answers this client with 503, or serves it again.
    pub fn refuse(&self, client: &str, on: bool) {
        let mut store = lock(&self.0);
        if on {
            store.refused.insert(client.into());
        } else {
            store.refused.remove(client);
        }
    }

    /// The limits fall, without notice.
    pub fn lower_limits(&self, value_bytes: usize, writes: usize) {
        lock(&self.0).limits = Limits { value_bytes, writes };
    }

    /// How many transactions were too large.
    pub fn rejected(&self) -> u32 {
        lock(&self.0).rejected
    }

    /// A watch can't go back further than `changes`.
    pub fn set_window(&self, changes: usize) {
        lock(&self.0).window = Some(changes);
    }

    /// How many watches could not go on from where they were.
    pub fn too_old(&self) -> u32 {
        lock(&self.0).too_old
    }

    /// That share of the readings of records fails, drawn from a seed.
    pub fn set_failing(&self, failing: Option<(u64, f64)>) {
        lock(&self.0).failing = failing.map(|(seed, share)| Delays::new(seed, share, 0.0..1.0));
    }

    /// From now on these of the transactions get no answer and are carried out late.
    pub fn set_late_transactions(&self, late: Option<LateTransactions>) {
        lock(&self.0).late = late;
    }

    /// The client's process stands still: its calls neither leave nor return.
    pub fn freeze(&self, client: &str, until: Instant) {
        lock(&self.0).frozen.insert(client.into(), until);
    }

    /// Every call takes so much longer.
    pub fn set_slow(&self, slow: Duration) {
        lock(&self.0).slow = slow;
    }

    /// Holds this client's transactions back, unanswered, until they are delivered or
    /// released.
    pub fn hold(&self, client: &str) {
        lock(&self.0).held_clients.insert(client.into());
    }

    /// Delivers what was held back, and tells how each ended.
    pub fn deliver_held(&self) -> Vec<Result<u64, StateError>> {
        let mut store = lock(&self.0);
        store.expire();
        store.held_clients.clear();
        let held = std::mem::take(&mut store.held);
        held.iter().map(|txn| store.multi(txn)).collect()
    }

    /// Answers its clients again; what was held back is carried out later.
    pub fn release_held(&self) -> Vec<Transaction> {
        let mut store = lock(&self.0);
        store.held_clients.clear();
        std::mem::take(&mut store.held)
    }

    /// Carries out transactions that were held back, and tells how each ended.
    pub fn execute(&self, late: Vec<Transaction>) -> Vec<Result<u64, StateError>> {
        let mut store = lock(&self.0);
        store.expire();
        late.iter().map(|txn| store.multi(txn)).collect()
    }

    /// How many transactions are held back.
    pub fn held_count(&self) -> usize {
        lock(&self.0).held.len()
    }

    /// The client's next transactions are carried out, but not answered.
    pub fn lose_answers(&self, client: &str, count: u32) {
        lock(&self.0).mute.insert(client.into(), count);
    }

    /// What was asked for so far, by all clients.
    pub fn usage(&self) -> StateUsage {
        lock(&self.0).usage
    }

    /// The text of a key's value, if the key exists.
    pub fn value(&self, key: &str) -> Option<String> {
        lock(&self.0).kv.get(key).map(|(v, ..)| v.get().to_owned())
    }

    /// The version of a key, or 0.
    pub fn version(&self, key: &str) -> u64 {
        lock(&self.0).kv.get(key).map_or(0, |(_, v, _)| *v)
    }

    /// The keys with this prefix, in order.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let store = lock(&self.0);
        let from = store.kv.range(prefix.to_owned()..);
        from.map(|(key, _)| key).take_while(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Commits a transaction at once, as if by another client.
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
    /// Waits for as long as a call takes, and while the process stands still.
    async fn pass_time(&self) {
        let (latency, frozen) = {
            let mut store = lock(&self.store.0);
            store.usage.requests += 1;
            (LATENCY + store.slow, store.frozen.get(&self.name).copied())
        };
        sleep(latency).await;
        if let Some(until) = frozen {
            tokio::time::sleep_until(until).await;
        }
    }

    fn open(&self) -> Result<MutexGuard<'_, Store>, StateError> {
        let mut store = lock(&self.store.0);
        store.expire();
        if store.outage || store.refused.contains(&self.name) {
            return Err(StateError::Refused(StatusCode::SERVICE_UNAVAILABLE));
        }
        Ok(store)
    }
}

const LATENCY: Duration = Duration::from_millis(3);

impl StateApi for MemClient {
    fn list(&self, prefix: &str, since: &str) -> BoxFuture<'_, Result<ItemPage, StateError>> {
        let (prefix, since) = (prefix.to_owned(), since.to_owned());
        Box::pin(async move {
            self.pass_time().await;
            let mut store = self.open()?;
            if store.failing.as_mut().and_then(Delays::draw).is_some() {
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
            self.pass_time().await;
            let silent = {
                let mut store = self.open()?;
                store.usage.writes += txn.writes.len() as u64;
                let late = store.late.as_mut().and_then(LateTransactions::draw);
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
                    store.held.push(txn);
                    true
                } else {
                    let result = store.multi(&txn);
                    let mute = store.mute.entry(self.name.clone()).or_default();
                    if *mute == 0 {
                        return result;
                    }
                    *mute -= 1;
                    true
                }
            };
            assert!(silent);
            sleep(Duration::from_secs(1)).await;
            Err(StateError::OutcomeUnknown(CallError::Timeout))
        })
    }

    fn grant_lease(&self, ttl: Duration) -> BoxFuture<'_, Result<u64, StateError>> {
        Box::pin(async move {
            self.pass_time().await;
            let mut store = self.open()?;
            store.next_lease += 1;
            let id = store.next_lease;
            store.leases.insert(id, (ttl, Instant::now() + ttl));
            Ok(id)
        })
    }

    fn renew_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            self.pass_time().await;
            let mut store = self.open()?;
            let (ttl, at) = store.leases.get_mut(&lease).ok_or(StateError::LeaseExpired)?;
            *at = Instant::now() + *ttl;
            Ok(())
        })
    }

    fn revoke_lease(&self, lease: u64) -> BoxFuture<'_, Result<(), StateError>> {
        Box::pin(async move {
            self.pass_time().await;
            self.open()?.end_lease(lease);
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
            self.pass_time().await;
            let until = Instant::now() + wait;
            if wait.is_zero() {
                drop(self.open()?);
            }
            loop {
                if let Ok(mut store) = self.open() {
                    let window = store.window.unwrap_or(usize::MAX);
                    let oldest = store.log.len().saturating_sub(window);
                    let first = store.log.partition_point(|(r, ..)| *r <= since);
                    if first < oldest {
                        store.too_old += 1;
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
                    if !events.is_empty() || Instant::now() >= until {
                        return Ok(Events { revision: store.revision, events });
                    }
                }
                sleep(Duration::from_millis(20)).await;
            }
        })
    }
}
