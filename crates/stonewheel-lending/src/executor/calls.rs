//! The holder's calls to machines: orders that follow from the ledger as committed, and
//! the return of silent machines.

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

/// Calls to machines that are under way at once.
const CALLS_AT_ONCE: usize = 64;

/// A call to a machine.
enum Call {
    MachineCommand(MachineCommand),
    Retire,
}

/// Calls to make now.
#[derive(Default)]
struct DueCalls {
    orders: Vec<MachineCommand>,
    /// Machines to return.
    silent: Vec<MachineName>,
}

impl Executor {
    /// Sends the orders that are due, and returns silent machines.
    pub(super) fn give_orders(self: &Arc<Self>, epoch: u64, stop: &CancellationToken) {
        let due = self.due_calls(epoch, Instant::now());
        for order in due.orders {
            self.spawn_call(stop, epoch, order.machine.clone(), Call::MachineCommand(order));
        }
        for machine in due.silent {
            warn!(%machine, "worker lease expired, returning machine");
            self.spawn_call(stop, epoch, machine, Call::Retire);
        }
    }

    /// Calls to make now. Each is recorded as in flight, and halts as sent.
    fn due_calls(&self, epoch: u64, now: Instant) -> DueCalls {
        let mut claims = lock(&self.claims);
        let mut held = lock(&self.term);
        let Some(term) = held.as_mut().filter(|term| term.observations.epoch == epoch) else {
            return DueCalls::default();
        };
        {
            let records = self.coordinator.records();
            term.ledger.refresh(&records);
            claims.refresh(&records);
        }
        term.observations.track_loans(&term.ledger, now);
        let views = term.observations.views(now);
        let orders = due_commands(&CommandInput {
            settings: &self.settings,
            claims: claims.active(),
            ledger: &term.ledger,
            machines: &views,
            age: &|entry| term.observations.age(entry, now),
            epoch,
        });
        let mut silent = term.observations.silent(&term.ledger, now);
        silent.retain(|machine| term.observations.begin_call(machine, CALLS_AT_ONCE, now));
        let mut allowed = Vec::new();
        for order in orders {
            if term.observations.begin_call(&order.machine, CALLS_AT_ONCE, now) {
                if matches!(order.kind, CommandKind::Halt { .. }) {
                    term.observations.record_halt(order.loan);
                }
                self.count_ended_save(term, &order, &views);
                allowed.push(order);
            }
        }
        DueCalls { orders: allowed, silent }
    }

    fn count_ended_save(
        &self,
        term: &Term,
        order: &MachineCommand,
        views: &BTreeMap<MachineName, MachineView>,
    ) {
        let saves = term.ledger.get(&order.machine).is_some_and(|entry| {
            entry.state == LoanState::Checkpointing
                && entry.loan == order.loan
                && entry.grace_ms > 0
        });
        if order.kind != CommandKind::Terminate || !saves {
            return;
        }
        let run = views.get(&order.machine).and_then(|view| view.live_run(order.loan));
        let mut counters = lock(&self.counters);
        counters.ended_saves += 1;
        counters.lost_work_s += run.map_or(0.0, |run| run.unsaved_s);
        warn!(machine = %order.machine, loan = ?order.loan, "grace period exceeded, ending checkpoint");
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
        let limit = self.settings.times.command_timeout();
        let outcome = match &call {
            Call::MachineCommand(order) => timeout(limit, self.host.send(order)).await,
            Call::Retire => timeout(limit, self.host.retire(&machine, epoch)).await,
        };
        let outcome = outcome.unwrap_or_else(|_| Err(HostError::Unavailable("no answer".into())));
        if let Err(error) = &outcome {
            debug!(%machine, %error, "machine call failed");
        }
        let mut held = lock(&self.term);
        let Some(term) = held.as_mut().filter(|term| term.observations.epoch == epoch) else {
            return;
        };
        term.observations.end_call(&machine, outcome.is_err(), &mut lock(&self.rng));
        let mut counters = lock(&self.counters);
        counters.stale_orders += u64::from(outcome == Err(HostError::Stale));
        if outcome.is_ok() && matches!(call, Call::Retire) {
            counters.retired += 1;
            term.observations.record_retired(machine);
        }
        self.calls_changed.notify_one();
    }
}
