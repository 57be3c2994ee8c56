//! Cold starts with several controllers and faults, in memory under paused time. Most tests
//! guard against a second start of a model. Starts are counted by the log of the starter
//! that carries them out.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{Fleet, Outcome, SESSION_TTL, STARTUP_TIME, model_settings, settings};
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
async fn simultaneous_requests_at_five_controllers_cause_one_start() {
    let fleet = Fleet::with_router(5).await;
    let outcomes = fleet.burst(1000, "router").await;
    assert!(all_answered(&outcomes), "{:?}", outcomes.iter().find(|o| **o != Outcome::Answered));
    assert_eq!(fleet.starter.starts().len(), 1);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn burst_for_fifty_models_causes_one_start_each() {
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
        assert_eq!(fleet.starter.starts_of(name), 1, "{name}");
    }
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn idle_model_scales_to_zero_and_starts_again_on_request() {
    let fleet = Fleet::with_router(3).await;
    assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
    // Requests at another controller, at intervals shorter than `idle_s`, keep the model
    // ready.
    for _ in 0..10 {
        sleep(Duration::from_secs(25)).await;
        assert_eq!(fleet.request(1, "router").await, Outcome::Answered);
    }
    assert_eq!(fleet.starter.starts().len(), 1, "the model was in use throughout");
    fleet.wait_until("the replicas are stopped", |fleet| fleet.starter.live("router") == 0).await;
    fleet
        .wait_until("the model is recorded as scaled to zero", |f| {
            f.record("router").state == ModelState::ScaledToZero
        })
        .await;
    assert_eq!(fleet.request(2, "router").await, Outcome::Answered);
    let generations: Vec<u64> = fleet.starter.starts().iter().map(|s| s.generation).collect();
    assert_eq!(generations, [1, 2]);
    fleet.assert_no_violation();
}

/// Kills the owner at many points of a start. Another controller must adopt the activation
/// as it was recorded, without a second start.
#[tokio::test(start_paused = true)]
async fn owner_killed_at_any_time_of_a_start_causes_no_second_start() {
    for step in 0..120 {
        let fleet = Fleet::with_router(3).await;
        let first = tokio::spawn({
            let fleet = fleet.clone();
            async move { fleet.burst(30, "router").await }
        });
        // Every millisecond while the start is being requested, then every half second.
        let delay_ms = if step < 70 { step } else { 70 + (step - 70) * 500 };
        sleep(Duration::from_millis(delay_ms)).await;
        let Some(owner) = fleet.owner("router") else { continue };
        fleet.kill(owner);
        let survivors = fleet.burst(30, "router").await;
        assert!(all_answered(&survivors), "killed after {delay_ms} ms: {survivors:?}");
        let starts = fleet.starter.starts();
        assert_eq!(starts.len(), 1, "killed after {delay_ms} ms: {starts:?}");
        // Requests of the first burst at the killed controller may get no answer.
        first.abort();
        fleet.assert_no_violation();
    }
}

/// The owner is suspended while its start order is on its way. Another controller adopts the
/// activation, and the order then arrives with an outdated fencing token.
#[tokio::test(start_paused = true)]
async fn orders_of_an_owner_suspended_past_its_lease_are_refused() {
    let fleet = Fleet::with_router(3).await;
    let burst = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(1, "router").await }
    });
    fleet.wait_until("a start is recorded", |fleet| fleet.owner("router").is_some()).await;
    let owner = fleet.owner("router").expect("an owner");
    // Its start order is on its way and arrives late; all its other calls wait.
    fleet.pause(owner, 40);
    let other = (owner + 1) % 3;
    assert_eq!(fleet.request(other, "router").await, Outcome::Answered);
    assert_ne!(fleet.owner("router"), Some(owner), "adopted");
    let epoch = fleet.record("router").epoch;
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.starter.starts().len(), 1);
    assert!(fleet.starter.refused() > 0, "the late order arrived and was refused");
    assert!(fleet.record("router").epoch >= epoch);
    burst.abort();
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn owner_suspended_while_draining_does_not_stop_a_model_back_in_use() {
    let fleet = Fleet::with_router(3).await;
    assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
    fleet
        .wait_until("the model drains", |fleet| {
            matches!(stage(fleet), Some(Stage::Draining { .. }))
        })
        .await;
    let owner = fleet.owner("router").expect("an owner");
    // The owner resumes after the drain time has elapsed. If it relied on its old copy of
    // the record, it would stop the replicas.
    fleet.pause(owner, 60);
    let other = (owner + 1) % 3;
    let job = fleet.record("router").activation().expect("active").job.clone();
    for _ in 0..20 {
        assert_eq!(fleet.request(other, "router").await, Outcome::Answered);
        sleep(Duration::from_secs(5)).await;
    }
    assert!(!fleet.starter.was_stopped(&job));
    assert_eq!(fleet.starter.starts().len(), 1, "the running replicas served the requests");
    fleet.assert_no_violation();
}

