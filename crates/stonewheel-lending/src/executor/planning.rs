//! Planning, and writing the planned changes.

use std::collections::HashMap;

use stonewheel_coordination::{Versioned, put};
use stonewheel_protocol::{Condition, Write};
use stonewheel_state::lock;
use tokio::time::Instant;
use tracing::{debug, info};

use super::state::{Executor, Term};
use crate::{
    accounts,
    claim::{ClaimId, ClaimRecord, claim_key},
    holder::{HOLDER_KEY, HolderRecord},
    host::Observation,
    ledger::{LoanState, ShardWrite, Transition},
    planner::{Plan, PlannerInput, WaitReason},
    unmanaged::{combine, is_unmanaged},
};

/// The number of transactions that the changes of one plan may fill.
const TRANSACTIONS_PER_PLAN: usize = 4;
/// The maximum size of the values in one transaction, in bytes. The rest of the state service's
/// limit is left for conditions.
const MAX_TRANSACTION_BYTES: usize = 48 * 1024;
/// How long records of finished claims are kept, as a multiple of the reclaim bound.
const FINISHED_RETENTION_BOUNDS: u32 = 4;

/// A plan, with the writes that carry it out.
pub(super) struct PreparedPlan {
    plan: Plan,
    writes: Vec<ShardWrite>,
}

impl Executor {
    /// Plans from the current records and an observation. Returns none if the term of `epoch` has
    /// ended or a write can't be encoded.
    pub(super) fn plan(&self, epoch: u64, observation: Observation) -> Option<PreparedPlan> {
        let now = Instant::now();
        let mut claims = lock(&self.claims);
        let mut guard = lock(&self.term);
        let term = guard.as_mut().filter(|term| term.observations.epoch == epoch)?;
        {
            let records = self.coordinator.records();
            term.ledger.refresh(&records);
            claims.refresh(&records);
        }
        let unmanaged = observation.unmanaged_workloads.clone();
        term.observations.record(observation, now);
        term.observations.track_loans(&term.ledger, now);
        let active = claims.active();
        let teams = &self.settings.teams;
        let inside = accounts::inside_guarantee(active, teams, self.settings.times.grace_s);
        term.reserve.record(now, &accounts::entitlements(active, &inside, teams));
        let mut views = term.observations.views(now);
        let number = term.next_number;
        let combined = (!unmanaged.is_empty())
            .then(|| combine(active, &term.ledger, &unmanaged, &mut views, epoch, number));
        let combined = combined.as_ref();
        let mut plan = (self.planner)(&PlannerInput {
            settings: &self.settings,
            claims: combined.map_or(active, |combined| &combined.claims),
            ledger: combined.map_or(&term.ledger, |combined| &combined.ledger),
            machines: &views,
            gone: &term.observations.gone(),
            halted: term.observations.halted(),
            reserve: &term.reserve.machines(teams),
            may_lend: now >= term.may_lend_at,
            epoch,
            next_number: combined.map_or(number, |combined| combined.next_number),
            max_changes: self.limits.transaction_writes * TRANSACTIONS_PER_PLAN,
        });
        plan.reasons.retain(|claim, _| !is_unmanaged(claim));
        // Loan numbers of a plan that isn't written are never reused.
        term.next_number = plan.next_number;
        let writes = term.ledger.writes(plan.transitions.clone()).ok()?;
        self.record_wait_reasons(term, &plan, now);
        Some(PreparedPlan { plan, writes })
    }

    /// Records the wait reason of each claim, and logs and counts changes.
    fn record_wait_reasons(&self, term: &mut Term, plan: &Plan, now: Instant) {
        let mut counters = lock(&self.counters);
        for (claim, reason) in &plan.reasons {
            if *reason != WaitReason::Served {
                term.waiting_since.entry(claim.clone()).or_insert(now);
                if term.reasons.get(claim) != Some(reason) {
                    info!(%claim, ?reason, "claim waiting");
                }
            } else if let Some(since) = term.waiting_since.remove(claim) {
                let waited = now - since;
                counters.served += 1;
                counters.longest_wait = counters.longest_wait.max(waited);
                info!(%claim, waited_s = waited.as_secs_f64(), "claim served");
            }
        }
        term.waiting_since.retain(|claim, _| plan.reasons.contains_key(claim));
        term.reasons.clone_from(&plan.reasons);
    }

