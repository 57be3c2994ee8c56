//! A test deployment: the executors of three controllers, with a state service in memory, simulated
//! machines, and the checker, which runs after every change.

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

/// How long a controller's session stays valid after its last renewal.
pub const SESSION: Duration = Duration::from_secs(6);
pub const CONTROLLERS: usize = 3;
/// The one-way latency of a call to a machine.
const CALL_LATENCY: Duration = Duration::from_millis(5);
/// The interval at which the checker runs while nothing happens.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// The maximum time from the observations that a decision is based on to the execution of its
/// command.
const MAX_DECISION_LAG: Duration = Duration::from_millis(1500);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads the active claims from the state service. Caches each record with its version, and parses
/// it again only when the version changes.
#[derive(Default)]
struct ClaimReader(HashMap<String, (u64, Option<Claim>)>);

impl ClaimReader {
    fn read(&mut self, state: &MemState) -> Vec<ActiveClaim> {
        let prefix = claim_key("");
        let mut active_claims = Vec::new();
        for key in state.keys(&prefix) {
            let version = state.version(&key);
            let cached = self.0.entry(key.clone()).or_default();
            if cached.0 != version {
                let text = state.value(&key).unwrap_or_default();
                let claim = match serde_json::from_str(&text) {
                    Ok(ClaimRecord::Active(claim)) => Some(claim),
                    _ => None,
                };
                *cached = (version, claim);
            }
            if let Some(claim) = cached.1.clone() {
                active_claims.push(ActiveClaim {
                    id: key[prefix.len()..].into(),
                    claim,
                    admission_order: version,
                });
            }
        }
        active_claims.sort_by_key(|active| active.admission_order);
        active_claims
    }
}

/// Three controllers, the simulated machines and the checker.
#[derive(Clone)]
pub struct TestDeployment {
    pub state: MemState,
    pub fleet: Arc<Mutex<Fleet>>,
    pub checker: Arc<Mutex<Checker>>,
    pub callers: Callers,
    pub settings: LendingSettings,
    pub bounds: Bounds,
    pub members: Arc<Members<Arc<Executor>>>,
    planner: Planner,
    claim_reader: Arc<Mutex<ClaimReader>>,
    checker_enabled: Arc<AtomicBool>,
    started_at: Instant,
}

impl TestDeployment {
    pub async fn new(settings: LendingSettings, machines: usize) -> Self {
        Self::with_planner(settings, machines, stonewheel_lending::planner::plan).await
    }

    pub async fn with_planner(
        settings: LendingSettings,
        machines: usize,
        planner: Planner,
    ) -> Self {
        let cluster = Self::without_checker(settings, machines, planner).await;
        tokio::spawn(cluster.clone().run_checker());
        cluster
    }

    /// Starts a deployment without the checker, for measurements with many machines.
    pub async fn without_checker(
        settings: LendingSettings,
        machines: usize,
        planner: Planner,
    ) -> Self {
        let (state, callers) = (MemState::default(), Callers::default());
        let timing = timing(SESSION);
        let bounds = Bounds::of(&settings, SESSION, timing.state_timeout, CONTROLLERS as u32);
        let members = Members::new(state.clone(), callers.clone(), CONTROLLERS, timing);
        let checker = Checker::new(settings.clone(), MAX_DECISION_LAG, bounds.reclaim);
        let cluster = Self {
            state,
            fleet: Arc::new(Mutex::new(Fleet::new(machines, 2))),
            checker: Arc::new(Mutex::new(checker)),
            callers,
            settings,
            bounds,
            members: Arc::new(members),
            planner,
            claim_reader: Arc::default(),
            checker_enabled: Arc::default(),
            started_at: Instant::now(),
        };
        for controller in 0..CONTROLLERS {
            cluster.start(controller);
        }
        cluster
            .wait_until("a controller holds the ledger", |cluster| cluster.holder().is_some())
            .await;
        cluster
    }

    /// Starts a process of a controller.
    pub fn start(&self, controller: usize) {
        self.members.start(controller, |process| {
            let host = Arc::new(Host { cluster: self.clone(), client: process.client.to_owned() });
            let (coordinator, seed) = (process.coordinator.clone(), process.seed);
            let limits = StateLimits { value_bytes: 8192, transaction_writes: 24 };
            let settings = self.settings.clone();
            let executor = Executor::new(coordinator, settings, host, self.planner, limits, seed);
            tokio::spawn(executor.clone().run(process.stop.clone()));
            executor
        });
    }

