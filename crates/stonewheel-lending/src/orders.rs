//! Orders to machines: pure, from the ledger as committed and what machines reported.
//! Every order follows from an entry, is repeated until reports show its effect, and has
//! it once.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Duration;

use crate::{
    claim::{ActiveClaim, Claim, ClaimId, MachineName},
    host::{CommandKind, MachineCommand, RunState},
    ledger::{Entry, Ledger, LoanState},
    planner::MachineView,
    settings::LendingSettings,
};

/// What orders follow from.
#[derive(Clone, Copy)]
pub struct CommandInput<'a> {
    /// The operators' settings.
    pub settings: &'a LendingSettings,
    /// Active claims.
    pub claims: &'a [ActiveClaim],
    /// The ledger as committed.
    pub ledger: &'a Ledger,
    /// What is known of the machines.
    pub machines: &'a BTreeMap<MachineName, MachineView>,
    /// How long an entry has been in its state.
    pub age: &'a dyn Fn(&Entry) -> Duration,
    /// The holder's fencing token.
    pub epoch: u64,
}

/// One claim's entries.
#[derive(Default)]
struct Run<'a> {
    /// None: it was withdrawn or is done.
    claim: Option<&'a Claim>,
    runs: Vec<(&'a MachineName, &'a Entry)>,
    requested: Vec<(&'a MachineName, &'a Entry)>,
    saving: Vec<(&'a MachineName, &'a Entry)>,
}

/// Orders that are due.
pub fn due_commands(input: &CommandInput<'_>) -> Vec<MachineCommand> {
    let active: HashMap<&ClaimId, &Claim> =
        input.claims.iter().map(|active| (&active.id, &active.claim)).collect();
    let mut by_claim: BTreeMap<&ClaimId, Run<'_>> = BTreeMap::new();
    for (machine, entry) in input.ledger.entries() {
        let run = by_claim.entry(&entry.claim).or_default();
        run.claim = active.get(&entry.claim).copied();
        match entry.state {
            LoanState::Lent | LoanState::Granted => run.runs.push((machine, entry)),
            LoanState::ReclaimRequested => run.requested.push((machine, entry)),
            LoanState::Checkpointing => run.saving.push((machine, entry)),
            LoanState::Released => {}
        }
    }
    let runs: Vec<(&ClaimId, Run<'_>)> = by_claim.into_iter().collect();
    let saving = runs.iter().flat_map(|(_, run)| &run.saving);
    let ends = saving.filter_map(|(machine, entry)| end(input, machine, entry));
    let mut orders = ends_of_unmanaged_runs(input);
    orders.extend(starts(input, &runs));
    orders.extend(halts(input, &runs));
    orders.extend(ends);
    orders
}

fn order(
    input: &CommandInput<'_>,
    machine: &MachineName,
    entry: &Entry,
    kind: CommandKind,
) -> Option<MachineCommand> {
    let view = input.machines.get(machine)?;
    let (machine, session) = (machine.clone(), view.session);
    Some(MachineCommand { machine, session, token: input.epoch, loan: entry.loan, kind })
}

/// Ends of runs that have no entry in the ledger.
fn ends_of_unmanaged_runs(input: &CommandInput<'_>) -> Vec<MachineCommand> {
    let unmanaged_end = |(machine, view): (&MachineName, &MachineView)| {
        let run = view.run.as_ref().filter(|_| view.confirmed)?;
        let known = input.ledger.get(machine).is_some_and(|entry| entry.loan == run.loan);
        let over = matches!(run.state, RunState::Ended(_));
        if known || over || !input.ledger.can_read(machine) {
            return None;
        }
        let (machine, session) = (machine.clone(), view.session);
        Some(MachineCommand {
            machine,
            session,
            token: input.epoch,
            loan: run.loan,
            kind: CommandKind::Terminate,
        })
    };
    input.machines.iter().filter_map(unmanaged_end).collect()
}

/// Starts of work that has all the machines it needs, durably.
fn starts(input: &CommandInput<'_>, runs: &[(&ClaimId, Run<'_>)]) -> Vec<MachineCommand> {
    let mut orders = Vec::new();
    for (id, run) in runs {
        let Some(claim) = run.claim else { continue };
        let gang = claim.is_gang();
        if gang && run.runs.len() as u32 != claim.machines {
            continue;
        }
        let machines = if gang { claim.machines } else { 1 };
        for (machine, entry) in &run.runs {
            if input.machines.get(*machine).is_some_and(|view| not_started(view, entry)) {
                let kind = CommandKind::Start { claim: (*id).clone(), machines };
                orders.extend(order(input, machine, entry, kind));
            }
        }
    }
    orders
}

