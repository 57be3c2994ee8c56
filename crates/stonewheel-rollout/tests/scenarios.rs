//! Rollouts over three controllers under steady load, with faults, in memory and in
//! simulated time. Capacity and requests are checked independently of the rollout's code.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::deployment::{Deployment, SERVICE, SESSION};
use stonewheel_rollout::{
    CommandFailure,
    command::{CommandError, CommandKind},
    command_markers::{MAX_MARKERS, RETENTION},
    record::{Phase, ReplicaStage, command_prefix},
};
use tokio::time::{Instant, sleep};

const LEVEL: u32 = 10;

fn is_draining(deployment: &Deployment) -> bool {
    deployment.record().replicas.iter().any(|r| r.stage == ReplicaStage::Draining)
}

async fn assert_ends(deployment: &Deployment, phase: Phase, version: &str) {
    deployment.wait_until("the rollout is over", |d| d.phase().is_some_and(Phase::is_over)).await;
    deployment.wait_until("all replicas serve", Deployment::is_settled).await;
    assert_eq!(deployment.phase(), Some(phase), "{:#?}", deployment.record().rollout);
    assert_eq!(deployment.distinct_versions(), [version]);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(deployment.capacity(), LEVEL);
}

#[tokio::test(start_paused = true)]
async fn rollout_under_load_loses_no_capacity_and_no_request() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(1, 3).await.expect("accepted");
    assert_ends(&deployment, Phase::Done, "two").await;
    deployment.assert_nothing_lost(LEVEL);
}

/// Copies of transactions and lease requests arrive from within a second to long after they were
/// answered.
#[tokio::test(start_paused = true)]
async fn repeated_requests_to_the_state_service_change_no_rollout() {
    for seed in 0..6 {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        let repeated = stonewheel_testing::RepeatedDeliveries::new(seed, 0.3, 0.05..45.0);
        deployment.state.set_repeated_requests(Some(repeated));
        deployment.roll_out(1, 3).await.expect("accepted");
        assert_ends(&deployment, Phase::Done, "two").await;
        sleep(Duration::from_secs(45)).await;
        assert_eq!(deployment.phase(), Some(Phase::Done));
        deployment.assert_nothing_lost(LEVEL);
    }
}

/// A copy of a command arrives after more commands than the record remembers.
#[tokio::test(start_paused = true)]
async fn copy_of_an_old_start_command_begins_no_rollout() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(1, 3).await.expect("accepted");
    for number in 0..4 {
        deployment.command(1, &format!("p-{number}"), CommandKind::Pause).await.expect("accepted");
        deployment.command(1, &format!("r-{number}"), CommandKind::Resume).await.expect("accepted");
    }
    assert_ends(&deployment, Phase::Done, "two").await;
    let back = CommandKind::Start { to: "one".into(), steps: vec![100], surge: 3 };
    deployment.command(1, "back", back).await.expect("accepted");
    assert_ends(&deployment, Phase::Done, "one").await;
    let _ = deployment.roll_out(1, 3).await;
    assert_ends(&deployment, Phase::Done, "one").await;
}

/// Copies reach other controllers than their commands, restarted ones and ones that haven't
/// received the command's change yet, until shortly before the markers expire.
#[tokio::test(start_paused = true)]
async fn copies_of_all_commands_change_nothing_while_they_are_remembered() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    let begin = Instant::now();
    let start = |to: &str| CommandKind::Start { to: to.into(), steps: vec![100], surge: 3 };
    let mut commands = Vec::new();
    for (round, end) in [CommandKind::RollBack, CommandKind::Abort].into_iter().enumerate() {
        for kind in [start("two"), CommandKind::Pause, CommandKind::Resume, end] {
            let id = format!("c {} of round {round}", commands.len());
            deployment.command(1, &id, kind.clone()).await.expect("accepted");
            deployment.command(2, &id, kind.clone()).await.expect("a copy is no error");
            commands.push((id, kind));
        }
        deployment.wait_until("the rollout is over", |d| d.is_settled()).await;
    }
    deployment.command(1, "back", start("three")).await.expect("accepted");
    assert_ends(&deployment, Phase::Done, "three").await;
    let versions = |d: &Deployment| (d.record().commands, d.record().rollout, d.record().version);
    let before = versions(&deployment);
    deployment.kill(2);
    sleep(SESSION).await;
    deployment.start(2);
    for wait in [Duration::from_secs(3), RETENTION - begin.elapsed() - Duration::from_secs(6)] {
        sleep(wait).await;
        for controller in 0..3 {
            for (id, kind) in &commands {
                let copy = deployment.command(controller, id, kind.clone()).await;
                assert_eq!(copy, Ok(()), "{id} at {controller}");
                let other = deployment.command(controller, id, start("four")).await;
                assert_eq!(other, Err(CommandError::IdUsed(id.clone()).into()));
            }
        }
        assert_eq!(versions(&deployment), before);
    }
    deployment.assert_nothing_lost(LEVEL);
}

