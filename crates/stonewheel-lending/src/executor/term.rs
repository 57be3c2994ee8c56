//! The executor's loop: acquires and releases the ledger, and runs the steps of its holder.

use std::sync::Arc;

use stonewheel_coordination::{Versioned, put};
use stonewheel_protocol::Condition;
use stonewheel_state::lock;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info};

use super::state::Executor;
use crate::{
    holder::{HOLDER_KEY, HolderRecord},
    ledger::shard_count,
};

/// The minimum interval between steps is the probe interval divided by this.
const MIN_STEP_INTERVAL_DIVISOR: u32 = 8;

impl Executor {
    /// Runs until `stop` is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.clone().run_steps(&stop) => {}
            () = stop.cancelled() => {}
        }
        info!(counters = %self.counters(), "lending stopped");
    }

    async fn run_steps(self: Arc<Self>, stop: &CancellationToken) {
        let mut changes = self.coordinator.subscribe();
        let pause = self.settings.times.probe_interval() / MIN_STEP_INTERVAL_DIVISOR;
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
        // The holder's record can't be parsed: its fencing token is unknown, so no controller may
        // act as the holder.
        if !loaded || (holder.is_none() && version > 0) {
            *lock(&self.term) = None;
            return;
        }
        let this_controller = Some(self.coordinator.identity());
        let held_here =
            holder.as_ref().filter(|stored| stored.value.owner.as_ref() == this_controller);
        let eligible = self.host.eligible();
        match held_here {
            Some(stored) if self.session_valid() && eligible => {
                self.begin_term(&stored.value);
                self.step_as_holder(stored, stop).await;
                return;
            }
            _ => *lock(&self.term) = None,
        }
        match held_here {
            Some(stored) if !eligible => self.release_ledger(stored).await,
            None if eligible => self.acquire_if_due(holder.as_ref()).await,
            _ => {}
        }
    }

    /// Releases the ledger, so that another controller can acquire it.
    async fn release_ledger(&self, stored: &Versioned<HolderRecord>) {
        let Ok(write) = put(HOLDER_KEY.into(), &stored.value.released_by_holder(), None) else {
            return;
        };
        let condition = Condition { key: HOLDER_KEY.into(), version: stored.version };
        match self.commit(vec![condition], vec![write]).await {
            Ok(_) => info!(epoch = stored.value.epoch, "ledger released"),
            Err(error) => {
                debug!(%error, "ledger release failed");
                self.coordinator.refresh().await;
            }
        }
    }

    /// Acquires the ledger if its owner is gone and it is this controller's turn to succeed.
    async fn acquire_if_due(&self, holder: Option<&Versioned<HolderRecord>>) {
        let owner = holder.and_then(|stored| stored.value.owner.as_ref());
        if !self.session_valid() || !lock(&self.succession).may_adopt(&self.coordinator, owner) {
            return;
        }
        let machines = self.settings.times.expected_machines as u32;
        let shards = shard_count(machines, self.limits.value_bytes);
        let this_controller = self.coordinator.identity().clone();
        let next =
            HolderRecord::successor(holder.map(|stored| &stored.value), this_controller, shards);
        let version = holder.map_or(0, |stored| stored.version);
        let condition = Condition { key: HOLDER_KEY.into(), version };
        let Ok(write) = put(HOLDER_KEY.into(), &next, None) else { return };
        match self.commit(vec![condition], vec![write]).await {
            Ok(_) => info!(epoch = next.epoch, shards = next.shards, "ledger acquired"),
            Err(error) => {
                debug!(%error, "ledger acquisition failed");
                self.coordinator.refresh().await;
            }
        }
    }

    /// One step of the holder: observes the machines, plans, writes the changes, and sends
    /// commands.
    async fn step_as_holder(
        self: &Arc<Self>,
        holder: &Versioned<HolderRecord>,
        stop: &CancellationToken,
    ) {
        let epoch = holder.value.epoch;
        let observed =
            timeout(self.settings.times.command_timeout(), self.host.observe(epoch)).await;
        let observation = match observed {
            Ok(Ok(observation)) => observation,
            Ok(Err(error)) => return debug!(%error, "machine observation failed, step skipped"),
            Err(_) => return debug!("machine observation timed out, step skipped"),
        };
        if !self.session_valid() {
            return;
        }
        let Some(prepared) = self.plan(epoch, observation) else { return };
        let written = self.execute(holder, prepared).await;
        if !written {
            // The refreshed records show which writes were carried out.
            self.coordinator.refresh().await;
        }
        if self.session_valid() {
            self.send_due_commands(epoch, stop);
        }
    }
}
