//! Unmanaged workloads: work that a scheduler placed on a machine without a claim. The planner
//! treats each as a loan of its machine.

use std::collections::BTreeMap;

use crate::{
    claim::{ActiveClaim, Claim, ClaimId, MachineName, TeamName},
    host::{RunReport, RunState, UnmanagedWorkload},
    ledger::{ChangeReason, Entry, Ledger, LoanId, Transition},
    planner::MachineView,
};

/// The prefix of the ids of claims for unmanaged workloads. No submitted claim has it, since names
/// can't contain a colon. The ids are stored with reclaimed loans, so the prefix must never change.
const UNMANAGED_CLAIM_PREFIX: &str = "resident:";

/// Whether a claim represents an unmanaged workload.
pub(crate) fn is_unmanaged(claim: &str) -> bool {
    claim.starts_with(UNMANAGED_CLAIM_PREFIX)
}

/// The claims and the ledger for a plan, including unmanaged workloads.
pub(crate) struct CombinedState {
    pub claims: Vec<ActiveClaim>,
    pub ledger: Ledger,
    pub next_number: u64,
}

/// Adds a claim outside all guarantees and a loan for each unmanaged workload on a machine without
/// a ledger entry. Also sets the run in the machine's view, so that the loan appears as running.
/// `next_number`: the number of the holder's next loan.
pub(crate) fn combine(
    claims: &[ActiveClaim],
    ledger: &Ledger,
    unmanaged: &[UnmanagedWorkload],
    views: &mut BTreeMap<MachineName, MachineView>,
    epoch: u64,
    next_number: u64,
) -> CombinedState {
    let mut combined =
        CombinedState { claims: claims.to_vec(), ledger: ledger.clone(), next_number };
    for workload in unmanaged {
        let machine = &workload.machine;
        let Some(view) = views.get_mut(machine) else { continue };
        if ledger.get(machine).is_some() || !ledger.can_write(machine) {
            continue;
        }
        let loan = LoanId { epoch, number: combined.next_number };
        combined.next_number += 1;
        let claim = ClaimId::from(format!("{UNMANAGED_CLAIM_PREFIX}{machine}"));
        view.run = Some(RunReport {
            loan,
            claim: claim.clone(),
            state: RunState::Running,
            unsaved_s: workload.unsaved_s,
            checkpointing: false,
        });
        let entry =
            Entry::lend(loan, None, workload.team.clone(), claim.clone(), ChangeReason::Free);
        combined.ledger.set(&Transition { machine: machine.clone(), after: Some(entry) });
        // The empty team name has no guarantee, so the claim is outside of any. The highest
        // admission order places the claim after all others.
        let (team, work) = (TeamName::from(""), workload.work);
        let unmanaged_claim = Claim { team, machines: 1, gpus: 0.0, work };
        combined.claims.push(ActiveClaim {
            id: claim,
            claim: unmanaged_claim,
            admission_order: u64::MAX,
        });
    }
    combined
}