/// A command that could not be remembered is refused, but a rollout can still be turned back.
#[tokio::test(start_paused = true)]
async fn commands_beyond_the_markers_are_refused_until_markers_expire() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(1, 3).await.expect("accepted");
    let toggle = |number: usize| {
        let kind = if number.is_multiple_of(2) { CommandKind::Pause } else { CommandKind::Resume };
        (format!("p-{number}"), kind)
    };
    let mut accepted = 0;
    let mut refusal = None;
    while refusal.is_none() && accepted <= MAX_MARKERS {
        let (id, kind) = toggle(accepted);
        match deployment.command(1, &id, kind).await {
            Ok(()) => accepted += 1,
            Err(reason) => refusal = Some(reason),
        }
    }
    let refusal = refusal.expect("a command is refused");
    assert_eq!(refusal, CommandFailure::TooManyCommands);
    assert_eq!(refusal.to_string(), "the service took too many commands within 10 minutes");
    assert!((32..MAX_MARKERS).contains(&accepted), "{accepted} accepted");
    let before = deployment.record();
    let (id, kind) = toggle(accepted);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(deployment.command(0, &id, kind).await, Err(CommandFailure::TooManyCommands));
    assert_eq!(deployment.record().commands, before.commands);
    deployment.command(0, "back", CommandKind::RollBack).await.expect("accepted");
    assert_ends(&deployment, Phase::RolledBack, "one").await;
    assert!(deployment.state.keys(&command_prefix(SERVICE)).len() <= MAX_MARKERS);
    sleep(RETENTION + Duration::from_secs(1)).await;
    assert_eq!(deployment.state.keys(&command_prefix(SERVICE)), [] as [String; 0]);
    let again = CommandKind::Start { to: "two".into(), steps: vec![100], surge: 3 };
    deployment.command(1, "again", again).await.expect("accepted");
    assert_ends(&deployment, Phase::Done, "two").await;
}

#[tokio::test(start_paused = true)]
async fn rollback_at_any_time_loses_no_capacity_and_no_request() {
    for after_s in (1..60).step_by(6) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_secs(after_s)).await;
        if deployment.command(2, "back", CommandKind::RollBack).await.is_err() {
            // The rollout was over before the command.
            assert_eq!(deployment.phase(), Some(Phase::Done));
            continue;
        }
        assert_ends(&deployment, Phase::RolledBack, "one").await;
        deployment.assert_nothing_lost(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn version_whose_later_replicas_never_answer_is_rolled_back() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment
        .wait_until("the second step begins", |d| {
            d.record().rollout.is_some_and(|rollout| rollout.step == 1)
        })
        .await;
    deployment.servers.break_new_servers("two");
    assert_ends(&deployment, Phase::RolledBack, "one").await;
    deployment.assert_nothing_lost(LEVEL);
    let rollout = deployment.record().rollout.expect("a rollout");
    let rollback = rollout.history.iter().find(|entry| entry.phase == Phase::RollingBack);
    assert!(rollback.is_some_and(|entry| entry.why.contains("did not answer")), "{rollout:?}");
}

