//! Scenarios of lending and reclaiming with three controllers, whose processes end, pause or lose
//! their connections, with machines that fail, and with an unavailable state service.

#[allow(dead_code)] // Each test file uses only a part of the module.
mod common;

use std::time::Duration;

use common::{
    batch, batch_with_save_time,
    fleet::Behaviour,
    serving, settings,
    world::{CONTROLLERS, TestDeployment},
};
use stonewheel_lending::{
    ClaimFailure, ClaimStatus, claim::ClaimError, ledger::LoanState, planner::WaitReason,
};
use tokio::time::{Instant, sleep};

/// Starts a deployment in which team red has a guarantee of 4, and batch work of team blue runs on
/// four borrowed machines.
async fn cluster_with_lent_machines(machines: usize) -> TestDeployment {
    let cluster = TestDeployment::new(settings(&[("blue", 0, 12), ("red", 4, 8)]), machines).await;
    cluster.submit(0, "b-1", batch("blue", 2)).await;
    cluster.submit(1, "b-2", batch("blue", 2)).await;
    cluster.wait_until_running("b-1", 2).await;
    cluster.wait_until_running("b-2", 2).await;
    sleep(Duration::from_secs(5)).await;
    cluster
}

async fn seconds(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn machines_are_reclaimed_for_serving_and_lent_to_batch_again_after_it() {
    let cluster = cluster_with_lent_machines(4).await;
    let submitted_at = Instant::now();
    cluster.submit(2, "s-1", serving("red", 2)).await;
    cluster.wait_until_running("s-1", 2).await;
    assert!(submitted_at.elapsed() < Duration::from_secs(5), "{:?}", submitted_at.elapsed());
    assert_eq!(cluster.fleet().halts.values().sum::<u32>(), 2, "one halt for each machine");
    assert_eq!(cluster.fleet().lost_s, 0.0);
    cluster.withdraw(1, "s-1").await;
    cluster.wait_until_running("b-1", 2).await;
    cluster.wait_until_running("b-2", 2).await;
    assert!(cluster.fleet().done_s("b-2") > 4.0, "batch work resumed from its checkpoint");
    cluster.assert_guarantees_kept();
}

// Guards against one machine that is granted twice, to claims accepted by different controllers.
#[tokio::test(start_paused = true)]
async fn concurrent_claims_of_two_teams_at_two_controllers_are_both_served() {
    let teams = [("blue", 0, 12), ("green", 2, 4), ("red", 2, 4)];
    let cluster = TestDeployment::new(settings(&teams), 4).await;
    for n in 0..4 {
        cluster.submit(n % 3, &format!("b-{n}"), batch("blue", 1)).await;
    }
    cluster
        .wait_until("all machines are lent", |cluster| {
            cluster.entries_in_state(LoanState::Lent) == 4
        })
        .await;
    seconds(3).await;
    tokio::join!(
        cluster.submit(0, "g-1", serving("green", 2)),
        cluster.submit(1, "r-1", serving("red", 2)),
    );
    cluster.wait_until_running("g-1", 2).await;
    cluster.wait_until_running("r-1", 2).await;
    assert_eq!(cluster.fleet().starts, 8, "each replica started once");
    cluster.assert_guarantees_kept();
}

/// How the holder of the ledger fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Its process ends.
    ProcessEnds,
    /// Its process pauses for longer than its session.
    ProcessPauses,
    /// The state service rejects its calls.
    StateServiceRejects,
    /// Its calls to the machines are delayed.
    MachinesUnreachable,
}

fn inject_fault(cluster: &TestDeployment, fault: Fault) {
    let holder = cluster.holder().expect("a holder");
    match fault {
        Fault::ProcessEnds => cluster.kill(holder),
        Fault::ProcessPauses => cluster.pause(holder, 25),
        Fault::StateServiceRejects => {
            cluster.suspend_bound_for(Duration::ZERO);
            cluster.members.refuse(holder, true);
        }
        Fault::MachinesUnreachable => {
            let time = Duration::from_secs(15);
            cluster.suspend_bound_for(time);
            cluster.members.block_other_calls(holder, time);
        }
    }
}

