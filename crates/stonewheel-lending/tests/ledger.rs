//! The ledger over the state service in memory: random changes by holders that replace
//! each other, with records that can't be read, against a plain map.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use stonewheel_coordination::{Coordinator, put};
use stonewheel_lending::{
    HOLDER_KEY, PREFIX,
    claim::MachineName,
    ledger::{
        ChangeReason, Entry, Ledger, LoanId, LoanState, MAX_ENTRY_BYTES, MAX_NAME_BYTES, Shard,
        Transition, shard_count, shard_key, shard_of,
    },
};
use stonewheel_protocol::Condition;
use stonewheel_testing::{MemState, spawn_coordinator, timing};
use tokio::{runtime::Runtime, time::sleep};
use tokio_util::sync::CancellationToken;

const MACHINES: usize = 12;
const SHARDS: u32 = 5;
const VALUE_BYTES: usize = 8192;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Lend,
    Grant,
    Request,
    Withdraw,
    Halted,
    Release,
    GrantToClaimant,
    Remove,
}

#[derive(Clone, Debug)]
enum Step {
    Change(usize, Change),
    /// Another controller becomes the holder.
    Replace,
    /// The one before it writes once more.
    StaleWrite(usize),
    /// A shard is overwritten with what is no shard.
    Garble(u32),
    /// It can be read again, as it was.
    Mend(u32),
}

/// What must stand: written apart from the ledger's own rules.
#[derive(Clone, Debug, Default)]
struct Model {
    states: BTreeMap<usize, (LoanState, bool)>,
    garbled: BTreeSet<u32>,
}

fn name(machine: usize) -> MachineName {
    format!("n-{machine}").into()
}

impl Model {
    fn after(&self, machine: usize, change: Change) -> Option<Option<(LoanState, bool)>> {
        use LoanState::*;
        let held = self.states.get(&machine).copied();
        let next = match (held, change) {
            (None, Change::Lend) => Some((Lent, false)),
            (None, Change::Grant) => Some((Granted, true)),
            (Some((Lent | Granted, granted)), Change::Request) => Some((ReclaimRequested, granted)),
            (Some((ReclaimRequested, true)), Change::Withdraw) => Some((Granted, true)),
            (Some((ReclaimRequested, false)), Change::Withdraw) => Some((Lent, false)),
            (Some((ReclaimRequested, granted)), Change::Halted) => Some((Checkpointing, granted)),
            (Some((state, granted)), Change::Release) if state != Released => {
                Some((Released, granted))
            }
            (Some((Released, _)), Change::GrantToClaimant) => Some((Granted, true)),
            (Some((Released, _)), Change::Remove) => return Some(None),
            _ => return None,
        };
        Some(next)
    }

    fn knows(&self, machine: usize) -> bool {
        !self.garbled.contains(&shard_of(&name(machine), SHARDS))
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        use Change::*;
        let change = prop::sample::select(vec![
            Lend,
            Grant,
            Request,
            Withdraw,
            Halted,
            Release,
            GrantToClaimant,
            Remove,
        ]);
        prop_oneof![
            12 => (0..MACHINES, change).prop_map(|(machine, change)| Step::Change(machine, change)),
            1 => Just(Step::Replace),
            1 => (0..MACHINES).prop_map(Step::StaleWrite),
            1 => (0..SHARDS).prop_map(Step::Garble),
            2 => (0..SHARDS).prop_map(Step::Mend),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Change(machine, change) if state.knows(*machine) => {
                match state.after(*machine, *change) {
                    Some(Some(next)) => drop(state.states.insert(*machine, next)),
                    Some(None) => drop(state.states.remove(machine)),
                    None => {}
                }
            }
            Step::Garble(shard) => drop(state.garbled.insert(*shard)),
            Step::Mend(shard) => drop(state.garbled.remove(shard)),
            Step::Change(..) | Step::Replace | Step::StaleWrite(_) => {}
        }
        state
    }
}