/// Whether a machine shows nothing of a loan: neither its start nor its end.
fn not_started(view: &MachineView, entry: &Entry) -> bool {
    view.confirmed && view.run.as_ref().is_none_or(|run| run.loan < entry.loan)
}

/// A run whose halts are due.
struct DueRun<'a> {
    entries: &'a [(&'a MachineName, &'a Entry)],
    zone: u8,
    age: Duration,
    /// It needs no time to save.
    at_once: bool,
}

/// Halts of runs, all machines of one at the same time, and of a zone not all at once
/// while the bound allows it.
fn halts(input: &CommandInput<'_>, runs: &[(&ClaimId, Run<'_>)]) -> Vec<MachineCommand> {
    let times = &input.settings.times;
    let mut saving: HashMap<u8, u32> = HashMap::new();
    let mut due: Vec<DueRun<'_>> = Vec::new();
    for (_, run) in runs {
        let Some((machine, _)) = run.saving.first().or(run.requested.first()) else { continue };
        let zone = input.machines.get(*machine).map_or(0, |view| view.zone);
        let begun = !run.saving.is_empty();
        if begun {
            *saving.entry(zone).or_default() += 1;
        }
        // A gang whose requests are not all durable is halted when they are.
        let partly = run.claim.is_some_and(Claim::is_gang) && !run.runs.is_empty();
        if run.requested.is_empty() || partly {
            continue;
        }
        let ages = run.requested.iter().map(|(_, entry)| (input.age)(entry));
        let age = if begun { Duration::MAX } else { ages.max().unwrap_or_default() };
        let at_once = run.requested.iter().all(|(_, entry)| entry.grace_ms == 0);
        due.push(DueRun { entries: &run.requested, zone, age, at_once });
    }
    due.sort_by_key(|run| std::cmp::Reverse(run.age));
    let mut orders = Vec::new();
    for run in due {
        let saving = saving.entry(run.zone).or_default();
        let waits = f64::from(*saving) >= times.halts_a_zone && run.age < times.halt_spread();
        if waits && !run.at_once {
            continue;
        }
        *saving += u32::from(!run.at_once);
        orders
            .extend(run.entries.iter().filter_map(|(machine, entry)| halt(input, machine, entry)));
    }
    orders
}

fn halt(input: &CommandInput<'_>, machine: &MachineName, entry: &Entry) -> Option<MachineCommand> {
    let grace = Duration::from_millis(entry.grace_ms);
    order(input, machine, entry, CommandKind::Halt { grace })
}

/// A checkpoint that exceeds its grace period is ended; a machine that has lost its halt
/// is sent it again.
fn end(input: &CommandInput<'_>, machine: &MachineName, entry: &Entry) -> Option<MachineCommand> {
    let view = input.machines.get(machine)?;
    let state = view.live_run(entry.loan).map(|run| run.state);
    if (input.age)(entry) >= Duration::from_millis(entry.grace_ms) {
        return order(input, machine, entry, CommandKind::Terminate);
    }
    let forgotten = view.confirmed && state != Some(RunState::Saving);
    if forgotten { halt(input, machine, entry) } else { None }
}
