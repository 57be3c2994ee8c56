use super::*;
use crate::fleet::{TaskKey, machine::HeartbeatSequence};

const LEASE: Duration = Duration::from_secs(10);
const BOOT: Duration = Duration::from_secs(20);

fn machine(now: Instant) -> Machine {
    Machine::new("t".into(), "z".into(), false, now)
}

/// A machine whose worker has reported at this leader's token just now.
fn reporting(now: Instant) -> Machine {
    Machine {
        last_contact: Some(now),
        acknowledged_term: true,
        latest_heartbeat: HeartbeatSequence { incarnation: 1, sequence: 1 },
        ..machine(now)
    }
}

fn holding_a_task(mut machine: Machine) -> Machine {
    machine.bound.insert(TaskKey { job: "j-000001".into(), task: 0 });
    machine
}

struct Situation {
    after: Duration,
    mostly_silent: bool,
    provable: bool,
}

/// What is decided on a machine that is as at `now` for so long.
fn reason(machine: &Machine, now: Instant, situation: Situation) -> Option<ReturnReason> {
    let proof = TerminationProof { provable: situation.provable, sole_renewer_since: Some(now) };
    let policy = ReturnPolicy {
        now: now + situation.after,
        lease: LEASE,
        proof,
        proof_is_coming: proof.is_coming(LEASE, now + situation.after),
        mostly_silent: situation.mostly_silent,
        patience: LEASE * 3 / 4,
        partitioned: &PartitionedZones::default(),
    };
    policy.reason(machine, BOOT)
}

fn after(seconds: u64) -> Situation {
    Situation { after: Duration::from_secs(seconds), mostly_silent: false, provable: true }
}

#[test]
fn a_boot_is_given_up_after_two_and_a_half_times_its_usual_time() {
    let now = Instant::now();
    assert_eq!(reason(&machine(now), now, after(50)), None);
    assert_eq!(reason(&machine(now), now, after(51)), Some(ReturnReason::NeverBooted));
    let listed = Machine { listed_state: Some(MachineState::Failed), ..machine(now) };
    assert_eq!(reason(&listed, now, after(11)), Some(ReturnReason::Failed));
}

#[test]
fn a_silent_machine_goes_after_three_leases_or_six_if_most_are_silent() {
    let now = Instant::now();
    assert_eq!(reason(&reporting(now), now, after(30)), None);
    assert_eq!(reason(&reporting(now), now, after(31)), Some(ReturnReason::Silent));
    let most = |seconds| Situation { mostly_silent: true, ..after(seconds) };
    assert_eq!(reason(&reporting(now), now, most(59)), None);
    assert_eq!(reason(&reporting(now), now, most(60)), Some(ReturnReason::Silent));
}

#[test]
fn a_silent_machine_with_tasks_goes_sooner_without_proof() {
    let now = Instant::now();
    let machine = holding_a_task(reporting(now));
    assert_eq!(reason(&machine, now, after(11)), None);
    let unprovable = Situation { provable: false, ..after(11) };
    assert_eq!(reason(&machine, now, unprovable), Some(ReturnReason::Silent));
}

#[test]
fn a_machine_in_doubt_goes_once_it_failed_jobs_or_ignored_commands() {
    let now = Instant::now();
    let mut failing = reporting(now);
    failing.failed_jobs.insert("j-000001".into());
    assert_eq!(reason(&failing, now, after(0)), None);
    failing.failed_jobs.insert("j-000002".into());
    assert_eq!(reason(&failing, now, after(0)), Some(ReturnReason::FailsTasks));
    assert_eq!(reason(&holding_a_task(failing), now, after(0)), None, "not while it holds one");
    let ignoring = Machine { unacknowledged_commands: 3, ..reporting(now) };
    assert_eq!(reason(&ignoring, now, after(0)), Some(ReturnReason::IgnoresCommands));
}
