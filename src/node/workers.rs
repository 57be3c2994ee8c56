//! Worker heartbeats: answered as the leader, or in its stead while nobody can
//! lead, and the answers to direct commands.

use tokio::time::{Duration, Instant};

use super::instance::Node;
use crate::{
    controller::{DirectOutcome, DirectRequest},
    fleet::TaskKey,
    protocol::{CommandKind, JobState, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat},
    replies::HeartbeatReply,
    state::lock,
};

/// For so many heartbeat intervals a worker waits here for a leader. Its own
/// time-out is longer.
const SUCCESSOR_WAIT_INTERVALS: u32 = 2;

/// How often in a heartbeat interval this node checks whether there is a leader.
const SUCCESSOR_CHECKS_PER_INTERVAL: u32 = 16;

impl Node {
    /// Answers a heartbeat. A worker that lost its leader and comes while there is
    /// no other yet waits a while for one: redirected, it may come to a controller
    /// that is silent and wait there for a whole time-out, which with the first
    /// one is about all of its lease.
    pub async fn answer_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        let interval = self.settings.heartbeat_interval();
        let until = Instant::now() + interval * SUCCESSOR_WAIT_INTERVALS;
        loop {
            let reply = self.heartbeat(heartbeat);
            let is_without_leader = reply == HeartbeatReply::Redirect(None);
            let waits = is_without_leader && self.expects_successor(heartbeat);
            if !waits || Instant::now() >= until {
                return reply;
            }
            while self.expects_successor(heartbeat) && Instant::now() < until {
                tokio::time::sleep(interval / SUCCESSOR_CHECKS_PER_INTERVAL).await;
            }
        }
    }

    /// Whether there is no leader for this worker, but soon may be: nobody leads,
    /// or the leader reports that it lost its workers. Not while the state service is
    /// away, for then nobody can be elected.
    fn expects_successor(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let leads = self.leads();
        let is_elected = lock(&self.watch_cache).leader.is_some();
        heartbeat.token > 0
            && !leads
            && self.state_ok()
            && (!is_elected || self.leader_for(heartbeat).is_none())
    }

    /// Answers a heartbeat now.
    pub fn heartbeat(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        if let Some(reply) = self.heartbeat_as_leader(heartbeat) {
            return reply;
        }
        self.record_rejected_heartbeat();
        self.renew_as_follower(heartbeat, Instant::now())
            .unwrap_or_else(|| HeartbeatReply::Redirect(self.leader_for(heartbeat)))
    }

    /// The leader to which a worker is redirected, if that is of use to it.
    fn leader_for(&self, heartbeat: &WorkerHeartbeat) -> Option<String> {
        let watch_cache = lock(&self.watch_cache);
        let record = &watch_cache.leader.as_ref()?.value;
        // A worker that knows this leader and comes here could not reach it. Redirected
        // to one that itself reports hardly any worker heartbeats, it would wait
        // for a whole time-out there while its lease runs out. It tries the next
        // controller, and finds the successor.
        let knows_leader = heartbeat.token >= record.token;
        let lately = self.settings.leader_lease();
        let is_unreachable =
            knows_leader && self.peers.reported_lost_workers(&record.member, lately);
        let is_other = record.member != self.settings.member;
        (!is_unreachable && is_other).then(|| record.member.clone())
    }

    fn heartbeat_as_leader(&self, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatReply> {
        let now = Instant::now();
        let mut term = lock(&self.term);
        let held = term.as_mut()?;
        let in_doubt = held.is_in_doubt(now, self.settings.leader_lease());
        // A leader that was suspended, or that others may have replaced, keeps
        // tasks alive but starts none.
        let may_start = !in_doubt && self.knows_cancellations(now, self.settings.leader_lease());
        held.leader.as_mut()?.allow_starts(may_start);
        let probe_interval = self.settings.worker_lease() / 2;
        let probes = in_doubt && held.sends_probe(&heartbeat.machine, now, probe_interval);
        let withholds_renewals = !self.may_renew_as_leader(now);
        held.set_withholds_renewals(withholds_renewals);
        let leader = held.leader.as_mut()?;
        // Withheld renewals redirect all workers in one second; a redirected heartbeat
        // still counts as received, since a leader that seemed to have lost its workers
        // would resign, in an outage in favour of nobody.
        let reply = if probes || withholds_renewals {
            leader.on_redirected_heartbeat(heartbeat, now).map(|()| HeartbeatReply::Redirect(None))
        } else {
            let answered = leader.on_heartbeat(heartbeat, now);
            let token = leader.token_for(&heartbeat.machine);
            answered.map(|commands| HeartbeatReply::Commands { token, commands })
        };
        if leader.needs_tick() {
            self.tick_requested.notify_one();
        }
        Some(reply.unwrap_or_else(|_| {
            self.step_down(&mut term);
            HeartbeatReply::Redirect(None)
        }))
    }

    /// Answers a worker while nobody can lead, see `lease_renewal`.
    fn renew_as_follower(
        &self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Option<HeartbeatReply> {
        let may_renew = !self.state_ok()
            && now < self.follower_renewal_deadline()
            && heartbeat.token > 0
            && !self.leads()
            && self.peers.may_renew(now);
        if !may_renew {
            self.follower_renewals.clear();
            return None;
        }
        let probe_interval = self.settings.worker_lease() / 2;
        if !self.follower_renewals.admit(&heartbeat.machine, now, probe_interval) {
            return None;
        }
        let commands = self.stop_cancelled_tasks(heartbeat);
        Some(HeartbeatReply::Commands { token: heartbeat.token, commands })
    }

    /// Until when this node may renew leases as a follower: beyond it, cancellations
    /// that it doesn't know could outlive `cancel_s`.
    fn follower_renewal_deadline(&self) -> Instant {
        let limit = self.settings.renewal_window();
        match self.peers.last_read_at() {
            Some(at) => at + limit,
            // This process knows nothing of the time before it: half of the
            // limit is left for that.
            None => self.started_at + limit / 2,
        }
    }

    /// Commands that stop the tasks of jobs that are known to be cancelled: that is
    /// right under any token.
    fn stop_cancelled_tasks(&self, heartbeat: &WorkerHeartbeat) -> Vec<TaskCommand> {
        let watch_cache = lock(&self.watch_cache);
        let is_cancelled = |task: &&TaskStatus| {
            let end =
                TaskKey::parse(&task.task).and_then(|key| watch_cache.ended_jobs.get(&key.job));
            task.state != TaskState::Exited
                && end.is_some_and(|end| end.state == JobState::Cancelled)
        };
        let stop = |task: &TaskStatus| TaskCommand {
            op: CommandKind::Stop,
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: Some(0.0),
        };
        heartbeat.tasks.iter().filter(is_cancelled).map(stop).collect()
    }

    /// Whether a leader may renew workers' leases: not if another controller
    /// may have confirmed cancellations to users that this one doesn't know and
    /// that could then outlive `cancel_s`. While its own lease lasts a leader
    /// always may, whatever the settings allow.
    fn may_renew_as_leader(&self, now: Instant) -> bool {
        let limit = self.settings.renewal_window().max(self.settings.leader_lease());
        self.knows_cancellations(now, limit)
    }

    /// Whether all cancellations that may have been confirmed to users are known, but
    /// for those within the last `limit`.
    pub(super) fn knows_cancellations(&self, now: Instant, limit: Duration) -> bool {
        let known_until = self.cancellations_known_until();
        self.settings.members.is_empty() || known_until.is_some_and(|at| now < at + limit)
    }

    /// The moment up to which every cancellation that may have been confirmed is known
    /// here.
    pub(super) fn cancellations_known_until(&self) -> Option<Instant> {
        self.peers.cancellations_known_until(self.other_members())
    }

    /// Processes what became of direct commands.
    pub(super) fn on_direct_outcome(
        &self,
        version: u64,
        request: &DirectRequest,
        outcome: DirectOutcome,
    ) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().filter(|t| t.version == version).and_then(|t| t.leader.as_mut());
        let result = leader.map(|l| l.on_direct_outcome(request, outcome, Instant::now()));
        if result.is_some_and(|r| r.is_err()) {
            self.step_down(&mut term);
        }
        self.tick_requested.notify_one();
    }
}
