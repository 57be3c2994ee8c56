//! Rollouts by the planner over a simulated fleet, with chosen and with random sequences of
//! faults and commands.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use common::{Fleet, planner_draining_first, planner_under_test};
use proptest::prelude::*;
use stonewheel_rollout::{
    command::{CommandError, CommandKind},
    record::{MAX_REMEMBERED_COMMANDS, Phase},
};

const STEPS: [u8; 3] = [20, 50, 100];

#[test]
fn healthy_version_rolls_out_in_steps_at_full_capacity() {
    let mut fleet = Fleet::new(10, 10, planner_under_test);
    fleet.start(&STEPS, 2).expect("accepted");
    let mut min_capacity = u32::MAX;
    while !fleet.run_until_settled(1) {
        min_capacity = min_capacity.min(fleet.capacity());
        // The surge allows two replicas beyond the level, draining ones included.
        assert!(fleet.record.replicas.len() <= 12);
    }
    assert_eq!(min_capacity, 10);
    assert_eq!((fleet.distinct_versions(), fleet.record.version.as_str()), (vec!["two"], "two"));
    assert_eq!((fleet.phase(), fleet.capacity()), (Some(Phase::Done), 10));
    let phases: Vec<Phase> = fleet
        .record
        .rollout
        .as_ref()
        .map(|rollout| rollout.history.iter().map(|entry| entry.phase).collect())
        .unwrap_or_default();
    let steps = [Phase::Stepping, Phase::Soaking];
    assert_eq!(phases, [&steps[..], &steps, &steps, &[Phase::Finishing, Phase::Done]].concat());
}

#[test]
fn version_failing_midway_is_rolled_back_without_draining_below_the_level() {
    let mut fleet = Fleet::new(10, 10, planner_under_test);
    fleet.start(&STEPS, 2).expect("accepted");
    while fleet.record.rollout.as_ref().is_some_and(|rollout| rollout.step < 1) {
        fleet.tick();
    }
    // From now on the new replicas answer intermittently.
    fleet.flapping_replicas =
        fleet.record.replicas.iter().filter(|r| r.version == "two").map(|r| r.number).collect();
    assert!(fleet.run_until_settled(200));
    assert_eq!((fleet.phase(), fleet.distinct_versions()), (Some(Phase::RolledBack), vec!["one"]));
    assert_eq!(fleet.level_violations, Vec::<String>::new());
    assert_eq!(fleet.capacity(), 10);
}

#[test]
fn version_that_never_answers_is_rolled_back_at_full_capacity() {
    let mut fleet = Fleet::new(6, 3, planner_under_test);
    fleet.broken_versions = vec!["two".into()];
    fleet.start(&[50, 100], 3).expect("accepted");
    while !fleet.run_until_settled(1) {
        assert_eq!(fleet.capacity(), 6);
    }
    assert_eq!((fleet.phase(), fleet.distinct_versions()), (Some(Phase::RolledBack), vec!["one"]));
}

#[test]
fn loss_of_one_machine_at_any_tick_keeps_the_level() {
    const LEVEL: u32 = 10;
    let mut protected = 0;
    for machine in 0..5 {
        for ticks in 0..60 {
            let mut fleet = Fleet::new(LEVEL, 5, planner_under_test);
            fleet.start(&STEPS, 4).expect("accepted");
            for _ in 0..ticks {
                fleet.tick();
            }
            // The spare is kept until only new replicas are left.
            let drained = fleet.record.replicas.iter().filter(|r| r.number < LEVEL).count();
            let within = matches!(fleet.phase(), Some(Phase::Stepping | Phase::Soaking));
            let is_protected = within && drained < LEVEL as usize;
            fleet.lose_machine(machine);
            if is_protected {
                protected += 1;
                assert!(fleet.capacity() >= LEVEL, "{machine} at {ticks}: {}", fleet.capacity());
            }
            assert!(fleet.run_until_settled(300), "{machine} at {ticks}: {:?}", fleet.record);
            assert_eq!(fleet.level_violations, Vec::<String>::new(), "{machine} at {ticks}");
            assert_eq!(fleet.capacity(), LEVEL);
        }
    }
    assert!(protected > 50, "{protected} losses were covered by the spare");
}

#[test]
fn rollout_without_capacity_for_the_surge_waits_and_drains_nothing() {
    let mut fleet = Fleet::new(4, 4, planner_under_test);
    fleet.has_free_capacity = false;
    fleet.start(&[50, 100], 2).expect("accepted");
    for _ in 0..100 {
        fleet.tick();
        assert_eq!(fleet.capacity(), 4);
    }
    assert_eq!(fleet.phase(), Some(Phase::Stepping));
    fleet.has_free_capacity = true;
    assert!(fleet.run_until_settled(200));
    assert_eq!(fleet.phase(), Some(Phase::Done));
}

