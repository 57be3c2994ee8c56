//! Workers' reports: answered as the leader, or in its stead while nobody can
//! lead, and the answers to direct commands.

use tokio::time::{Duration, Instant};
use tracing::warn;

use super::{HeartbeatReply, Node, Term};
use crate::{
    controller::{DirectOutcome, DirectRequest},
    fleet::TaskKey,
    protocol::{CommandKind, JobState, TaskCommand, TaskState, TaskStatus, WorkerHeartbeat},
    state::lock,
};

/// For so many heartbeat intervals a worker waits here for a leader. Its own
/// patience is longer.
const SUCCESSOR_REPORTS: u32 = 2;

/// It is looked for so many times in a heartbeat interval.
const LOOKS_PER_REPORT: u32 = 16;

impl Node {
    /// Answers a heartbeat. A worker that lost its leader and comes while there is
    /// no other yet waits a while for one: sent on, it may come to a controller
    /// that is silent and wait there for a whole time-out, which with the first
    /// one is about all of its lease.
    pub async fn answer_heartbeat(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        let until = Instant::now() + self.settings.heartbeat_interval() * SUCCESSOR_REPORTS;
        loop {
            let reply = self.heartbeat(heartbeat);
            let sent_on = reply == HeartbeatReply::Redirect(None);
            if !sent_on || !self.expects_successor(heartbeat) || Instant::now() >= until {
                return reply;
            }
            while self.expects_successor(heartbeat) && Instant::now() < until {
                tokio::time::sleep(self.settings.heartbeat_interval() / LOOKS_PER_REPORT).await;
            }
        }
    }

    /// Whether there is no leader for this worker, but soon may be: nobody leads,
    /// or the leader says that it lost its workers. Not while the state service is
    /// away, for then nobody can be elected.
    fn expects_successor(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let leads = lock(&self.term).is_some();
        let elected = lock(&self.watch_cache).lead.is_some();
        heartbeat.token > 0
            && !leads
            && self.state_ok()
            && (!elected || self.leader_for(heartbeat).is_none())
    }

    pub fn heartbeat(&self, heartbeat: &WorkerHeartbeat) -> HeartbeatReply {
        let reply = self.heartbeat_as_leader(heartbeat);
        match reply {
            Some(reply) => reply,
            None => {
                self.note_rejected_heartbeat();
                if let Some(reply) = self.renew_as_follower(heartbeat, Instant::now()) {
                    return reply;
                }
                HeartbeatReply::Redirect(self.leader_for(heartbeat))
            }
        }
    }

    /// The leader to which a worker is sent, if that is of use to it.
    fn leader_for(&self, heartbeat: &WorkerHeartbeat) -> Option<String> {
        let watch_cache = lock(&self.watch_cache);
        let (_, lead) = watch_cache.lead.as_ref()?;
        // A worker that has heard this leader and comes here could not reach it.
        // Sent back to one that says itself that it hears hardly any worker, it
        // would wait for a whole time-out there while its lease runs out. It
        // goes on to the next controller, and finds the successor.
        let knows_leader = heartbeat.token >= lead.token;
        let lately = self.settings.leader_lease();
        let unreachable = knows_leader && self.peers.lost_workers(&lead.member, lately);
        (!unreachable && lead.member != self.settings.member).then(|| lead.member.clone())
    }

    fn heartbeat_as_leader(&self, heartbeat: &WorkerHeartbeat) -> Option<HeartbeatReply> {
        let now = Instant::now();
        let mut term = lock(&self.term);
        let held = term.as_mut()?;
        let in_doubt = now.saturating_duration_since(held.renewed) > self.settings.leader_lease();
        let leader = held.leader.as_mut()?;
        // A leader that stood still, or that others may have replaced, keeps
        // tasks alive but starts none.
        leader
            .allow_starts(!in_doubt && self.knows_cancellations(now, self.settings.leader_lease()));
        let mut away = false;
        if in_doubt {
            // Another leader may be there by now, and a worker that stays
            // with us would never learn of it. It is sent to look once in a
            // while; if nobody else leads, it is back well within its lease.
            let every = self.settings.worker_lease() / 2;
            let probed = held.probed.entry(heartbeat.machine.clone()).or_insert(held.renewed);
            if now.saturating_duration_since(*probed) > every {
                *probed = now;
                away = true;
            }
        }
        let withholds_renewals = !self.knows_enough(now);
        if withholds_renewals && !held.withholds_renewals {
            warn!("leases are not renewed: cancellations may be unknown for too long");
        }
        held.withholds_renewals = withholds_renewals;
        away |= withholds_renewals;
        // All are sent away in one second, and a leader that seemed to have
        // lost them would give way, in an outage to nobody.
        let heard = if away {
            leader.on_redirected_heartbeat(heartbeat, now).map(|()| HeartbeatReply::Redirect(None))
        } else {
            let answered = leader.on_heartbeat(heartbeat, now);
            let token = leader.token_for(&heartbeat.machine);
            answered.map(|commands| HeartbeatReply::Commands { token, commands })
        };
        if leader.needs_tick() {
            self.work.notify_one();
        }
        Some(heard.unwrap_or_else(|_| {
            self.step_down(&mut term);
            HeartbeatReply::Redirect(None)
        }))
    }

