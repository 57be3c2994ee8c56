//! The leader: a state machine whose inputs are worker heartbeats, changes of the records and
//! responses of the cloud, and whose outputs are commands, writes and provisioning requests.
//!
//! The leader does no I/O. Its decisions take effect in a fixed order: a start command is sent
//! only after the page record with the binding is committed, and a worker is told to forget an
//! exit only after the exit is committed.
//!
//! Modules that hold the state, one for each invariant:
//!
//! - `job` and `binding`: one job and the placements of its tasks
//! - `job_table`: all jobs
//! - `pending_writes`: records to be written and writes in flight
//! - `provisioning`: requests to the cloud
//! - `direct_calls`: requests to workers
//! - `quota_use`: resources used by each team
//! - `pass_timers`: when sweeps and scheduling passes are due
//! - `machine_types`: the cloud's machine types
//!
//! Modules that act on the state, one for each kind of trigger:
//!
//! - `records`: changes of the records
//! - `reconciliation`: worker heartbeats, with the decisions in `task_verdict`
//! - `task_exits` and `incarnations`: ended tasks and ended worker incarnations
//! - `direct_commands`: commands sent to workers' own addresses
//! - `command_log`: log lines about commands and the ends of attempts
//! - `tick`: work that is due as time passes
//! - `planner`: scheduling passes
//! - `autoscaler` and `headroom`: the size of the fleet
//! - `cancellations`: termination of cancelled tasks within their time limit
//! - `writes`, `write_outcomes` and `pages`: durable records of the decisions
//! - `lending`: machines that may be reclaimed for other teams' jobs
//! - `summary`: the log line that describes the leader's state

mod autoscaler;
mod binding;
mod cancellations;
mod command_log;
mod direct_calls;
mod direct_commands;
mod headroom;
mod incarnations;
mod job;
mod job_table;
mod known_end;
mod lending;
mod machine_types;
mod pages;
mod pass_timers;
mod pending_writes;
mod planner;
mod provisioning;
mod quota_use;
mod reconciliation;
mod records;
mod snapshot;
mod state_service;
mod summary;
mod superseded;
mod task_exits;
mod task_verdict;
mod tick;
mod write_outcomes;
mod writes;

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::Instant;

use crate::{
    fencing::TermTokens, fleet::Fleet, protocol::MachineId, scheduler::Reservation,
    settings::Settings, store::WatchCache,
};
use direct_calls::DirectCalls;
pub use direct_commands::{DirectOutcome, DirectRequest};
use job_table::JobTable;
pub use lending::{LendableMachine, LendingView, LentWork, WaitingJob};
use machine_types::MachineTypes;
use pages::PageLayout;
use pass_timers::PassTimers;
use pending_writes::PendingWrites;
use provisioning::{Provisioning, SpotLoadHistory};
use quota_use::QuotaUse;
pub use state_service::StateService;
pub use summary::WorkCounters;
pub use superseded::Superseded;
pub use writes::{Commit, CommitKind};

/// The state of one term of leadership.
pub struct Leader {
    settings: Arc<Settings>,
    /// The fencing tokens of the term.
    pub tokens: TermTokens,
    /// The version of the leader record, on which all writes are conditioned.
    pub leader_record_version: u64,
    /// When this controller began the term.
    started: Instant,
    /// The time since which the state service has been available without interruption. None
    /// while it is unavailable.
    state_available_since: Option<Instant>,
    /// Whether start commands may be sent, see `allow_starts`.
    starts_allowed: bool,
    /// The page layout that all members support, see `pages`.
    page_layout: PageLayout,
    /// Whether `take_connection_shortage` has returned true in this term.
    connection_shortage_reported: bool,
    types: MachineTypes,
    jobs: JobTable,
    fleet: Fleet,
    quota_use: QuotaUse,
    /// Machines that are reclaimed for one job each and reserved for it.
    reservations: BTreeMap<MachineId, Reservation>,
    writes: PendingWrites,
    provisioning: Provisioning,
    spot_loads: SpotLoadHistory,
    direct_calls: DirectCalls,
    timers: PassTimers,
    /// Counters of the work done in this term.
    pub counters: WorkCounters,
}

impl Leader {
    /// Rebuilds the leader's state from the records. The watch cache must include the write
    /// that began this term, so that no write of a former leader is missing.
    pub fn new(
        settings: Arc<Settings>,
        leader_record_version: u64,
        tokens: TermTokens,
        watch_cache: &WatchCache,
        now: Instant,
    ) -> Self {
        let types = watch_cache.machine_types.as_ref().map(|types| types.value.clone());
        let mut leader = Self {
            settings,
            tokens,
            leader_record_version,
            started: now,
            state_available_since: None,
            starts_allowed: true,
            page_layout: PageLayout::Common,
            connection_shortage_reported: false,
            types: MachineTypes::from_record(types),
            jobs: JobTable::default(),
            fleet: Fleet::default(),
            quota_use: QuotaUse::default(),
            reservations: BTreeMap::new(),
            writes: PendingWrites::default(),
            provisioning: Provisioning::default(),
            spot_loads: SpotLoadHistory::default(),
            direct_calls: DirectCalls::default(),
            timers: PassTimers::new(now),
            counters: WorkCounters::default(),
        };
        for id in watch_cache.jobs.keys() {
            leader.add_job(id, watch_cache, now);
        }
        leader
    }

    /// Records a change of the state that the next scheduling pass has to consider.
    fn record_change(&mut self) {
        self.timers.record_change();
    }

    /// Sets whether start commands may be sent from now on. They may not while the leadership
    /// is in doubt or cancellations may be unknown. Renewing a worker's lease has weaker
    /// conditions, since tasks that should not run are terminated when the lease expires.
    pub fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Whether there are more machines than connections for their heartbeats. Returns true at
    /// most once in a term, so that the shortage is reported once.
    pub fn take_connection_shortage(&mut self) -> bool {
        let shortage = self.fleet.machines.len() > self.settings.max_public_sockets();
        shortage && !std::mem::replace(&mut self.connection_shortage_reported, true)
    }
}