#[test]
fn paused_rollout_changes_nothing_and_can_be_rolled_back() {
    let mut fleet = Fleet::new(8, 8, planner_under_test);
    fleet.start(&STEPS, 2).expect("accepted");
    for _ in 0..6 {
        fleet.tick();
    }
    fleet.command(CommandKind::Pause).expect("accepted");
    for _ in 0..20 {
        fleet.tick();
    }
    let paused_record = fleet.record.clone();
    for _ in 0..50 {
        fleet.tick();
    }
    assert_eq!(fleet.record, paused_record, "the pause keeps the record");
    fleet.command(CommandKind::RollBack).expect("accepted");
    fleet.command(CommandKind::RollBack).expect("a second rollback is accepted");
    assert!(fleet.run_until_settled(200));
    assert_eq!((fleet.phase(), fleet.distinct_versions()), (Some(Phase::RolledBack), vec!["one"]));
}

#[test]
fn rollout_can_be_rolled_back_while_finishing() {
    let mut fleet = Fleet::new(5, 5, planner_under_test);
    fleet.start(&[100], 2).expect("accepted");
    while fleet.phase() != Some(Phase::Finishing) {
        fleet.tick();
    }
    fleet.command(CommandKind::RollBack).expect("accepted");
    assert!(fleet.run_until_settled(200));
    assert_eq!((fleet.distinct_versions(), fleet.capacity()), (vec!["one"], 5));
    assert_eq!(fleet.level_violations, Vec::<String>::new());
}

#[test]
fn abort_keeps_serving_replicas_and_allows_another_rollout() {
    let mut fleet = Fleet::new(8, 8, planner_under_test);
    fleet.start(&STEPS, 2).expect("accepted");
    while fleet.record.rollout.as_ref().is_some_and(|rollout| rollout.step < 1) {
        fleet.tick();
    }
    fleet.command(CommandKind::Abort).expect("accepted");
    assert!(fleet.run_until_settled(20));
    assert!(fleet.capacity() >= 8);
    assert_eq!(fleet.command(CommandKind::Resume), Err(CommandError::NoRolloutInProgress));
    fleet.start(&[100], 3).expect("accepted");
    assert!(fleet.run_until_settled(200));
    assert_eq!(fleet.distinct_versions(), vec!["two"]);
}

#[test]
fn invalid_commands_are_refused_in_one_line_and_change_nothing() {
    let mut fleet = Fleet::new(4, 2, planner_under_test);
    let before = fleet.record.clone();
    let refused = [
        (fleet.start(&[], 3), CommandError::InvalidSteps),
        (fleet.start(&[50], 3), CommandError::InvalidSteps),
        (fleet.start(&[0, 100], 3), CommandError::InvalidSteps),
        (fleet.start(&[60, 50, 100], 3), CommandError::InvalidSteps),
        (fleet.start(&[50, 100], 0), CommandError::SurgeTooSmall { min: 3, per_machine: 2 }),
        (fleet.start(&[50, 100], 2), CommandError::SurgeTooSmall { min: 3, per_machine: 2 }),
        (fleet.command(CommandKind::Pause), CommandError::NoRolloutInProgress),
        (fleet.command(CommandKind::RollBack), CommandError::NoRolloutInProgress),
        (
            fleet.command(CommandKind::Start { to: "one".into(), steps: vec![100], surge: 3 }),
            CommandError::SameVersion("one".into()),
        ),
    ];
    for (result, expected) in refused {
        assert_eq!(result, Err(expected.clone()));
        assert_eq!(expected.to_string().lines().count(), 1);
    }
    assert_eq!(fleet.record, before);
    fleet.start(&[50, 100], 3).expect("accepted");
    assert!(matches!(fleet.start(&[100], 3), Err(CommandError::RolloutInProgress(_))));
    let mut unresponsive = Fleet::new(4, 2, planner_under_test);
    unresponsive.broken_versions = vec!["one".into()];
    assert_eq!(unresponsive.start(&[100], 3), Err(CommandError::NoReplicaAnswers));
}

#[test]
fn repeated_command_id_is_carried_out_once() {
    use stonewheel_rollout::command::{Command, apply};
    let fleet = Fleet::new(4, 4, planner_under_test);
    let command = |id: &str, kind| Command { id: id.into(), kind };
    let start = CommandKind::Start { to: "two".into(), steps: vec![100], surge: 2 };
    let observations = fleet.observations();
    let started = apply(&fleet.record, &command("c", start.clone()), &observations);
    let mut started = started.expect("accepted").expect("changed");
    assert_eq!(apply(&started, &command("c", start), &observations), Ok(None));
    let other = apply(&started, &command("c", CommandKind::Pause), &observations);
    assert_eq!(other, Err(CommandError::IdUsed("c".into())));
    for id in ["", &"x".repeat(65)] {
        let refused = apply(&started, &command(id, CommandKind::Pause), &observations);
        assert_eq!(refused, Err(CommandError::InvalidId));
    }
    for number in 0..100 {
        let kind = if number % 2 == 0 { CommandKind::Pause } else { CommandKind::Resume };
        let next = apply(&started, &command(&format!("p-{number}"), kind), &observations);
        started = next.expect("accepted").expect("changed");
    }
    assert_eq!(started.commands.len(), MAX_REMEMBERED_COMMANDS);
}

