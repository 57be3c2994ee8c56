//! Three controllers' executors over the stand-ins, stand-in machines, and the checker,
//! which looks after every change.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use futures_util::future::BoxFuture;
use stonewheel_lending::{
    Bounds, ClaimFailure, Executor, HOLDER_KEY, HolderRecord, HostError, LendingSettings,
    MachineCommand, MachineHost, Observation, Planner, StateLimits,
    claim::{ActiveClaim, Claim, ClaimId, ClaimRecord, MachineName, Work, claim_key},
    ledger::{Entry, LoanState, Shard},
};
use stonewheel_testing::{Callers, MemState, Members, timing};
use tokio::time::{Instant, sleep};

use super::{checker::Checker, fleet::Fleet};

pub const SESSION: Duration = Duration::from_secs(6);
pub const CONTROLLERS: usize = 3;
const LATENCY: Duration = Duration::from_millis(5);
const SAMPLE: Duration = Duration::from_millis(20);
/// How long what a decision rests on, and its order, may be on their way.
const LAG: Duration = Duration::from_millis(1500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Claims as they stand in the state service, parsed anew when they changed.
#[derive(Default)]
struct ClaimReader(HashMap<String, (u64, Option<Claim>)>);

impl ClaimReader {
    fn read(&mut self, state: &MemState) -> Vec<ActiveClaim> {
        let prefix = claim_key("");
        let mut standing = Vec::new();
        for key in state.keys(&prefix) {
            let version = state.version(&key);
            let held = self.0.entry(key.clone()).or_default();
            if held.0 != version {
                let text = state.value(&key).unwrap_or_default();
                let claim = match serde_json::from_str(&text) {
                    Ok(ClaimRecord::Active(claim)) => Some(claim),
                    _ => None,
                };
                *held = (version, claim);
            }
            if let Some(claim) = held.1.clone() {
                standing.push(ActiveClaim {
                    id: key[prefix.len()..].into(),
                    claim,
                    admission_order: version,
                });
            }
        }
        standing.sort_by_key(|standing| standing.admission_order);
        standing
    }
}

#[derive(Clone)]
pub struct World {
    pub state: MemState,
    pub fleet: Arc<Mutex<Fleet>>,
    pub checker: Arc<Mutex<Checker>>,
    pub callers: Callers,
    pub settings: LendingSettings,
    pub bounds: Bounds,
    pub members: Arc<Members<Arc<Executor>>>,
    planner: Planner,
    reader: Arc<Mutex<ClaimReader>>,
    sampled: Arc<AtomicBool>,
    began: Instant,
}

impl World {
    pub async fn new(settings: LendingSettings, machines: usize) -> Self {
        Self::with_planner(settings, machines, stonewheel_lending::planner::plan).await
    }

    pub async fn with_planner(
        settings: LendingSettings,
        machines: usize,
        planner: Planner,
    ) -> Self {
        let world = Self::unsampled(settings, machines, planner).await;
        tokio::spawn(world.clone().sample());
        world
    }

    /// Without the checker, for measurements of many machines.
    pub async fn unsampled(settings: LendingSettings, machines: usize, planner: Planner) -> Self {
        let (state, callers) = (MemState::default(), Callers::default());
        let timing = timing(SESSION);
        let bounds = Bounds::of(&settings, SESSION, timing.state_timeout, CONTROLLERS as u32);
        let members = Members::new(state.clone(), callers.clone(), CONTROLLERS, timing);
        let checker = Checker::new(settings.clone(), LAG, bounds.reclaim);
        let world = Self {
            state,
            fleet: Arc::new(Mutex::new(Fleet::new(machines, 2))),
            checker: Arc::new(Mutex::new(checker)),
            callers,
            settings,
            bounds,
            members: Arc::new(members),
            planner,
            reader: Arc::default(),
            sampled: Arc::default(),
            began: Instant::now(),
        };
        for at in 0..CONTROLLERS {
            world.start(at);
        }
        world.until("somebody holds", |world| world.holder().is_some()).await;
        world
    }

    pub fn start(&self, at: usize) {
        self.members.start(at, |process| {
            let host = Arc::new(Host { world: self.clone(), client: process.client.to_owned() });
            let (coordinator, seed) = (process.coordinator.clone(), process.seed);
            let limits = StateLimits { value_bytes: 8192, transaction_writes: 24 };
            let settings = self.settings.clone();
            let executor = Executor::new(coordinator, settings, host, self.planner, limits, seed);
            tokio::spawn(executor.clone().run(process.stop.clone()));
            executor
        });
    }

    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Lets the checker look.
    pub fn check(&self) {
        if !self.sampled.load(Ordering::Relaxed) {
            let now = self.now();
            self.fleet().advance(now);
            return;
        }
        let claims = lock(&self.reader).read(&self.state);
        let mut fleet = self.fleet();
        let now = self.now();
        fleet.advance(now);
        self.checker().check(now, &claims, &mut fleet);
    }

    async fn sample(self) {
        self.sampled.store(true, Ordering::Relaxed);
        loop {
            self.check();
            sleep(SAMPLE).await;
        }
    }

    pub fn holder_record(&self) -> Option<HolderRecord> {
        serde_json::from_str(&self.state.value(HOLDER_KEY)?).ok()
    }

    /// The controller that holds the ledger, by its record.
    pub fn holder(&self) -> Option<usize> {
        self.holder_record()?.owner?.member.strip_prefix("m-")?.parse().ok()
    }

    /// The ledger, straight from the state service.
    pub fn entries(&self) -> Vec<(MachineName, Entry)> {
        let keys = self.state.keys("sp/l/s/");
        let shards = keys.iter().filter_map(|key| self.state.value(key));
        let shards = shards.filter_map(|text| serde_json::from_str::<Shard>(&text).ok());
        shards.flat_map(|shard| shard.entries).collect()
    }

    pub fn in_state(&self, state: LoanState) -> usize {
        self.entries().iter().filter(|(_, entry)| entry.state == state).count()
    }

    pub async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let limit = Instant::now() + Duration::from_secs(600);
        while !holds(self) {
            assert!(
                Instant::now() < limit,
                "never came true: {what}: {:#?} {:#?}",
                self.entries(),
                self.checker().violations
            );
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Asks for machines at a controller, and again until it answers.
    pub async fn submit(&self, at: usize, id: &str, claim: Claim) {
        if let Work::Batch { checkpoint_s, save_s } = claim.work {
            let mut fleet = self.fleet();
            let behaviour = fleet.behaviours.entry(id.into()).or_default();
            (behaviour.checkpoint_s, behaviour.save_s) = (checkpoint_s, save_s);
        }
        self.repeat(at, async |executor| executor.submit(id, &claim).await).await;
    }

    pub async fn withdraw(&self, at: usize, id: &str) {
        self.repeat(at, async |executor| executor.withdraw(id).await).await;
    }

    async fn repeat(
        &self,
        at: usize,
        call: impl AsyncFn(Arc<Executor>) -> Result<(), ClaimFailure>,
    ) {
        for n in 0.. {
            let at = (at + n) % CONTROLLERS;
            if self.members.runs(at) {
                let done = tokio::time::timeout(SESSION, call(self.members.part(at))).await;
                match done {
                    Ok(Ok(())) => return,
                    Ok(Err(ClaimFailure::Refused(error))) => panic!("refused: {error}"),
                    Ok(Err(_)) | Err(_) => {}
                }
            }
            assert!(n < 600, "no controller takes it");
            sleep(Duration::from_millis(200)).await;
        }
    }

    pub fn runs(&self, id: &str) -> u32 {
        self.fleet().runs(id)
    }

    pub async fn until_runs(&self, id: &str, machines: u32) {
        self.until(&format!("{id} runs"), |world| world.runs(id) == machines).await;
    }

    // Faults.

    /// The bound begins anew after a fault that lasts so long.
    pub fn excuse(&self, lasts: Duration) {
        let until = self.now() + lasts + self.bounds.takeover;
        self.checker().excuse(until);
    }

    pub fn kill(&self, at: usize) {
        self.excuse(Duration::ZERO);
        self.members.kill(at);
    }

    pub fn pause(&self, at: usize, seconds: u64) {
        let time = Duration::from_secs(seconds);
        self.excuse(time);
        self.members.pause(at, time);
    }

    pub async fn outage(&self, seconds: u64) {
        self.excuse(Duration::from_secs(seconds));
        self.state.set_outage(true);
        sleep(Duration::from_secs(seconds)).await;
        self.state.set_outage(false);
    }

    pub fn silence(&self, machine: &MachineName, seconds: u64) {
        let time = Duration::from_secs(seconds);
        self.break_runs_on(machine, time);
        self.fleet().silence(machine, time);
    }

    /// What runs there may be stopped as a whole because of it.
    fn break_runs_on(&self, machine: &MachineName, time: Duration) {
        let until = self.now() + time;
        let claims: Vec<ClaimId> = {
            let fleet = self.fleet();
            let here = fleet.running().filter(|(name, _)| *name == machine);
            here.map(|(_, claim)| claim.clone()).collect()
        };
        let mut checker = self.checker();
        checker.excuse(until);
        for claim in claims {
            checker.breaks(until, &claim);
        }
    }

    pub fn restart(&self, machine: &MachineName) {
        self.break_runs_on(machine, Duration::ZERO);
        self.fleet().restart(machine);
    }

    pub fn give_notice(&self, machine: &MachineName) {
        self.break_runs_on(machine, Duration::ZERO);
        self.fleet().give_notice(machine);
    }

    pub fn assert_kept(&self) {
        self.check();
        let checker = self.checker();
        assert!(checker.violations.is_empty(), "{:#?}", checker.violations);
        assert!(checker.samples > 100, "it looked");
    }
}

/// Speaks to the machines for one process.
struct Host {
    world: World,
    client: String,
}

impl Host {
    /// Carries out a call once it arrives, also though the caller has given up meanwhile:
    /// what an interruption holds back is delivered when it ends.
    async fn call(
        &self,
        machine: &MachineName,
        act: impl FnOnce(&mut Fleet) -> Result<(), HostError> + Send + 'static,
    ) -> Result<(), HostError> {
        let (world, machine) = (self.world.clone(), machine.clone());
        let client = self.client.clone();
        let carried_out = tokio::spawn(async move {
            world.callers.arrive(&client, LATENCY).await;
            while !world.fleet().reaches(&machine) {
                sleep(SAMPLE).await;
            }
            world.check();
            let result = act(&mut world.fleet());
            world.check();
            result
        });
        let result = carried_out.await.unwrap_or(Err(HostError::Stale));
        if self.world.callers.loses_answer(&self.client) {
            std::future::pending::<()>().await;
        }
        self.world.callers.arrive(&self.client, LATENCY).await;
        result
    }
}

impl MachineHost for Host {
    fn observe(&self, token: u64) -> BoxFuture<'_, Result<Observation, HostError>> {
        Box::pin(async move {
            self.world.callers.arrive(&self.client, LATENCY).await;
            self.world.check();
            let observation = self.world.fleet().observe(token);
            self.world.callers.arrive(&self.client, LATENCY).await;
            Ok(observation)
        })
    }

    fn send(&self, command: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>> {
        let command = command.clone();
        Box::pin(async move {
            let machine = command.machine.clone();
            self.call(&machine, move |fleet| fleet.order(&command)).await
        })
    }

    fn retire(&self, machine: &MachineName, token: u64) -> BoxFuture<'_, Result<(), HostError>> {
        let machine = machine.clone();
        Box::pin(async move {
            // The cloud answers for it, whether it can be reached or not.
            self.world.callers.arrive(&self.client, LATENCY).await;
            let result = self.world.fleet().retire(&machine, token);
            self.world.check();
            result
        })
    }
}