    /// Answers a worker while nobody can lead, see `lease_renewal.rs`.
    fn renew_as_follower(
        &self,
        heartbeat: &WorkerHeartbeat,
        now: Instant,
    ) -> Option<HeartbeatReply> {
        let limit = self.settings.renewal_limit();
        let until = match lock(&self.peers.known_cancellations).last_read() {
            Some(at) => at + limit,
            // This process knows nothing of the time before it: half of the
            // limit is left for that.
            None => self.started + limit / 2,
        };
        let mut renewed_workers = lock(&self.renewed_workers);
        let may = !self.state_ok()
            && now < until
            && heartbeat.token > 0
            && lock(&self.term).is_none()
            && lock(&self.peers.abstentions).free(now);
        if !may {
            renewed_workers.clear();
            return None;
        }
        // A leader may be there that only this node can't hear, so workers
        // are sent to look for it once in a while.
        let since = *renewed_workers.entry(heartbeat.machine.clone()).or_insert(now);
        if now > since + self.settings.worker_lease() / 2 {
            renewed_workers.remove(&heartbeat.machine);
            return None;
        }
        // A job whose end is known is stopped: that is right under any token.
        let watch_cache = lock(&self.watch_cache);
        let ended = |t: &&TaskStatus| {
            let job = TaskKey::parse(&t.task).and_then(|key| watch_cache.ends.get(&key.job));
            t.state != TaskState::Exited && job.is_some_and(|e| e.state == JobState::Cancelled)
        };
        let stop = |t: &TaskStatus| TaskCommand {
            op: CommandKind::Stop,
            task: t.task.clone(),
            attempt: t.attempt,
            grace_s: Some(0.0),
        };
        let commands = heartbeat.tasks.iter().filter(ended).map(stop).collect();
        Some(HeartbeatReply::Commands { token: heartbeat.token, commands })
    }

    /// Whether a leader may renew workers' leases: not if another controller
    /// may have told users of cancellations that this one knows nothing of and
    /// that could then outlive `cancel_s`. While its own lease lasts a leader
    /// always may, whatever the settings allow.
    fn knows_enough(&self, now: Instant) -> bool {
        let limit = self.settings.renewal_limit().max(self.settings.leader_lease());
        self.knows_cancellations(now, limit)
    }

    /// Whether all cancellations that users may have been told of are known, but
    /// for those within the last `limit`.
    pub(super) fn knows_cancellations(&self, now: Instant, limit: Duration) -> bool {
        let known = self.cancellations_known_until();
        self.settings.members.is_empty() || known.is_some_and(|at| now < at + limit)
    }

    /// The moment up to which every cancellation that was told is known here.
    pub(super) fn cancellations_known_until(&self) -> Option<Instant> {
        let members = self.settings.members.iter().map(|m| m.member.as_str());
        lock(&self.peers.known_cancellations).of(members)
    }

    fn step_down(&self, term: &mut Option<Term>) {
        if let Some(held) = term.take() {
            warn!(token = held.tokens.first(), "a worker has seen a higher token");
            self.lead_changed.notify_one();
        }
    }

    /// Takes what became of direct commands.
    pub(super) fn take_direct(
        &self,
        version: u64,
        request: &DirectRequest,
        outcome: DirectOutcome,
    ) {
        let mut term = lock(&self.term);
        let leader = term.as_mut().filter(|t| t.version == version).and_then(|t| t.leader.as_mut());
        let result = leader.map(|l| l.on_direct(request, outcome, Instant::now()));
        if result.is_some_and(|r| r.is_err()) {
            self.step_down(&mut term);
        }
        self.work.notify_one();
    }
}
