//! Claims inside their guarantees: free machines first, then reclaims.

use super::{
    model::WaitReason,
    plan_builder::PlanBuilder,
    settle::{grace_ms, release_incomplete_gang, withdraw_requests},
    victims::Candidates,
};
use crate::{
    claim::{MachineName, TeamName},
    ledger::{ChangeReason, Entry},
};

/// Whether all claims inside their guarantees have their machines, or will have them once
/// reclaims are complete.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum GuaranteedSupply {
    Sufficient,
    Short,
}

/// Serves the claims inside their guarantees, in admission order.
pub(super) fn serve(builder: &mut PlanBuilder<'_>) -> GuaranteedSupply {
    let inside = (0..builder.input.claims.len()).filter(|at| builder.accounts.claims[*at].inside);
    let inside: Vec<usize> = inside.collect();
    for &at in &inside {
        prefer_free_machines(builder, at);
    }
    withdraw_requests(builder);
    let mut supply = GuaranteedSupply::Sufficient;
    let mut candidates = Candidates::default();
    for at in inside {
        let reason = serve_claim(builder, at, &mut candidates);
        if matches!(reason, WaitReason::InsufficientCapacity | WaitReason::Queued) {
            supply = GuaranteedSupply::Short;
        }
        builder.set_wait_reason(at, reason);
    }
    supply
}

/// Grants machines that became free in place of those still to be reclaimed, so that
/// requests whose halt has not been sent can be withdrawn.
fn prefer_free_machines(builder: &mut PlanBuilder<'_>, at: usize) {
    let coming: Vec<MachineName> = builder.accounts.claims[at].coming.iter().cloned().collect();
    for machine in coming {
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        let waits = entry.is_stopping() && !builder.input.halted.contains(&entry.loan);
        // A gang's room comes together: what it waits for last decides.
        if !waits || builder.active(at).claim.is_gang() || builder.free.is_empty() {
            continue;
        }
        builder.set(&machine, Some(entry.without_claimant()));
        if builder.headroom(at) > 0 {
            grant_free(builder, at, 1);
        } else {
            builder.set(&machine, Some(entry));
        }
    }
}

fn serve_claim(
    builder: &mut PlanBuilder<'_>,
    at: usize,
    candidates: &mut Candidates,
) -> WaitReason {
    let active = builder.active(at);
    let account = &builder.accounts.claims[at];
    let (gang, stopping) = (active.claim.is_gang(), !account.leaving.is_empty());
    if gang && stopping {
        return WaitReason::Stopping;
    }
    let mut need = builder.missing_machines(at);
    if need > 0 && builder.is_full() {
        return WaitReason::Queued;
    }
    need -= take_unclaimed(builder, at, need);
    let headroom = builder.headroom(at);
    let free = need.min(builder.free.len() as u32).min(headroom);
    let lacking = need - free;
    let found = candidates.choose(builder, at, lacking, headroom - free);
    if gang && found.machines < lacking {
        release_incomplete_gang(builder, at);
        return if headroom < need {
            WaitReason::AtCeiling
        } else {
            WaitReason::InsufficientCapacity
        };
    }
    grant_free(builder, at, free);
    reclaim(builder, at, lacking, &found.runs);
    reason(builder, at, headroom)
}

fn reason(builder: &PlanBuilder<'_>, at: usize, headroom: u32) -> WaitReason {
    let account = &builder.accounts.claims[at];
    if builder.missing_machines(at) > 0 {
        return if headroom == 0 {
            WaitReason::AtCeiling
        } else {
            WaitReason::InsufficientCapacity
        };
    }
    match (account.coming.len() as u32, account.leaving.is_empty()) {
        (0, true) => WaitReason::Served,
        (0, false) => WaitReason::Stopping,
        (machines, _) => WaitReason::Reclaiming { machines },
    }
}

fn grant_free(builder: &mut PlanBuilder<'_>, at: usize, count: u32) {
    for _ in 0..count {
        let Some(machine) = builder.free.pop_first() else { return };
        let active = builder.active(at);
        let (team, id) = (active.claim.team.clone(), active.id.clone());
        let entry = Entry::grant(builder.next_loan(), team, id, ChangeReason::Free);
        builder.set(&machine, Some(entry));
    }
}

/// Takes over reclaims without a claimant: they need no further victims.
fn take_unclaimed(builder: &mut PlanBuilder<'_>, at: usize, need: u32) -> u32 {
    if need == 0 {
        return 0;
    }
    let input = builder.input;
    let unclaimed = builder.accounts.unclaimed.iter().filter(|machine| {
        let others = builder.entry(machine).is_some_and(|e| e.claim != builder.active(at).id);
        others && input.machines.get(*machine).is_some_and(|v| v.usable() && !v.quarantined)
    });
    let unclaimed: Vec<MachineName> = unclaimed.take(need as usize).cloned().collect();
    let mut taken = 0;
    for machine in unclaimed {
        let Some(entry) = builder.entry(&machine).cloned() else { continue };
        let active = builder.active(at);
        if builder.headroom(at) == 0 && entry.borrower != active.claim.team {
            continue;
        }
        let claimant = Some(active.id.clone());
        builder.set(&machine, Some(Entry { claimant, ..entry }));
        taken += 1;
    }
    taken
}

/// Requests the reclaim of whole runs, as many of their machines as needed for the claim.
fn reclaim(builder: &mut PlanBuilder<'_>, at: usize, lacking: u32, runs: &[usize]) {
    let grace_ms = grace_ms(builder);
    let id = builder.active(at).id.clone();
    let team = builder.active(at).claim.team.clone();
    let mut wanted = lacking;
    for &run in runs {
        let machines: Vec<MachineName> =
            builder.accounts.claims[run].held.iter().cloned().collect();
        for machine in machines {
            let Some(entry) = builder.entry(&machine).cloned() else { continue };
            swap_lender(builder, &entry, &team);
            let fits = builder.headroom(at) > 0 || entry.borrower == team;
            let claimant = (wanted > 0 && fits).then(|| id.clone());
            wanted -= u32::from(claimant.is_some());
            builder.change(&machine, entry.request(claimant, grace_ms, ChangeReason::Claimed));
        }
    }
}

/// A machine that covers another team's guarantee is taken for this one's: one that
/// covers this one's covers the other's from now on.
fn swap_lender(builder: &mut PlanBuilder<'_>, entry: &Entry, team: &TeamName) {
    let Some(other) = entry.lender.as_ref().filter(|lender| *lender != team) else { return };
    let lent = builder.accounts.lent.get(team).and_then(|machines| machines.first().cloned());
    let Some(machine) = lent else { return };
    if let Some(lent) = builder.entry(&machine).cloned() {
        builder.set(&machine, Some(Entry { lender: Some(other.clone()), ..lent }));
    }
}
