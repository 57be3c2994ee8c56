//! Rollouts over three controllers under steady load, with faults: in memory, under
//! paused time. Capacity and requests are judged apart from the rollout's own code.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::deployment::{Deployment, SESSION};
use stonewheel_rollout::{
    CommandFailure,
    command::{CommandError, CommandKind},
    record::{Phase, ReplicaStage},
};
use tokio::time::{Instant, sleep};

const LEVEL: u32 = 10;

fn draining(deployment: &Deployment) -> bool {
    deployment.record().replicas.iter().any(|r| r.stage == ReplicaStage::Draining)
}

async fn ends(deployment: &Deployment, phase: Phase, version: &str) {
    deployment.until("it is over", |d| d.phase().is_some_and(Phase::is_over)).await;
    deployment.until("all rests", Deployment::settled).await;
    assert_eq!(deployment.phase(), Some(phase), "{:#?}", deployment.record().rollout);
    assert_eq!(deployment.versions(), [version]);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(deployment.capacity(), LEVEL);
}

#[tokio::test(start_paused = true)]
async fn a_rollout_under_load_keeps_every_replica_and_every_request() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(1, 3).await.expect("accepted");
    ends(&deployment, Phase::Done, "two").await;
    deployment.assert_kept(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn a_roll_back_at_any_time_keeps_every_replica_and_every_request() {
    for after_s in (1..60).step_by(6) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_secs(after_s)).await;
        if deployment.command(2, "back", CommandKind::RollBack).await.is_err() {
            // It was over by then.
            assert_eq!(deployment.phase(), Some(Phase::Done));
            continue;
        }
        ends(&deployment, Phase::RolledBack, "one").await;
        deployment.assert_kept(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn a_version_whose_later_replicas_never_answer_is_taken_back() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment
        .until("halfway", |d| d.record().rollout.is_some_and(|rollout| rollout.step == 1))
        .await;
    deployment.servers.let_starts_fail("two");
    ends(&deployment, Phase::RolledBack, "one").await;
    deployment.assert_kept(LEVEL);
    let rollout = deployment.record().rollout.expect("it was one");
    let why = rollout.history.iter().find(|entry| entry.phase == Phase::RollingBack);
    assert!(why.is_some_and(|entry| entry.why.contains("did not answer")), "{rollout:?}");
}

#[tokio::test(start_paused = true)]
async fn a_version_that_answers_now_and_then_is_taken_back_once() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.servers.let_flap("two");
    deployment.roll_out(0, 3).await.expect("accepted");
    ends(&deployment, Phase::RolledBack, "one").await;
    let rollout = deployment.record().rollout.expect("it was one");
    let turns = rollout.history.iter().filter(|entry| entry.phase == Phase::RollingBack).count();
    assert_eq!(turns, 1, "{rollout:?}");
    assert_eq!(deployment.servers.most_stops_of_one(), 1);
}

fn why_back(deployment: &Deployment) -> String {
    let rollout = deployment.record().rollout.expect("it was one");
    let back = rollout.history.into_iter().find(|entry| entry.phase == Phase::RollingBack);
    back.expect("it turned back").why
}

#[tokio::test(start_paused = true)]
async fn a_step_goes_on_only_while_the_operators_condition_holds() {
    let kept = Deployment::with_condition(LEVEL, 10, 4, Some("failures == 0")).await;
    kept.roll_out(0, 3).await.expect("accepted");
    ends(&kept, Phase::Done, "two").await;
    kept.assert_kept(LEVEL);
    for (condition, why) in [
        ("step < 2", "does not hold"),
        ("looks / (step - 2) < 0 && true", "fails"),
        ("loop { }", "takes too long"),
    ] {
        let deployment = Deployment::with_condition(LEVEL, 10, 4, Some(condition)).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        ends(&deployment, Phase::RolledBack, "one").await;
        deployment.assert_kept(LEVEL);
        assert!(why_back(&deployment).contains(why), "{}", why_back(&deployment));
    }
}

