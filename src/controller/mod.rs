//! The leader: a state machine that takes heartbeats, changes of the records and
//! answers of the cloud, and returns commands, writes and provisioning requests.
//!
//! It does no I/O. What it decides becomes real in this order: the page record
//! with a binding is committed first, and only then does the start command leave;
//! an exit is committed first, and only then does the worker forget it.
//!
//! Its state is divided by invariant: `job` and `binding` hold one job, `job_table` all
//! of them, `pending_writes` what has to be written, `provisioning` what the cloud is
//! asked for, `direct_calls` the requests to workers, `quota_use` what teams use,
//! `pass_timers` when work is due, `machine_types` the cloud's types.
//!
//! Its steps are divided by what causes them: `records` takes changes of the records,
//! `reconciliation` heartbeats (deciding by `task_verdict`), `task_exits` and
//! `incarnations` act on what is over, `direct_commands` sends commands to workers'
//! own addresses, `tick` does what time brings, `planner` makes scheduling passes,
//! `autoscaler` and `headroom` scale the fleet, `cancellations` sees to it that cancelled
//! tasks go in time, `writes`,
//! `write_outcomes` and `pages` make decisions durable, `lending` says what may
//! be reclaimed, `summary` tells the operator how it goes.

mod autoscaler;
mod binding;
mod cancellations;
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
    /// When the term began here.
    started: Instant,
    /// Since when the state service has answered without a break.
    state_available_since: Option<Instant>,
    /// Whether work may be started, see `allow_starts`.
    starts_allowed: bool,
    /// Which pages all members can read, see `pages`.
    page_layout: PageLayout,
    /// The shortage of connections was reported to the operator.
    connection_shortage_reported: bool,
    types: MachineTypes,
    jobs: JobTable,
    fleet: Fleet,
    quota_use: QuotaUse,
    /// Machines that are kept for one job each, since they are reclaimed for it.
    reservations: BTreeMap<MachineId, Reservation>,
    writes: PendingWrites,
    provisioning: Provisioning,
    spot_loads: SpotLoadHistory,
    direct_calls: DirectCalls,
    timers: PassTimers,
    /// What the leader has done so far.
    pub counters: WorkCounters,
}

impl Leader {
    /// Rebuilds the leader's state from the records. The watch cache must be as new as the
    /// leadership itself, so that no former leader's write is missing.
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

    /// Something changed that the next pass has to consider.
    fn record_change(&mut self) {
        self.timers.record_change();
    }

    /// Whether work may be started from now on: not while the leadership is in
    /// doubt or cancellations may be unknown. Renewing a worker's lease needs
    /// less, since the lease bounds what it keeps alive.
    pub fn allow_starts(&mut self, allowed: bool) {
        self.starts_allowed = allowed;
    }

    /// Whether there are more machines than connections for their heartbeats. True once
    /// a term.
    pub fn take_connection_shortage(&mut self) -> bool {
        let shortage = self.fleet.machines.len() > self.settings.max_public_sockets();
        shortage && !std::mem::replace(&mut self.connection_shortage_reported, true)
    }
}
