//! Derives the commands to machines, as a pure function of the committed ledger and the machines'
//! reports. Commands are idempotent, and a command is repeated until the reports show its effect.

use std::collections::{BTreeMap, HashMap};

use tokio::time::Duration;

use crate::{
    claim::{ActiveClaim, Claim, ClaimId, MachineName},
    host::{CommandKind, MachineCommand, RunState},
    ledger::{Entry, Ledger, LoanState},
    planner::MachineView,
    settings::LendingSettings,
};

/// Everything that the commands are derived from.
#[derive(Clone, Copy)]
pub struct CommandInput<'a> {
    /// The operators' settings.
    pub settings: &'a LendingSettings,
    /// Active claims.
    pub claims: &'a [ActiveClaim],
    /// The ledger as committed.
    pub ledger: &'a Ledger,
    /// The holder's view of each machine.
    pub machines: &'a BTreeMap<MachineName, MachineView>,
    /// Returns how long an entry has been in its state.
    pub age: &'a dyn Fn(&Entry) -> Duration,
    /// The holder's fencing token.
    pub epoch: u64,
}

/// The ledger entries of one claim, by state.
#[derive(Default)]
struct ClaimEntries<'a> {
    /// None if the claim was withdrawn or is done.
    claim: Option<&'a Claim>,
    running: Vec<(&'a MachineName, &'a Entry)>,
    requested: Vec<(&'a MachineName, &'a Entry)>,
    saving: Vec<(&'a MachineName, &'a Entry)>,
}

