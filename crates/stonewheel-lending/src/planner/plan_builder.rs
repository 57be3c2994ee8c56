//! A plan in the making: the ledger as it will be after the changes planned so far.

use std::collections::{BTreeMap, BTreeSet};

use super::model::{MachineView, Plan, PlannerInput, WaitReason};
use crate::{
    accounts::Accounts,
    claim::{ActiveClaim, ClaimId, MachineName},
    ledger::{Entry, LoanId, Transition, TransitionError},
};

/// Collects changes and wait reasons, and keeps the accounts consistent with them.
pub(super) struct PlanBuilder<'a> {
    pub input: &'a PlannerInput<'a>,
    pub accounts: Accounts,
    /// Machines that may be given out.
    pub free: BTreeSet<MachineName>,
    /// Machines that count for guarantees.
    pub usable: u32,
    changed: BTreeMap<MachineName, Option<Entry>>,
    reasons: BTreeMap<ClaimId, WaitReason>,
    next_number: u64,
}

impl<'a> PlanBuilder<'a> {
    /// A plan without changes.
    pub fn new(input: &'a PlannerInput<'a>) -> Self {
        let mut accounts = Accounts::new(input.claims, input.settings);
        for (machine, entry) in input.ledger.entries() {
            accounts.add(machine, entry);
        }
        let known = |(name, view): &(&MachineName, &MachineView)| {
            view.usable() && input.ledger.can_read(name)
        };
        let usable = input.machines.iter().filter(known).count() as u32;
        let mut builder = Self {
            input,
            accounts,
            free: BTreeSet::new(),
            usable,
            changed: BTreeMap::new(),
            reasons: BTreeMap::new(),
            next_number: input.next_number,
        };
        let open = input.machines.keys().filter(|name| builder.may_be_free(name));
        builder.free = open.cloned().collect();
        builder
    }

    /// Whether a machine without an entry can be given out.
    fn may_be_free(&self, machine: &MachineName) -> bool {
        let Some(view) = self.input.machines.get(machine) else { return false };
        let idle = view.run.as_ref().is_none_or(|run| view.proves_gone(run.loan));
        view.usable()
            && view.confirmed
            && !view.quarantined
            && idle
            && self.input.ledger.can_write(machine)
            && self.entry(machine).is_none()
    }

    /// A machine's entry after the changes so far.
    pub fn entry(&self, machine: &str) -> Option<&Entry> {
        match self.changed.get(machine) {
            Some(entry) => entry.as_ref(),
            None => self.input.ledger.get(machine),
        }
    }

    /// The claim at an index of the input.
    pub fn active(&self, at: usize) -> &'a ActiveClaim {
        &self.input.claims[at]
    }

    /// Makes a change. One that the entry's state doesn't allow is left out.
    pub fn change(&mut self, machine: &MachineName, after: Result<Entry, TransitionError>) {
        if let Ok(entry) = after {
            self.set(machine, Some(entry));
        }
    }

    /// Sets a machine's entry; none: the machine becomes available.
    pub fn set(&mut self, machine: &MachineName, after: Option<Entry>) {
        if let Some(before) = self.entry(machine).cloned() {
            self.accounts.remove(machine, &before);
        }
        self.free.remove(machine);
        if let Some(entry) = &after {
            self.accounts.add(machine, entry);
        }
        let available = after.is_none();
        self.changed.insert(machine.clone(), after);
        if available && self.may_be_free(machine) {
            self.free.insert(machine.clone());
        }
    }

    /// Whether the plan has as many changes as one plan may begin.
    pub fn is_full(&self) -> bool {
        self.changed.len() >= self.input.max_changes
    }

    /// The id for a new loan.
    pub fn next_loan(&mut self) -> LoanId {
        let number = self.next_number;
        self.next_number += 1;
        LoanId { epoch: self.input.epoch, number }
    }

    /// Sets why a claim doesn't have all its machines.
    pub fn set_wait_reason(&mut self, at: usize, reason: WaitReason) {
        self.reasons.insert(self.input.claims[at].id.clone(), reason);
    }

    /// Machines that a claim still lacks.
    pub fn missing_machines(&self, at: usize) -> u32 {
        let account = &self.accounts.claims[at];
        let has = account.held.len() + account.leaving.len() + account.coming.len();
        self.active(at).claim.machines.saturating_sub(has as u32)
    }

    /// Machines that a claim's team may use beyond those that it has or gets.
    pub fn headroom(&self, at: usize) -> u32 {
        let team = &self.active(at).claim.team;
        let account = self.accounts.team(team);
        let ceiling = self.input.settings.teams.get(team).map_or(0, |team| team.ceiling);
        ceiling.saturating_sub(account.used + account.coming)
    }

    /// The plan. `done`: batch claims whose work is complete.
    pub fn build(self, done: Vec<ClaimId>) -> Plan {
        let differs = |(machine, after): (MachineName, Option<Entry>)| {
            let same = self.input.ledger.get(&machine) == after.as_ref();
            (!same).then_some(Transition { machine, after })
        };
        Plan {
            transitions: self.changed.into_iter().filter_map(differs).collect(),
            done,
            reasons: self.reasons,
            next_number: self.next_number,
        }
    }
}
