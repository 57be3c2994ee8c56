use super::*;
use crate::fleet::{TaskKey, machine::HeartbeatSequence};

const LEASE: Duration = Duration::from_secs(10);
const BOOT: Duration = Duration::from_secs(20);

fn machine(now: Instant) -> Machine {
    Machine::new("t".into(), "z".into(), false, now)
}

/// Returns a machine whose worker reported with a token of this term at `now`.
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

/// The state of the fleet when a decision is made.
struct Situation {
    /// The time since the machine's last contact.
    after: Duration,
    mostly_silent: bool,
    provable: bool,
}

/// Returns the decision on a machine that has not changed since `now`.
fn reason(machine: &Machine, now: Instant, situation: Situation) -> Option<ReturnReason> {
    let proof = TerminationProof { provable: situation.provable, sole_renewer_since: Some(now) };
    let policy = ReturnPolicy {
        now: now + situation.after,
        lease: LEASE,
        proof,
        proof_expected: proof.is_expected(LEASE, now + situation.after),
        mostly_silent: situation.mostly_silent,
        reconnect_timeout: LEASE * 3 / 4,
        partitioned: &PartitionedZones::default(),
    };
    policy.reason(machine, BOOT)
}

fn after(seconds: u64) -> Situation {
    Situation { after: Duration::from_secs(seconds), mostly_silent: false, provable: true }
}

#[test]
fn booting_machine_is_returned_after_two_and_a_half_boot_times() {
    let now = Instant::now();
    assert_eq!(reason(&machine(now), now, after(50)), None);
    assert_eq!(reason(&machine(now), now, after(51)), Some(ReturnReason::NeverBooted));
    let listed = Machine { listed_state: Some(MachineState::Failed), ..machine(now) };
    assert_eq!(reason(&listed, now, after(11)), Some(ReturnReason::Failed));
}

#[test]
fn silent_machine_is_returned_after_three_leases_or_six_if_most_are_silent() {
    let now = Instant::now();
    assert_eq!(reason(&reporting(now), now, after(30)), None);
    assert_eq!(reason(&reporting(now), now, after(31)), Some(ReturnReason::Silent));
    let most = |seconds| Situation { mostly_silent: true, ..after(seconds) };
    assert_eq!(reason(&reporting(now), now, most(59)), None);
    assert_eq!(reason(&reporting(now), now, most(60)), Some(ReturnReason::Silent));
}

#[test]
fn silent_machine_with_tasks_is_returned_early_if_termination_is_unprovable() {
    let now = Instant::now();
    let machine = holding_a_task(reporting(now));
    assert_eq!(reason(&machine, now, after(11)), None);
    let unprovable = Situation { provable: false, ..after(11) };
    assert_eq!(reason(&machine, now, unprovable), Some(ReturnReason::Silent));
}

#[test]
fn machine_is_returned_after_failing_two_jobs_or_ignoring_three_commands() {
    let now = Instant::now();
    let mut failing = reporting(now);
    failing.failed_jobs.insert("j-000001".into());
    assert_eq!(reason(&failing, now, after(0)), None);
    failing.failed_jobs.insert("j-000002".into());
    assert_eq!(reason(&failing, now, after(0)), Some(ReturnReason::FailsTasks));
    assert_eq!(reason(&holding_a_task(failing), now, after(0)), None, "not while it holds a task");
    let ignoring = Machine { unacknowledged_commands: 3, ..reporting(now) };
    assert_eq!(reason(&ignoring, now, after(0)), Some(ReturnReason::IgnoresCommands));
}