/// An upgrade replaces the controllers one after the other, whichever owns the rollout
/// then, and the last of them at every point of it.
#[tokio::test(start_paused = true)]
async fn controllers_that_are_replaced_one_by_one_see_the_rollout_through() {
    for after_s in (0..40).step_by(5) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_secs(after_s)).await;
        for at in 0..3 {
            deployment.kill(at);
            sleep(Duration::from_secs(5)).await;
            deployment.start(at);
            sleep(Duration::from_secs(5)).await;
        }
        ends(&deployment, Phase::Done, "two").await;
        deployment.assert_kept(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn the_machine_with_most_of_either_version_is_lost_within_a_step() {
    for version in ["one", "two"] {
        for after_s in (10..50).step_by(8) {
            let deployment = Deployment::new(LEVEL, 6, 6).await;
            deployment.roll_out(0, 5).await.expect("accepted");
            deployment.until("old ones drain", draining).await;
            sleep(Duration::from_secs(after_s - 10)).await;
            if deployment.phase() == Some(Phase::Finishing) || deployment.settled() {
                continue;
            }
            deployment.servers.lose_machine(deployment.servers.fullest(version));
            ends(&deployment, Phase::Done, "two").await;
            deployment.assert_kept(LEVEL);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_executor_that_dies_at_any_time_is_succeeded() {
    for after_s in (0..45).step_by(3) {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        sleep(Duration::from_millis(after_s * 1000 + after_s * 137 % 1000)).await;
        if let Some(owner) = deployment.owner() {
            deployment.kill(owner);
        }
        ends(&deployment, Phase::Done, "two").await;
        deployment.assert_kept(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn an_executor_paused_in_mid_drain_is_refused_when_it_goes_on() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment.until("old ones drain", draining).await;
    let owner = deployment.owner().expect("an owner");
    deployment.pause(owner, 30);
    let epoch = deployment.record().epoch;
    deployment.until("another one drives", |d| d.owner() != Some(owner)).await;
    assert!(deployment.record().epoch > epoch);
    ends(&deployment, Phase::Done, "two").await;
    sleep(SESSION * 4).await;
    deployment.assert_kept(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn an_outage_or_a_refusal_in_mid_step_drains_nothing() {
    for alone in [true, false] {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        deployment.roll_out(0, 3).await.expect("accepted");
        deployment.until("old ones drain", draining).await;
        let owner = deployment.owner().expect("an owner");
        if alone {
            deployment.refuse(owner, true);
        } else {
            deployment.state.set_outage(true);
        }
        sleep(Duration::from_secs(2)).await;
        let held = deployment.record();
        sleep(Duration::from_secs(40)).await;
        if alone {
            deployment.refuse(owner, false);
        } else {
            assert_eq!(deployment.record(), held, "nothing is decided that can't be written");
            deployment.state.set_outage(false);
        }
        ends(&deployment, Phase::Done, "two").await;
        deployment.assert_kept(LEVEL);
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_of_any_kind_change_nothing() {
    for lost in [1, 3, 6] {
        let deployment = Deployment::new(LEVEL, 10, 4).await;
        for at in 0..3 {
            deployment.lose_state_answers(at, lost);
            deployment.mute_host(at, lost);
        }
        // The command too: its repeat finds that it stands.
        let mut outcome = deployment.roll_out(1, 3).await;
        while outcome == Err(CommandFailure::Unknown) {
            outcome = deployment.roll_out(1, 3).await;
        }
        assert_eq!(outcome, Ok(()));
        ends(&deployment, Phase::Done, "two").await;
        deployment.assert_kept(LEVEL);
        assert_eq!(deployment.record().commands.len(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn of_two_rollouts_at_once_one_wins_and_the_other_is_told() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    let (first, second) = tokio::join!(deployment.roll_out(0, 3), deployment.roll_out(1, 3));
    let outcomes = [first, second];
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 1, "{outcomes:?}");
    let told = |outcome: &Result<(), CommandFailure>| {
        matches!(outcome, Err(CommandFailure::Refused(CommandError::UnderWay(_))))
    };
    assert!(outcomes.iter().any(told), "{outcomes:?}");
    ends(&deployment, Phase::Done, "two").await;
    deployment.assert_kept(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn a_pause_outlives_the_executor_and_holds_the_next_step() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    deployment.until("a step is watched", |d| d.phase() == Some(Phase::Soaking)).await;
    // At the very end of the soak time.
    sleep(Duration::from_millis(5900)).await;
    deployment.command(2, "hold", CommandKind::Pause).await.expect("accepted");
    let step = deployment.record().rollout.expect("under way").step;
    deployment.kill(deployment.owner().expect("an owner"));
    sleep(Duration::from_secs(60)).await;
    let rollout = deployment.record().rollout.expect("under way");
    assert!(rollout.paused && rollout.step == step);
    let alive = deployment.owner().expect("adopted");
    deployment.command(alive, "go on", CommandKind::Resume).await.expect("accepted");
    ends(&deployment, Phase::Done, "two").await;
    deployment.assert_kept(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn no_room_for_the_surge_waits_and_never_makes_room_by_draining() {
    let deployment = Deployment::new(LEVEL, 5, 2).await;
    deployment.roll_out(0, 3).await.expect("accepted");
    sleep(Duration::from_secs(300)).await;
    assert_eq!(deployment.phase(), Some(Phase::Stepping));
    deployment.assert_kept(LEVEL);
    deployment.servers.set_capacity(4);
    ends(&deployment, Phase::Done, "two").await;
    deployment.assert_kept(LEVEL);
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_can_not_write_takes_no_command() {
    let deployment = Deployment::new(LEVEL, 10, 4).await;
    deployment.refuse(1, true);
    sleep(SESSION * 2).await;
    let began = Instant::now();
    assert_eq!(deployment.roll_out(1, 3).await, Err(CommandFailure::Unavailable));
    assert!(began.elapsed() < Duration::from_secs(1), "at once");
    let unknown = deployment.executor(0);
    let command = stonewheel_rollout::command::Command { id: "x".into(), kind: CommandKind::Pause };
    let refused = unknown.command("nobody", &command).await;
    assert_eq!(refused, Err(CommandFailure::UnknownService("nobody".into())));
    assert_eq!(deployment.record().rollout, None, "nothing was changed");
}
