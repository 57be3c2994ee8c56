//! The adapter from lending to the scheduler.
//!
//! Jobs within their team's guarantee that wait for capacity claim machines on which batch work of
//! other teams runs. Only the leader holds the lending ledger, since it receives the heartbeats of
//! the machines, and its records prove that work has terminated.

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

/// The divisor that gives the interval between reads of the ledger from the probe interval.
const REFRESH_INTERVAL_DIVISOR: u32 = 4;
/// The number of probe intervals that a job waits before machines are reclaimed for it: most jobs
/// are placed on free capacity before that.
const MIN_WAITED_INTERVALS: u32 = 4;

/// Separates the job's id from the claim's number in the id of a claim.
const CLAIM_NUMBER_SEPARATOR: char = '.';

/// The machines of the leader, as the host that lending observes.
struct SchedulerMachines {
    node: Arc<Node>,
    coordinator: Arc<Coordinator>,
    settings: LendingSettings,
    /// The ledger at the latest refresh.
    ledger: Mutex<Ledger>,
    /// The number of the next observation. Reports must have rising numbers.
    next_tick: AtomicU64,
}

impl SchedulerMachines {
    /// Refreshes the ledger from the records and returns it.
    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        let mut ledger = lock(&self.ledger);
        let records = self.coordinator.records();
        let shards =
            records.get::<HolderRecord>(HOLDER_KEY).map_or(0, |holder| holder.value.shards);
        if ledger.shards() != shards {
            *ledger = Ledger::new(shards, self.node.settings.state_limits().value_bytes);
        }
        ledger.refresh(&records);
        ledger
    }

    /// Returns the leader's view for lending, or `None` if this controller doesn't lead.
    fn view(&self) -> Option<LendingView> {
        let times = &self.settings.times;
        self.node.lending_view(times.grace_s, times.probe_interval() * MIN_WAITED_INTERVALS)
    }

    fn observation(&self, view: &LendingView, token: u64) -> Observation {
        let ledger = self.ledger();
        let tick = self.next_tick.fetch_add(1, Ordering::Relaxed);
        let mut observation = Observation::default();
        for (machine, seen) in &view.machines {
            let entry = ledger.get(machine);
            // The scheduler alone places work on free machines and on machines with work that
            // can't be revoked, so lending doesn't see them.
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
        // Until the leader has received its machines' heartbeats, the absence of a machine from
        // the view doesn't prove that the machine is gone.
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
        // Always the holder's own token: workers refuse commands of replaced leaders by the
        // leaders' fencing tokens, so no check of the ledger's token is needed here.
        token,
        heartbeat_age: Duration::ZERO,
        leaving: !seen.ready,
        run,
    }
}

/// Returns the state of the work under a loan. A loan that is being reclaimed is saving while the
/// machine holds work of jobs other than the claimant. A granted loan ends once its job no longer
/// waits for capacity: the scheduler has placed the job, or the job has ended.
fn run_report(entry: &Entry, seen: &LendableMachine, view: &LendingView) -> RunReport {
    let waits = |claim: &str| view.waiting.iter().any(|job| *job.id == *job_of(claim));
    let has_other_jobs = match &entry.claimant {
        Some(claimant) => seen.jobs.iter().any(|job| **job != *job_of(claimant)),
        // Without a claimant no job has to leave the machine.
        None => false,
    };
    let state = match entry.state {
        LoanState::Lent => RunState::Running,
        LoanState::Granted if waits(&entry.claim) => RunState::Running,
        LoanState::Granted => RunState::Ended(Exit::Done),
        _ if has_other_jobs => RunState::Saving,
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
        let view =
            view.ok_or_else(|| HostError::Unavailable("this controller is not the leader".into()));
        Box::pin(async move { Ok(self.observation(&view?, token)) })
    }

    /// Does nothing: the leader's scheduling pass stops work on machines that the ledger reserves,
    /// see [`reservations`].
    fn send(&self, _: &MachineCommand) -> BoxFuture<'_, Result<(), HostError>> {
        Box::pin(async { Ok(()) })
    }

    /// Always fails, since only the leader's autoscaler returns machines to the cloud.
    fn retire(&self, _: &MachineName, _: u64) -> BoxFuture<'_, Result<(), HostError>> {
        Box::pin(async { Err(HostError::Unavailable("the leader returns machines".into())) })
    }
}

/// Returns the machines reserved for a job. A reservation begins with the durable reclaim request.
fn reservations(ledger: &Ledger) -> BTreeMap<MachineId, Reservation> {
    let reserved = ledger.entries().filter_map(|(machine, entry)| {
        let granted = entry.state == LoanState::Granted;
        let claim = if granted { Some(&entry.claim) } else { entry.claimant.as_ref() };
        let job = job_of(claim?).into();
        Some((machine.clone(), Reservation { job, granted }))
    });
    reserved.collect()
}