    /// Returns the time since the start of the deployment.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub fn checker(&self) -> MutexGuard<'_, Checker> {
        lock(&self.checker)
    }

    /// Advances the machines to the current time, and runs the checker unless it is disabled.
    pub fn check(&self) {
        if !self.checker_enabled.load(Ordering::Relaxed) {
            let now = self.now();
            self.fleet().advance(now);
            return;
        }
        let claims = lock(&self.claim_reader).read(&self.state);
        let mut fleet = self.fleet();
        let now = self.now();
        fleet.advance(now);
        self.checker().check(now, &claims, &mut fleet);
    }

    async fn run_checker(self) {
        self.checker_enabled.store(true, Ordering::Relaxed);
        loop {
            self.check();
            sleep(SAMPLE_INTERVAL).await;
        }
    }

    pub fn holder_record(&self) -> Option<HolderRecord> {
        serde_json::from_str(&self.state.value(HOLDER_KEY)?).ok()
    }

    /// Returns the controller that holds the ledger, by the holder's record.
    pub fn holder(&self) -> Option<usize> {
        self.holder_record()?.owner?.member.strip_prefix("m-")?.parse().ok()
    }

    /// Returns the entries of the ledger as stored in the state service.
    pub fn entries(&self) -> Vec<(MachineName, Entry)> {
        let keys = self.state.keys("sp/l/s/");
        let shards = keys.iter().filter_map(|key| self.state.value(key));
        let shards = shards.filter_map(|text| serde_json::from_str::<Shard>(&text).ok());
        shards.flat_map(|shard| shard.entries).collect()
    }

    /// Returns the number of ledger entries in a state.
    pub fn entries_in_state(&self, state: LoanState) -> usize {
        self.entries().iter().filter(|(_, entry)| entry.state == state).count()
    }

    /// Waits until a condition holds. Panics if it doesn't hold within 10 minutes of simulated
    /// time.
    pub async fn wait_until(&self, description: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_secs(600);
        while !condition(self) {
            assert!(
                Instant::now() < deadline,
                "condition not reached: {description}; ledger {:#?}, violations {:#?}",
                self.entries(),
                self.checker().violations
            );
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Submits a claim to a controller. Repeats the call until a controller accepts it.
    pub async fn submit(&self, controller: usize, id: &str, claim: Claim) {
        if let Work::Batch { checkpoint_s, save_s } = claim.work {
            let mut fleet = self.fleet();
            let behaviour = fleet.behaviours.entry(id.into()).or_default();
            (behaviour.checkpoint_s, behaviour.save_s) = (checkpoint_s, save_s);
        }
        self.retry_until_accepted(controller, async |executor| executor.submit(id, &claim).await)
            .await;
    }

    /// Withdraws a claim at a controller. Repeats the call until a controller accepts it.
    pub async fn withdraw(&self, controller: usize, id: &str) {
        self.retry_until_accepted(controller, async |executor| executor.withdraw(id).await).await;
    }

    /// Repeats a call, at the next controller each time, until one succeeds.
    async fn retry_until_accepted(
        &self,
        controller: usize,
        call: impl AsyncFn(Arc<Executor>) -> Result<(), ClaimFailure>,
    ) {
        for attempt in 0.. {
            let controller = (controller + attempt) % CONTROLLERS;
            if self.members.runs(controller) {
                let result =
                    tokio::time::timeout(SESSION, call(self.members.part(controller))).await;
                match result {
                    Ok(Ok(())) => return,
                    Ok(Err(ClaimFailure::Refused(error))) => panic!("claim rejected: {error}"),
                    Ok(Err(_)) | Err(_) => {}
                }
            }
            assert!(attempt < 600, "no controller accepted the call");
            sleep(Duration::from_millis(200)).await;
        }
    }

    /// Returns the number of machines on which a claim's work runs.
    pub fn running_machines(&self, id: &str) -> u32 {
        self.fleet().running_machines(id)
    }

    pub async fn wait_until_running(&self, id: &str, machines: u32) {
        self.wait_until(&format!("{id} runs on {machines} machines"), |cluster| {
            cluster.running_machines(id) == machines
        })
        .await;
    }

    // Faults.

    /// Suspends the bound on waits while a fault lasts and for the takeover that may follow.
    pub fn suspend_bound_for(&self, fault_duration: Duration) {
        let until = self.now() + fault_duration + self.bounds.takeover;
        self.checker().suspend_bound_until(until);
    }

    /// Ends a controller's process without notice.
    pub fn kill(&self, controller: usize) {
        self.suspend_bound_for(Duration::ZERO);
        self.members.kill(controller);
    }

    /// Pauses a controller's process.
    pub fn pause(&self, controller: usize, seconds: u64) {
        let duration = Duration::from_secs(seconds);
        self.suspend_bound_for(duration);
        self.members.pause(controller, duration);
    }

    /// Makes the state service unavailable, and returns when it is available again.
    pub async fn outage(&self, seconds: u64) {
        self.suspend_bound_for(Duration::from_secs(seconds));
        self.state.set_outage(true);
        sleep(Duration::from_secs(seconds)).await;
        self.state.set_outage(false);
    }

    /// Makes a machine unreachable; work on it continues.
    pub fn make_unreachable(&self, machine: &MachineName, seconds: u64) {
        let duration = Duration::from_secs(seconds);
        self.record_broken_gangs_on(machine, duration);
        self.fleet().make_unreachable(machine, duration);
    }

    /// Records that the gangs on a machine may be stopped as a whole because of a fault of the
    /// machine.
    fn record_broken_gangs_on(&self, machine: &MachineName, duration: Duration) {
        let until = self.now() + duration;
        let claims: Vec<ClaimId> = {
            let fleet = self.fleet();
            let runs_here = fleet.running().filter(|(name, _)| *name == machine);
            runs_here.map(|(_, claim)| claim.clone()).collect()
        };
        let mut checker = self.checker();
        checker.suspend_bound_until(until);
        for claim in claims {
            checker.record_broken_gang(until, &claim);
        }
    }

    /// Restarts a machine: its work is lost, and a new session begins.
    pub fn restart(&self, machine: &MachineName) {
        self.record_broken_gangs_on(machine, Duration::ZERO);
        self.fleet().restart(machine);
    }

    /// Announces that a machine will be taken out of service.
    pub fn announce_removal(&self, machine: &MachineName) {
        self.record_broken_gangs_on(machine, Duration::ZERO);
        self.fleet().announce_removal(machine);
    }

    /// Asserts that the checker ran and found no violation.
    pub fn assert_guarantees_kept(&self) {
        self.check();
        let checker = self.checker();
        assert!(checker.violations.is_empty(), "{:#?}", checker.violations);
        assert!(checker.samples > 100, "the checker ran too few times");
    }
}

/// The connection of one controller process to the machines.
struct Host {
    cluster: TestDeployment,
    client: String,
}

impl Host {
    /// Executes a call when it arrives, even if the caller has timed out meanwhile: a call that an
    /// interruption delays is delivered when the interruption ends.
    async fn call(
        &self,
        machine: &MachineName,
        action: impl FnOnce(&mut Fleet) -> Result<(), HostError> + Send + 'static,
    ) -> Result<(), HostError> {
        let (cluster, machine) = (self.cluster.clone(), machine.clone());
        let client = self.client.clone();
        let call = tokio::spawn(async move {
            cluster.callers.arrive(&client, CALL_LATENCY).await;
            while !cluster.fleet().is_reachable(&machine) {
                sleep(SAMPLE_INTERVAL).await;
            }
            cluster.check();
            let result = action(&mut cluster.fleet());
            cluster.check();
            result
        });
        let result = call.await.unwrap_or(Err(HostError::Stale));
        if self.cluster.callers.loses_answer(&self.client) {
            std::future::pending::<()>().await;
        }
        self.cluster.callers.arrive(&self.client, CALL_LATENCY).await;
        result
    }
}

impl MachineHost for Host {
    fn observe(&self, token: u64) -> BoxFuture<'_, Result<Observation, HostError>> {
        Box::pin(async move {
            self.cluster.callers.arrive(&self.client, CALL_LATENCY).await;
            self.cluster.check();
            let observation = self.cluster.fleet().observe(token);
            self.cluster.callers.arrive(&self.client, CALL_LATENCY).await;
            Ok(observation)
        })
    }

    fn send(&self, command: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>> {
        let command = command.clone();
        Box::pin(async move {
            let machine = command.machine.clone();
            self.call(&machine, move |fleet| fleet.execute(&command)).await
        })
    }

    fn retire(&self, machine: &MachineName, token: u64) -> BoxFuture<'_, Result<(), HostError>> {
        let machine = machine.clone();
        Box::pin(async move {
            // The cloud executes the call, whether the machine can be reached or not.
            self.cluster.callers.arrive(&self.client, CALL_LATENCY).await;
            let result = self.cluster.fleet().retire(&machine, token);
            self.cluster.check();
            result
        })
    }
}
