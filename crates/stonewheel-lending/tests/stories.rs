//! Several controllers lend and reclaim while they crash, pause and are cut off.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use common::{
    batch,
    fleet::Behaviour,
    saving, serving, settings,
    world::{CONTROLLERS, World},
};
use stonewheel_lending::{
    ClaimFailure, ClaimStatus, claim::ClaimError, ledger::LoanState, planner::WaitReason,
};
use tokio::time::{Instant, sleep};

/// Red has a guarantee of 4, and blue borrows all that red doesn't use.
async fn borrowed(machines: usize) -> World {
    let world = World::new(settings(&[("blue", 0, 12), ("red", 4, 8)]), machines).await;
    world.submit(0, "b-1", batch("blue", 2)).await;
    world.submit(1, "b-2", batch("blue", 2)).await;
    world.until_runs("b-1", 2).await;
    world.until_runs("b-2", 2).await;
    sleep(Duration::from_secs(5)).await;
    world
}

async fn seconds(seconds: u64) {
    sleep(Duration::from_secs(seconds)).await;
}

#[tokio::test(start_paused = true)]
async fn serving_gets_its_machines_back_and_batch_gets_them_again() {
    let world = borrowed(4).await;
    let asked = Instant::now();
    world.submit(2, "s-1", serving("red", 2)).await;
    world.until_runs("s-1", 2).await;
    assert!(asked.elapsed() < Duration::from_secs(5), "{:?}", asked.elapsed());
    assert_eq!(world.fleet().halts.values().sum::<u32>(), 2, "each machine was halted once");
    assert_eq!(world.fleet().lost_s, 0.0);
    world.withdraw(1, "s-1").await;
    world.until_runs("b-1", 2).await;
    world.until_runs("b-2", 2).await;
    assert!(world.fleet().done_s("b-2") > 4.0, "it went on from what it saved");
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn two_teams_that_claim_the_same_machine_at_two_controllers_both_get_theirs() {
    let teams = [("blue", 0, 12), ("green", 2, 4), ("red", 2, 4)];
    let world = World::new(settings(&teams), 4).await;
    for n in 0..4 {
        world.submit(n % 3, &format!("b-{n}"), batch("blue", 1)).await;
    }
    world.until("all is lent", |world| world.in_state(LoanState::Lent) == 4).await;
    seconds(3).await;
    tokio::join!(
        world.submit(0, "g-1", serving("green", 2)),
        world.submit(1, "r-1", serving("red", 2)),
    );
    world.until_runs("g-1", 2).await;
    world.until_runs("r-1", 2).await;
    assert_eq!(world.fleet().starts, 8, "nothing was started twice");
    world.assert_kept();
}

/// How a holder fails.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Ends,
    Pauses,
    LosesState,
    LosesMachines,
}

fn fail(world: &World, fault: Fault) {
    let holder = world.holder().expect("a holder");
    match fault {
        Fault::Ends => world.kill(holder),
        Fault::Pauses => world.pause(holder, 25),
        Fault::LosesState => {
            world.excuse(Duration::ZERO);
            world.members.refuse(holder, true);
        }
        Fault::LosesMachines => {
            let time = Duration::from_secs(15);
            world.excuse(time);
            world.members.block_other_calls(holder, time);
        }
    }
}