#[derive(Clone, Debug)]
enum Event {
    Ticks(u32),
    LoseMachine(usize),
    RestoreMachine(usize),
    SetFreeCapacity(bool),
    Flap(u32),
    StopFlapping,
    SetBroken(bool),
    ReplaceOwner,
    Command(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..12_u32).prop_map(Event::Ticks),
        2 => (0..6_usize).prop_map(Event::LoseMachine),
        1 => (0..6_usize).prop_map(Event::RestoreMachine),
        1 => any::<bool>().prop_map(Event::SetFreeCapacity),
        1 => (0..30_u32).prop_map(Event::Flap),
        1 => Just(Event::StopFlapping),
        1 => any::<bool>().prop_map(Event::SetBroken),
        2 => Just(Event::ReplaceOwner),
        2 => (0..4_u8).prop_map(Event::Command),
    ]
}

fn apply_events(fleet: &mut Fleet, events: &[Event]) {
    for event in events {
        match event {
            Event::Ticks(ticks) => (0..*ticks).for_each(|_| fleet.tick()),
            Event::LoseMachine(machine) => fleet.lose_machine(*machine),
            Event::RestoreMachine(machine) => fleet.restore_machine(*machine),
            Event::SetFreeCapacity(is_free) => fleet.has_free_capacity = *is_free,
            Event::Flap(number) => fleet.flapping_replicas.push(*number),
            Event::StopFlapping => fleet.flapping_replicas.clear(),
            Event::SetBroken(on) => {
                fleet.broken_versions = if *on { vec!["two".into()] } else { Vec::new() }
            }
            Event::ReplaceOwner => fleet.replace_owner(),
            Event::Command(number) => {
                let kinds = [
                    CommandKind::Pause,
                    CommandKind::Resume,
                    CommandKind::RollBack,
                    CommandKind::Resume,
                ];
                // The command is refused once the rollout is over.
                let _ = fleet.command(kinds[usize::from(*number)].clone());
            }
        }
    }
}

/// Returns a configuration with a fixed seed: every run has the same cases.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 1500,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// Generates a level, a number of machines, a surge beyond the smallest that is accepted, and
/// the events during the rollout.
fn scenario() -> impl Strategy<Value = (u32, usize, u32, Vec<Event>)> {
    (2..12_u32, 2..6_usize, 0..3_u32, prop::collection::vec(event(), 1..25))
}

fn fleet_with_rollout(
    level: u32,
    machines: usize,
    extra_surge: u32,
    planner: common::Planner,
) -> Fleet {
    let mut fleet = Fleet::new(level, machines, planner);
    let per_machine = level.div_ceil(machines as u32);
    fleet.start(&STEPS, per_machine + 1 + extra_surge).expect("accepted");
    fleet
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_planner_step_reduces_capacity_below_the_level(
        (level, machines, extra_surge, events) in scenario()
    ) {
        let mut fleet = fleet_with_rollout(level, machines, extra_surge, planner_under_test);
        apply_events(&mut fleet, &events);
        prop_assert_eq!(&fleet.level_violations, &Vec::<String>::new());
    }

    #[test]
    fn every_rollout_ends_in_one_version_once_faults_end(
        (level, machines, extra_surge, events) in scenario()
    ) {
        let mut fleet = fleet_with_rollout(level, machines, extra_surge, planner_under_test);
        apply_events(&mut fleet, &events);
        fleet.has_free_capacity = true;
        fleet.flapping_replicas.clear();
        fleet.broken_versions.clear();
        (0..machines).for_each(|machine| fleet.restore_machine(machine));
        let _ = fleet.command(CommandKind::Resume);
        prop_assert!(fleet.run_until_settled(600), "{:?}", fleet.record);
        // A machine may have been lost after the rollout ended: its replicas load on others.
        (0..10).for_each(|_| fleet.tick());
        prop_assert_eq!(fleet.distinct_versions().len(), 1, "{:?}", fleet.record);
        prop_assert_eq!(fleet.capacity(), level);
        prop_assert_eq!(&fleet.level_violations, &Vec::<String>::new());
    }
}

#[test]
fn planner_that_drains_first_violates_the_level() {
    let mut fleet = Fleet::new(6, 6, planner_draining_first);
    fleet.start(&STEPS, 2).expect("accepted");
    for _ in 0..40 {
        fleet.tick();
    }
    assert!(!fleet.level_violations.is_empty());
}
