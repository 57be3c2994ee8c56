//! The executor's state: the part that every controller keeps, and the part that only the holder of
//! the ledger keeps for its term.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex},
};

use rand::{SeedableRng, rngs::StdRng};
use stonewheel_coordination::{Coordinator, Succession};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::{StateError, lock};
use tokio::{sync::Notify, time::Instant};

use super::api::{Planner, StateLimits};
use crate::{
    bound::Bounds, claims::Claims, counters::Counters, holder::HolderRecord, host::MachineHost,
    ledger::Ledger, names::ClaimId, observations::MachineObservations, planner::WaitReason,
    reserve::Reserve, settings::LendingSettings,
};

/// The state of the ledger's holder during its term.
pub(super) struct Term {
    pub(super) ledger: Ledger,
    pub(super) observations: MachineObservations,
    pub(super) reserve: Reserve,
    pub(super) reasons: BTreeMap<ClaimId, WaitReason>,
    pub(super) waiting_since: HashMap<ClaimId, Instant>,
    pub(super) finished_since: HashMap<ClaimId, Instant>,
    pub(super) next_number: u64,
    pub(super) may_lend_at: Instant,
}

/// The executor of one controller.
pub struct Executor {
    pub(super) coordinator: Arc<Coordinator>,
    pub(super) settings: LendingSettings,
    pub(super) bounds: Bounds,
    pub(super) host: Arc<dyn MachineHost>,
    pub(super) planner: Planner,
    pub(super) limits: StateLimits,
    pub(super) claims: Mutex<Claims>,
    pub(super) term: Mutex<Option<Term>>,
    pub(super) succession: Mutex<Succession>,
    pub(super) counters: Mutex<Counters>,
    pub(super) rng: Mutex<StdRng>,
    pub(super) calls_changed: Notify,
}

impl Executor {
    /// Creates the executor of this controller. `seed` initializes the random numbers for back-off.
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
        let bounds = Bounds::of(&settings, timing.session_ttl, timing.state_timeout, members);
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

    /// Returns the bounds on how long claims inside their guarantees wait.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns the counters of this controller.
    pub fn counters(&self) -> Counters {
        *lock(&self.counters)
    }

    /// Whether this controller held the ledger at its last step.
    pub fn holds_ledger(&self) -> bool {
        lock(&self.term).is_some()
    }

    /// Whether this controller's session is valid by its own clock.
    pub(super) fn session_valid(&self) -> bool {
        self.coordinator.session().is_some_and(|session| Instant::now() < session.valid_until)
    }

    /// Commits a transaction under the session of this controller.
    pub(super) async fn commit(
        &self,
        conditions: Vec<Condition>,
        writes: Vec<Write>,
    ) -> Result<u64, StateError> {
        let Some(session) = self.coordinator.session() else {
            return Err(StateError::LeaseExpired);
        };
        self.coordinator.commit_under(session, conditions, writes).await
    }

    /// Begins a term with empty state, unless the term of this holder record has begun already. The
    /// state of an earlier term is no longer valid.
    pub(super) fn begin_term(&self, holder: &HolderRecord) {
        let mut term = lock(&self.term);
        if term.as_ref().is_some_and(|term| term.observations.epoch == holder.epoch) {
            return;
        }
        let now = Instant::now();
        let times = self.settings.times;
        let is_first = holder.epoch == 1;
        *term = Some(Term {
            ledger: Ledger::new(holder.shards, self.limits.value_bytes),
            observations: MachineObservations::new(times, holder.epoch, now),
            reserve: Reserve::new(
                times.release_retention(),
                times.rise_retention(),
                self.bounds.reclaim,
            ),
            reasons: BTreeMap::new(),
            waiting_since: HashMap::new(),
            finished_since: HashMap::new(),
            next_number: 1,
            // This holder doesn't know which machines serving released under the former holder, so
            // it lends nothing until their retention has passed.
            may_lend_at: if is_first { now } else { now + times.release_retention() },
        });
    }
}