/// Lets the holder fail in each phase of a reclaim, and once the claim's work starts. Guards
/// against a reclaim that no successor completes, and against work that is started or stopped twice
/// by two holders.
async fn fail_holder_in_each_phase(fault: Fault) {
    let phases = [
        Some(LoanState::ReclaimRequested),
        Some(LoanState::Checkpointing),
        Some(LoanState::Released),
        Some(LoanState::Granted),
        None,
    ];
    for phase in phases {
        let cluster = cluster_with_lent_machines(4).await;
        let first_holder = cluster.holder();
        cluster.submit(2, "s-1", serving("red", 2)).await;
        match phase {
            Some(state) => {
                cluster
                    .wait_until("both machines are in the phase", |cluster| {
                        cluster.entries_in_state(state) == 2
                    })
                    .await;
            }
            None => {
                cluster
                    .wait_until("work starts on one machine", |cluster| {
                        cluster.running_machines("s-1") > 0
                    })
                    .await
            }
        }
        inject_fault(&cluster, fault);
        cluster.wait_until_running("s-1", 2).await;
        seconds(40).await;
        assert_eq!(cluster.running_machines("s-1"), 2, "{fault:?} in {phase:?}");
        assert_eq!(
            cluster.running_machines("b-1") + cluster.running_machines("b-2"),
            2,
            "{fault:?} in {phase:?}"
        );
        if fault != Fault::MachinesUnreachable {
            assert_ne!(cluster.holder(), first_holder, "{fault:?} in {phase:?}");
        }
        cluster.assert_guarantees_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn successor_completes_reclaim_when_holder_ends_in_any_phase() {
    fail_holder_in_each_phase(Fault::ProcessEnds).await;
}

#[tokio::test(start_paused = true)]
async fn successor_completes_reclaim_when_holder_pauses_in_any_phase() {
    fail_holder_in_each_phase(Fault::ProcessPauses).await;
}

#[tokio::test(start_paused = true)]
async fn successor_completes_reclaim_when_state_service_rejects_holder_in_any_phase() {
    fail_holder_in_each_phase(Fault::StateServiceRejects).await;
}

#[tokio::test(start_paused = true)]
async fn reclaim_completes_after_holder_loses_connection_to_machines_in_any_phase() {
    fail_holder_in_each_phase(Fault::MachinesUnreachable).await;
}

#[tokio::test(start_paused = true)]
async fn machines_reject_halts_of_a_replaced_holder() {
    let cluster = delay_halts_of_replaced_holder(false).await;
    assert_eq!(
        cluster.fleet().rejected_stale_commands,
        2,
        "both halts arrived late and were rejected"
    );
    assert!(cluster.fleet().done_s("b-1") > 60.0, "the work was not stopped");
    cluster.assert_guarantees_kept();
}

#[tokio::test(start_paused = true)]
async fn checker_detects_machines_that_accept_stale_tokens() {
    let cluster = delay_halts_of_replaced_holder(true).await;
    let violations = cluster.checker().violations.clone();
    assert!(violations.iter().any(|v| v.contains("halted inside")), "{violations:#?}");
}

/// Delays the halts of controller 0 beyond its term: it requests a reclaim and pauses. Its
/// successor withdraws the request, and the borrower's claim comes inside its guarantee. Then the
/// halts arrive.
async fn delay_halts_of_replaced_holder(fencing_disabled: bool) -> TestDeployment {
    let teams = [("blue", 2, 12), ("red", 2, 8)];
    let cluster = TestDeployment::new(settings(&teams), 4).await;
    cluster.fleet().fencing_disabled = fencing_disabled;
    cluster
        .wait_until("controller 0 holds the ledger", |cluster| cluster.holder() == Some(0))
        .await;
    cluster.submit(1, "b-0", serving("blue", 2)).await;
    cluster.submit(1, "b-1", batch("blue", 2)).await;
    cluster.wait_until_running("b-1", 2).await;
    seconds(3).await;
    cluster.submit(1, "s-1", serving("red", 2)).await;
    cluster
        .wait_until("the reclaim is requested", |cluster| {
            cluster.entries_in_state(LoanState::ReclaimRequested) == 2
        })
        .await;
    cluster.pause(0, 40);
    cluster.withdraw(1, "s-1").await;
    cluster.withdraw(1, "b-0").await;
    cluster
        .wait_until("the request is withdrawn", |cluster| {
            cluster.entries_in_state(LoanState::ReclaimRequested) == 0
        })
        .await;
    seconds(60).await;
    cluster
}

// Guards against grants that are not stored: the state service is unavailable for longer than a
// reclaim takes.
#[tokio::test(start_paused = true)]
async fn no_machine_is_granted_during_state_outage_and_reclaim_completes_after_it() {
    for phase in [LoanState::ReclaimRequested, LoanState::Checkpointing, LoanState::Released] {
        let cluster = cluster_with_lent_machines(4).await;
        cluster.submit(2, "s-1", serving("red", 2)).await;
        cluster
            .wait_until("both machines are in the phase", |cluster| {
                cluster.entries_in_state(phase) == 2
            })
            .await;
        let outage = cluster.bounds.reclaim.as_secs() + 20;
        let grants = cluster.entries_in_state(LoanState::Granted);
        cluster.outage(outage).await;
        assert_eq!(
            (cluster.entries_in_state(LoanState::Granted), cluster.running_machines("s-1")),
            (grants, 0)
        );
        assert!(
            cluster.running_machines("b-1") + cluster.running_machines("b-2") >= 2,
            "batch work continues"
        );
        cluster.wait_until_running("s-1", 2).await;
        cluster.assert_guarantees_kept();
    }
}

// Guards against a submission that takes effect after the withdrawal of its claim: some
// transactions get no answer, and are executed immediately or seconds later.
#[tokio::test(start_paused = true)]
async fn lost_answers_and_late_writes_do_not_revive_a_withdrawn_claim() {
    for seed in 0..4 {
        let cluster = cluster_with_lent_machines(5).await;
        let late = stonewheel_testing::LateTransactions::new(seed, 0.4, 0.5);
        cluster.state.set_late_transactions(Some(late));
        cluster.submit(2, "s-1", serving("red", 2)).await;
        cluster.submit(1, "s-2", serving("red", 1)).await;
        cluster.withdraw(0, "s-2").await;
        cluster.suspend_bound_for(Duration::from_secs(60));
        seconds(60).await;
        cluster.state.set_late_transactions(None);
        cluster.wait_until_running("s-1", 2).await;
        seconds(20).await;
        assert_eq!(cluster.running_machines("s-2"), 0, "a withdrawn claim does not run");
        cluster.assert_guarantees_kept();
    }
}

// Guards against a borrower that keeps its machines by never completing its checkpoint.
#[tokio::test(start_paused = true)]
async fn hanging_checkpoint_is_terminated_after_its_grace_period_and_counted() {
    let cluster = cluster_with_lent_machines(4).await;
    let hangs =
        Behaviour { checkpoint_s: 10.0, save_s: 2.0, save_hangs: true, ..Behaviour::default() };
    cluster.fleet().behaviours.insert("b-2".into(), hangs);
    cluster.fleet().behaviours.insert("b-1".into(), hangs);
    let submitted_at = Instant::now();
    cluster.submit(0, "s-1", serving("red", 2)).await;
    cluster.wait_until_running("s-1", 2).await;
    let (duration, grace) = (submitted_at.elapsed(), cluster.settings.times.grace_period());
    assert!(duration > grace && duration < grace + Duration::from_secs(4), "{duration:?}");
    let holder = cluster.members.part(cluster.holder().expect("a holder"));
    assert_eq!(holder.counters().ended_saves, 2);
    assert!(cluster.fleet().lost_s > 4.0);
    cluster.assert_guarantees_kept();
}

// Guards against a checkpoint that is terminated or saved twice when the halt arrives shortly
// before a periodic one, at its beginning or near its end (one every 10 s, which takes 2 s).
#[tokio::test(start_paused = true)]
async fn halt_before_or_during_a_periodic_checkpoint_loses_no_work() {
    for after_ms in [9_500, 10_200, 11_800] {
        let cluster = TestDeployment::new(settings(&[("blue", 0, 12), ("red", 2, 8)]), 2).await;
        cluster.submit(0, "b-1", batch("blue", 2)).await;
        cluster.wait_until_running("b-1", 2).await;
        sleep(Duration::from_millis(after_ms)).await;
        let submitted_at = Instant::now();
        cluster.submit(1, "s-1", serving("red", 2)).await;
        cluster.wait_until_running("s-1", 2).await;
        assert!(submitted_at.elapsed() < Duration::from_secs(4));
        assert_eq!(
            cluster.fleet().halts.values().copied().max(),
            Some(1),
            "one halt for each loan"
        );
        assert_eq!(cluster.fleet().lost_s, 0.0, "no checkpoint is terminated early");
        cluster.assert_guarantees_kept();
    }
}

// Guards against a grant without proof that the borrower's work ended: for 6 s, the reports of one
// machine show its run as still saving.
#[tokio::test(start_paused = true)]
async fn lost_report_of_an_ended_run_only_delays_the_grant() {
    let cluster = cluster_with_lent_machines(4).await;
    cluster.submit(0, "s-1", serving("red", 2)).await;
    cluster
        .wait_until("work saves", |cluster| cluster.entries_in_state(LoanState::Checkpointing) == 2)
        .await;
    let (machine, _) =
        cluster.entries().into_iter().find(|(_, e)| e.is_stopping()).expect("a stopping run");
    cluster.fleet().hide_end_reports(&machine, Duration::from_secs(6));
    seconds(5).await;
    assert_eq!(cluster.running_machines("s-1"), 1, "no grant without proof that the work ended");
    cluster.wait_until_running("s-1", 2).await;
    cluster.assert_guarantees_kept();
}

#[tokio::test(start_paused = true)]
async fn machine_that_fails_while_saving_is_replaced() {
    for fault in
        ["is lost", "is unreachable for a short time", "is unreachable", "restarts", "leaves"]
    {
        let cluster = cluster_with_lent_machines(7).await;
        cluster.submit(1, "b-3", batch("blue", 2)).await;
        cluster.wait_until_running("b-3", 2).await;
        cluster.submit(0, "s-1", serving("red", 3)).await;
        cluster
            .wait_until("work saves", |cluster| {
                cluster.entries_in_state(LoanState::Checkpointing) > 0
            })
            .await;
        let saving =
            cluster.entries().into_iter().find(|(_, e)| e.state == LoanState::Checkpointing);
        let (machine, _) = saving.expect("a saving run");
        match fault {
            "is lost" => cluster.fleet().lose_machine(&machine),
            "is unreachable for a short time" => cluster.make_unreachable(&machine, 4),
            "is unreachable" => cluster.make_unreachable(&machine, 3600),
            "restarts" => cluster.restart(&machine),
            _ => cluster.announce_removal(&machine),
        }
        cluster.wait_until_running("s-1", 3).await;
        seconds(20).await;
        assert_eq!(cluster.running_machines("s-1"), 3, "the machine {fault}");
        cluster.assert_guarantees_kept();
    }
}

// Guards against a granted machine that stays idle because its run was lost with the old session.
#[tokio::test(start_paused = true)]
async fn restarted_machine_runs_its_granted_claim_again() {
    let cluster = cluster_with_lent_machines(4).await;
    cluster.submit(0, "s-1", serving("red", 2)).await;
    cluster.wait_until_running("s-1", 2).await;
    let machine = cluster.fleet().machine_of("s-1").expect("a running claim");
    cluster.restart(&machine);
    cluster.wait_until_running("s-1", 2).await;
    cluster.assert_guarantees_kept();
}

// Guards against thrashing: serving demand that comes and goes within the retention of released
// machines would stop batch work in every cycle.
#[tokio::test(start_paused = true)]
async fn oscillating_demand_preempts_batch_only_once() {
    let cluster = cluster_with_lent_machines(4).await;
    let period = cluster.settings.times.release_retention() - Duration::from_secs(4);
    let cycles = 8;
    for cycle in 0..cycles {
        cluster.submit(cycle % CONTROLLERS, &format!("s-{cycle}"), serving("red", 2)).await;
        sleep(if cycle == 0 { Duration::from_millis(600) } else { period / 2 }).await;
        cluster.withdraw(cycle % CONTROLLERS, &format!("s-{cycle}")).await;
        sleep(period / 2).await;
    }
    // Released machines stay reserved for serving throughout each pause, so no run is stopped
    // again.
    let halts = cluster.fleet().batch_halts();
    assert_eq!(halts, 2, "machines reclaimed in {cycles} cycles");
    let retention =
        cluster.settings.times.rise_retention() + cluster.settings.times.release_retention();
    sleep(retention + Duration::from_secs(10)).await;
    assert_eq!(
        cluster.running_machines("b-1") + cluster.running_machines("b-2"),
        4,
        "batch work runs again after the retention"
    );
    cluster.assert_guarantees_kept();
}

#[tokio::test(start_paused = true)]
async fn concurrent_claims_of_three_teams_are_served_from_batch_that_fills_the_fleet() {
    let teams = [("core", 4, 4), ("lotus", 4, 4), ("rx", 4, 4), ("tune", 4, 16)];
    let cluster = TestDeployment::new(settings(&teams), 16).await;
    for n in 0..8 {
        cluster.submit(n % 3, &format!("t-{n}"), batch_with_save_time("tune", 2, 3.0)).await;
    }
    cluster
        .wait_until("the fleet is full", |cluster| cluster.fleet().running().count() == 16)
        .await;
    seconds(5).await;
    tokio::join!(
        cluster.submit(0, "c-1", serving("core", 4)),
        cluster.submit(1, "l-1", serving("lotus", 4)),
        cluster.submit(2, "r-1", serving("rx", 4)),
    );
    for claim in ["c-1", "l-1", "r-1"] {
        cluster.wait_until_running(claim, 4).await;
    }
    assert_eq!(
        (cluster.running_machines("t-0"), cluster.running_machines("t-1")),
        (2, 2),
        "work inside its guarantee continues"
    );
    assert_eq!(cluster.fleet().lost_s, 0.0);
    cluster.assert_guarantees_kept();
}

// Guards against one unreadable record that stops all lending, or that is overwritten and loses its
// entries.
#[tokio::test(start_paused = true)]
async fn unreadable_shard_blocks_only_its_own_machines() {
    let cluster = cluster_with_lent_machines(8).await;
    let (machine, _) = cluster.entries().into_iter().next().expect("an entry");
    let shards = cluster.holder_record().expect("a holder").shards;
    let number = stonewheel_lending::ledger::shard_of(&machine, shards);
    let key = stonewheel_lending::ledger::shard_key(number);
    let garbage = stonewheel_coordination::put(key.clone(), &"garbage", None).expect("encoded");
    cluster.state.commit(Vec::new(), vec![garbage]).expect("accepted");
    seconds(2).await;
    cluster.submit(0, "s-1", serving("red", 4)).await;
    cluster.wait_until_running("s-1", 4).await;
    seconds(30).await;
    assert_eq!(
        cluster.state.value(&key).as_deref(),
        Some("\"garbage\""),
        "the unreadable shard is not overwritten"
    );
    cluster.assert_guarantees_kept();
}

// Guards against a repeated or late submission that makes a finished claim active again.
#[tokio::test(start_paused = true)]
async fn submission_is_idempotent_and_finished_claims_stay_finished() {
    let cluster = cluster_with_lent_machines(8).await;
    let executor = cluster.members.part(1);
    let claim = serving("red", 1);
    executor.submit("s-1", &claim).await.expect("accepted");
    cluster.members.part(2).submit("s-1", &claim).await.expect("accepted as the same claim");
    let other = cluster.members.part(2).submit("s-1", &serving("red", 2)).await;
    assert_eq!(other, Err(ClaimFailure::Refused(ClaimError::IdTaken)));
    cluster.wait_until_running("s-1", 1).await;
    executor.withdraw("s-1").await.expect("withdrawn");
    executor.withdraw("never").await.expect("also before the submission arrives");
    executor.submit("s-1", &claim).await.expect("accepted, but finished");
    executor.submit("never", &claim).await.expect("accepted, but finished");
    seconds(5).await;
    assert_eq!((cluster.running_machines("s-1"), cluster.running_machines("never")), (0, 0));
    assert_eq!(executor.status("s-1"), ClaimStatus::Finished);
    assert_eq!(executor.status("nobody"), ClaimStatus::Unknown);
    cluster
        .wait_until("the records of the finished claims are deleted", |cluster| {
            cluster.state.keys("sp/l/c/").len() == 2
        })
        .await;
    cluster.assert_guarantees_kept();
}

#[tokio::test(start_paused = true)]
async fn holder_reports_wait_reason_and_other_controllers_name_the_holder() {
    let cluster = cluster_with_lent_machines(4).await;
    cluster.submit(0, "s-1", serving("red", 2)).await;
    cluster.submit(0, "b-3", batch("blue", 1)).await;
    let holder = cluster.holder().expect("a holder");
    cluster
        .wait_until("work saves", |cluster| cluster.entries_in_state(LoanState::Checkpointing) == 2)
        .await;
    let status_at_holder = |id: &str| cluster.members.part(holder).status(id);
    let reclaiming = WaitReason::Reclaiming { machines: 2 };
    assert_eq!(status_at_holder("s-1"), ClaimStatus::Active(Some(reclaiming)));
    cluster.wait_until_running("s-1", 2).await;
    seconds(1).await;
    assert_eq!(status_at_holder("s-1"), ClaimStatus::Active(Some(WaitReason::Served)));
    let waiting_status = status_at_holder("b-3");
    assert_eq!(waiting_status, ClaimStatus::Active(Some(WaitReason::NoFreeMachine)));
    let other = cluster.members.part((holder + 1) % CONTROLLERS).status("s-1");
    assert_eq!(other, ClaimStatus::HeldElsewhere { holder: Some(format!("m-{holder}")) });
}

// Guards against endless start attempts on machines where each start fails.
#[tokio::test(start_paused = true)]
async fn completed_batch_is_finished_and_machines_where_starts_fail_are_quarantined() {
    let cluster = TestDeployment::new(settings(&[("blue", 0, 12), ("red", 4, 8)]), 6).await;
    let short = Behaviour { work_s: Some(5.0), ..Behaviour::default() };
    cluster.fleet().behaviours.insert("b-1".into(), short);
    cluster.submit(0, "b-1", batch("blue", 2)).await;
    cluster
        .wait_until("the batch work is complete", |w| {
            w.members.part(1).status("b-1") == ClaimStatus::Finished
        })
        .await;
    cluster.wait_until("its machines are available", |cluster| cluster.entries().is_empty()).await;
    cluster
        .fleet()
        .behaviours
        .insert("b-2".into(), Behaviour { start_fails: true, ..Behaviour::default() });
    cluster.submit(0, "b-2", batch("blue", 1)).await;
    seconds(10).await;
    let attempts = cluster.fleet().starts - 2;
    assert!(attempts <= 6, "at most one attempt per machine: {attempts}");
    cluster.assert_guarantees_kept();
}
