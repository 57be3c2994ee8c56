//! Cold starts over several controllers, with faults: in memory, under paused time.
//! Starts are counted by the log of what carries them out.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{BOOT, Fleet, Outcome, SESSION, model_settings, settings};
use stonewheel_activation::{
    Refusal,
    record::{AfterStop, ModelState, Stage},
};
use tokio::time::{Instant, sleep};

fn all_answered(outcomes: &[Outcome]) -> bool {
    outcomes.iter().all(|outcome| *outcome == Outcome::Answered)
}

fn stage(fleet: &Fleet) -> Option<Stage> {
    fleet.record("router").activation().map(|activation| activation.stage.clone())
}

fn is_ready(fleet: &Fleet) -> bool {
    matches!(stage(fleet), Some(Stage::Ready { .. }))
}

#[tokio::test(start_paused = true)]
async fn a_thousand_requests_at_once_over_five_controllers_cause_one_start() {
    let fleet = Fleet::with_router(5).await;
    let outcomes = fleet.burst(1000, "router").await;
    assert!(all_answered(&outcomes), "{:?}", outcomes.iter().find(|o| **o != Outcome::Answered));
    assert_eq!(fleet.farm.starts().len(), 1);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_burst_for_fifty_models_at_zero_causes_one_start_each() {
    let names: Vec<String> = (0..50).map(|number| format!("model-{number}")).collect();
    let models: Vec<_> = names.iter().map(|name| (name.as_str(), model_settings(&[]))).collect();
    let fleet = Fleet::new(3, settings(&models)).await;
    let mut bursts = Vec::new();
    for name in &names {
        let (fleet, name) = (fleet.clone(), name.clone());
        bursts.push(tokio::spawn(async move { fleet.burst(20, &name).await }));
    }
    for burst in bursts {
        let outcomes = burst.await.expect("ran");
        assert!(all_answered(&outcomes), "{outcomes:?}");
    }
    for name in &names {
        assert_eq!(fleet.farm.starts_of(name), 1, "{name}");
    }
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_model_without_requests_scales_to_zero_and_starts_again() {
    let fleet = Fleet::with_router(3).await;
    assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
    // A few requests at other controllers keep it awake.
    for _ in 0..10 {
        sleep(Duration::from_secs(25)).await;
        assert_eq!(fleet.request(1, "router").await, Outcome::Answered);
    }
    assert_eq!(fleet.farm.starts().len(), 1, "it was in use all the time");
    fleet.until("it sleeps", |fleet| fleet.farm.live("router") == 0).await;
    fleet
        .until("so it is recorded", |f| f.record("router").state == ModelState::ScaledToZero)
        .await;
    assert_eq!(fleet.request(2, "router").await, Outcome::Answered);
    let generations: Vec<u64> = fleet.farm.starts().iter().map(|s| s.generation).collect();
    assert_eq!(generations, [1, 2]);
    fleet.no_rule_broken();
}

/// Kills the owner at one moment of a start after another; whatever had been done by
/// then, the others go on with it.
#[tokio::test(start_paused = true)]
async fn an_owner_that_dies_at_any_moment_of_a_start_leaves_one_start_to_adopt() {
    for step in 0..120 {
        let fleet = Fleet::with_router(3).await;
        let first = tokio::spawn({
            let fleet = fleet.clone();
            async move { fleet.burst(30, "router").await }
        });
        // Every millisecond while the start is asked for, then every half second.
        let at = if step < 70 { step } else { 70 + (step - 70) * 500 };
        sleep(Duration::from_millis(at)).await;
        let Some(owner) = fleet.owner("router") else { continue };
        fleet.kill(owner);
        let survivors = fleet.burst(30, "router").await;
        assert!(all_answered(&survivors), "killed after {at} ms: {survivors:?}");
        let starts = fleet.farm.starts();
        assert_eq!(starts.len(), 1, "killed after {at} ms: {starts:?}");
        // Those who asked the controller that died may have no answer; the others do.
        first.abort();
        fleet.no_rule_broken();
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_paused_past_its_lease_is_refused_by_all_that_it_touches() {
    let fleet = Fleet::with_router(3).await;
    let burst = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(1, "router").await }
    });
    fleet.until("a start is recorded", |fleet| fleet.owner("router").is_some()).await;
    let owner = fleet.owner("router").expect("an owner");
    // Its order to start is on its way, and everything else waits.
    fleet.pause(owner, 40);
    let other = (owner + 1) % 3;
    assert_eq!(fleet.request(other, "router").await, Outcome::Answered);
    assert_ne!(fleet.owner("router"), Some(owner), "adopted");
    let epoch = fleet.record("router").epoch;
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.farm.starts().len(), 1);
    assert!(fleet.farm.refused() > 0, "the late order came, and was refused");
    assert!(fleet.record("router").epoch >= epoch);
    burst.abort();
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_controller_paused_in_a_drain_stops_nothing_that_others_called_back() {
    let fleet = Fleet::with_router(3).await;
    assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
    fleet.until("it drains", |fleet| matches!(stage(fleet), Some(Stage::Draining { .. }))).await;
    let owner = fleet.owner("router").expect("an owner");
    // It wakes up after the time to drain and would go on to stop the replicas.
    fleet.pause(owner, 60);
    let other = (owner + 1) % 3;
    let job = fleet.record("router").activation().expect("active").job.clone();
    for _ in 0..20 {
        assert_eq!(fleet.request(other, "router").await, Outcome::Answered);
        sleep(Duration::from_secs(5)).await;
    }
    assert!(!fleet.farm.was_stopped(&job));
    assert_eq!(fleet.farm.starts().len(), 1, "what still ran took the requests");
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn lost_answers_never_cause_a_second_start() {
    for lost in 1..6 {
        let fleet = Fleet::with_router(3).await;
        for at in 0..3 {
            fleet.lose_state_answers(at, lost);
            fleet.mute_farm(at, lost);
        }
        let outcomes = fleet.burst(60, "router").await;
        assert!(all_answered(&outcomes), "{lost} answers lost: {outcomes:?}");
        assert_eq!(fleet.farm.starts().len(), 1, "{lost} answers lost");
        fleet.no_rule_broken();
    }
}

#[tokio::test(start_paused = true)]
async fn transactions_carried_out_late_never_cause_a_second_start() {
    for seed in 0..20 {
        let fleet = Fleet::with_router(3).await;
        fleet
            .state
            .set_late_transactions(Some(stonewheel_testing::LateTransactions::new(seed, 0.4, 0.5)));
        let outcomes = fleet.burst(30, "router").await;
        fleet.state.set_late_transactions(None);
        // Some may be refused while a session could not be had; none is lost.
        assert!(!outcomes.contains(&Outcome::Broken), "seed {seed}: {outcomes:?}");
        fleet.until("the model answers", is_ready).await;
        assert!(all_answered(&fleet.burst(3, "router").await), "seed {seed}");
        let starts = fleet.farm.starts();
        assert_eq!(starts.len(), 1, "seed {seed}: {starts:?}");
        fleet.no_rule_broken();
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_in_mid_start_refuses_who_cannot_know_and_costs_no_second_start() {
    let fleet = Fleet::with_router(3).await;
    let held = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(30, "router").await }
    });
    fleet.until("the start was asked for", |fleet| !fleet.farm.starts().is_empty()).await;
    fleet.state.set_outage(true);
    sleep(SESSION * 2).await;
    // What was held has its answer by now, and newcomers get theirs at once.
    let began = Instant::now();
    let late = fleet.burst(9, "router").await;
    assert!(began.elapsed() < Duration::from_millis(1), "refused at once");
    for outcome in held.await.expect("ran").iter().chain(&late) {
        assert!(
            matches!(outcome, Outcome::Refused(Refusal::StateUnknown { retry_after }) if !retry_after.is_zero()),
            "{outcome:?}"
        );
    }
    fleet.state.set_outage(false);
    sleep(Duration::from_secs(3)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.farm.starts().len(), 1);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_ready_model_is_served_through_a_short_outage() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.state.set_outage(true);
    // The session counts for 11 s, and `outage_s` is 20.
    for _ in 0..25 {
        sleep(Duration::from_secs(1)).await;
        assert!(all_answered(&fleet.burst(3, "router").await));
    }
    sleep(Duration::from_secs(10)).await;
    let outcomes = fleet.burst(3, "router").await;
    assert!(!outcomes.contains(&Outcome::Answered), "{outcomes:?}");
    fleet.state.set_outage(false);
    sleep(Duration::from_secs(3)).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    assert_eq!(fleet.farm.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_controller_refused_alone_stops_forwarding_before_the_model_can_stop() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    // It alone has requests, and nobody sees its marker any more once it lapsed.
    fleet.refuse(2, true);
    let began = Instant::now();
    let mut refused = None;
    while began.elapsed() < Duration::from_secs(200) {
        match fleet.request(2, "router").await {
            Outcome::Answered => assert_eq!(refused, None, "it passes none after that"),
            Outcome::Refused(_) => drop(refused.get_or_insert(began.elapsed())),
            Outcome::Broken => panic!("forwarded to what was stopped"),
        }
        sleep(Duration::from_millis(300)).await;
    }
    assert!(refused.expect("refused in the end") < SESSION + Duration::from_secs(21));
    fleet.until("the others let it sleep", |fleet| fleet.farm.live("router") == 0).await;
    fleet.refuse(2, false);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.request(2, "router").await, Outcome::Answered);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_request_while_the_model_drains_or_stops_is_served() {
    // Asked at every second of a drain, which takes 30 s, and of what follows.
    for after in 0..36 {
        let fleet = Fleet::with_router(3).await;
        assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
        fleet
            .until("it drains", |fleet| matches!(stage(fleet), Some(Stage::Draining { .. })))
            .await;
        sleep(Duration::from_millis(after * 1000 + after * 37 % 100)).await;
        let outcomes = fleet.burst(9, "router").await;
        assert!(all_answered(&outcomes), "{after} s into the drain: {outcomes:?}");
        assert!(fleet.farm.live("router") == 1, "one generation at a time");
        assert!(fleet.farm.starts().len() <= 2);
        fleet.no_rule_broken();
    }
}

#[tokio::test(start_paused = true)]
async fn a_start_that_never_answers_is_given_up_and_tried_again() {
    let fleet = Fleet::with_router(3).await;
    fleet.farm.let_starts_hang(1);
    let began = Instant::now();
    assert!(all_answered(&fleet.burst(30, "router").await));
    let starts = fleet.farm.starts();
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(fleet.farm.was_stopped(&starts[0].job), "the first was stopped before");
    // `start_s`, half of the pause at least, and the second start.
    let least = Duration::from_secs(60 + 2) + BOOT;
    assert!((least..least + Duration::from_secs(5)).contains(&began.elapsed()));
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_start_given_up_refuses_at_once_and_says_when_to_come_back() {
    let fleet = Fleet::with_router(3).await;
    fleet.farm.let_starts_die(3);
    let outcomes = fleet.burst(30, "router").await;
    for outcome in &outcomes {
        let Outcome::Refused(Refusal::Failed { retry_after }) = outcome else {
            panic!("{outcome:?}");
        };
        assert!(*retry_after <= Duration::from_secs(15) && !retry_after.is_zero());
    }
    assert_eq!(fleet.farm.starts().len(), 3, "as many attempts as are allowed");
    assert!(matches!(fleet.record("router").state, ModelState::Failed { .. }));
    // Until then the answer comes at once, and no start is tried.
    let began = Instant::now();
    assert!(!fleet.burst(3, "router").await.contains(&Outcome::Answered));
    assert!(began.elapsed() < Duration::from_millis(1));
    sleep(Duration::from_secs(16)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.farm.starts().len(), 4);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn replicas_that_die_while_in_use_are_started_again_once() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.farm.lose("router");
    fleet.until("the owner noticed", |fleet| !is_ready(fleet)).await;
    // Until the others hear of it they still forward.
    sleep(Duration::from_secs(1)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.farm.starts().len(), 2);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn requests_wait_while_replicas_run_but_do_not_answer() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.farm.set_silent("router", true);
    sleep(Duration::from_secs(5)).await;
    let waiting = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(30, "router").await }
    });
    sleep(Duration::from_secs(20)).await;
    assert!(!waiting.is_finished(), "held");
    fleet.farm.set_silent("router", false);
    assert!(all_answered(&waiting.await.expect("ran")));
    assert_eq!(fleet.farm.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn what_can_never_start_is_refused_without_further_attempts() {
    let fleet = Fleet::with_router(3).await;
    fleet.farm.reject(true);
    let outcomes = fleet.burst(9, "router").await;
    assert!(matches!(outcomes[0], Outcome::Refused(Refusal::Failed { .. })), "{outcomes:?}");
    let ModelState::Failed { reason } = fleet.record("router").state else { panic!("not failed") };
    assert_eq!(reason, "no such team");
}

#[tokio::test(start_paused = true)]
async fn no_room_in_the_fleet_holds_a_request_for_its_time_and_says_when_to_come_back() {
    let slow = model_settings(&[("hold_s", "30"), ("start_s", "600")]);
    let fleet = Fleet::new(3, settings(&[("router", slow)])).await;
    fleet.farm.let_starts_hang(1);
    let began = Instant::now();
    let outcome = fleet.request(0, "router").await;
    assert!(matches!(outcome, Outcome::Refused(Refusal::Starting { .. })), "{outcome:?}");
    let held = began.elapsed();
    assert!((30..31).contains(&held.as_secs()), "{held:?}");
    assert_eq!(fleet.farm.starts().len(), 1, "the job waits as any other");
}

#[tokio::test(start_paused = true)]
async fn a_users_job_with_the_same_id_is_neither_taken_over_nor_stopped() {
    let fleet = Fleet::with_router(3).await;
    fleet.farm.take_next_names(2);
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.farm.taken().len(), 2);
    assert_eq!(fleet.farm.starts().len(), 1);
    fleet.until("it sleeps again", |f| f.record("router").state == ModelState::ScaledToZero).await;
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn a_full_holder_refuses_at_once_and_gives_its_room_back() {
    let mut small = settings(&[("router", model_settings(&[]))]);
    small.hold_requests = 10.0;
    let fleet = Fleet::new(1, small).await;
    let outcomes = fleet.burst(25, "router").await;
    let full = |o: &&Outcome| matches!(o, Outcome::Refused(Refusal::Full { .. }));
    assert_eq!(outcomes.iter().filter(full).count(), 15);
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Answered).count(), 10);
    let usage = fleet.activator(0).held_usage();
    assert_eq!((usage.requests, usage.bytes), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_model_in_demand_leaves_room_for_the_cold_start_of_another() {
    let mut small = settings(&[("router", model_settings(&[])), ("rare", model_settings(&[]))]);
    small.hold_requests = 10.0;
    let fleet = Fleet::new(1, small).await;
    let demand = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(100, "router").await }
    });
    sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.request(0, "rare").await, Outcome::Answered);
    let outcomes = demand.await.expect("ran");
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Answered).count(), 5);
}

