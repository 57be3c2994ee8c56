//! Properties of the planner over arbitrary facts, also those that no run of the activator
//! produces.

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
struct PlannerInput {
    record: ActivationRecord,
    requested: Requested,
    observed: Observed,
    flags: [bool; 14],
}

fn input() -> impl Strategy<Value = PlannerInput> {
    (records(), requested(), observed(), any::<[bool; 14]>()).prop_map(
        |(record, requested, observed, flags)| PlannerInput { record, requested, observed, flags },
    )
}

const ATTEMPTS: u32 = 3;

fn planned_step(input: &PlannerInput) -> Step {
    let f = input.flags;
    let me = owner(0);
    decide(&Facts {
        me: &me,
        record: &input.record,
        session_valid: f[0],
        owner_alive: f[1],
        has_held_requests: f[2],
        has_use_marker: f[3],
        idle_locally: f[4],
        any_use_marker: f[5],
        requested: &input.requested,
        observed: &input.observed,
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

/// A fixed seed, so that every run checks the same cases.
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
    fn no_step_is_taken_without_a_valid_session(mut input in input()) {
        input.flags[0] = false;
        prop_assert_eq!(planned_step(&input), Step::Wait);
    }

    #[test]
    fn generation_and_epoch_never_decrease_and_a_new_owner_has_a_higher_epoch(input in input()) {
        if let Step::Write { record, .. } = planned_step(&input) {
            prop_assert!(record.generation >= input.record.generation);
            prop_assert!(record.epoch >= input.record.epoch);
            let owner_of = |record: &ActivationRecord| record.activation().map(|a| a.owner.clone());
            let (before, after) = (owner_of(&input.record), owner_of(&record));
            if after.is_some() && after != before {
                prop_assert!(record.epoch > input.record.epoch);
                prop_assert_eq!(after, Some(owner(0)), "a controller names only itself as the owner");
            }
            prop_assert_ne!(&record, &input.record, "a write that changes nothing would be repeated endlessly");
        }
    }

    #[test]
    fn only_the_owner_starts_probes_and_stops_replicas_in_the_matching_stage(input in input()) {
        let activation = input.record.activation();
        let is_owner = activation.is_some_and(|a| a.owner == owner(0));
        match planned_step(&input) {
            Step::Start => {
                prop_assert!(is_owner && activation.is_some_and(|a| a.stage == Stage::Starting));
            }
            Step::Stop => {
                let stopping = |a: &Activation| matches!(a.stage, Stage::Stopping { .. });
                prop_assert!(is_owner && activation.is_some_and(stopping));
            }
            Step::Probe => prop_assert!(is_owner),
            _ => {}
        }
    }

    #[test]
    fn model_in_use_with_ready_replicas_neither_drains_nor_stops(mut input in input()) {
        let (held_requests_flag, use_marker_flag) = (2, 5);
        input.flags[held_requests_flag] = true;
        input.flags[use_marker_flag] = true;
        input.observed = Observed::Ready(vec!["a:1".into()]);
        let ready = input.record.ready_endpoints().is_some();
        if let Step::Write { record, .. } = planned_step(&input) && ready {
            let stage = record.activation().map(|a| a.stage.clone());
            let unchanged = matches!(stage, Some(Stage::Ready { .. }));
            prop_assert!(unchanged, "{:?}", record);
        }
    }

    #[test]
    fn each_attempt_has_a_new_job_and_attempts_are_bounded(input in input()) {
        let Step::Write { record, .. } = planned_step(&input) else { return Ok(()) };
        let (before, after) = (input.record.activation(), record.activation());
        let attempt = |activation: Option<&Activation>| activation.map(|a| a.attempt);
        let new = record.generation != input.record.generation || attempt(before) != attempt(after);
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
