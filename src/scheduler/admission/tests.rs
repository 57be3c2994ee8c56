use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::cell::Cell;

use super::*;
use crate::{protocol::JobSpec, settings::Settings};

const SETTINGS: &str = r#"
member = "m-0"
zone = "a"
public_addr = "127.0.0.1:1"
internal_addr = "127.0.0.1:2"
[services]
cloud = "127.0.0.1:3"
state = "127.0.0.1:4"
[cluster]
size = 1
zones = ["a"]
time_bound_ms = 1000.0
[[cluster.teams]]
name = "blue"
[cluster.workers]
report_s = 1.0
lease_s = 11.0
gang_wait_s = 40.0
gang_peer_s = 8.0
cancel_s = 36.0
[cluster.state]
rps = 150.0
write_rps = 60.0
value_kb = 8.0
txn_ops = 24
[cluster.cloud]
rps = 8.0
list_lag_s = 3.0
[cluster.quota]
core_share = 0.08
mem_mb = 40.0
fd_limit = 600
"#;

fn array(number: u64, tasks: u32, width: u32) -> JobView {
    let text = format!(
        r#"{{"Ref":"j-{number:06}","Grain":"train","Crew":"blue","Shape":"batch",
        "Rank":"standard","Spokes":{tasks},"Cores":1.0,"Gpus":1.0,"MemoryGb":1.0,"Mould":"i",
        "ImageGb":1.0,"Frames":null,"Yard":null,"Together":false,"Scatter":false,
        "Driftwood":false,"ReckonS":1.0,"NotchS":0.0,"StashS":0.0,"DueS":null}}"#
    );
    let spec = std::sync::Arc::new(JobSpec::parse(text.as_bytes()).expect("a submission"));
    JobView {
        id: spec.id.clone(),
        priority: spec.priority,
        spec,
        arrival: number,
        pending: Vec::new(),
        remaining: tasks,
        bound: Vec::new(),
        width,
        remaining_wait_s: None,
        guaranteed: false,
        blocked: false,
        avoided_machines: Vec::new(),
    }
}

fn snapshot(settings: &Settings, jobs: Vec<JobView>) -> Snapshot<'_> {
    Snapshot {
        settings,
        types: &[],
        machines: Vec::new(),
        jobs,
        usage: HashMap::new(),
        exhausted: Vec::new(),
        headroom_machines: 0,
        headroom_spot_machines: 0,
        headroom_capacity: 0.0,
        round: true,
        candidates_evaluated: Cell::new(0),
    }
}

#[test]
fn step_groups_small_tasks_into_one_unit_and_holds_one_large_task() {
    let step = |tasks, units| Step { tasks, units };
    assert_eq!(Step::of(1.0), step(1, 1));
    assert_eq!(Step::of(0.6), step(1, 1));
    assert_eq!(Step::of(2.5), step(1, 3));
    assert_eq!(Step::of(0.25), step(4, 1));
    assert_eq!(Step::of(0.0), step(1, 1));
    assert_eq!(Step::of(f64::INFINITY), step(1, 1));
    assert_eq!(Step::of(1e-9), step(MAX_TASKS_PER_STEP, 1));
    let small = Step::of(0.25);
    assert_eq!((small.steps(9), small.width(3, 9), small.width(1, 9)), (3, 9, 4));
}

/// The shortcut that skips the dynamic program must choose the same widths as the program if the
/// capacity suffices for all candidates.
#[test]
fn uncontended_widths_equal_program_widths() {
    let settings = Settings::parse("test.toml", SETTINGS).expect("valid settings");
    let mut rng = StdRng::seed_from_u64(5);
    for _ in 0..200 {
        let jobs: Vec<JobView> = (0..rng.random_range(1..6))
            .map(|number| {
                let tasks = rng.random_range(1..12);
                let running = rng.random_bool(0.6);
                array(number, tasks, if running { rng.random_range(1..=tasks) } else { 0 })
            })
            .collect();
        let snapshot = snapshot(&settings, jobs);
        let candidates: Vec<Candidate> = (0..snapshot.jobs.len())
            .map(|job_index| {
                let max_tasks = snapshot.jobs[job_index].remaining;
                let step = Step { tasks: rng.random_range(1..4), units: 1 };
                let curve =
                    Curve { min_width: 1, max_width: step.steps(max_tasks), cost: 1, slope: 0.0 };
                Candidate { job_index, step, max_tasks, curve }
            })
            .collect();
        let eligible: Vec<&Candidate> = candidates.iter().collect();
        let capacity = eligible.iter().map(|c| c.curve.max_width as usize).sum();
        let uncontended = widths_without_contention(&snapshot, &eligible);
        assert_eq!(uncontended, widths_by_program(&snapshot, &eligible, capacity));
    }
}