#[tokio::test(start_paused = true)]
async fn version_that_answers_intermittently_is_rolled_back_once() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.servers.make_flapping("two");
    deployment.roll_out(0, 3).await.expect("accepted");
    assert_ends(&deployment, Phase::RolledBack, "one").await;
    let rollout = deployment.record().rollout.expect("a rollout");
    let rollbacks =
        rollout.history.iter().filter(|entry| entry.phase == Phase::RollingBack).count();
    assert_eq!(rollbacks, 1, "{rollout:?}");
    assert_eq!(deployment.servers.max_stops_per_server(), 1);
}

fn rollback_reason(deployment: &Deployment) -> String {
    let rollout = deployment.record().rollout.expect("a rollout");
    let back = rollout.history.into_iter().find(|entry| entry.phase == Phase::RollingBack);
    back.expect("a rollback").why
}

#[tokio::test(start_paused = true)]
async fn next_step_begins_only_if_the_promotion_condition_holds() {
    let passing = Deployment::with_condition(LEVEL, 10, 4, Some("failures == 0")).await;
    passing.roll_out(0, 3).await.expect("accepted");
    assert_ends(&passing, Phase::Done, "two").await;
    passing.assert_nothing_lost(LEVEL);
    for (condition, why) in [
        ("step < 2", "does not hold"),
        ("looks / (step - 2) < 0 && true", "fails"),
        ("loop { }", "takes too long"),
    ] {
        let deployment = Deployment::with_condition(LEVEL, 10, 4, Some(condition)).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        assert_ends(&deployment, Phase::RolledBack, "one").await;
        deployment.assert_nothing_lost(LEVEL);
        assert!(rollback_reason(&deployment).contains(why), "{}", rollback_reason(&deployment));
    }
}

