//! Responses to worker heartbeats, as the leader or, while no leader can be elected, as a
//! follower; and the outcomes of direct commands.

use tokio::time::{Duration, Instant};

use super::instance::Node;
use crate::{
    controller::{DirectOutcome, DirectRequest},
    fleet::TaskKey,
    protocol::{CommandKind, JobState, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat},
    replies::HeartbeatReply,
    state::lock,
};

/// How long a worker's heartbeat may wait here for a new leader, in heartbeat intervals. The
/// worker's own time-out is longer.
const SUCCESSOR_WAIT_HEARTBEAT_INTERVALS: u32 = 2;

/// How many times per heartbeat interval this node checks for a new leader meanwhile.
const SUCCESSOR_CHECKS_PER_HEARTBEAT_INTERVAL: u32 = 16;

impl Node {
    /// Answers a heartbeat, after a wait if the worker lost its leader and a new one is
    /// expected soon. A redirect without a known leader could send the worker to a
    /// controller that doesn't answer. It would wait there for a second whole time-out, and
    /// both time-outs together take nearly all of its lease.
    pub async fn answer_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        let interval = self.settings.heartbeat_interval();
        let deadline = Instant::now() + interval * SUCCESSOR_WAIT_HEARTBEAT_INTERVALS;
        loop {
            let reply = self.answer_heartbeat_now(heartbeat);
            let is_without_leader = reply == HeartbeatReply::Redirect(None);
            let should_wait = is_without_leader && self.expects_successor(heartbeat);
            if !should_wait || Instant::now() >= deadline {
                return reply;
            }
            while self.expects_successor(heartbeat) && Instant::now() < deadline {
                tokio::time::sleep(interval / SUCCESSOR_CHECKS_PER_HEARTBEAT_INTERVAL).await;
            }
        }
    }

    /// Whether there is no leader for this worker but one may be elected soon: there is no
    /// leader record, or the leader reports that it lost its workers. False while the state
    /// service is unreachable, since no leader can be elected then.
    fn expects_successor(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let is_leader = self.is_leader();
        let has_leader_record = lock(&self.watch_cache).leader.is_some();
        heartbeat.token > 0
            && !is_leader
            && self.state_service_reachable()
            && (!has_leader_record || self.redirect_target(heartbeat).is_none())
    }

    /// Answers a heartbeat without a wait.
    pub fn answer_heartbeat_now(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        if let Some(reply) = self.answer_as_leader(heartbeat) {
            return reply;
        }
        self.record_rejected_heartbeat();
        self.renew_as_follower(heartbeat, Instant::now())
            .unwrap_or_else(|| HeartbeatReply::Redirect(self.redirect_target(heartbeat)))
    }

    /// The name of the leader to redirect a worker to. None if no other controller leads, or
    /// if the worker probably can't reach the leader.
    fn redirect_target(&self, heartbeat: &WorkerHeartbeat) -> Option<String> {
        let watch_cache = lock(&self.watch_cache);
        let record = &watch_cache.leader.as_ref()?.value;
        // A worker that knows this leader's token and comes here could not reach the leader.
        // If the leader itself reports that it receives hardly any worker heartbeats, a
        // redirect there would cost a whole time-out of the worker's lease. Without a
        // redirect target the worker tries the next controllers, and finds the successor.
        let knows_leader = heartbeat.token >= record.token;
        let window = self.settings.leader_lease();
        let is_unreachable =
            knows_leader && self.peers.reported_lost_workers(&record.member, window);
        let is_other_member = record.member != self.settings.member;
        (!is_unreachable && is_other_member).then(|| record.member.clone())
    }

    /// Answers a heartbeat as the leader. None if this node is not the leader or its leader
    /// is not built yet.
    fn answer_as_leader(&self, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatReply> {
        let now = Instant::now();
        let mut term = lock(&self.term);
        let current_term = term.as_mut()?;
        let lease_may_have_expired =
            current_term.lease_may_have_expired(now, self.settings.leader_lease());
        // A leader whose process was suspended, or that may have been replaced, keeps running
        // tasks alive but starts none.
        let may_start =
            !lease_may_have_expired && self.knows_cancellations(now, self.settings.leader_lease());
        current_term.leader.as_mut()?.allow_starts(may_start);
        let probe_interval = self.settings.worker_lease() / 2;
        let is_probing = lease_may_have_expired
            && current_term.start_probe_if_due(&heartbeat.machine, now, probe_interval);
        let renewals_withheld = !self.may_renew_as_leader(now);
        current_term.set_renewals_withheld(renewals_withheld);
        let leader = current_term.leader.as_mut()?;
        // When renewals are withheld, all workers are redirected within one second. A
        // redirected heartbeat still counts as received: otherwise the leader would seem to
        // have lost its workers and resign, and in an outage no successor can be elected.
        let reply = if is_probing || renewals_withheld {
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

    /// Renews a worker's lease as a follower while no leader can be elected, as described in
    /// `lease_renewal`. None if this node may not renew the lease now: among other reasons, if
    /// tasks of cancelled jobs that this node doesn't know as cancelled could run for longer than
    /// `cancel_s`. A process that has just started knows nothing until it has read the records or
    /// another controller has told it.
    fn renew_as_follower(
        &self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Option<HeartbeatReply> {
        let may_renew = !self.state_service_reachable()
            && self.knows_cancellations(now, self.settings.renewal_window())
            && heartbeat.token > 0
            && !self.is_leader()
            && self.peers.may_renew(now);
        if !may_renew {
            self.follower_renewals.clear();
            return None;
        }
        let probe_interval = self.settings.worker_lease() / 2;
        // Without a raised token the worker's incarnation must end before a late command could
        // start a task of a job that was cancelled after this node's latest read.
        let window = self.settings.renewal_window();
        let may_keep_token = self.peers.last_read_at().is_some_and(|at| now < at + window);
        let token = self.follower_renewals.admit_renewal(
            heartbeat,
            self.last_known_token(),
            may_keep_token,
            now,
            probe_interval,
        )?;
        let commands = self.stop_cancelled_tasks(heartbeat);
        Some(HeartbeatReply::Commands { token, commands })
    }

    /// The last fencing token of the latest term that this node knows of, by the records or by the
    /// heartbeats of other controllers, which pass on what they were told.
    pub(super) fn last_known_token(&self) -> u64 {
        let recorded = lock(&self.watch_cache).token.value;
        recorded.max(self.peers.highest_reported_token())
    }

    /// Commands that stop a worker's tasks of jobs that are known to be cancelled. Stopping
    /// them is safe under any fencing token, since a cancellation is final.
    fn stop_cancelled_tasks(&self, heartbeat: &WorkerHeartbeat) -> Vec<TaskCommand> {
        let watch_cache = lock(&self.watch_cache);
        let is_cancelled = |task: &&TaskStatus| {
            let end =
                TaskKey::parse(&task.task).and_then(|key| watch_cache.ended_jobs.get(&key.job));
            task.state != TaskState::Exited
                && end.is_some_and(|end| end.state == JobState::Cancelled)
        };
        let stop_command = |task: &TaskStatus| TaskCommand {
            op: CommandKind::Stop,
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: Some(0.0),
        };
        heartbeat.tasks.iter().filter(is_cancelled).map(stop_command).collect()
    }

    /// Whether this node, as the leader, may renew workers' leases. False if another
    /// controller may have confirmed cancellations that this node doesn't know, so long ago
    /// that their tasks could run for longer than `cancel_s`. The limit is at least a leader
    /// lease, whatever the settings give: a leader may always renew during its own lease.
    fn may_renew_as_leader(&self, now: Instant) -> bool {
        let limit = self.settings.renewal_window().max(self.settings.leader_lease());
        self.knows_cancellations(now, limit)
    }

    /// Whether every cancellation that may have been confirmed to a user more than `limit`
    /// ago is known here.
    pub(super) fn knows_cancellations(&self, now: Instant, limit: Duration) -> bool {
        self.peers.cancellations_known_until(now).is_some_and(|at| now < at + limit)
    }

    /// Processes the outcome of direct commands.
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
