//! The adapter of lending onto the scheduler: jobs inside their team's guarantee that wait for room claim
//! machines on which others' batch runs. The leader alone holds the ledger: it observes its
//! machines, and its records prove that work has terminated.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
};

use futures_util::future::BoxFuture;
use stonewheel_coordination::Coordinator;
use stonewheel_lending::{
    ClaimStatus, Executor, Exit, HOLDER_KEY, HolderRecord, HostError, LendingSettings,
    MachineCommand, MachineHost, MachineReport, Observation, RunReport, RunState, StateLimits,
    UnmanagedWorkload,
    claim::{Claim, ClaimId, MachineName, Work},
    ledger::{Entry, Ledger, LoanState},
    planner::{self, WaitReason},
};
use stonewheel_state::lock;
use tokio::time::{Duration, Instant, sleep};
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::{
    controller::{LendableMachine, LendingView, WaitingJob},
    node::Node,
    protocol::{JobId, MachineId},
    scheduler::Reservation,
};

/// The ledger is read so many times within a probe interval.
const REFRESH_PARTS: u32 = 4;
/// Jobs have waited for so many probe intervals before machines are reclaimed for them: most find
/// room by themselves.
const MIN_WAITED_INTERVALS: u32 = 4;

/// Separates the job from the number of its claim, in the claim's id.
const CLAIM_NUMBER_SEPARATOR: char = '.';

/// The leader's machines.
struct SchedulerMachines {
    node: Arc<Node>,
    coordinator: Arc<Coordinator>,
    settings: LendingSettings,
    /// The ledger as last read.
    ledger: Mutex<Ledger>,
    ticks: AtomicU64,
}

impl SchedulerMachines {
    /// The ledger as the records have it now.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        let mut ledger = lock(&self.ledger);
        let records = self.coordinator.records();
        let shards = records.get::<HolderRecord>(HOLDER_KEY).map_or(0, |held| held.value.shards);
        if ledger.shards() != shards {
            *ledger = Ledger::new(shards, self.node.settings.state_limits().value_bytes);
        }
        ledger.refresh(&records);
        ledger
    }

    fn view(&self) -> Option<LendingView> {
        let times = &self.settings.times;
        self.node.lending_view(times.grace_s, times.probe_interval() * MIN_WAITED_INTERVALS)
    }

    fn observation(&self, view: &LendingView, token: u64) -> Observation {
        let ledger = self.ledger();
        let tick = self.ticks.fetch_add(1, Ordering::Relaxed);
        let mut observation = Observation::default();
        for (machine, seen) in &view.machines {
            let entry = ledger.get(machine);
            // Free machines are the scheduler's to give, like those with work that stays.
            if entry.is_none() && seen.lent.is_none() {
                continue;
            }
            let run = entry.map(|entry| run_report(entry, seen, view));
            observation.reports.push(report(machine, seen, token, tick, run));
            if let Some(lent) = seen.lent.as_ref().filter(|_| entry.is_none()) {
                observation.unmanaged_workloads.push(UnmanagedWorkload {
                    machine: machine.clone(),
                    team: lent.team.clone(),
                    work: Work::Batch { checkpoint_s: lent.checkpoint_s, save_s: lent.save_s },
                    unsaved_s: lent.unsaved_s,
                });
            }
        }
        // Until the leader has received its machines' heartbeats an absence proves nothing.
        if view.settled {
            let entries = ledger.entries().map(|(machine, _)| machine);
            let gone = entries.filter(|machine| !view.machines.contains_key(*machine));
            observation.gone = gone.cloned().collect();
        }
        observation
    }
}

fn report(
    machine: &MachineId,
    seen: &LendableMachine,
    token: u64,
    sequence: u64,
    run: Option<RunReport>,
) -> MachineReport {
    MachineReport {
        machine: machine.clone(),
        zone: seen.zone,
        session: 0,
        sequence,
        // The leader's own tokens keep replaced leaders from the machines.
        token,
        heartbeat_age: Duration::ZERO,
        leaving: !seen.ready,
        run,
    }
}

/// What a loan's work does: work of other jobs than the claimant is what has to go, and
/// what is granted is used up once its job waits no more.
fn run_report(entry: &Entry, seen: &LendableMachine, view: &LendingView) -> RunReport {
    let waits = |claim: &str| view.waiting.iter().any(|job| *job.id == *job_of(claim));
    let others = match &entry.claimant {
        Some(claimant) => seen.jobs.iter().any(|job| **job != *job_of(claimant)),
        // Without a claimant whatever runs there continues.
        None => false,
    };
    let state = match entry.state {
        LoanState::Lent => RunState::Running,
        LoanState::Granted if waits(&entry.claim) => RunState::Running,
        LoanState::Granted => RunState::Ended(Exit::Done),
        _ if others => RunState::Saving,
        _ => RunState::Ended(Exit::Saved),
    };
    RunReport {
        loan: entry.loan,
        claim: entry.claim.clone(),
        state,
        unsaved_s: 0.0,
        checkpointing: false,
    }
}

impl MachineHost for SchedulerMachines {
    fn eligible(&self) -> bool {
        self.node.leader_counters().is_some()
    }

    fn observe(&self, token: u64) -> BoxFuture<'_, Result<Observation, HostError>> {
        let view = self.view();
        let view = view.ok_or_else(|| HostError::Unavailable("it leads no more".into()));
        Box::pin(async move { Ok(self.observation(&view?, token)) })
    }

    /// The leader's pass follows the ledger by itself, see [`reservations`].
    fn send(&self, _: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>> {
        Box::pin(async { Ok(()) })
    }

    /// Whether a machine is returned is the leader's to decide.
    fn retire(&self, _: &MachineName, _: u64) -> BoxFuture<'_, Result<(), HostError>> {
        Box::pin(async { Err(HostError::Unavailable("the leader returns machines".into())) })
    }
}

