//! Compares the ledger, over a state service in memory, with a plain map under random changes.
//! Guards against writes of a replaced holder that take effect, and against changes to shards that
//! can't be parsed: two controllers replace each other as holder, and shards are corrupted and
//! repaired.

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
const MAX_VALUE_BYTES: usize = 8192;

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
    /// The other controller becomes the holder.
    Replace,
    /// The previous holder attempts another write.
    StaleWrite(usize),
    /// A shard is overwritten with a value that is not a shard.
    Corrupt(u32),
    /// A corrupted shard gets its last valid value back.
    Repair(u32),
}

/// The expected state, with transition rules that are independent of the ledger's.
#[derive(Clone, Debug, Default)]
struct Model {
    /// The state of each machine's loan, and whether it was granted before a reclaim.
    states: BTreeMap<usize, (LoanState, bool)>,
    corrupted: BTreeSet<u32>,
}

fn name(machine: usize) -> MachineName {
    format!("n-{machine}").into()
}

impl Model {
    /// Returns a machine's loan after a change, or the outer None if the change is not allowed.
    fn state_after(&self, machine: usize, change: Change) -> Option<Option<(LoanState, bool)>> {
        use LoanState::*;
        let current = self.states.get(&machine).copied();
        let next = match (current, change) {
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

    /// Whether the shard of a machine can be read.
    fn can_read(&self, machine: usize) -> bool {
        !self.corrupted.contains(&shard_of(&name(machine), SHARDS))
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
            1 => (0..SHARDS).prop_map(Step::Corrupt),
            2 => (0..SHARDS).prop_map(Step::Repair),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Change(machine, change) if state.can_read(*machine) => {
                match state.state_after(*machine, *change) {
                    Some(Some(next)) => drop(state.states.insert(*machine, next)),
                    Some(None) => drop(state.states.remove(machine)),
                    None => {}
                }
            }
            Step::Corrupt(shard) => drop(state.corrupted.insert(*shard)),
            Step::Repair(shard) => drop(state.corrupted.remove(shard)),
            Step::Change(..) | Step::Replace | Step::StaleWrite(_) => {}
        }
        state
    }
}

/// The ledger and the two controllers that hold it in turn.
struct Holders {
    runtime: Runtime,
    state: MemState,
    coordinators: [Arc<Coordinator>; 2],
    holder: usize,
    /// The version of the holder's record that each controller last wrote.
    holder_versions: [u64; 2],
    ledger: Ledger,
    number: u64,
    saved_shards: BTreeMap<u32, String>,
}

impl Holders {
    /// Returns a machine's entry after a change, or the outer None if the change is not allowed.
    fn entry_after(&mut self, machine: usize, change: Change) -> Option<Option<Entry>> {
        self.number += 1;
        let loan = LoanId { epoch: 1, number: self.number };
        let current = self.ledger.get(&name(machine)).cloned();
        let claimant: Arc<str> = "c-2".into();
        let next = match (current, change) {
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
                // A loan that was released without a pending reclaim request has no claimant.
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

    /// Commits a change as one of the controllers. Returns whether it was accepted.
    fn commit(&self, controller: usize, machine: usize, after: Option<Entry>) -> bool {
        let coordinator = &self.coordinators[controller];
        let transition = Transition { machine: name(machine), after };
        let writes = self.ledger.writes(vec![transition]).expect("an encodable value");
        let Some(write) = writes.into_iter().next() else { return false };
        let fence = Condition { key: HOLDER_KEY.into(), version: self.holder_versions[controller] };
        let session = coordinator.session().expect("a session");
        let conditions = vec![fence, write.condition];
        let committed = coordinator.commit_under(session, conditions, vec![write.write]);
        self.runtime.block_on(committed).is_ok()
    }

    /// Makes the other controller the holder.
    fn take_over(&mut self) {
        let successor = 1 - self.holder;
        let coordinator = &self.coordinators[successor];
        let version = coordinator.records().version(HOLDER_KEY);
        let session = coordinator.session().expect("a session");
        let write = put(HOLDER_KEY.into(), &self.number, None).expect("an encodable value");
        let condition = Condition { key: HOLDER_KEY.into(), version };
        let committed = coordinator.commit_under(session, vec![condition], vec![write]);
        self.holder_versions[successor] =
            self.runtime.block_on(committed).expect("no concurrent writer");
        self.holder = successor;
        self.ledger = Ledger::new(SHARDS, MAX_VALUE_BYTES);
    }

    /// Waits until the records have arrived, and refreshes the ledger.
    fn wait_and_refresh(&mut self) {
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
        let runtime = builder.enable_all().start_paused(true).build().expect("a runtime");
        let state = MemState::default();
        let coordinators = runtime.block_on(async {
            let start = |index: usize| {
                let stop = CancellationToken::new();
                let timing = timing(Duration::from_secs(10));
                spawn_coordinator(
                    &state,
                    &format!("m-{index}"),
                    (index, 2),
                    index as u64,
                    timing,
                    &stop,
                )
            };
            let both = [start(0), start(1)];
            sleep(Duration::from_secs(2)).await;
            both
        });
        let (ledger, saved_shards) = (Ledger::new(SHARDS, MAX_VALUE_BYTES), BTreeMap::new());
        let (holder, holder_versions, number) = (1, [0, 0], 0);
        let mut holders = Holders {
            runtime,
            state,
            coordinators,
            holder,
            holder_versions,
            ledger,
            number,
            saved_shards,
        };
        holders.take_over();
        holders.wait_and_refresh();
        holders
    }

    fn apply(mut holders: Holders, _: &Model, step: Step) -> Holders {
        match step {
            Step::Change(machine, change) => {
                if let Some(after) = holders.entry_after(machine, change) {
                    let readable = holders.ledger.can_read(&name(machine));
                    assert_eq!(holders.commit(holders.holder, machine, after), readable);
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
                let accepted = holders.commit(1 - holders.holder, machine, Some(after));
                assert!(!accepted, "writes of a replaced holder are rejected");
            }
            Step::Corrupt(shard) => {
                let key = shard_key(shard);
                if !holders.saved_shards.contains_key(&shard) {
                    let text = holders.state.value(&key).unwrap_or("{\"entries\":{}}".into());
                    holders.saved_shards.insert(shard, text);
                }
                let write = put(key, &"no shard", None).expect("an encodable value");
                holders.state.commit(Vec::new(), vec![write]).expect("accepted");
            }
            Step::Repair(shard) => {
                if let Some(text) = holders.saved_shards.remove(&shard) {
                    let old: Shard = serde_json::from_str(&text).expect("a shard");
                    let write = put(shard_key(shard), &old, None).expect("an encodable value");
                    holders.state.commit(Vec::new(), vec![write]).expect("accepted");
                }
            }
        }
        holders.wait_and_refresh();
        holders
    }

    fn check_invariants(holders: &Holders, model: &Model) {
        for machine in 0..MACHINES {
            let readable = model.can_read(machine);
            assert_eq!(holders.ledger.can_read(&name(machine)), readable);
            assert_eq!(holders.ledger.can_write(&name(machine)), readable);
            let expected = model.states.get(&machine).filter(|_| readable).map(|(state, _)| *state);
            assert_eq!(holders.ledger.get(&name(machine)).map(|entry| entry.state), expected);
        }
        let loans: Vec<LoanId> = holders.ledger.entries().map(|(_, entry)| entry.loan).collect();
        assert_eq!(loans.iter().collect::<BTreeSet<_>>().len(), loans.len(), "loan ids are unique");
        for key in holders.state.keys(&format!("{PREFIX}s/")) {
            assert!(holders.state.value(&key).expect("a value").len() <= MAX_VALUE_BYTES);
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
    fn ledger_equals_model_under_random_changes(sequential 1..60 => LedgerTest);
}

#[test]
fn longest_entry_fits_max_entry_bytes() {
    let name = |letter: &str| -> Arc<str> { letter.repeat(MAX_NAME_BYTES).into() };
    let loan = LoanId { epoch: u64::MAX, number: u64::MAX };
    let mut entry =
        Entry::lend(loan, Some(name("l")), name("b"), name("c"), ChangeReason::Incomplete);
    for _ in 0..3 {
        entry = entry
            .request(Some(name("d")), 86_400_000, ChangeReason::Incomplete)
            .expect("a running loan");
        let shard = Shard { entries: [(name("n"), entry.clone())].into() };
        let bytes = serde_json::to_string(&shard).expect("an encodable value").len();
        assert!(bytes <= MAX_ENTRY_BYTES, "{bytes} bytes");
        entry = entry.withdraw().expect("a requested reclaim");
    }
}

#[test]
fn shards_have_capacity_for_4000_machines_with_small_values() {
    for value_bytes in [4096, 8192] {
        let shards = shard_count(4000, value_bytes);
        let mut entries_per_shard = vec![0_usize; shards as usize];
        for machine in 0..4000 {
            entries_per_shard[shard_of(&format!("n-{machine:06}"), shards) as usize] += 1;
        }
        let full = entries_per_shard
            .iter()
            .filter(|count| **count * MAX_ENTRY_BYTES > value_bytes)
            .count();
        assert_eq!(full, 0, "of {shards} shards with values of {value_bytes}");
    }
}