/// The lending part of one controller.
pub struct Lending {
    executor: Arc<Executor>,
    machines: Arc<SchedulerMachines>,
    unplaced_jobs: Mutex<HashMap<JobId, UnplacedJob>>,
}

/// A job that was granted all machines of its claim but still waits.
struct UnplacedJob {
    granted_at: Instant,
    /// The claim is withdrawn, since the scheduler can't place the job on the granted machines.
    abandoned: bool,
}

impl Lending {
    /// Returns the executor, which reports the status of claims.
    pub fn executor(&self) -> &Arc<Executor> {
        &self.executor
    }

    /// Runs until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let executor = self.executor.clone().run(stop.clone());
        tokio::select! {
            () = executor => {}
            () = self.run_claim_loop() => {}
            () = stop.cancelled() => {}
        }
    }

    /// Periodically applies the ledger's reservations and, on the holder of the ledger, updates
    /// the claims of waiting jobs.
    async fn run_claim_loop(&self) {
        let interval = self.machines.settings.times.probe_interval() / REFRESH_INTERVAL_DIVISOR;
        loop {
            sleep(interval).await;
            let reserved = reservations(&self.machines.ledger());
            self.machines.node.reserve(reserved);
            if self.executor.holds_ledger() {
                self.update_claims().await;
            }
        }
    }

    /// Submits claims for jobs that have waited for long enough, and withdraws the claims of jobs
    /// that no longer wait.
    async fn update_claims(&self) {
        let Some(mut view) = self.machines.view().filter(|view| view.settled) else { return };
        let active: BTreeMap<JobId, ClaimId> = self
            .executor
            .active_claims()
            .into_iter()
            .map(|claim| (JobId::from(job_of(&claim.id)), claim.id))
            .collect();
        self.abandon_unplaceable_jobs(&mut view, &active);
        let needs_claim = |job: &&WaitingJob| job.overdue && !active.contains_key(&job.id);
        for job in view.waiting.iter().filter(needs_claim) {
            let (id, team) = (self.unused_claim_id(&job.id), job.team.clone());
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

    /// Removes from the view the jobs that were not placed on their granted machines within the
    /// duration of a reclaim. The scheduler will never place such a job there, so its claim is
    /// withdrawn, other claims get the machines, and the job makes no new claim while it waits.
    fn abandon_unplaceable_jobs(&self, view: &mut LendingView, active: &BTreeMap<JobId, ClaimId>) {
        let now = Instant::now();
        let mut unplaced_jobs = lock(&self.unplaced_jobs);
        unplaced_jobs.retain(|job, _| view.waiting.iter().any(|waiting| waiting.id == *job));
        for (job, id) in active {
            let served = ClaimStatus::Active(Some(WaitReason::Served));
            if self.executor.status(id) == served {
                let unplaced = UnplacedJob { granted_at: now, abandoned: false };
                let unplaced = unplaced_jobs.entry(job.clone()).or_insert(unplaced);
                unplaced.abandoned |= now >= unplaced.granted_at + self.executor.bounds().reclaim;
            }
        }
        view.waiting
            .retain(|job| !unplaced_jobs.get(&job.id).is_some_and(|unplaced| unplaced.abandoned));
    }

    /// Returns the first claim id of a job that no finished claim has. A job that waits again
    /// after its claim was withdrawn makes another claim.
    fn unused_claim_id(&self, job: &str) -> String {
        let ids = (0_u64..).map(|number| format!("{job}{CLAIM_NUMBER_SEPARATOR}{number}"));
        let is_finished = |id: &String| self.executor.status(id) == ClaimStatus::Finished;
        let mut unused = ids.skip_while(is_finished);
        unused.next().unwrap_or_default()
    }
}

/// Returns the id of the job that a claim was made for.
fn job_of(claim: &str) -> &str {
    claim.rsplit_once(CLAIM_NUMBER_SEPARATOR).map_or(claim, |(job, _)| job)
}

/// Creates the lending part of this controller. Returns `None` if the operators' settings don't
/// enable lending.
pub fn lending(node: &Arc<Node>, coordinator: Arc<Coordinator>, seed: u64) -> Option<Arc<Lending>> {
    let settings = node.settings.operator.lending.clone()?;
    let machines = Arc::new(SchedulerMachines {
        node: node.clone(),
        coordinator: coordinator.clone(),
        settings: settings.clone(),
        ledger: Mutex::default(),
        next_tick: AtomicU64::new(1),
    });
    let limits = node.settings.state_limits();
    let limits = StateLimits {
        value_bytes: limits.value_bytes,
        transaction_writes: limits.transaction_writes,
    };
    let host = machines.clone();
    let executor = Executor::new(coordinator, settings, host, planner::plan, limits, seed);
    Some(Arc::new(Lending { executor, machines, unplaced_jobs: Mutex::default() }))
}