/// The machines that are kept for a job: from the durable request on.
fn reservations(ledger: &Ledger) -> BTreeMap<MachineId, Reservation> {
    let reserved = ledger.entries().filter_map(|(machine, entry)| {
        let granted = entry.state == LoanState::Granted;
        let claim = if granted { Some(&entry.claim) } else { entry.claimant.as_ref() };
        let job = job_of(claim?).into();
        Some((machine.clone(), Reservation { job, granted }))
    });
    reserved.collect()
}

/// Lending on one controller.
pub struct Lending {
    executor: Arc<Executor>,
    machines: Arc<SchedulerMachines>,
    attempts: Mutex<HashMap<JobId, Attempt>>,
}

/// A job that has had all its machines, and waits all the same.
struct Attempt {
    served_since: Instant,
    /// Its claim was withdrawn: they don't suit it.
    given_up: bool,
}

impl Lending {
    /// The executor, for the status of claims.
    pub fn executor(&self) -> &Arc<Executor> {
        &self.executor
    }

    /// Runs until it is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let executor = self.executor.clone().run(stop.clone());
        tokio::select! {
            () = executor => {}
            () = self.follow() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn follow(&self) {
        let pause = self.machines.settings.times.probe_interval() / REFRESH_PARTS;
        loop {
            sleep(pause).await;
            let reserved = reservations(&self.machines.ledger());
            self.machines.node.reserve(reserved);
            if self.executor.holds_ledger() {
                self.claim_for_waiting_jobs().await;
            }
        }
    }

    /// Claims for jobs that wait, and withdraws those of jobs that don't any more.
    async fn claim_for_waiting_jobs(&self) {
        let Some(mut view) = self.machines.view().filter(|view| view.settled) else { return };
        let active: BTreeMap<JobId, ClaimId> = self
            .executor
            .active_claims()
            .into_iter()
            .map(|claim| (JobId::from(job_of(&claim.id)), claim.id))
            .collect();
        self.give_up_unused(&mut view, &active);
        let claims = |job: &&WaitingJob| job.overdue && !active.contains_key(&job.id);
        for job in view.waiting.iter().filter(claims) {
            let (id, team) = (self.next_claim(&job.id), job.team.clone());
            let claim = Claim { team, machines: job.machines, gpus: job.gpus, work: Work::Serving };
            if let Err(error) = self.executor.submit(&id, &claim).await {
                debug!(job = %job.id, %error, "claim submission failed");
            }
        }
        let waits = |job: &JobId| view.waiting.iter().any(|waiting| waiting.id == *job);
        for (job, id) in active.iter().filter(|(job, _)| !waits(job)) {
            if let Err(error) = self.executor.withdraw(id).await {
                debug!(%job, %error, "claim withdrawal failed");
            }
        }
    }

    /// A job that isn't placed on the machines that it was granted, within the time of a
    /// reclaim, never will be: others get them, and it claims no more while it waits.
    fn give_up_unused(&self, view: &mut LendingView, active: &BTreeMap<JobId, ClaimId>) {
        let now = Instant::now();
        let mut attempts = lock(&self.attempts);
        attempts.retain(|job, _| view.waiting.iter().any(|waiting| waiting.id == *job));
        for (job, id) in active {
            let served = ClaimStatus::Active(Some(WaitReason::Served));
            if self.executor.status(id) == served {
                let attempt = Attempt { served_since: now, given_up: false };
                let attempt = attempts.entry(job.clone()).or_insert(attempt);
                attempt.given_up |= now >= attempt.served_since + self.executor.bounds().reclaim;
            }
        }
        view.waiting.retain(|job| !attempts.get(&job.id).is_some_and(|attempt| attempt.given_up));
    }

    /// A job may wait again after its claim was withdrawn: then it makes another one.
    fn next_claim(&self, job: &str) -> String {
        let ids = (0_u64..).map(|number| format!("{job}{CLAIM_NUMBER_SEPARATOR}{number}"));
        let is_over = |id: &String| self.executor.status(id) == ClaimStatus::Finished;
        let mut unused = ids.skip_while(is_over);
        unused.next().unwrap_or_default()
    }
}

/// The job that a claim was made for.
fn job_of(claim: &str) -> &str {
    claim.rsplit_once(CLAIM_NUMBER_SEPARATOR).map_or(claim, |(job, _)| job)
}

/// Lending on this controller, if the operators' settings switch it on.
pub fn lending(node: &Arc<Node>, coordinator: Arc<Coordinator>, seed: u64) -> Option<Arc<Lending>> {
    let settings = node.settings.operator.lending.clone()?;
    let machines = Arc::new(SchedulerMachines {
        node: node.clone(),
        coordinator: coordinator.clone(),
        settings: settings.clone(),
        ledger: Mutex::default(),
        ticks: AtomicU64::new(1),
    });
    let limits = node.settings.state_limits();
    let limits = StateLimits {
        value_bytes: limits.value_bytes,
        transaction_writes: limits.transaction_writes,
    };
    let host = machines.clone();
    let executor = Executor::new(coordinator, settings, host, planner::plan, limits, seed);
    Some(Arc::new(Lending { executor, machines, attempts: Mutex::default() }))
}
