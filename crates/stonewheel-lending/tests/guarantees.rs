//! Ten minutes of batch work and fluctuating serving demand, while controllers, machines and the
//! state service fail by a random sequence for each seed: the checker finds no violated guarantee
//! at any time. Two faulty planners show that the checker detects violations.

#[allow(dead_code)] // Each test file uses only a part of the module.
mod common;

use std::time::Duration;

use common::{
    batch, batch_with_save_time, irrevocable_batch, serving, settings,
    world::{CONTROLLERS, TestDeployment},
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use stonewheel_lending::{
    claim::Claim,
    ledger::{ChangeReason, Entry, LoanId, LoanState, Transition},
    planner::{Plan, PlannerInput, WaitReason, plan},
};
use stonewheel_testing::{LateTransactions, RepeatedDeliveries};
use tokio::time::sleep;

const TEAMS: [(&str, u32, u32); 4] =
    [("core", 6, 10), ("lotus", 4, 8), ("rx", 4, 8), ("nightly", 2, 24)];
const MACHINES: usize = 24;
/// Machines that may be lost in one run; the remaining ones cover all guarantees.
const MAX_LOST_MACHINES: u32 = 5;
/// Seeds that run in CI. Another test, which is ignored by default, runs more.
const CI_SEEDS: std::ops::Range<u64> = 0..6;
/// The share of requests to the state service of which copies arrive after they were answered.
const REPEATED_SHARE: f64 = 0.05;
/// The delays of these copies in seconds.
const REPEATED_AFTER_S: std::ops::Range<f64> = 0.05..45.0;
/// How long demand and faults last.
const LOAD_DURATION: Duration = Duration::from_secs(600);

/// Submits and withdraws claims: batch work all the time, serving only during a rush, which is
/// every other minute.
async fn generate_demand(cluster: TestDeployment, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut active_ids: Vec<String> = Vec::new();
    for number in 0_u32.. {
        let rush = cluster.now().as_secs() / 60 % 2 == 1;
        let team = TEAMS[rng.random_range(0..TEAMS.len())].0;
        let machines = rng.random_range(1..4);
        let claim: Claim = match rng.random_range(0..10) {
            0..4 if rush && team != "nightly" => serving(team, machines),
            4..6 => batch_with_save_time(team, machines, rng.random_range(0.5..7.5)),
            6 => irrevocable_batch(team, machines),
            _ => batch("nightly", machines),
        };
        let controller = rng.random_range(0..CONTROLLERS);
        let id = format!("c-{number}");
        cluster.submit(controller, &id, claim).await;
        active_ids.push(id);
        let max_active = if rush { 16 } else { 8 };
        while active_ids.len() > max_active {
            let removed = active_ids.remove(rng.random_range(0..active_ids.len()));
            cluster.withdraw(rng.random_range(0..CONTROLLERS), &removed).await;
        }
        sleep(Duration::from_secs_f64(rng.random_range(0.5..6.0))).await;
    }
}

/// Injects one fault after the other, into controllers, machines, calls and the state service.
async fn inject_faults(cluster: TestDeployment, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let mut lost = 0;
    loop {
        sleep(Duration::from_secs_f64(rng.random_range(4.0..20.0))).await;
        let controller = rng.random_range(0..CONTROLLERS);
        let fault_s = rng.random_range(2..30);
        let names = cluster.fleet().machine_names();
        let machine = names[rng.random_range(0..names.len())].clone();
        match rng.random_range(0..10) {
            0 | 1 => {
                cluster.kill(controller);
                sleep(Duration::from_secs(fault_s / 4)).await;
                cluster.start(controller);
            }
            2 => cluster.pause(controller, fault_s),
            3 => {
                cluster.suspend_bound_for(Duration::from_secs(fault_s));
                cluster.members.refuse(controller, true);
                sleep(Duration::from_secs(fault_s)).await;
                cluster.members.refuse(controller, false);
            }
            4 => {
                let fault_duration = Duration::from_secs(fault_s);
                cluster.suspend_bound_for(fault_duration);
                cluster.members.block_other_calls(controller, fault_duration);
            }
            5 => cluster.outage(fault_s).await,
            6 => {
                cluster.suspend_bound_for(Duration::from_secs(20));
                cluster.state.set_late_transactions(Some(LateTransactions::new(seed, 0.3, 0.5)));
                sleep(Duration::from_secs(8)).await;
                cluster.state.set_late_transactions(None);
                sleep(Duration::from_secs(12)).await;
            }
            7 if lost < MAX_LOST_MACHINES => {
                lost += 1;
                cluster.fleet().lose_machine(&machine);
            }
            // Shorter than the worker lease, whose expiry would cost the machine.
            8 => cluster.make_unreachable(&machine, fault_s / 6),
            _ => cluster.restart(&machine),
        }
    }
}

/// Runs a deployment with demand and faults, then ends the faults and restarts all controllers.
async fn run_load(seed: u64) -> TestDeployment {
    let cluster = TestDeployment::new(settings(&TEAMS), MACHINES).await;
    let repeated = RepeatedDeliveries::new(seed, REPEATED_SHARE, REPEATED_AFTER_S);
    cluster.state.set_repeated_requests(Some(repeated));
    tokio::select! {
        () = generate_demand(cluster.clone(), seed) => {}
        () = inject_faults(cluster.clone(), seed) => {}
        () = sleep(LOAD_DURATION) => {}
    }
    cluster.state.set_late_transactions(None);
    cluster.state.set_repeated_requests(None);
    cluster.state.set_outage(false);
    for controller in 0..CONTROLLERS {
        cluster.kill(controller);
        cluster.start(controller);
    }
    cluster
}

/// Asserts that after the faults no claim inside its guarantee waits for machines.
async fn assert_guaranteed_claims_served(cluster: &TestDeployment) {
    sleep(cluster.bounds.takeover + cluster.bounds.reclaim * 2).await;
    let holder = cluster.holder().expect("a holder");
    let executor = cluster.members.part(holder);
    let claims = cluster.state.keys("sp/l/c/");
    assert!(!claims.is_empty());
    for key in claims {
        let id = key.trim_start_matches("sp/l/c/");
        let status = format!("{:?}", executor.status(id));
        let unserved = ["InsufficientCapacity", "Queued", "Stopping", "Reclaiming"];
        assert!(!unserved.iter().any(|reason| status.contains(reason)), "{id} {status}");
    }
}

async fn run_load_and_check(seed: u64) {
    let cluster = run_load(seed).await;
    assert_guaranteed_claims_served(&cluster).await;
    cluster.assert_guarantees_kept();
    let fleet = cluster.fleet();
    println!(
        "seed {seed}: {} starts, {} halts, {:.0} s of batch lost, longest wait {:?}",
        fleet.starts,
        fleet.halts.len(),
        fleet.lost_s,
        cluster.checker().longest_wait,
    );
}

#[tokio::test(start_paused = true)]
async fn guarantees_hold_while_controllers_and_machines_fail() {
    for seed in CI_SEEDS {
        run_load_and_check(seed).await;
    }
}

#[tokio::test(start_paused = true)]
#[ignore = "takes long: runs many seeds"]
async fn guarantees_hold_on_many_seeds() {
    for seed in 100..200 {
        run_load_and_check(seed).await;
    }
}

/// A faulty planner that grants free machines to irrevocable work though they cover a guarantee.
fn grant_guaranteed_machines_to_irrevocable_work(input: &PlannerInput<'_>) -> Plan {
    let mut plan = plan(input);
    for active in input.claims {
        let waits = plan.reasons.get(&active.id) == Some(&WaitReason::NoFreeMachine);
        if !waits || active.claim.is_revocable(input.settings.times.grace_s) {
            continue;
        }
        let is_free = |name: &&std::sync::Arc<str>| {
            input.ledger.get(name).is_none()
                && !plan.transitions.iter().any(|t| t.machine == **name)
        };
        let free: Vec<_> = input.machines.keys().filter(is_free).cloned().collect();
        for machine in free.into_iter().take(active.claim.machines as usize) {
            plan.next_number += 1;
            let loan = LoanId { epoch: input.epoch, number: plan.next_number };
            let (team, id) = (active.claim.team.clone(), active.id.clone());
            let after = Some(Entry::grant(loan, team, id, ChangeReason::Free));
            plan.transitions.push(Transition { machine, after });
        }
    }
    plan
}

/// A faulty planner that grants a machine to its claimant as soon as the work there was halted,
/// without a report that proves its end.
fn grant_before_proof_of_end(input: &PlannerInput<'_>) -> Plan {
    let mut plan = plan(input);
    for (machine, entry) in input.ledger.entries() {
        let claimant = entry.claimant.as_ref().filter(|_| entry.state == LoanState::Checkpointing);
        let active = input.claims.iter().find(|active| Some(&active.id) == claimant);
        let Some(active) = active else { continue };
        plan.next_number += 1;
        let loan = LoanId { epoch: input.epoch, number: plan.next_number };
        let (team, id) = (active.claim.team.clone(), active.id.clone());
        let after = Some(Entry::grant(loan, team, id, ChangeReason::Claimed));
        plan.transitions.retain(|transition| transition.machine != *machine);
        plan.transitions.push(Transition { machine: machine.clone(), after });
    }
    plan
}

#[tokio::test(start_paused = true)]
async fn checker_detects_guaranteed_machines_granted_to_irrevocable_work() {
    let teams = [("blue", 0, 8), ("red", 4, 8)];
    let planner = grant_guaranteed_machines_to_irrevocable_work;
    let cluster = TestDeployment::with_planner(settings(&teams), 6, planner).await;
    cluster.submit(0, "x-1", irrevocable_batch("blue", 4)).await;
    sleep(Duration::from_secs(10)).await;
    let violations = cluster.checker().violations.clone();
    assert!(violations.iter().any(|v| v.contains("covers a guarantee")), "{violations:#?}");
}

#[tokio::test(start_paused = true)]
async fn checker_detects_grant_before_proof_that_work_ended() {
    let teams = [("blue", 0, 8), ("red", 4, 8)];
    let cluster =
        TestDeployment::with_planner(settings(&teams), 4, grant_before_proof_of_end).await;
    cluster.submit(0, "b-1", batch("blue", 4)).await;
    cluster.wait_until_running("b-1", 4).await;
    sleep(Duration::from_secs(3)).await;
    cluster.submit(0, "s-1", serving("red", 4)).await;
    sleep(Duration::from_secs(10)).await;
    let violations = cluster.checker().violations.clone();
    assert!(violations.iter().any(|v| v.contains("cut short")), "{violations:#?}");
}