/// A controller that receives no response to a transaction or an order must not assume that
/// either failed: a repetition with another job would be a second start.
#[tokio::test(start_paused = true)]
async fn lost_responses_cause_no_second_start() {
    for lost in 1..6 {
        let fleet = Fleet::with_router(3).await;
        for index in 0..3 {
            fleet.lose_state_responses(index, lost);
            fleet.lose_starter_responses(index, lost);
        }
        let outcomes = fleet.burst(60, "router").await;
        assert!(all_answered(&outcomes), "{lost} lost responses: {outcomes:?}");
        assert_eq!(fleet.starter.starts().len(), 1, "{lost} lost responses");
        fleet.assert_no_violation();
    }
}

#[tokio::test(start_paused = true)]
async fn late_transactions_cause_no_second_start() {
    for seed in 0..20 {
        let fleet = Fleet::with_router(3).await;
        fleet
            .state
            .set_late_transactions(Some(stonewheel_testing::LateTransactions::new(seed, 0.4, 0.5)));
        let outcomes = fleet.burst(30, "router").await;
        fleet.state.set_late_transactions(None);
        // Requests may be refused while a controller has no session, but none may be
        // forwarded to a replica that does not answer.
        assert!(!outcomes.contains(&Outcome::ReplicaUnavailable), "seed {seed}: {outcomes:?}");
        fleet.wait_until("the model answers", is_ready).await;
        assert!(all_answered(&fleet.burst(3, "router").await), "seed {seed}");
        let starts = fleet.starter.starts();
        assert_eq!(starts.len(), 1, "seed {seed}: {starts:?}");
        fleet.assert_no_violation();
    }
}

/// Copies of transactions and lease requests arrive from within a second to long after they were
/// answered: no replica is started by them, and an idle model still stops.
#[tokio::test(start_paused = true)]
async fn repeated_requests_to_the_state_service_start_no_replica() {
    for seed in 0..6 {
        let fleet = Fleet::with_router(3).await;
        let repeated = stonewheel_testing::RepeatedDeliveries::new(seed, 0.3, 0.05..45.0);
        fleet.state.set_repeated_requests(Some(repeated));
        assert!(all_answered(&fleet.burst(30, "router").await), "seed {seed}");
        assert_eq!(fleet.starter.starts().len(), 1, "seed {seed}");
        fleet
            .wait_until("the idle model scales to zero", |f| {
                f.record("router").state == ModelState::ScaledToZero
            })
            .await;
        sleep(Duration::from_secs(45)).await;
        assert_eq!(fleet.starter.starts().len(), 1, "seed {seed}");
        fleet.assert_no_violation();
    }
}

