//! Properties of the planner over any facts, likely or not.

use proptest::prelude::*;
use stonewheel_activation::{
    planner::{ElapsedTimers, Facts, Observed, Requested, Step, decide},
    record::{Activation, ActivationRecord, AfterStop, ModelState, Stage},
};
use stonewheel_coordination::Owner;

fn owner(number: u64) -> Owner {
    Owner { member: format!("m-{number}"), incarnation: number }
}

fn endpoints() -> impl Strategy<Value = Vec<String>> {
    prop::collection::vec("[a-c]:1", 0..3)
}

fn stages() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Starting),
        endpoints().prop_map(|endpoints| Stage::Ready { endpoints }),
        endpoints().prop_map(|endpoints| Stage::Draining { endpoints }),
        prop_oneof![Just(AfterStop::ScaleToZero), Just(AfterStop::Retry), Just(AfterStop::GiveUp)]
            .prop_map(|then| Stage::Stopping { then }),
    ]
}

fn records() -> impl Strategy<Value = ActivationRecord> {
    let active = (0..3_u64, 1..4_u32, stages()).prop_map(|(number, attempt, stage)| {
        let job = "j-1".to_owned();
        ModelState::Active(Activation { owner: owner(number), attempt, job, stage })
    });
    let states = prop_oneof![
        Just(ModelState::ScaledToZero),
        Just(ModelState::Failed { reason: "why".into() }),
        active
    ];
    (0..9_u64, 0..9_u64, states).prop_map(|(generation, epoch, state)| ActivationRecord {
        generation,
        epoch,
        state,
    })
}

fn requested() -> impl Strategy<Value = Requested> {
    prop_oneof![
        Just(Requested::No),
        Just(Requested::Yes),
        Just(Requested::IdTaken),
        Just(Requested::Rejected("why".into())),
    ]
}

fn observed() -> impl Strategy<Value = Observed> {
    prop_oneof![
        Just(Observed::Unknown),
        Just(Observed::Pending),
        Just(Observed::Gone),
        endpoints().prop_map(Observed::Ready),
    ]
}

#[derive(Clone, Debug)]
struct Known {
    record: ActivationRecord,
    requested: Requested,
    observed: Observed,
    flags: [bool; 14],
}

fn known() -> impl Strategy<Value = Known> {
    (records(), requested(), observed(), any::<[bool; 14]>()).prop_map(
        |(record, requested, observed, flags)| Known { record, requested, observed, flags },
    )
}

const ATTEMPTS: u32 = 3;

fn step_of(known: &Known) -> Step {
    let f = known.flags;
    let me = owner(0);
    decide(&Facts {
        me: &me,
        record: &known.record,
        session_valid: f[0],
        owner_alive: f[1],
        has_held_requests: f[2],
        has_use_marker: f[3],
        idle_locally: f[4],
        any_use_marker: f[5],
        requested: &known.requested,
        observed: &known.observed,
        replicas_stopped: f[6],
        elapsed: ElapsedTimers {
            backoff: f[7],
            start_timeout: f[8],
            drain: f[9],
            minimum_uptime: f[10],
            failure_pause: f[11],
            probe: f[12],
            adoption: f[13],
        },
        attempts: ATTEMPTS,
        new_job: "j-2",
    })
}

/// The same cases on every run.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 4096,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn without_a_session_nothing_is_done(mut known in known()) {
        known.flags[0] = false;
        prop_assert_eq!(step_of(&known), Step::Wait);
    }

    #[test]
    fn generation_and_epoch_never_fall_and_a_change_of_owner_raises_the_epoch(known in known()) {
        if let Step::Write { record, .. } = step_of(&known) {
            prop_assert!(record.generation >= known.record.generation);
            prop_assert!(record.epoch >= known.record.epoch);
            let owner_of = |record: &ActivationRecord| record.activation().map(|a| a.owner.clone());
            let (before, after) = (owner_of(&known.record), owner_of(&record));
            if after.is_some() && after != before {
                prop_assert!(record.epoch > known.record.epoch);
                prop_assert_eq!(after, Some(owner(0)), "nobody decides for others");
            }
            prop_assert_ne!(&record, &known.record, "a write that changes nothing repeats for ever");
        }
    }

    #[test]
    fn replicas_are_touched_by_their_owner_alone_and_in_the_right_stage(known in known()) {
        let activation = known.record.activation();
        let mine = activation.is_some_and(|a| a.owner == owner(0));
        match step_of(&known) {
            Step::Start => {
                prop_assert!(mine && activation.is_some_and(|a| a.stage == Stage::Starting));
            }
            Step::Stop => {
                let stopping = |a: &Activation| matches!(a.stage, Stage::Stopping { .. });
                prop_assert!(mine && activation.is_some_and(stopping));
            }
            Step::Probe => prop_assert!(mine),
            _ => {}
        }
    }

    #[test]
    fn a_model_in_use_neither_drains_nor_stops_while_its_replicas_answer(mut known in known()) {
        let (wanted, used) = (2, 5);
        known.flags[wanted] = true;
        known.flags[used] = true;
        known.observed = Observed::Ready(vec!["a:1".into()]);
        let ready = known.record.ready_endpoints().is_some();
        if let Step::Write { record, .. } = step_of(&known) && ready {
            let stage = record.activation().map(|a| a.stage.clone());
            let unchanged = matches!(stage, Some(Stage::Ready { .. }));
            prop_assert!(unchanged, "{:?}", record);
        }
    }

    #[test]
    fn a_job_is_named_anew_for_each_attempt_and_attempts_are_bounded(known in known()) {
        let Step::Write { record, .. } = step_of(&known) else { return Ok(()) };
        let (before, after) = (known.record.activation(), record.activation());
        let attempt = |activation: Option<&Activation>| activation.map(|a| a.attempt);
        let new = record.generation != known.record.generation || attempt(before) != attempt(after);
        if let Some(activation) = after && new {
            prop_assert_eq!(&activation.job, "j-2");
            prop_assert_eq!(&activation.stage, &Stage::Starting);
        }
        if let (Some(before), Some(after)) = (before, after)
            && after.attempt > before.attempt
        {
            prop_assert_eq!(&before.stage, &Stage::Stopping { then: AfterStop::Retry });
        }
        let retries = after.is_some_and(|a| a.stage == Stage::Stopping { then: AfterStop::Retry });
        let retried_before = before.is_some_and(|a| a.stage == Stage::Stopping { then: AfterStop::Retry });
        if retries && !retried_before {
            prop_assert!(before.is_some_and(|a| a.attempt < ATTEMPTS));
        }
    }
}
