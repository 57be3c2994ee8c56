//! The executor's loop: acquiring and releasing the ledger, and the steps of its holder.

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

/// Steps are at least this part of a probe interval apart.
const STEPS_PER_INTERVAL: u32 = 8;

impl Executor {
    /// Runs until it is cancelled.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.clone().drive(&stop) => {}
            () = stop.cancelled() => {}
        }
        info!(counters = %self.counters(), "lending stopped");
    }

    async fn drive(self: Arc<Self>, stop: &CancellationToken) {
        let mut changes = self.coordinator.subscribe();
        let pause = self.settings.times.probe_interval() / STEPS_PER_INTERVAL;
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
        // A record that can't be read: its token is not known, so nobody may act.
        if !loaded || (holder.is_none() && version > 0) {
            *lock(&self.term) = None;
            return;
        }
        let me = Some(self.coordinator.identity());
        let mine = holder.as_ref().filter(|held| held.value.owner.as_ref() == me);
        let eligible = self.host.eligible();
        match mine {
            Some(held) if self.session_valid() && eligible => {
                self.begin_term(&held.value);
                self.hold(held, stop).await;
                return;
            }
            _ => *lock(&self.term) = None,
        }
        match mine {
            Some(held) if !eligible => self.release_ledger(held).await,
            None if eligible => self.adopt_if_due(holder.as_ref()).await,
            _ => {}
        }
    }

    /// Lets another controller hold the ledger.
    async fn release_ledger(&self, held: &Versioned<HolderRecord>) {
        let Ok(write) = put(HOLDER_KEY.into(), &held.value.released_by_holder(), None) else {
            return;
        };
        let condition = Condition { key: HOLDER_KEY.into(), version: held.version };
        match self.commit(vec![condition], vec![write]).await {
            Ok(_) => info!(epoch = held.value.epoch, "ledger released"),
            Err(error) => {
                debug!(%error, "ledger release failed");
                self.coordinator.refresh().await;
            }
        }
    }

    async fn adopt_if_due(&self, holder: Option<&Versioned<HolderRecord>>) {
        let owner = holder.and_then(|held| held.value.owner.as_ref());
        if !self.session_valid() || !lock(&self.succession).may_adopt(&self.coordinator, owner) {
            return;
        }
        let machines = self.settings.times.expected_machines as u32;
        let shards = shard_count(machines, self.limits.value_bytes);
        let me = self.coordinator.identity().clone();
        let next = HolderRecord::successor(holder.map(|held| &held.value), me, shards);
        let version = holder.map_or(0, |held| held.version);
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

    async fn hold(self: &Arc<Self>, holder: &Versioned<HolderRecord>, stop: &CancellationToken) {
        let epoch = holder.value.epoch;
        let asked = timeout(self.settings.times.order_timeout(), self.host.observe(epoch)).await;
        let observation = match asked {
            Ok(Ok(observation)) => observation,
            Ok(Err(error)) => return debug!(%error, "machine observation failed"),
            Err(_) => return debug!("machine observation timed out"),
        };
        if !self.session_valid() {
            return;
        }
        let Some(step) = self.plan(epoch, observation) else { return };
        let complete = self.carry_out(holder, step).await;
        if !complete {
            // Whether a write was carried out shows in the records.
            self.coordinator.refresh().await;
        }
        if self.session_valid() {
            self.give_orders(epoch, stop);
        }
    }
}