#[tokio::test(start_paused = true)]
async fn state_outage_during_start_refuses_requests_and_causes_no_second_start() {
    let fleet = Fleet::with_router(3).await;
    let held = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(30, "router").await }
    });
    fleet.wait_until("the start was requested", |fleet| !fleet.starter.starts().is_empty()).await;
    fleet.state.set_outage(true);
    sleep(SESSION_TTL * 2).await;
    // All sessions have expired: held requests were refused, and new ones are refused
    // immediately.
    let began = Instant::now();
    let late = fleet.burst(9, "router").await;
    assert!(began.elapsed() < Duration::from_millis(1), "refused immediately");
    for outcome in held.await.expect("ran").iter().chain(&late) {
        assert!(
            matches!(outcome, Outcome::Refused(Refusal::StateUnknown { retry_after }) if !retry_after.is_zero()),
            "{outcome:?}"
        );
    }
    fleet.state.set_outage(false);
    sleep(Duration::from_secs(3)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.starter.starts().len(), 1);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn ready_model_serves_requests_during_a_short_state_outage() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.state.set_outage(true);
    // The session is valid for 11 s, and `outage_s` is 20 s.
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
    assert_eq!(fleet.starter.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn controller_without_state_service_stops_forwarding_before_the_model_stops() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    // Only controller 2 has requests, and its use marker is deleted when its lease expires.
    fleet.set_state_refused(2, true);
    let began = Instant::now();
    let mut refused = None;
    while began.elapsed() < Duration::from_secs(200) {
        match fleet.request(2, "router").await {
            Outcome::Answered => {
                assert_eq!(refused, None, "no request is admitted after the first refusal")
            }
            Outcome::Refused(_) => drop(refused.get_or_insert(began.elapsed())),
            Outcome::ReplicaUnavailable => panic!("forwarded to a stopped replica"),
        }
        sleep(Duration::from_millis(300)).await;
    }
    assert!(refused.expect("refused eventually") < SESSION_TTL + Duration::from_secs(21));
    fleet
        .wait_until("the others stop the replicas", |fleet| fleet.starter.live("router") == 0)
        .await;
    fleet.set_state_refused(2, false);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.request(2, "router").await, Outcome::Answered);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn requests_to_a_draining_or_stopping_model_are_served() {
    // Requests arrive at every second of a drain, which takes 30 s, and of the stop after it.
    for after in 0..36 {
        let fleet = Fleet::with_router(3).await;
        assert_eq!(fleet.request(0, "router").await, Outcome::Answered);
        fleet
            .wait_until("the model drains", |fleet| {
                matches!(stage(fleet), Some(Stage::Draining { .. }))
            })
            .await;
        sleep(Duration::from_millis(after * 1000 + after * 37 % 100)).await;
        let outcomes = fleet.burst(9, "router").await;
        assert!(all_answered(&outcomes), "{after} s into the drain: {outcomes:?}");
        assert!(fleet.starter.live("router") == 1, "one generation at a time");
        assert!(fleet.starter.starts().len() <= 2);
        fleet.assert_no_violation();
    }
}

