//! The holder's calls to machines: commands that follow from the committed ledger, and the return
//! of machines whose worker lease expired.

use std::{collections::BTreeMap, sync::Arc};

use stonewheel_state::lock;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, warn};

use super::state::{Executor, Term};
use crate::{
    claim::MachineName,
    host::{CommandKind, HostError, MachineCommand},
    ledger::LoanState,
    orders::{CommandInput, due_commands},
    planner::MachineView,
};

/// The maximum number of calls to machines in flight at the same time.
const MAX_CONCURRENT_CALLS: usize = 64;

/// A call to a machine.
enum Call {
    Command(MachineCommand),
    Retire,
}

/// The calls that are due.
#[derive(Default)]
struct DueCalls {
    commands: Vec<MachineCommand>,
    /// Machines whose worker lease expired, which are returned.
    expired: Vec<MachineName>,
}

impl Executor {
    /// Sends the commands that are due, and returns machines whose worker lease expired. Each call
    /// runs as a task of its own.
    pub(super) fn send_due_commands(self: &Arc<Self>, epoch: u64, stop: &CancellationToken) {
        let due = self.due_calls(epoch, Instant::now());
        for command in due.commands {
            self.spawn_call(stop, epoch, command.machine.clone(), Call::Command(command));
        }
        for machine in due.expired {
            warn!(%machine, "worker lease expired, returning machine");
            self.spawn_call(stop, epoch, machine, Call::Retire);
        }
    }

    /// Returns the calls that are due, if this controller still holds the ledger under `epoch`.
    /// Records each call as in flight, and each halt as sent.
    fn due_calls(&self, epoch: u64, now: Instant) -> DueCalls {
        let mut claims = lock(&self.claims);
        let mut guard = lock(&self.term);
        let Some(term) = guard.as_mut().filter(|term| term.observations.epoch == epoch) else {
            return DueCalls::default();
        };
        {
            let records = self.coordinator.records();
            term.ledger.refresh(&records);
            claims.refresh(&records);
        }
        term.observations.track_loans(&term.ledger, now);
        let views = term.observations.views(now);
        let commands = due_commands(&CommandInput {
            settings: &self.settings,
            claims: claims.active(),
            ledger: &term.ledger,
            machines: &views,
            age: &|entry| term.observations.age(entry, now),
            epoch,
        });
        let mut expired = term.observations.expired_leases(&term.ledger, now);
        expired.retain(|machine| term.observations.begin_call(machine, MAX_CONCURRENT_CALLS, now));
        let mut allowed = Vec::new();
        for command in commands {
            if term.observations.begin_call(&command.machine, MAX_CONCURRENT_CALLS, now) {
                if matches!(command.kind, CommandKind::Halt { .. }) {
                    term.observations.record_halt(command.loan);
                }
                self.count_terminated_checkpoint(term, &command, &views);
                allowed.push(command);
            }
        }
        DueCalls { commands: allowed, expired }
    }

    /// Counts a termination command that interrupts a checkpoint after its grace period.
    fn count_terminated_checkpoint(
        &self,
        term: &Term,
        command: &MachineCommand,
        views: &BTreeMap<MachineName, MachineView>,
    ) {
        let saves = term.ledger.get(&command.machine).is_some_and(|entry| {
            entry.state == LoanState::Checkpointing
                && entry.loan == command.loan
                && entry.grace_ms > 0
        });
        if command.kind != CommandKind::Terminate || !saves {
            return;
        }
        let run = views.get(&command.machine).and_then(|view| view.live_run(command.loan));
        let mut counters = lock(&self.counters);
        counters.ended_saves += 1;
        counters.lost_work_s += run.map_or(0.0, |run| run.unsaved_s);
        warn!(
            machine = %command.machine,
            loan = ?command.loan,
            "grace period exceeded, terminating checkpoint"
        );
    }

    fn spawn_call(
        self: &Arc<Self>,
        stop: &CancellationToken,
        epoch: u64,
        machine: MachineName,
        call: Call,
    ) {
        let (executor, stop) = (self.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = executor.call(epoch, machine, call) => {}
                () = stop.cancelled() => {}
            }
        });
    }

    async fn call(&self, epoch: u64, machine: MachineName, call: Call) {
        let call_timeout = self.settings.times.command_timeout();
        let outcome = match &call {
            Call::Command(command) => timeout(call_timeout, self.host.send(command)).await,
            Call::Retire => timeout(call_timeout, self.host.retire(&machine, epoch)).await,
        };
        let outcome =
            outcome.unwrap_or_else(|_| Err(HostError::Unavailable("call timed out".into())));
        if let Err(error) = &outcome {
            debug!(%machine, %error, "machine call failed");
        }
        let mut guard = lock(&self.term);
        let Some(term) = guard.as_mut().filter(|term| term.observations.epoch == epoch) else {
            return;
        };
        term.observations.end_call(&machine, outcome.is_err(), &mut lock(&self.rng));
        let mut counters = lock(&self.counters);
        counters.stale_commands += u64::from(outcome == Err(HostError::Stale));
        if outcome.is_ok() && matches!(call, Call::Retire) {
            counters.retired += 1;
            term.observations.record_retired(machine);
        }
        self.calls_changed.notify_one();
    }
}