/// The holder fails in each phase of a reclaim; its successor goes on.
async fn fails_in_each_phase(fault: Fault) {
    let phases = [
        Some(LoanState::ReclaimRequested),
        Some(LoanState::Checkpointing),
        Some(LoanState::Released),
        Some(LoanState::Granted),
        None,
    ];
    for phase in phases {
        let world = borrowed(4).await;
        let first = world.holder();
        world.submit(2, "s-1", serving("red", 2)).await;
        match phase {
            Some(state) => {
                world.until("the phase", |world| world.in_state(state) == 2).await;
            }
            None => world.until("a start", |world| world.runs("s-1") > 0).await,
        }
        fail(&world, fault);
        world.until_runs("s-1", 2).await;
        seconds(40).await;
        assert_eq!(world.runs("s-1"), 2, "{fault:?} in {phase:?}");
        assert_eq!(world.runs("b-1") + world.runs("b-2"), 2, "{fault:?} in {phase:?}");
        if fault != Fault::LosesMachines {
            assert_ne!(world.holder(), first, "{fault:?} in {phase:?}");
        }
        world.assert_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_ends_in_any_phase_is_succeeded() {
    fails_in_each_phase(Fault::Ends).await;
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_pauses_past_its_lease_in_any_phase_is_succeeded_and_refused() {
    fails_in_each_phase(Fault::Pauses).await;
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_the_state_service_refuses_in_any_phase_is_succeeded() {
    fails_in_each_phase(Fault::LosesState).await;
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_loses_the_machines_in_any_phase_goes_on_when_it_has_them_again() {
    fails_in_each_phase(Fault::LosesMachines).await;
}

#[tokio::test(start_paused = true)]
async fn what_a_replaced_holder_decided_is_refused_when_it_wakes() {
    let world = stale_halt(false).await;
    assert_eq!(world.fleet().refused, 2, "its halts arrived late");
    assert!(world.fleet().done_s("b-1") > 60.0, "and stopped nothing");
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn machines_that_check_no_token_are_caught_by_the_checker() {
    let world = stale_halt(true).await;
    let violations = world.checker().violations.clone();
    assert!(violations.iter().any(|v| v.contains("halted inside")), "{violations:#?}");
}

/// Controller 0 requests a reclaim, and its halt leaves only after another holder
/// withdrew the request and the borrower came inside its guarantee.
async fn stale_halt(unfenced: bool) -> World {
    let teams = [("blue", 2, 12), ("red", 2, 8)];
    let world = World::new(settings(&teams), 4).await;
    world.fleet().unfenced = unfenced;
    world.until("controller 0 holds", |world| world.holder() == Some(0)).await;
    world.submit(1, "b-0", serving("blue", 2)).await;
    world.submit(1, "b-1", batch("blue", 2)).await;
    world.until_runs("b-1", 2).await;
    seconds(3).await;
    world.submit(1, "s-1", serving("red", 2)).await;
    world.until("requested", |world| world.in_state(LoanState::ReclaimRequested) == 2).await;
    world.pause(0, 40);
    world.withdraw(1, "s-1").await;
    world.withdraw(1, "b-0").await;
    world.until("withdrawn", |world| world.in_state(LoanState::ReclaimRequested) == 0).await;
    seconds(60).await;
    world
}

#[tokio::test(start_paused = true)]
async fn an_outage_in_mid_reclaim_grants_nothing_and_ends_within_the_bound() {
    for phase in [LoanState::ReclaimRequested, LoanState::Checkpointing, LoanState::Released] {
        let world = borrowed(4).await;
        world.submit(2, "s-1", serving("red", 2)).await;
        world.until("the phase", |world| world.in_state(phase) == 2).await;
        let outage = world.bounds.reclaim.as_secs() + 20;
        let grants = world.in_state(LoanState::Granted);
        world.outage(outage).await;
        assert_eq!((world.in_state(LoanState::Granted), world.runs("s-1")), (grants, 0));
        assert!(world.runs("b-1") + world.runs("b-2") >= 2, "batch goes on");
        world.until_runs("s-1", 2).await;
        world.assert_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn writes_whose_answers_are_lost_or_that_come_late_change_nothing() {
    for seed in 0..4 {
        let world = borrowed(5).await;
        let late = stonewheel_testing::LateTransactions::new(seed, 0.4, 0.5);
        world.state.set_late_transactions(Some(late));
        world.submit(2, "s-1", serving("red", 2)).await;
        world.submit(1, "s-2", serving("red", 1)).await;
        world.withdraw(0, "s-2").await;
        world.excuse(Duration::from_secs(60));
        seconds(60).await;
        world.state.set_late_transactions(None);
        world.until_runs("s-1", 2).await;
        seconds(20).await;
        assert_eq!(world.runs("s-2"), 0, "withdrawn, whatever came late");
        world.assert_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn a_save_that_hangs_is_ended_after_its_grace_and_the_loss_counted() {
    let world = borrowed(4).await;
    let hangs = Behaviour { checkpoint_s: 10.0, save_s: 2.0, hangs: true, ..Behaviour::default() };
    world.fleet().behaviours.insert("b-2".into(), hangs);
    world.fleet().behaviours.insert("b-1".into(), hangs);
    let asked = Instant::now();
    world.submit(0, "s-1", serving("red", 2)).await;
    world.until_runs("s-1", 2).await;
    let (took, grace) = (asked.elapsed(), world.settings.times.grace_period());
    assert!(took > grace && took < grace + Duration::from_secs(4), "{took:?}");
    let holder = world.members.part(world.holder().expect("a holder"));
    assert_eq!(holder.counters().ended_saves, 2);
    assert!(world.fleet().lost_s > 4.0);
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn a_halt_joins_a_checkpoint_at_its_beginning_middle_or_end() {
    for after_ms in [9_500, 10_200, 11_800] {
        let world = World::new(settings(&[("blue", 0, 12), ("red", 2, 8)]), 2).await;
        world.submit(0, "b-1", batch("blue", 2)).await;
        world.until_runs("b-1", 2).await;
        sleep(Duration::from_millis(after_ms)).await;
        let asked = Instant::now();
        world.submit(1, "s-1", serving("red", 2)).await;
        world.until_runs("s-1", 2).await;
        assert!(asked.elapsed() < Duration::from_secs(4));
        assert_eq!(world.fleet().halts.values().copied().max(), Some(1), "never asked twice");
        assert_eq!(world.fleet().lost_s, 0.0, "never cut short");
        world.assert_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn an_end_whose_report_is_lost_delays_the_grant_and_no_more() {
    let world = borrowed(4).await;
    world.submit(0, "s-1", serving("red", 2)).await;
    world.until("it saves", |world| world.in_state(LoanState::Checkpointing) == 2).await;
    let (machine, _) =
        world.entries().into_iter().find(|(_, e)| e.is_stopping()).expect("one leaves");
    world.fleet().hide_end(&machine, Duration::from_secs(6));
    seconds(5).await;
    assert_eq!(world.runs("s-1"), 1, "nothing is granted without proof");
    world.until_runs("s-1", 2).await;
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn a_borrowers_machine_that_fails_during_the_save_is_made_good() {
    for fault in ["dies", "hangs", "is silent", "restarts", "leaves"] {
        let world = borrowed(7).await;
        world.submit(1, "b-3", batch("blue", 2)).await;
        world.until_runs("b-3", 2).await;
        world.submit(0, "s-1", serving("red", 3)).await;
        world.until("it saves", |world| world.in_state(LoanState::Checkpointing) > 0).await;
        let saving = world.entries().into_iter().find(|(_, e)| e.state == LoanState::Checkpointing);
        let (machine, _) = saving.expect("one saves");
        match fault {
            "dies" => world.fleet().lose(&machine),
            "hangs" => world.silence(&machine, 4),
            "is silent" => world.silence(&machine, 3600),
            "restarts" => world.restart(&machine),
            _ => world.give_notice(&machine),
        }
        world.until_runs("s-1", 3).await;
        seconds(20).await;
        assert_eq!(world.runs("s-1"), 3, "the machine {fault}");
        world.assert_kept();
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_in_a_new_session_after_the_grant_runs_its_claim_again() {
    let world = borrowed(4).await;
    world.submit(0, "s-1", serving("red", 2)).await;
    world.until_runs("s-1", 2).await;
    let machine = world.fleet().machine_of("s-1").expect("it runs");
    world.restart(&machine);
    world.until_runs("s-1", 2).await;
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn a_rush_that_ends_in_mid_reclaim_or_comes_again_moves_each_machine_a_bounded_number_of_times()
 {
    let world = borrowed(4).await;
    let period = world.settings.times.release_retention() - Duration::from_secs(4);
    let cycles = 8;
    for cycle in 0..cycles {
        world.submit(cycle % CONTROLLERS, &format!("s-{cycle}"), serving("red", 2)).await;
        sleep(if cycle == 0 { Duration::from_millis(600) } else { period / 2 }).await;
        world.withdraw(cycle % CONTROLLERS, &format!("s-{cycle}")).await;
        sleep(period / 2).await;
    }
    // Below the hysteresis they wait for serving: no run is stopped again.
    let halts = world.fleet().batch_halts();
    assert_eq!(halts, 2, "machines taken back in {cycles} cycles");
    let settle = world.settings.times.rise_retention() + world.settings.times.release_retention();
    sleep(settle + Duration::from_secs(10)).await;
    assert_eq!(world.runs("b-1") + world.runs("b-2"), 4, "then batch has them again");
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn fine_tuning_that_fills_the_fleet_gives_way_to_three_teams_in_one_second() {
    let teams = [("core", 4, 4), ("lotus", 4, 4), ("rx", 4, 4), ("tune", 4, 16)];
    let world = World::new(settings(&teams), 16).await;
    for n in 0..8 {
        world.submit(n % 3, &format!("t-{n}"), saving("tune", 2, 3.0)).await;
    }
    world.until("the fleet is full", |world| world.fleet().running().count() == 16).await;
    seconds(5).await;
    tokio::join!(
        world.submit(0, "c-1", serving("core", 4)),
        world.submit(1, "l-1", serving("lotus", 4)),
        world.submit(2, "r-1", serving("rx", 4)),
    );
    for claim in ["c-1", "l-1", "r-1"] {
        world.until_runs(claim, 4).await;
    }
    assert_eq!((world.runs("t-0"), world.runs("t-1")), (2, 2), "its own guarantee stands");
    assert_eq!(world.fleet().lost_s, 0.0);
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn an_unreadable_shard_blocks_its_own_machines_and_no_others() {
    let world = borrowed(8).await;
    let (machine, _) = world.entries().into_iter().next().expect("an entry");
    let shards = world.holder_record().expect("a holder").shards;
    let number = stonewheel_lending::ledger::shard_of(&machine, shards);
    let key = stonewheel_lending::ledger::shard_key(number);
    let garbage = stonewheel_coordination::put(key.clone(), &"garbage", None).expect("encoded");
    world.state.commit(Vec::new(), vec![garbage]).expect("taken");
    seconds(2).await;
    world.submit(0, "s-1", serving("red", 4)).await;
    world.until_runs("s-1", 4).await;
    seconds(30).await;
    assert_eq!(world.state.value(&key).as_deref(), Some("\"garbage\""), "nobody touches it");
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn a_repeat_is_the_same_claim_and_what_is_over_does_not_come_back() {
    let world = borrowed(8).await;
    let executor = world.members.part(1);
    let claim = serving("red", 1);
    executor.submit("s-1", &claim).await.expect("taken");
    world.members.part(2).submit("s-1", &claim).await.expect("the same");
    let other = world.members.part(2).submit("s-1", &serving("red", 2)).await;
    assert_eq!(other, Err(ClaimFailure::Refused(ClaimError::IdTaken)));
    world.until_runs("s-1", 1).await;
    executor.withdraw("s-1").await.expect("withdrawn");
    executor.withdraw("never").await.expect("whatever is on its way");
    executor.submit("s-1", &claim).await.expect("known, and over");
    executor.submit("never", &claim).await.expect("known, and over");
    seconds(5).await;
    assert_eq!((world.runs("s-1"), world.runs("never")), (0, 0));
    assert_eq!(executor.status("s-1"), ClaimStatus::Finished);
    assert_eq!(executor.status("nobody"), ClaimStatus::Unknown);
    world.until("it is forgotten", |world| world.state.keys("sp/l/c/").len() == 2).await;
    world.assert_kept();
}

#[tokio::test(start_paused = true)]
async fn the_holder_says_why_a_claim_waits_and_others_name_the_holder() {
    let world = borrowed(4).await;
    world.submit(0, "s-1", serving("red", 2)).await;
    world.submit(0, "b-3", batch("blue", 1)).await;
    let holder = world.holder().expect("a holder");
    world.until("it saves", |world| world.in_state(LoanState::Checkpointing) == 2).await;
    let explain = |id: &str| world.members.part(holder).status(id);
    let reclaiming = WaitReason::Reclaiming { machines: 2 };
    assert_eq!(explain("s-1"), ClaimStatus::Active(Some(reclaiming)));
    world.until_runs("s-1", 2).await;
    seconds(1).await;
    assert_eq!(explain("s-1"), ClaimStatus::Active(Some(WaitReason::Served)));
    let waits = explain("b-3");
    assert_eq!(waits, ClaimStatus::Active(Some(WaitReason::NoFreeMachine)));
    let other = world.members.part((holder + 1) % CONTROLLERS).status("s-1");
    assert_eq!(other, ClaimStatus::HeldElsewhere { holder: Some(format!("m-{holder}")) });
}

#[tokio::test(start_paused = true)]
async fn batch_that_is_done_is_told_done_and_a_failing_machine_is_avoided() {
    let world = World::new(settings(&[("blue", 0, 12), ("red", 4, 8)]), 6).await;
    let short = Behaviour { work_s: Some(5.0), ..Behaviour::default() };
    world.fleet().behaviours.insert("b-1".into(), short);
    world.submit(0, "b-1", batch("blue", 2)).await;
    world.until("it is done", |w| w.members.part(1).status("b-1") == ClaimStatus::Finished).await;
    world.until("its machines are free", |world| world.entries().is_empty()).await;
    world
        .fleet()
        .behaviours
        .insert("b-2".into(), Behaviour { fails: true, ..Behaviour::default() });
    world.submit(0, "b-2", batch("blue", 1)).await;
    seconds(10).await;
    let tries = world.fleet().starts - 2;
    assert!(tries <= 6, "one try a machine: {tries}");
    world.assert_kept();
}