#[tokio::test(start_paused = true)]
async fn start_that_never_answers_times_out_and_is_retried() {
    let fleet = Fleet::with_router(3).await;
    fleet.starter.hang_next_starts(1);
    let began = Instant::now();
    assert!(all_answered(&fleet.burst(30, "router").await));
    let starts = fleet.starter.starts();
    assert_eq!(starts.len(), 2, "{starts:?}");
    assert!(
        fleet.starter.was_stopped(&starts[0].job),
        "the first job was stopped before the retry"
    );
    // `start_s`, at least half of the back-off because of its jitter, and the second start.
    let min_time = Duration::from_secs(60 + 2) + STARTUP_TIME;
    assert!((min_time..min_time + Duration::from_secs(5)).contains(&began.elapsed()));
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn failed_cold_start_refuses_requests_with_retry_after() {
    let fleet = Fleet::with_router(3).await;
    fleet.starter.fail_next_starts(3);
    let outcomes = fleet.burst(30, "router").await;
    for outcome in &outcomes {
        let Outcome::Refused(Refusal::Failed { retry_after }) = outcome else {
            panic!("{outcome:?}");
        };
        assert!(*retry_after <= Duration::from_secs(15) && !retry_after.is_zero());
    }
    assert_eq!(fleet.starter.starts().len(), 3, "all permitted attempts were made");
    assert!(matches!(fleet.record("router").state, ModelState::Failed { .. }));
    // Until `retry_after` requests are refused immediately, without a new start.
    let began = Instant::now();
    assert!(!fleet.burst(3, "router").await.contains(&Outcome::Answered));
    assert!(began.elapsed() < Duration::from_millis(1));
    sleep(Duration::from_secs(16)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.starter.starts().len(), 4);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn exited_replicas_are_restarted_once() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.starter.end_replicas("router");
    fleet.wait_until("the owner noticed", |fleet| !is_ready(fleet)).await;
    // The other controllers forward requests until they read the changed record.
    sleep(Duration::from_secs(1)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.starter.starts().len(), 2);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn requests_are_held_while_running_replicas_do_not_answer() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    fleet.starter.set_unresponsive("router", true);
    sleep(Duration::from_secs(5)).await;
    let waiting = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(30, "router").await }
    });
    sleep(Duration::from_secs(20)).await;
    assert!(!waiting.is_finished(), "held");
    fleet.starter.set_unresponsive("router", false);
    assert!(all_answered(&waiting.await.expect("ran")));
    assert_eq!(fleet.starter.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn rejected_start_is_not_retried() {
    let fleet = Fleet::with_router(3).await;
    fleet.starter.set_reject_starts(true);
    let outcomes = fleet.burst(9, "router").await;
    assert!(matches!(outcomes[0], Outcome::Refused(Refusal::Failed { .. })), "{outcomes:?}");
    let ModelState::Failed { reason } = fleet.record("router").state else { panic!("not failed") };
    assert_eq!(reason, "no such team");
}

#[tokio::test(start_paused = true)]
async fn request_is_refused_after_hold_time_when_the_start_does_not_finish() {
    let model = model_settings(&[("hold_s", "30"), ("start_s", "600")]);
    let fleet = Fleet::new(3, settings(&[("router", model)])).await;
    fleet.starter.hang_next_starts(1);
    let began = Instant::now();
    let outcome = fleet.request(0, "router").await;
    assert!(matches!(outcome, Outcome::Refused(Refusal::Starting { .. })), "{outcome:?}");
    let held = began.elapsed();
    assert!((30..31).contains(&held.as_secs()), "{held:?}");
    assert_eq!(fleet.starter.starts().len(), 1, "the job stays pending and is not started again");
}

#[tokio::test(start_paused = true)]
async fn user_job_with_the_same_id_is_neither_adopted_nor_stopped() {
    let fleet = Fleet::with_router(3).await;
    fleet.starter.assign_next_ids_to_users(2);
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.starter.user_jobs().len(), 2);
    assert_eq!(fleet.starter.starts().len(), 1);
    fleet
        .wait_until("the model scales to zero", |f| {
            f.record("router").state == ModelState::ScaledToZero
        })
        .await;
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn full_holder_refuses_requests_and_releases_its_capacity() {
    let mut settings_with_small_limit = settings(&[("router", model_settings(&[]))]);
    settings_with_small_limit.hold_requests = 10.0;
    let fleet = Fleet::new(1, settings_with_small_limit).await;
    let outcomes = fleet.burst(25, "router").await;
    let full = |o: &&Outcome| matches!(o, Outcome::Refused(Refusal::Full { .. }));
    assert_eq!(outcomes.iter().filter(full).count(), 15);
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Answered).count(), 10);
    let usage = fleet.activator(0).held_usage();
    assert_eq!((usage.requests, usage.bytes), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn model_with_many_held_requests_leaves_capacity_for_another_model() {
    let mut settings_with_small_limit =
        settings(&[("router", model_settings(&[])), ("rare", model_settings(&[]))]);
    settings_with_small_limit.hold_requests = 10.0;
    let fleet = Fleet::new(1, settings_with_small_limit).await;
    let burst = tokio::spawn({
        let fleet = fleet.clone();
        async move { fleet.burst(100, "router").await }
    });
    sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.request(0, "rare").await, Outcome::Answered);
    let outcomes = burst.await.expect("ran");
    assert_eq!(outcomes.iter().filter(|o| **o == Outcome::Answered).count(), 5);
}

