//! Builds a plan: tracks the ledger as it will be after the changes planned so far.

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
    /// Machines that may be lent or granted.
    pub free: BTreeSet<MachineName>,
    /// The number of machines that count as capacity for the guarantees.
    pub usable: u32,
    changed: BTreeMap<MachineName, Option<Entry>>,
    reasons: BTreeMap<ClaimId, WaitReason>,
    next_number: u64,
}

impl<'a> PlanBuilder<'a> {
    /// Creates a plan without changes.
    pub fn new(input: &'a PlannerInput<'a>) -> Self {
        let mut accounts = Accounts::new(input.claims, input.settings);
        for (machine, entry) in input.ledger.entries() {
            accounts.add(machine, entry);
        }
        let counted = |(name, view): &(&MachineName, &MachineView)| {
            view.usable() && input.ledger.can_read(name)
        };
        let usable = input.machines.iter().filter(counted).count() as u32;
        let mut builder = Self {
            input,
            accounts,
            free: BTreeSet::new(),
            usable,
            changed: BTreeMap::new(),
            reasons: BTreeMap::new(),
            next_number: input.next_number,
        };
        let free = input.machines.keys().filter(|name| builder.is_free(name));
        builder.free = free.cloned().collect();
        builder
    }

    /// Whether a machine has no entry and can be lent or granted.
    fn is_free(&self, machine: &MachineName) -> bool {
        let Some(view) = self.input.machines.get(machine) else { return false };
        let idle = view.run.as_ref().is_none_or(|run| view.proves_ended(run.loan));
        view.usable()
            && view.confirmed
            && !view.quarantined
            && idle
            && self.input.ledger.can_write(machine)
            && self.entry(machine).is_none()
    }

    /// Returns a machine's entry after the changes so far.
    pub fn entry(&self, machine: &str) -> Option<&Entry> {
        match self.changed.get(machine) {
            Some(entry) => entry.as_ref(),
            None => self.input.ledger.get(machine),
        }
    }

    /// Returns the active claim at an index of the input.
    pub fn active(&self, index: usize) -> &'a ActiveClaim {
        &self.input.claims[index]
    }

    /// Applies a change, or ignores it if the entry's state doesn't allow it.
    pub fn change(&mut self, machine: &MachineName, after: Result<Entry, TransitionError>) {
        if let Ok(entry) = after {
            self.set(machine, Some(entry));
        }
    }

    /// Sets a machine's entry. None removes the entry: the machine becomes available.
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
        if available && self.is_free(machine) {
            self.free.insert(machine.clone());
        }
    }

    /// Whether the plan has reached the maximum number of changes.
    pub fn is_full(&self) -> bool {
        self.changed.len() >= self.input.max_changes
    }

    /// Allocates the id of a new loan.
    pub fn next_loan(&mut self) -> LoanId {
        let number = self.next_number;
        self.next_number += 1;
        LoanId { epoch: self.input.epoch, number }
    }

    /// Records the wait reason of a claim.
    pub fn set_wait_reason(&mut self, index: usize, reason: WaitReason) {
        self.reasons.insert(self.input.claims[index].id.clone(), reason);
    }

    /// Returns the number of machines that a claim still lacks, not counting those being reclaimed
    /// for the claim and those that its earlier work is stopping on.
    pub fn missing_machines(&self, index: usize) -> u32 {
        let account = &self.accounts.claims[index];
        let obtained = account.assigned.len() + account.stopping.len() + account.incoming.len();
        self.active(index).claim.machines.saturating_sub(obtained as u32)
    }

    /// Returns how many more machines a claim's team may use below its ceiling, beyond those that
    /// it uses and those being reclaimed for it.
    pub fn headroom(&self, index: usize) -> u32 {
        let team = &self.active(index).claim.team;
        let account = self.accounts.team(team);
        let ceiling = self.input.settings.teams.get(team).map_or(0, |team| team.ceiling);
        ceiling.saturating_sub(account.used + account.incoming)
    }

    /// Builds the plan. `done`: batch claims whose work is complete.
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
