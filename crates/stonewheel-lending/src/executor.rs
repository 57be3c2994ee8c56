//! The executor of one controller: it takes claims, and while it holds the ledger plans,
//! writes and gives orders.

mod calls;
mod planning;
mod submission;

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
};

use rand::{SeedableRng, rngs::StdRng};
use stonewheel_coordination::{Coordinator, Succession, Versioned, put};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::{StateError, lock};
use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use crate::{
    bound::Bounds,
    claim::{ClaimError, ClaimId},
    claims::Claims,
    counters::Counters,
    holder::{HOLDER_KEY, HolderRecord},
    host::MachineHost,
    ledger::{Ledger, shard_count},
    observations::MachineObservations,
    planner::{Plan, PlannerInput, WaitReason},
    reserve::Reserve,
    settings::LendingSettings,
};

/// Steps are at least this part of a look apart.
const STEPS_PER_INTERVAL: u32 = 8;

/// A planner: [`crate::planner::plan`], or in tests a broken one that a checker must
/// find.
pub type Planner = fn(&PlannerInput<'_>) -> Plan;

/// Sizes of the state service's values and transactions.
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Bytes of the largest value.
    pub value_bytes: usize,
    /// Writes of the largest transaction.
    pub transaction_writes: usize,
}

/// Why a claim was not taken, or not withdrawn.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ClaimFailure {
    /// It was refused, and nothing was changed.
    #[error(transparent)]
    Refused(#[from] ClaimError),
    /// The state service can't be reached: certainly not carried out.
    #[error("the state service can't be reached")]
    Unavailable,
    /// It may have been carried out: the same call again tells.
    #[error("the outcome is not known; ask again")]
    Unknown,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimStatus {
    /// Nobody asked for it, or it was forgotten.
    Unknown,
    /// It was withdrawn, or its work is complete.
    Finished,
    /// This controller doesn't hold the ledger; the named one does, if any.
    HeldElsewhere {
        /// The holder.
        holder: Option<String>,
    },
    /// What it waits for, by the last plan. None: not planned yet.
    Active(Option<WaitReason>),
}

/// What the holder of the ledger keeps for its term.
struct Term {
    ledger: Ledger,
    observations: MachineObservations,
    reserve: Reserve,
    reasons: BTreeMap<ClaimId, WaitReason>,
    waits_since: HashMap<ClaimId, Instant>,
    finished_since: HashMap<ClaimId, Instant>,
    next_number: u64,
    may_lend_from: Instant,
}

/// The executor of one controller.
pub struct Executor {
    coordinator: Arc<Coordinator>,
    settings: LendingSettings,
    bounds: Bounds,
    host: Arc<dyn MachineHost>,
    planner: Planner,
    limits: StateLimits,
    claims: Mutex<Claims>,
    term: Mutex<Option<Term>>,
    succession: Mutex<Succession>,
    counters: Mutex<Counters>,
    rng: Mutex<StdRng>,
    calls_changed: Notify,
}

impl Executor {
    /// Over the coordination of this controller and the machines' host.
    pub fn new(
        coordinator: Arc<Coordinator>,
        settings: LendingSettings,
        host: Arc<dyn MachineHost>,
        planner: Planner,
        limits: StateLimits,
        seed: u64,
    ) -> Arc<Self> {
        let timing = coordinator.timing();
        let members = coordinator.members().len() as u32;
        let bounds = Bounds::of(&settings, timing.session, timing.state_timeout, members);
        Arc::new(Self {
            coordinator,
            settings,
            bounds,
            host,
            planner,
            limits,
            claims: Mutex::default(),
            term: Mutex::default(),
            succession: Mutex::default(),
            counters: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            calls_changed: Notify::new(),
        })
    }

    /// How long claims inside their guarantees wait at the most.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// What this controller did so far.
    pub fn counters(&self) -> Counters {
        *lock(&self.counters)
    }

    /// Whether this process held the ledger at its last step.
    pub fn holds_ledger(&self) -> bool {
        lock(&self.term).is_some()
    }

    /// Runs until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.clone().drive(&stop) => {}
            () = stop.cancelled() => {}
        }
        info!(counters = %self.counters(), "lending ends");
    }

    async fn drive(self: Arc<Self>, stop: &CancellationToken) {
        let mut changes = self.coordinator.subscribe();
        let pause = self.settings.times.probe_interval() / STEPS_PER_INTERVAL;
        loop {
            changes.mark_unchanged();
            self.step(stop).await;
            sleep(pause).await;
            tokio::select! {
                _ = changes.changed() => {}
                () = self.calls_changed.notified() => {}
                () = sleep(self.settings.times.probe_interval() - pause) => {}
            }
        }
    }

    async fn step(self: &Arc<Self>, stop: &CancellationToken) {
        let (loaded, holder, version) = {
            let records = self.coordinator.records();
            let holder = records.get::<HolderRecord>(HOLDER_KEY);
            (records.loaded(), holder, records.version(HOLDER_KEY))
        };
        // A record that can't be read: its token is not known, so nobody may act.
        if !loaded || (holder.is_none() && version > 0) {
            *lock(&self.term) = None;
            return;
        }
        let me = Some(self.coordinator.me());
        let mine = holder.as_ref().filter(|held| held.value.owner.as_ref() == me);
        let eligible = self.host.eligible();
        match mine {
            Some(held) if self.session_valid() && eligible => {
                self.begin_term(&held.value);
                self.hold(held, stop).await;
                return;
            }
            _ => *lock(&self.term) = None,
        }
        match mine {
            Some(held) if !eligible => self.release_ledger(held).await,
            None if eligible => self.adopt_if_due(holder.as_ref()).await,
            _ => {}
        }
    }

    /// Lets another controller hold the ledger.
    async fn release_ledger(&self, held: &Versioned<HolderRecord>) {
        let Ok(write) = put(HOLDER_KEY.into(), &held.value.released_by_holder(), None) else {
            return;
        };
        let condition = Condition { key: HOLDER_KEY.into(), version: held.version };
        match self.commit(vec![condition], vec![write]).await {
            Ok(_) => info!(epoch = held.value.epoch, "gives the ledger back"),
            Err(error) => {
                debug!(%error, "the ledger was not given back");
                self.coordinator.refresh().await;
            }
        }
    }

    fn session_valid(&self) -> bool {
        self.coordinator.session().is_some_and(|session| Instant::now() < session.valid_until)
    }

    async fn adopt_if_due(&self, holder: Option<&Versioned<HolderRecord>>) {
        let owner = holder.and_then(|held| held.value.owner.as_ref());
        if !self.session_valid() || !lock(&self.succession).may_adopt(&self.coordinator, owner) {
            return;
        }
        let machines = self.settings.times.expected_machines as u32;
        let shards = shard_count(machines, self.limits.value_bytes);
        let me = self.coordinator.me().clone();
        let next = HolderRecord::successor(holder.map(|held| &held.value), me, shards);
        let version = holder.map_or(0, |held| held.version);
        let condition = Condition { key: HOLDER_KEY.into(), version };
        let Ok(write) = put(HOLDER_KEY.into(), &next, None) else { return };
        match self.commit(vec![condition], vec![write]).await {
            Ok(_) => info!(epoch = next.epoch, shards = next.shards, "holds the ledger"),
            Err(error) => {
                debug!(%error, "the ledger was not adopted");
                self.coordinator.refresh().await;
            }
        }
    }

    async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let Some(session) = self.coordinator.session() else {
            return Err(StateError::LeaseExpired);
        };
        self.coordinator.commit_under(session, conditions, writes).await
    }

    /// What is known of an earlier term says nothing in this one.
    fn begin_term(&self, holder: &HolderRecord) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|term| term.observations.epoch == holder.epoch) {
            return;
        }
        let now = Instant::now();
        let times = self.settings.times;
        let first = holder.epoch == 1;
        *term = Some(Term {
            ledger: Ledger::new(holder.shards, self.limits.value_bytes),
            observations: MachineObservations::new(times, holder.epoch, now),
            reserve: Reserve::new(times.settle(), times.memory(), self.bounds.reclaim),
            reasons: BTreeMap::new(),
            waits_since: HashMap::new(),
            finished_since: HashMap::new(),
            next_number: 1,
            // What serving gave back to the former holder is not known here.
            may_lend_from: if first { now } else { now + times.settle() },
        });
    }

    async fn hold(self: &Arc<Self>, holder: &Versioned<HolderRecord>, stop: &CancellationToken) {
        let epoch = holder.value.epoch;
        let asked = timeout(self.settings.times.order_timeout(), self.host.observe(epoch)).await;
        let observation = match asked {
            Ok(Ok(observation)) => observation,
            Ok(Err(error)) => return debug!(%error, "machines can't be observed"),
            Err(_) => return debug!("machines were not observed in time"),
        };
        if !self.session_valid() {
            return;
        }
        let Some(step) = self.plan(epoch, observation) else { return };
        let complete = self.carry_out(holder, step).await;
        if !complete {
            // Whether a write was carried out shows in the records.
            self.coordinator.refresh().await;
        }
        if self.session_valid() {
            self.give_orders(epoch, stop);
        }
    }
}