#[tokio::test(start_paused = true)]
async fn cancelled_held_requests_release_capacity_and_the_model_scales_to_zero() {
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
    fleet.wait_until("the model is ready", is_ready).await;
    fleet
        .wait_until("the idle model scales to zero", |f| {
            f.record("router").state == ModelState::ScaledToZero
        })
        .await;
    assert_eq!(fleet.starter.starts().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn shutdown_is_adopted_quickly_and_a_crash_within_the_session_ttl() {
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
        fleet
            .wait_until("the activation is adopted", |fleet| fleet.owner("router") != Some(owner))
            .await;
        let limit = if orderly { Duration::from_secs(3) } else { SESSION_TTL + SESSION_TTL / 4 };
        assert!(began.elapsed() < limit, "orderly {orderly}: {:?}", began.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn controller_without_activation_does_not_affect_the_others() {
    // One of three controllers does not run the activator, as in a version without
    // activation.
    let fleet = Fleet::not_started(3, settings(&[("router", model_settings(&[]))]), STARTUP_TIME);
    fleet.start(0);
    fleet.start(1);
    sleep(Duration::from_secs(2)).await;
    assert!(all_answered(&fleet.burst(20, "router").await));
    fleet
        .wait_until("the model scales to zero", |f| {
            f.record("router").state == ModelState::ScaledToZero
        })
        .await;
    fleet.start(2);
    sleep(Duration::from_secs(2)).await;
    assert!(all_answered(&fleet.burst(21, "router").await));
    assert_eq!(fleet.starter.starts().len(), 2);
    fleet.assert_no_violation();
}

#[tokio::test(start_paused = true)]
async fn unknown_model_is_refused_without_a_write() {
    let fleet = Fleet::with_router(1).await;
    let before = fleet.state.keys("sp/a/");
    assert_eq!(fleet.request(0, "nobody").await, Outcome::Refused(Refusal::UnknownModel));
    assert_eq!(fleet.state.keys("sp/a/"), before);
}

#[tokio::test(start_paused = true)]
async fn model_stays_ready_when_all_controllers_restart() {
    let fleet = Fleet::with_router(3).await;
    assert!(all_answered(&fleet.burst(3, "router").await));
    for index in 0..3 {
        fleet.kill(index);
    }
    sleep(Duration::from_secs(5)).await;
    for index in 0..3 {
        fleet.start(index);
    }
    sleep(Duration::from_secs(20)).await;
    assert!(all_answered(&fleet.burst(30, "router").await));
    assert_eq!(fleet.starter.starts().len(), 1, "its replicas continued to run");
    fleet
        .wait_until("the model scales to zero", |f| {
            f.record("router").state == ModelState::ScaledToZero
        })
        .await;
    fleet.assert_no_violation();
}

/// The number of attempts is part of the record, so an owner that adopts the activation must
/// not start counting again.
#[tokio::test(start_paused = true)]
async fn attempts_stay_bounded_when_owners_crash_while_starts_fail() {
    let fleet = Fleet::with_router(5).await;
    fleet.starter.fail_next_starts(100);
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
    assert!(fleet.starter.starts().len() <= 3, "{:?}", fleet.starter.starts());
    fleet.assert_no_violation();
}
