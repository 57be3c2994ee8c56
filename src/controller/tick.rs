//! Ticks: the leader's periodic work, which is sweeps over all machines and jobs, and
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

/// The number of sweeps in a heartbeat interval.
const SWEEPS_PER_INTERVAL: u32 = 8;

/// The time that a task is given to stop before its machine is reclaimed, beyond its grace
/// period, in heartbeat intervals.
const RECLAIM_MARGIN_INTERVALS: u32 = 4;

impl Leader {
    /// Whether something changed since the last tick that should not wait for the next sweep.
    /// Most heartbeats report no change, and a tick for each of them would cost more than
    /// processing the heartbeat itself.
    pub fn needs_tick(&self) -> bool {
        self.timers.needs_tick()
    }

    /// Returns when the next tick is due if no event requests one earlier.
    pub fn next_tick(&self) -> Instant {
        let state_service = match self.state_available_since {
            Some(_) => StateService::Available,
            None => StateService::Unavailable,
        };
        self.timers.next_tick(state_service)
    }

    /// Does the work that is due. Called after events that request a tick, and at the instant
    /// that `next_tick` returns. Work that goes over all machines or jobs is done only a few
    /// times per heartbeat interval, since events are far more frequent.
    ///
    /// `sole_renewer_since`: the instant since which certainly no other controller has renewed
    /// workers' leases, if there is one.
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
        // Without the state service no new decision can be made durable, and machines must not be
        // returned on the basis of an outdated watch cache.
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

    /// Records how long the last tick took, which delays the next pass in proportion.
    pub fn record_tick_duration(&mut self, now: Instant, duration: Duration) {
        self.timers.record_tick_duration(now, duration);
    }

    /// Does the periodic work over all machines and jobs that is also done while the state service
    /// is unavailable.
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

    /// Returns whether the termination of tasks on silent machines can be proved by lease.
    ///
    /// It can once this controller has been the only one to renew leases for longer than a
    /// worker lease. After an outage of the state service the abstentions of the other controllers
    /// (`lease_renewal`) take time to be established again. So for two leases the proof counts
    /// as available, and machines are not returned for the lack of it.
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

    /// Ends the back-offs whose time has passed, so that their jobs may start tasks again.
    fn end_backoffs(&mut self, now: Instant) {
        let has_expired = |job: &&mut Job| job.backoff_until.is_some_and(|until| until <= now);
        for job in self.jobs.values_mut().filter(has_expired) {
            job.backoff_until = None;
            self.timers.record_change_within_tick();
        }
    }

    /// Makes a scheduling pass if one is due and the interval since the last one has passed.
    fn schedule_if_due(&mut self, now: Instant) {
        // While a job has no task on a machine, rounds are made without any event: a boot may have
        // become overdue, or the cloud may have machines of an exhausted kind again.
        let is_waiting = |job: &Job| job.is_active() && job.bound.is_empty();
        if let Some(kind) = self.timers.take_pass(now, || self.jobs.values().any(is_waiting)) {
            self.schedule(kind, now);
        }
    }

    /// Stops tasks on machines that the cloud will reclaim, in time to save their checkpoints.
    /// Tasks that save none are stopped immediately.
    fn drain_reclaimed_machines(&mut self, now: Instant) {
        let margin = self.settings.heartbeat_interval() * RECLAIM_MARGIN_INTERVALS;
        let mut stops = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(reclaim_at) = machine.reclaim_at else { continue };
            let time_left = reclaim_at.saturating_duration_since(now);
            for key in &machine.bound {
                let Some(job) = self.jobs.get(&key.job) else { continue };
                let time_needed = Duration::from_secs_f64(job.grace_s()) + margin;
                // The cloud may reclaim a machine after half of the announced time.
                if job.spec.checkpoint_s <= 0.0 || time_left / 2 < time_needed {
                    stops.push(key.clone());
                }
            }
        }
        for key in stops {
            self.stop(&key, GracePeriod::OfJob, now);
        }
    }

    /// Requests a stop of a task, or of all tasks of its job if that is a gang. Tasks that are
    /// being stopped already keep their grace period.
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
