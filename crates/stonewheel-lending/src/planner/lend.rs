//! Claims outside their guarantees: they are lent free machines beyond the reserve.

use super::{
    model::WaitReason, plan_builder::PlanBuilder, serve::GuaranteedSupply,
    settle::release_incomplete_gang,
};
use crate::{
    claim::{MachineName, TeamName},
    ledger::{ChangeReason, Entry},
    settings::Team,
};

/// Lends in admission order, or nothing while a claim inside its guarantee is short of
/// machines.
pub(super) fn lend(builder: &mut PlanBuilder<'_>, supply: GuaranteedSupply) {
    let guaranteed = builder.input.settings.guaranteed();
    let covered = builder.usable >= guaranteed;
    reclaim_uncovered(builder);
    let lends = covered && supply == GuaranteedSupply::Sufficient && builder.input.may_lend;
    for at in 0..builder.input.claims.len() {
        if !builder.accounts.claims[at].inside {
            let reason = lend_to(builder, at, lends);
            builder.set_wait_reason(at, reason);
        }
    }
}

/// After losses, outside work that can't be stopped may occupy machines that cover a guarantee.
/// It keeps what it runs on; where it doesn't run it isn't started (again).
fn reclaim_uncovered(builder: &mut PlanBuilder<'_>) {
    let guaranteed = builder.input.settings.guaranteed();
    for at in (0..builder.input.claims.len()).rev() {
        let account = &builder.accounts.claims[at];
        if account.inside || account.revocable {
            continue;
        }
        let held: Vec<MachineName> = account.held.iter().cloned().collect();
        for machine in held {
            let uncovered = builder.usable < guaranteed + builder.accounts.outside_fixed;
            let Some(entry) = builder.entry(&machine).cloned().filter(|_| uncovered) else { break };
            let view = builder.input.machines.get(&machine).filter(|view| view.confirmed);
            if view.is_some_and(|view| view.live_run(entry.loan).is_none()) {
                builder.change(&machine, entry.request(None, 0, ChangeReason::Uncovered));
            }
        }
    }
}

fn lend_to(builder: &mut PlanBuilder<'_>, at: usize, lends: bool) -> WaitReason {
    let account = &builder.accounts.claims[at];
    let (stopping, revocable) = (!account.leaving.is_empty(), account.revocable);
    let need = builder.missing_machines(at);
    if need == 0 && !stopping {
        return WaitReason::Served;
    }
    let gang = builder.active(at).claim.is_gang();
    if need == 0 || (gang && stopping) {
        return WaitReason::Stopping;
    }
    if !lends {
        return WaitReason::NotLending;
    }
    if builder.is_full() {
        return WaitReason::Queued;
    }
    let headroom = builder.headroom(at);
    let room =
        if revocable { lendable(builder) } else { lendable(builder).min(uncommitted(builder)) };
    let count = need.min(headroom).min(room);
    if gang && count < need {
        release_incomplete_gang(builder, at);
    }
    if count == 0 || (gang && count < need) {
        let ceiling = headroom < need && (gang || headroom == 0);
        return if ceiling { WaitReason::AtCeiling } else { WaitReason::NoFreeMachine };
    }
    for _ in 0..count {
        give(builder, at, revocable);
    }
    if count < need { WaitReason::NoFreeMachine } else { WaitReason::Served }
}

/// Free machines beyond those that are kept for teams whose load may rise.
fn lendable(builder: &PlanBuilder<'_>) -> u32 {
    let reserve: u32 = builder.input.reserve.values().sum();
    (builder.free.len() as u32).saturating_sub(reserve)
}

/// Machines beyond all guarantees that no outside work holds which can't be stopped.
/// Only these may be given to such work: everything else covers a guarantee.
fn uncommitted(builder: &PlanBuilder<'_>) -> u32 {
    let guaranteed = builder.input.settings.guaranteed();
    builder.usable.saturating_sub(guaranteed + builder.accounts.outside_fixed)
}

fn give(builder: &mut PlanBuilder<'_>, at: usize, revocable: bool) {
    // From the last machine on: claims inside their guarantees take the first ones.
    let Some(machine) = builder.free.pop_last() else { return };
    let active = builder.active(at);
    let (team, id) = (active.claim.team.clone(), active.id.clone());
    let loan = builder.next_loan();
    let entry = if revocable {
        let lender = lender(builder);
        Entry::lend(loan, lender, team, id, ChangeReason::Free)
    } else {
        Entry::grant(loan, team, id, ChangeReason::Free)
    };
    builder.set(&machine, Some(entry));
}

/// The team whose guarantee lacks the most machines that are neither held nor lent in
/// its name; none if all are covered by others.
fn lender(builder: &PlanBuilder<'_>) -> Option<TeamName> {
    let teams = builder.input.settings.teams.iter();
    let lacking = |(name, team): (&TeamName, &Team)| {
        let covered = builder.accounts.covered(name);
        (team.guarantee.saturating_sub(covered), name.clone())
    };
    let most = teams.map(lacking).max_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)))?;
    (most.0 > 0).then_some(most.1)
}