#[tokio::test(start_paused = true)]
async fn callers_that_leave_while_held_take_no_room_and_the_model_scales_to_zero_again() {
    let fleet = Fleet::with_router(3).await;
    let activator = fleet.activator(1);
    let waiting: Vec<_> = (0..40)
        .map(|_| {
            let activator = activator.clone();
            tokio::spawn(async move { activator.admit("router", 1000).await.is_ok() })
        })
        .collect();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(activator.held_usage().bytes, 40_000);
    for caller in waiting {
        caller.abort();
    }
    sleep(Duration::from_millis(1)).await;
    assert_eq!((activator.held_usage().requests, activator.held_usage().bytes), (0, 0));
    fleet.until("it was started", is_ready).await;
    fleet.until("nobody used it", |f| f.record("router").state == ModelState::ScaledToZero).await;
    assert_eq!(fleet.farm.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_orderly_end_hands_over_within_a_moment_and_a_death_within_a_session() {
    for orderly in [true, false] {
        let fleet = Fleet::with_router(3).await;
        assert_eq!(fleet.request(1, "router").await, Outcome::Answered);
        let owner = fleet.owner("router").expect("an owner");
        let began = Instant::now();
        if orderly {
            fleet.shut_down(owner);
        } else {
            fleet.kill(owner);
        }
        fleet.until("adopted", |fleet| fleet.owner("router") != Some(owner)).await;
        let limit = if orderly { Duration::from_secs(3) } else { SESSION + SESSION / 4 };
        assert!(began.elapsed() < limit, "orderly {orderly}: {:?}", began.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_controller_without_this_part_changes_nothing() {
    // One of three never runs it, as a version before this part doesn't.
    let fleet = Fleet::idle(3, settings(&[("router", model_settings(&[]))]), BOOT);
    fleet.start(0);
    fleet.start(1);
    sleep(Duration::from_secs(2)).await;
    assert!(all_answered(&fleet.burst(20, "router").await));
    fleet.until("it sleeps", |f| f.record("router").state == ModelState::ScaledToZero).await;
    fleet.start(2);
    sleep(Duration::from_secs(2)).await;
    assert!(all_answered(&fleet.burst(21, "router").await));
    assert_eq!(fleet.farm.starts().len(), 2);
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn unknown_models_are_refused_and_touch_no_record() {
    let fleet = Fleet::with_router(1).await;
    let before = fleet.state.keys("sp/a/");
    assert_eq!(fleet.request(0, "nobody").await, Outcome::Refused(Refusal::UnknownModel));
    assert_eq!(fleet.state.keys("sp/a/"), before);
}

#[tokio::test(start_paused = true)]
async fn all_controllers_restart_and_the_model_goes_on() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    for at in 0..3 {
        fleet.kill(at);
    }
    sleep(Duration::from_secs(5)).await;
    for at in 0..3 {
        fleet.start(at);
    }
    sleep(Duration::from_secs(20)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.farm.starts().len(), 1, "its replicas ran on");
    fleet.until("it sleeps", |f| f.record("router").state == ModelState::ScaledToZero).await;
    fleet.no_rule_broken();
}

#[tokio::test(start_paused = true)]
async fn every_second_owner_dies_while_starts_fail_and_the_attempts_stay_bounded() {
    let fleet = Fleet::with_router(5).await;
    fleet.farm.let_starts_die(100);
    let burst = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.request(4, "router").await }
    });
    let mut killed = 0;
    while !matches!(fleet.record("router").state, ModelState::Failed { .. }) {
        if killed < 2
            && let Some(owner) = fleet.owner("router").filter(|owner| *owner < 4)
            && matches!(stage(&fleet), Some(Stage::Stopping { then: AfterStop::Retry }))
        {
            fleet.kill(owner);
            killed += 1;
        }
        sleep(Duration::from_millis(10)).await;
    }
    assert!(matches!(burst.await.expect("ran"), Outcome::Refused(_)));
    assert!(fleet.farm.starts().len() <= 3, "{:?}", fleet.farm.starts());
    fleet.no_rule_broken();
}