/// Returns the commands that are due.
pub fn due_commands(input: &CommandInput<'_>) -> Vec<MachineCommand> {
    let active: HashMap<&ClaimId, &Claim> =
        input.claims.iter().map(|active| (&active.id, &active.claim)).collect();
    let mut by_claim: BTreeMap<&ClaimId, ClaimEntries<'_>> = BTreeMap::new();
    for (machine, entry) in input.ledger.entries() {
        let entries = by_claim.entry(&entry.claim).or_default();
        entries.claim = active.get(&entry.claim).copied();
        match entry.state {
            LoanState::Lent | LoanState::Granted => entries.running.push((machine, entry)),
            LoanState::ReclaimRequested => entries.requested.push((machine, entry)),
            LoanState::Checkpointing => entries.saving.push((machine, entry)),
            LoanState::Released => {}
        }
    }
    let claims: Vec<(&ClaimId, ClaimEntries<'_>)> = by_claim.into_iter().collect();
    let saving = claims.iter().flat_map(|(_, entries)| &entries.saving);
    let terminations =
        saving.filter_map(|(machine, entry)| terminate_or_repeat_halt(input, machine, entry));
    let mut commands = terminations_of_unknown_runs(input);
    commands.extend(starts(input, &claims));
    commands.extend(halts(input, &claims));
    commands.extend(terminations);
    commands
}

fn command(
    input: &CommandInput<'_>,
    machine: &MachineName,
    entry: &Entry,
    kind: CommandKind,
) -> Option<MachineCommand> {
    let view = input.machines.get(machine)?;
    let (machine, session) = (machine.clone(), view.session);
    Some(MachineCommand { machine, session, token: input.epoch, loan: entry.loan, kind })
}

/// Terminates runs whose loan has no entry in the ledger.
fn terminations_of_unknown_runs(input: &CommandInput<'_>) -> Vec<MachineCommand> {
    let termination = |(machine, view): (&MachineName, &MachineView)| {
        let run = view.run.as_ref().filter(|_| view.confirmed)?;
        let known = input.ledger.get(machine).is_some_and(|entry| entry.loan == run.loan);
        let ended = matches!(run.state, RunState::Ended(_));
        if known || ended || !input.ledger.can_read(machine) {
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
    input.machines.iter().filter_map(termination).collect()
}

/// Starts work whose machines are all recorded in the ledger: the whole gang, or a single replica.
fn starts(
    input: &CommandInput<'_>,
    claims: &[(&ClaimId, ClaimEntries<'_>)],
) -> Vec<MachineCommand> {
    let mut commands = Vec::new();
    for (id, entries) in claims {
        let Some(claim) = entries.claim else { continue };
        let gang = claim.is_gang();
        if gang && entries.running.len() as u32 != claim.machines {
            continue;
        }
        let machines = if gang { claim.machines } else { 1 };
        for (machine, entry) in &entries.running {
            if input.machines.get(*machine).is_some_and(|view| not_started(view, entry)) {
                let kind = CommandKind::Start { claim: (*id).clone(), machines };
                commands.extend(command(input, machine, entry, kind));
            }
        }
    }
    commands
}

/// Whether the machine has neither started nor ended a run of the loan.
fn not_started(view: &MachineView, entry: &Entry) -> bool {
    view.confirmed && view.run.as_ref().is_none_or(|run| run.loan < entry.loan)
}

/// A run that is to be halted.
struct DueHalt<'a> {
    entries: &'a [(&'a MachineName, &'a Entry)],
    zone: u8,
    age: Duration,
    /// Whether the run gets no time to save.
    immediate: bool,
}

/// Halts the runs whose reclaim was requested, each on all its machines at the same time. Limits
/// how many runs of a zone save at the same time, but delays no halt beyond the configured spread.
fn halts(input: &CommandInput<'_>, claims: &[(&ClaimId, ClaimEntries<'_>)]) -> Vec<MachineCommand> {
    let times = &input.settings.times;
    let mut saving: HashMap<u8, u32> = HashMap::new();
    let mut due: Vec<DueHalt<'_>> = Vec::new();
    for (_, entries) in claims {
        let Some((machine, _)) = entries.saving.first().or(entries.requested.first()) else {
            continue;
        };
        let zone = input.machines.get(*machine).map_or(0, |view| view.zone);
        let saving_begun = !entries.saving.is_empty();
        if saving_begun {
            *saving.entry(zone).or_default() += 1;
        }
        // A gang is halted only once the reclaim of all its machines is recorded in the ledger.
        let partially_requested =
            entries.claim.is_some_and(Claim::is_gang) && !entries.running.is_empty();
        if entries.requested.is_empty() || partially_requested {
            continue;
        }
        let ages = entries.requested.iter().map(|(_, entry)| (input.age)(entry));
        let age = if saving_begun { Duration::MAX } else { ages.max().unwrap_or_default() };
        let immediate = entries.requested.iter().all(|(_, entry)| entry.grace_ms == 0);
        due.push(DueHalt { entries: &entries.requested, zone, age, immediate });
    }
    due.sort_by_key(|due_halt| std::cmp::Reverse(due_halt.age));
    let mut commands = Vec::new();
    for due_halt in due {
        let saving = saving.entry(due_halt.zone).or_default();
        let waits = f64::from(*saving) >= times.halts_a_zone && due_halt.age < times.halt_spread();
        if waits && !due_halt.immediate {
            continue;
        }
        *saving += u32::from(!due_halt.immediate);
        commands.extend(
            due_halt.entries.iter().filter_map(|(machine, entry)| halt(input, machine, entry)),
        );
    }
    commands
}

fn halt(input: &CommandInput<'_>, machine: &MachineName, entry: &Entry) -> Option<MachineCommand> {
    let grace = Duration::from_millis(entry.grace_ms);
    command(input, machine, entry, CommandKind::Halt { grace })
}

/// Terminates a checkpoint that exceeds its grace period. Before that, repeats the halt for a
/// machine that has lost it.
fn terminate_or_repeat_halt(
    input: &CommandInput<'_>,
    machine: &MachineName,
    entry: &Entry,
) -> Option<MachineCommand> {
    let view = input.machines.get(machine)?;
    let state = view.live_run(entry.loan).map(|run| run.state);
    if (input.age)(entry) >= Duration::from_millis(entry.grace_ms) {
        return command(input, machine, entry, CommandKind::Terminate);
    }
    let halt_lost = view.confirmed && state != Some(RunState::Saving);
    if halt_lost { halt(input, machine, entry) } else { None }
}
