//! What the leader does as time passes: sweeps over all machines and jobs, and
//! scheduling passes.

use tokio::time::{Duration, Instant};

use super::{
    Leader,
    binding::{GracePeriod, StopRequest},
    job::Job,
    state_service::StateService,
};
use crate::{
    fleet::{TaskKey, TerminationProof},
    protocol::Shape,
};

/// Sweeps are made so many times in a heartbeat interval.
const SWEEPS_PER_INTERVAL: u32 = 8;

/// The time kept for a task to stop before its machine is reclaimed, beyond its grace
/// period, in heartbeat intervals.
const RECLAIM_MARGIN_INTERVALS: u32 = 4;

impl Leader {
    /// Whether something happened since the last tick that should not wait for
    /// the next sweep. Most heartbeats only say that all is as it was, and a tick
    /// for each of those would cost more than the heartbeat itself.
    pub fn needs_tick(&self) -> bool {
        self.timers.needs_tick()
    }

    /// When the next tick is due if nothing happens until then.
    pub fn next_tick(&self) -> Instant {
        let state_service = match self.state_available_since {
            Some(_) => StateService::Available,
            None => StateService::Unavailable,
        };
        self.timers.next_tick(state_service)
    }

    /// Called when something happened, and when `next_tick` says so. What goes over all
    /// machines or jobs is done a few times per heartbeat interval only, since events
    /// come far more often.
    ///
    /// `sole_renewer_since`: since when surely no other controller has renewed workers'
    /// leases.
    pub fn tick(
        &mut self,
        now: Instant,
        state_service: StateService,
        sole_renewer_since: Option<Instant>,
    ) {
        self.timers.begin_tick();
        self.counters.ticks += 1;
        let interval = self.settings.heartbeat_interval() / SWEEPS_PER_INTERVAL;
        let sweep = self.timers.take_sweep(now, interval);
        if sweep {
            self.counters.sweeps += 1;
            self.sweep(now, state_service, sole_renewer_since);
        }
        // Without the state service nothing new can be made durable, and an
        // old watch cache is no ground for returning machines.
        if state_service == StateService::Unavailable {
            self.state_available_since = None;
            return;
        }
        let available_since = *self.state_available_since.get_or_insert(now);
        if sweep {
            let proof = self.termination_proof(now, available_since, sole_renewer_since);
            self.scale_in(now, proof);
            self.end_backoffs(now);
        }
        self.schedule_if_due(now);
    }

    /// How long the last tick took: the next pass keeps its distance.
    pub fn record_tick_duration(&mut self, now: Instant, duration: Duration) {
        self.timers.record_tick_duration(now, duration);
    }

    /// What time alone brings, also while the state service is unavailable.
    fn sweep(
        &mut self,
        now: Instant,
        state_service: StateService,
        sole_renewer_since: Option<Instant>,
    ) {
        self.expire_incarnations(now, sole_renewer_since);
        self.drain_reclaimed_machines(now);
        self.stop_cancelled_directly(now);
        for key in self.writes.take_tasks_to_stop() {
            self.stop(&key, GracePeriod::OfJob, now);
        }
        self.return_machines_with_cancelled_tasks(now, state_service);
    }

    /// Whether termination can be proved by lease. After an outage the others'
    /// abstentions need their time first, which is no ground for anything.
    fn termination_proof(
        &self,
        now: Instant,
        available_since: Instant,
        sole_renewer_since: Option<Instant>,
    ) -> TerminationProof {
        let lease = self.settings.worker_lease();
        let provable = sole_renewer_since.is_some_and(|since| now > since + lease)
            || now < available_since + lease * 2;
        TerminationProof { provable, sole_renewer_since }
    }

    /// Jobs whose back-off is over may start tasks again.
    fn end_backoffs(&mut self, now: Instant) {
        let is_over = |job: &&mut Job| job.backoff_until.is_some_and(|until| until <= now);
        for job in self.jobs.values_mut().filter(is_over) {
            job.backoff_until = None;
            self.timers.record_change_within_tick();
        }
    }

    /// Makes a pass if one is due and the last one lies back long enough.
    fn schedule_if_due(&mut self, now: Instant) {
        // While a job waits, each round checks again: a boot may be overdue by
        // then, or the cloud have machines again.
        let waits = |job: &Job| job.is_active() && job.bound.is_empty();
        if let Some(kind) = self.timers.take_pass(now, || self.jobs.values().any(waits)) {
            self.schedule(kind, now);
        }
    }

    /// Stops tasks on machines that the cloud will take back, in time to save.
    fn drain_reclaimed_machines(&mut self, now: Instant) {
        let margin = self.settings.heartbeat_interval() * RECLAIM_MARGIN_INTERVALS;
        let mut stops = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(reclaim_at) = machine.reclaim_at else { continue };
            let left = reclaim_at.saturating_duration_since(now);
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let needed = Duration::from_secs_f64(job.grace_s()) + margin;
                // A notice may run half as long as it says.
                if job.spec.checkpoint_s <= 0.0 || left / 2 < needed {
                    stops.push(key.clone());
                }
            }
        }
        for key in stops {
            self.stop(&key, GracePeriod::OfJob, now);
        }
    }

    /// Requests that a task stops; of a gang, all tasks.
    pub(super) fn stop(&mut self, key: &TaskKey, grace: GracePeriod, now: Instant) {
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let grace_s = match grace {
            GracePeriod::OfJob => job.grace_s(),
            GracePeriod::None => 0.0,
        };
        let stop = StopRequest { requested_at: now, grace_s };
        let gang = job.spec.shape == Shape::Gang;
        for (task, binding) in &mut job.bound {
            if (gang || *task == key.task) && binding.stop.is_none() {
                binding.stop = Some(stop);
                self.direct_calls.push(binding.machine.clone());
            }
        }
    }
}