    /// Writes the planned changes and deletes the records of claims that finished long ago. Returns
    /// false if a write failed or its outcome is unknown.
    pub(super) async fn execute(
        &self,
        holder: &Versioned<HolderRecord>,
        prepared: PreparedPlan,
    ) -> bool {
        let fence = Condition { key: HOLDER_KEY.into(), version: holder.version };
        for claim in &prepared.plan.done {
            if !self.record_completion(&fence, claim).await {
                return false;
            }
        }
        for batch in batches(prepared.writes, self.limits.transaction_writes) {
            let mut conditions = vec![fence.clone()];
            let mut writes = Vec::new();
            let mut transitions = Vec::new();
            for write in batch {
                conditions.push(write.condition);
                writes.push(write.write);
                transitions.extend(write.transitions);
            }
            if let Err(error) = self.commit(conditions, writes).await {
                debug!(%error, "ledger write failed");
                return false;
            }
            self.record_transitions(&transitions);
        }
        self.delete_finished(&fence).await
    }

    /// Marks a claim as done.
    async fn record_completion(&self, fence: &Condition, claim: &ClaimId) -> bool {
        let key = claim_key(claim);
        let version = match lock(&self.claims).get(claim) {
            Some((ClaimRecord::Active(_), version)) => version,
            _ => return true,
        };
        let Ok(write) = put(key.clone(), &ClaimRecord::Done, None) else { return false };
        let conditions = vec![fence.clone(), Condition { key, version }];
        let written = self.commit(conditions, vec![write]).await;
        if written.is_ok() {
            info!(%claim, "claim completed");
        }
        written.is_ok()
    }

    /// Deletes the records of claims that finished long ago. After that time no submission of them
    /// can still be in flight that would make them active again.
    async fn delete_finished(&self, fence: &Condition) -> bool {
        let now = Instant::now();
        let retention = self.bounds.reclaim * FINISHED_RETENTION_BOUNDS;
        let expired: Vec<(ClaimId, u64)> = {
            let claims = lock(&self.claims);
            let mut guard = lock(&self.term);
            let Some(term) = guard.as_mut() else { return false };
            let finished: HashMap<ClaimId, u64> =
                claims.finished().map(|(c, v)| (c.clone(), v)).collect();
            term.finished_since.retain(|claim, _| finished.contains_key(claim));
            for claim in finished.keys() {
                term.finished_since.entry(claim.clone()).or_insert(now);
            }
            let expired =
                finished.into_iter().filter(|(c, _)| now >= term.finished_since[c] + retention);
            expired.take(self.limits.transaction_writes).collect()
        };
        if expired.is_empty() {
            return true;
        }
        let condition = |(claim, version): &(ClaimId, u64)| Condition {
            key: claim_key(claim),
            version: *version,
        };
        let mut conditions = vec![fence.clone()];
        conditions.extend(expired.iter().map(condition));
        let writes =
            expired.iter().map(|(claim, _)| Write::Delete { key: claim_key(claim) }).collect();
        self.commit(conditions, writes).await.is_ok()
    }

    /// Counts and logs the changes of a committed transaction.
    fn record_transitions(&self, transitions: &[Transition]) {
        let mut counters = lock(&self.counters);
        counters.transactions += 1;
        for Transition { machine, after } in transitions {
            let Some(entry) = after else {
                info!(%machine, "machine available");
                continue;
            };
            match entry.state {
                LoanState::Lent => counters.loans += 1,
                LoanState::Granted => counters.grants += 1,
                LoanState::ReclaimRequested => counters.reclaims += 1,
                LoanState::Checkpointing | LoanState::Released => {}
            }
            let why = entry.history.last().map(|change| change.reason);
            let (claim, state, loan) = (&entry.claim, entry.state, entry.loan);
            info!(%machine, %claim, ?state, ?why, ?loan, claimant = ?entry.claimant, "loan changed");
        }
    }
}

/// Divides writes into transactions of at most `max_writes` writes and [`MAX_TRANSACTION_BYTES`]
/// bytes.
fn batches(writes: Vec<ShardWrite>, max_writes: usize) -> Vec<Vec<ShardWrite>> {
    let mut batches: Vec<Vec<ShardWrite>> = Vec::new();
    let mut bytes = 0;
    for write in writes {
        let size = match &write.write {
            Write::Put { value, .. } => value.get().len(),
            Write::Delete { .. } => 0,
        };
        let has_capacity = batches.last().is_some_and(|batch| batch.len() < max_writes);
        if !has_capacity || bytes + size > MAX_TRANSACTION_BYTES {
            batches.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(batch) = batches.last_mut() {
            batch.push(write);
        }
    }
    batches
}