/// An upgrade replaces the controllers one after the other, the present owner included. It
/// begins at different times of the rollout.
#[tokio::test(start_paused = true)]
async fn rollout_completes_while_all_controllers_are_replaced() {
    for after_s in (0..40).step_by(5) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_secs(after_s)).await;
        for controller_index in 0..3 {
            deployment.kill(controller_index);
            sleep(Duration::from_secs(5)).await;
            deployment.start(controller_index);
            sleep(Duration::from_secs(5)).await;
        }
        assert_ends(&deployment, Phase::Done, "two").await;
        deployment.assert_nothing_lost(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn rollout_survives_loss_of_the_machine_with_most_replicas_of_a_version() {
    for version in ["one", "two"] {
        for after_s in (10..50).step_by(8) {
            let deployment = Deployment::new(LEVEL, 6, 6).await;
            deployment.roll_out(0, 5).await.expect("accepted");
            deployment.wait_until("an old replica drains", is_draining).await;
            sleep(Duration::from_secs(after_s - 10)).await;
            if deployment.phase() == Some(Phase::Finishing) || deployment.is_settled() {
                continue;
            }
            deployment.servers.lose_machine(deployment.servers.machine_with_most_servers(version));
            assert_ends(&deployment, Phase::Done, "two").await;
            deployment.assert_nothing_lost(LEVEL);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn rollout_completes_after_its_owner_ends_at_any_time() {
    for after_s in (0..45).step_by(3) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_millis(after_s * 1000 + after_s * 137 % 1000)).await;
        if let Some(owner) = deployment.owner() {
            deployment.kill(owner);
        }
        assert_ends(&deployment, Phase::Done, "two").await;
        deployment.assert_nothing_lost(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn owner_paused_during_a_drain_is_fenced_off_when_it_resumes() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment.wait_until("an old replica drains", is_draining).await;
    let owner = deployment.owner().expect("an owner");
    deployment.pause(owner, 30);
    let epoch = deployment.record().epoch;
    deployment
        .wait_until("another controller owns the service", |d| d.owner() != Some(owner))
        .await;
    assert!(deployment.record().epoch > epoch);
    assert_ends(&deployment, Phase::Done, "two").await;
    sleep(SESSION * 4).await;
    deployment.assert_nothing_lost(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn outage_or_refusal_within_a_step_loses_no_capacity() {
    for one_controller in [true, false] {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        deployment.wait_until("an old replica drains", is_draining).await;
        let owner = deployment.owner().expect("an owner");
        if one_controller {
            deployment.set_refused(owner, true);
        } else {
            deployment.state.set_outage(true);
        }
        sleep(Duration::from_secs(2)).await;
        let record_before = deployment.record();
        sleep(Duration::from_secs(40)).await;
        if one_controller {
            deployment.set_refused(owner, false);
        } else {
            assert_eq!(deployment.record(), record_before, "nothing is recorded during an outage");
            deployment.state.set_outage(false);
        }
        assert_ends(&deployment, Phase::Done, "two").await;
        deployment.assert_nothing_lost(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_do_not_change_the_outcome() {
    for lost_answers in [1, 3, 6] {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        for controller_index in 0..3 {
            deployment.lose_state_answers(controller_index, lost_answers);
            deployment.lose_host_answers(controller_index, lost_answers);
        }
        // The answer to the command is lost, too: its repeat finds the command carried out.
        let mut outcome = deployment.roll_out(1, 3).await;
        while outcome == Err(CommandFailure::OutcomeUnknown) {
            outcome = deployment.roll_out(1, 3).await;
        }
        assert_eq!(outcome, Ok(()));
        assert_ends(&deployment, Phase::Done, "two").await;
        deployment.assert_nothing_lost(LEVEL);
        assert_eq!(deployment.record().commands.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn of_two_concurrent_starts_one_is_refused() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    let (first, second) = tokio::join!(deployment.roll_out(0, 3), deployment.roll_out(1, 3));
    let outcomes = [first, second];
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1, "{outcomes:?}");
    let is_refused = |outcome: &Result<(), CommandFailure>| {
        matches!(outcome, Err(CommandFailure::Refused(CommandError::RolloutInProgress(_))))
    };
    assert!(outcomes.iter().any(is_refused), "{outcomes:?}");
    assert_ends(&deployment, Phase::Done, "two").await;
    deployment.assert_nothing_lost(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn pause_persists_after_its_owner_ends() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment.wait_until("a step soaks", |d| d.phase() == Some(Phase::Soaking)).await;
    // The pause comes just before the end of the soak time of 6 s.
    sleep(Duration::from_millis(5900)).await;
    deployment.command(2, "hold", CommandKind::Pause).await.expect("accepted");
    let step = deployment.record().rollout.expect("under way").step;
    deployment.kill(deployment.owner().expect("an owner"));
    sleep(Duration::from_secs(60)).await;
    let rollout = deployment.record().rollout.expect("under way");
    assert!(rollout.paused && rollout.step == step);
    let new_owner = deployment.owner().expect("adopted");
    deployment.command(new_owner, "go on", CommandKind::Resume).await.expect("accepted");
    assert_ends(&deployment, Phase::Done, "two").await;
    deployment.assert_nothing_lost(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn rollout_without_capacity_for_the_surge_waits_at_full_capacity() {
    let deployment = Deployment::new(LEVEL, 5, 2).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    sleep(Duration::from_secs(300)).await;
    assert_eq!(deployment.phase(), Some(Phase::Stepping));
    deployment.assert_nothing_lost(LEVEL);
    deployment.servers.set_servers_per_machine(4);
    assert_ends(&deployment, Phase::Done, "two").await;
    deployment.assert_nothing_lost(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn controller_without_a_session_refuses_commands() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.set_refused(1, true);
    sleep(SESSION * 2).await;
    let began = Instant::now();
    assert_eq!(deployment.roll_out(1, 3).await, Err(CommandFailure::Unavailable));
    assert!(began.elapsed() < Duration::from_secs(1), "refused immediately");
    let executor = deployment.executor(0);
    let command = stonewheel_rollout::command::Command { id: "x".into(), kind: CommandKind::Pause };
    let refused = executor.command("nobody", &command).await;
    assert_eq!(refused, Err(CommandFailure::UnknownService("nobody".into())));
    assert_eq!(deployment.record().rollout, None, "nothing was changed");
}