/// The ledger, as two controllers hold it in turn.
struct Holders {
    runtime: Runtime,
    state: MemState,
    coordinators: [Arc<Coordinator>; 2],
    holder: usize,
    /// The holder's record as each controller last knew it.
    fences: [u64; 2],
    ledger: Ledger,
    number: u64,
    mended: BTreeMap<u32, String>,
}

impl Holders {
    fn entry(&mut self, machine: usize, change: Change) -> Option<Option<Entry>> {
        self.number += 1;
        let loan = LoanId { epoch: 1, number: self.number };
        let held = self.ledger.get(&name(machine)).cloned();
        let claimant: Arc<str> = "c-2".into();
        let next = match (held, change) {
            (None, Change::Lend) => Entry::lend(
                loan,
                Some("red".into()),
                "blue".into(),
                "c-1".into(),
                ChangeReason::Free,
            ),
            (None, Change::Grant) => {
                Entry::grant(loan, "blue".into(), "c-1".into(), ChangeReason::Free)
            }
            (Some(entry), Change::Request) => {
                entry.request(Some(claimant), 8000, ChangeReason::Claimed).ok()?
            }
            (Some(entry), Change::Withdraw) => entry.withdraw().ok()?,
            (Some(entry), Change::Halted) => entry.halted().ok()?,
            (Some(entry), Change::Release) => entry.release(ChangeReason::Ended).ok()?,
            (Some(entry), Change::GrantToClaimant) => {
                // A withdrawn request has no claimant any more.
                let claimant = entry.claimant.clone().unwrap_or(claimant);
                let claimed = Entry { claimant: Some(claimant.clone()), ..entry };
                claimed.grant_to_claimant(loan, "red".into(), claimant).ok()?
            }
            (Some(entry), Change::Remove) if entry.state == LoanState::Released => {
                return Some(None);
            }
            _ => return None,
        };
        Some(Some(next))
    }

    /// Commits a change as one of the controllers; true if it was taken.
    fn commit(&self, at: usize, machine: usize, after: Option<Entry>) -> bool {
        let coordinator = &self.coordinators[at];
        let transition = Transition { machine: name(machine), after };
        let writes = self.ledger.writes(vec![transition]).expect("it can be encoded");
        let Some(write) = writes.into_iter().next() else { return false };
        let fence = Condition { key: HOLDER_KEY.into(), version: self.fences[at] };
        let session = coordinator.session().expect("a session");
        let conditions = vec![fence, write.condition];
        let committed = coordinator.commit_under(session, conditions, vec![write.write]);
        self.runtime.block_on(committed).is_ok()
    }

    fn take_over(&mut self) {
        let at = 1 - self.holder;
        let coordinator = &self.coordinators[at];
        let version = coordinator.records().version(HOLDER_KEY);
        let session = coordinator.session().expect("a session");
        let write = put(HOLDER_KEY.into(), &self.number, None).expect("it can be encoded");
        let condition = Condition { key: HOLDER_KEY.into(), version };
        let committed = coordinator.commit_under(session, vec![condition], vec![write]);
        self.fences[at] = self.runtime.block_on(committed).expect("nobody else writes it");
        self.holder = at;
        self.ledger = Ledger::new(SHARDS, VALUE_BYTES);
    }

    fn settle(&mut self) {
        self.runtime.block_on(async { sleep(Duration::from_millis(100)).await });
        self.ledger.refresh(&self.coordinators[self.holder].records());
    }
}

struct LedgerTest;

impl StateMachineTest for LedgerTest {
    type SystemUnderTest = Holders;
    type Reference = Model;

    fn init_test(_: &Model) -> Holders {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build().expect("it runs");
        let state = MemState::default();
        let coordinators = runtime.block_on(async {
            let start = |at: usize| {
                let stop = CancellationToken::new();
                let timing = timing(Duration::from_secs(10));
                spawn_coordinator(&state, &format!("m-{at}"), (at, 2), at as u64, timing, &stop)
            };
            let both = [start(0), start(1)];
            sleep(Duration::from_secs(2)).await;
            both
        });
        let (ledger, mended) = (Ledger::new(SHARDS, VALUE_BYTES), BTreeMap::new());
        let (holder, fences, number) = (1, [0, 0], 0);
        let mut holders =
            Holders { runtime, state, coordinators, holder, fences, ledger, number, mended };
        holders.take_over();
        holders.settle();
        holders
    }

    fn apply(mut holders: Holders, _: &Model, step: Step) -> Holders {
        match step {
            Step::Change(machine, change) => {
                if let Some(after) = holders.entry(machine, change) {
                    let known = holders.ledger.can_read(&name(machine));
                    assert_eq!(holders.commit(holders.holder, machine, after), known);
                }
            }
            Step::Replace => holders.take_over(),
            Step::StaleWrite(machine) => {
                let after = Entry::grant(
                    LoanId { epoch: 1, number: 0 },
                    "red".into(),
                    "c-9".into(),
                    ChangeReason::Free,
                );
                let taken = holders.commit(1 - holders.holder, machine, Some(after));
                assert!(!taken, "a replaced holder is refused");
            }
            Step::Garble(shard) => {
                let key = shard_key(shard);
                if !holders.mended.contains_key(&shard) {
                    let text = holders.state.value(&key).unwrap_or("{\"entries\":{}}".into());
                    holders.mended.insert(shard, text);
                }
                let write = put(key, &"no shard", None).expect("it can be encoded");
                holders.state.commit(Vec::new(), vec![write]).expect("taken");
            }
            Step::Mend(shard) => {
                if let Some(text) = holders.mended.remove(&shard) {
                    let old: Shard = serde_json::from_str(&text).expect("a shard");
                    let write = put(shard_key(shard), &old, None).expect("it can be encoded");
                    holders.state.commit(Vec::new(), vec![write]).expect("taken");
                }
            }
        }
        holders.settle();
        holders
    }

    fn check_invariants(holders: &Holders, model: &Model) {
        for machine in 0..MACHINES {
            let known = model.knows(machine);
            assert_eq!(holders.ledger.can_read(&name(machine)), known);
            assert_eq!(holders.ledger.can_write(&name(machine)), known);
            let expected = model.states.get(&machine).filter(|_| known).map(|(state, _)| *state);
            assert_eq!(holders.ledger.get(&name(machine)).map(|entry| entry.state), expected);
        }
        let loans: Vec<LoanId> = holders.ledger.entries().map(|(_, entry)| entry.loan).collect();
        assert_eq!(loans.iter().collect::<BTreeSet<_>>().len(), loans.len(), "a loan is used once");
        for key in holders.state.keys(&format!("{PREFIX}s/")) {
            assert!(holders.state.value(&key).expect("a value").len() <= VALUE_BYTES);
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_ledger_is_what_its_holders_made_of_it(sequential 1..60 => LedgerTest);
}

#[test]
fn the_longest_entry_fits_what_is_reserved_for_it() {
    let name = |letter: &str| -> Arc<str> { letter.repeat(MAX_NAME_BYTES).into() };
    let loan = LoanId { epoch: u64::MAX, number: u64::MAX };
    let mut entry =
        Entry::lend(loan, Some(name("l")), name("b"), name("c"), ChangeReason::Incomplete);
    for _ in 0..3 {
        entry =
            entry.request(Some(name("d")), 86_400_000, ChangeReason::Incomplete).expect("it runs");
        let longest = Shard { entries: [(name("n"), entry.clone())].into() };
        let bytes = serde_json::to_string(&longest).expect("it can be encoded").len();
        assert!(bytes <= MAX_ENTRY_BYTES, "{bytes} bytes");
        entry = entry.withdraw().expect("it was requested");
    }
}

#[test]
fn four_thousand_machines_fit_the_shards_of_a_small_state_service() {
    for value_bytes in [4096, 8192] {
        let shards = shard_count(4000, value_bytes);
        let mut held = vec![0_usize; shards as usize];
        for machine in 0..4000 {
            held[shard_of(&format!("n-{machine:06}"), shards) as usize] += 1;
        }
        let full = held.iter().filter(|count| **count * MAX_ENTRY_BYTES > value_bytes).count();
        assert_eq!(full, 0, "of {shards} shards with values of {value_bytes}");
    }
}
