//! Short stories of a whole deployment in memory, told under paused time.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::time::Duration;

use std::sync::Arc;

use bytes::Bytes;
use common::{World, job};
use http_body_util::Full;
use hyper::{Request, service::Service};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use stonewheel::{
    http::routes,
    node::{HeartbeatReply, Node, Unavailable, UserReply},
    peers,
    protocol::{Condition, JobState, WorkerHeartbeat, Write},
    store,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

fn created(reply: &Result<UserReply, Unavailable>) -> bool {
    matches!(reply, Ok(UserReply::Created(_)))
}

fn state(reply: Result<UserReply, Unavailable>) -> JobState {
    match reply {
        Ok(UserReply::Known(status) | UserReply::Created(status)) => status.state,
        other => panic!("no state: {other:?}"),
    }
}

async fn seconds(n: u64) {
    sleep(Duration::from_secs(n)).await;
}

/// All workers of a large fleet may come within one heartbeat interval after a change
/// of leader. A connection beyond the backlog would try again a second later.
#[tokio::test]
async fn a_listener_has_room_for_more_waiting_connections_than_the_usual_backlog() {
    const WAITING: usize = 1500;
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = stonewheel::http::listen(any_port, 2 * WAITING as u32).expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut waiting = Vec::new();
    for number in 0..WAITING {
        let connection = tokio::net::TcpStream::connect(address);
        let connected = tokio::time::timeout(Duration::from_millis(900), connection).await;
        let connected = connected.unwrap_or_else(|_| panic!("connection {number} hangs"));
        waiting.push(connected.expect("connected"));
    }
}

#[tokio::test(start_paused = true)]
async fn an_array_runs_to_its_end_and_leaves_one_small_record() {
    let world = World::new(1).await;
    world.runs_for("j-000001", 5);
    let body = job("j-000001", json!({"Spokes": 5}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until_state(1, "j-000001", JobState::Done).await;
    seconds(5).await;
    assert_eq!(world.starts(), 5);
    assert_eq!(world.state.keys("sw/j/"), [""; 0]);
    assert_eq!(world.state.keys("sw/p/"), [""; 0]);
    // A late repeat of the submission gets the end, not a new job.
    assert_eq!(state(world.node(2).submit(&body).await), JobState::Done);
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_to_a_submission_and_its_retry_on_another_node_make_one_job() {
    let world = World::new(1).await;
    let follower = (world.leader().expect("a leader") + 1) % 3;
    world.runs_for("j-000002", 3);
    world.state.mute(&format!("m-{follower}"), 1);
    let body = job("j-000002", json!({"Spokes": 1}));
    // The write was carried out unanswered; reading back finds it.
    let told = state(world.node(follower).submit(&body).await);
    assert!(matches!(told, JobState::Pending | JobState::Running));
    let other = (follower + 1) % 3;
    let reply = world.node(other).submit(&body).await;
    assert!(matches!(reply, Ok(UserReply::Known(_))));
    world.until_state(other, "j-000002", JobState::Done).await;
    assert_eq!(world.starts(), 1);
}

#[tokio::test(start_paused = true)]
async fn the_first_end_wins_between_cancelled_and_done() {
    let world = World::new(1).await;
    world.runs_for("j-000003", 2);
    let body = job("j-000003", json!({"Spokes": 1}));
    assert!(created(&world.node(0).submit(&body).await));
    // Done stands in the store before any node's watch cache may know of it.
    let version = world.state.version("sw/j/j-000003");
    assert!(version > 0);
    world.until_state(0, "j-000003", JobState::Done).await;
    for node in 0..3 {
        assert_eq!(state(world.node(node).cancel("j-000003").await), JobState::Done);
    }
    let again = job("j-000004", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&world.node(0).submit(&again).await));
    world.until("it runs", || !world.machines_of("j-000004").is_empty()).await;
    assert_eq!(state(world.node(1).cancel("j-000004").await), JobState::Cancelled);
    for node in 0..3 {
        assert_eq!(state(world.node(node).status("j-000004").await), JobState::Cancelled);
    }
    world.until("it is gone", || world.machines_of("j-000004").is_empty()).await;
    seconds(20).await;
    assert!(world.machines_of("j-000004").is_empty());
    assert_eq!(world.state.keys("sw/p/"), [""; 0]);
}

#[tokio::test(start_paused = true)]
async fn a_deposed_leaders_late_write_fails() {
    let world = World::new(2).await;
    let old = world.leader().expect("a leader");
    let name = format!("m-{old}");
    let body = job("j-000005", json!({"Shape": "service", "Spokes": 2}));
    world.state.hold(&name);
    let other = (old + 1) % 3;
    assert!(created(&world.node(other).submit(&body).await));
    world.until("the placement is under way", || world.state.held_count() > 0).await;
    assert!(world.machines_of("j-000005").is_empty(), "no order before the record");
    world.kill_node(old);
    world.until("another leads", || world.leader().is_some_and(|l| l != old)).await;
    world.until("it runs", || world.starts() >= 2).await;
    for late in world.state.deliver_held() {
        assert!(late.is_err(), "a late write of the old leader was taken: {late:?}");
    }
    seconds(10).await;
    assert_eq!(world.starts(), 2);
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_task_on_an_unreachable_machine_is_not_started_elsewhere_without_proof() {
    let world = World::new(2).await;
    let old = world.leader().expect("a leader");
    let body = job("j-000006", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || !world.machines_of("j-000006").is_empty()).await;
    let machine = world.machines_of("j-000006")[0].clone();
    // The old leader, cut from the store alone, keeps the worker's lease alive.
    let others: Vec<usize> = (0..3).filter(|n| *n != old).collect();
    world.cut(&machine, &others);
    world.state.refuse(&format!("m-{old}"), true);
    world.until("another leads", || world.leader().is_some_and(|l| l != old)).await;
    seconds(60).await;
    // By then the machine was given up through the cloud, which is proof.
    let now = world.machines_of("j-000006");
    assert_eq!(now.len(), 1);
    assert_ne!(now[0], machine);
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[tokio::test(start_paused = true)]
async fn workers_leave_a_leader_that_lost_the_store_and_find_the_next() {
    let world = World::new(2).await;
    let old = world.leader().expect("a leader");
    let body = job("j-000007", json!({"Shape": "service", "Spokes": 2}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || world.starts() == 2).await;
    world.state.refuse(&format!("m-{old}"), true);
    seconds(30).await;
    // New work starts under the new leader, and the old work went on.
    let next = world.leader().expect("a leader");
    assert_ne!(next, old);
    world.runs_for("j-000008", 2);
    assert!(created(&world.node(next).submit(&job("j-000008", json!({}))).await));
    world.until_state(next, "j-000008", JobState::Done).await;
    assert_eq!(world.starts(), 4, "nothing was restarted");
    // The refused node doesn't guess.
    assert_eq!(world.node(old).status("j-000007").await, Err(Unavailable::State));
    assert_eq!(world.node(old).status("j-999999").await, Err(Unavailable::State));
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn an_outage_longer_than_a_worker_lease_stops_nothing() {
    let world = World::new(2).await;
    let leader = world.leader().expect("a leader");
    let body = job("j-000009", json!({"Shape": "service", "Spokes": 4}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || world.starts() == 4).await;
    world.state.set_outage(true);
    seconds(5).await;
    for node in 0..3 {
        let reply = world.node(node).submit(&job("j-000010", json!({}))).await;
        assert_eq!(reply, Err(Unavailable::State));
        assert_eq!(world.node(node).status("j-000009").await, Err(Unavailable::State));
        assert!(world.node(node).healthy(), "no other node would be better");
    }
    seconds(40).await;
    world.state.set_outage(false);
    seconds(10).await;
    assert_eq!(world.leader(), Some(leader), "its key still stands");
    assert_eq!(world.starts(), 4, "nothing was restarted");
    world.runs_for("j-000010", 1);
    assert!(created(&world.node(0).submit(&job("j-000010", json!({}))).await));
    world.until_state(1, "j-000010", JobState::Done).await;
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn all_controllers_end_within_an_outage_and_no_task_is_lost() {
    // Nobody can be elected in an outage, and worker leases are shorter.
    let world = World::new(2).await;
    let body = job("j-000011", json!({"Shape": "service", "Spokes": 4}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || world.starts() == 4).await;
    world.state.set_outage(true);
    seconds(6).await;
    for node in 0..3 {
        world.kill_node(node);
    }
    seconds(4).await;
    for node in 0..3 {
        world.start_node(node);
    }
    seconds(8).await;
    world.state.set_outage(false);
    seconds(20).await;
    assert!(world.leader().is_some());
    assert_eq!(world.starts(), 4, "nothing was restarted");
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[tokio::test(start_paused = true)]
async fn caretaking_ends_before_a_cancelled_task_could_outlive_its_time() {
    let world = World::new(1).await;
    let body = job("j-000012", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || world.starts() == 1).await;
    let leader = world.leader().expect("a leader");
    let machine = world.machines_of("j-000012").pop().expect("its machine");
    // The leader ends before its order to stop arrives.
    world.cut(&machine, &[leader]);
    assert!(world.node(leader).cancel("j-000012").await.is_ok());
    world.kill_node(leader);
    world.state.set_outage(true);
    seconds(20).await;
    assert!(!world.machines_of("j-000012").is_empty(), "its worker was answered");
    seconds(16).await;
    assert!(world.machines_of("j-000012").is_empty(), "gone within cancel_s");
}

/// A deployment whose four machines are full, and its leader, after its first
/// lease: all that then happens to the workers costs tasks if it takes long.
async fn full_house(id: &str) -> (World, usize, Vec<Arc<str>>) {
    let world = World::new(4).await;
    let leader = world.leader().expect("a leader");
    let body = job(id, json!({"Shape": "service", "Spokes": 4, "Gpus": 8.0}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs", || world.starts() == 4).await;
    seconds(12).await;
    let machines = world.machines_of(id);
    (world, leader, machines)
}

/// The leader hears none of the machines; another takes over in time.
async fn loses_workers_but_no_task(world: &World, leader: usize, machines: &[Arc<str>]) {
    for machine in machines {
        world.cut(machine, &[leader]);
    }
    world.until("another leads", || world.leader().is_some_and(|l| l != leader)).await;
    seconds(15).await;
    assert_eq!(world.starts(), 4, "nothing was lost or restarted");
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_lost_its_workers_gives_way_before_their_leases_end() {
    // Each node turns reports away and says so; whichever member hears from it
    // first, the leader has to learn of it.
    let (world, leader, machines) = full_house("j-000014").await;
    loses_workers_but_no_task(&world, leader, &machines).await;
}

/// Reports hang instead of being refused, so a worker comes to another controller
/// only after its time-out. Sent back to the leader it would wait for that once
/// more, and half of a lease would be left (`docs/incidents/inc-e8a5.md`).
#[tokio::test(start_paused = true)]
async fn workers_whose_reports_to_the_leader_hang_find_its_successor_within_their_leases() {
    let (world, leader, machines) = full_house("j-000017").await;
    world.let_cuts_hang();
    let began = Instant::now();
    loses_workers_but_no_task(&world, leader, &machines).await;
    for machine in &machines {
        assert_eq!(world.incarnation(machine), 1, "{machine} lost its lease");
    }
    assert!(began.elapsed() < Duration::from_secs(23));
}

/// A worker sent on before there is a successor would come to a controller that
/// stands still, and wait for a second time-out there.
#[tokio::test(start_paused = true)]
async fn workers_wait_for_a_successor_rather_than_go_on_to_a_silent_controller() {
    let (world, leader, machines) = full_house("j-000019").await;
    let silent = (leader + 2) % 3;
    world.let_cuts_hang();
    world.sever(silent);
    world.freeze(silent, 60.0);
    seconds(5).await;
    loses_workers_but_no_task(&world, leader, &machines).await;
    assert_eq!(world.leader(), Some((leader + 1) % 3));
    for machine in &machines {
        assert_eq!(world.incarnation(machine), 1, "{machine} lost its lease");
    }
}

/// A leader that loses its workers hands them on to the controller after it: while
/// that one is silent, another had better lead. No worker reports here, for whom
/// they come to first would decide otherwise.
#[tokio::test(start_paused = true)]
async fn of_two_candidates_the_one_whose_next_controller_lives_leads() {
    let world = World::new(0).await;
    for round in 0..5 {
        let leader = world.leader().expect("a leader");
        world.kill_node(leader);
        world.until("another leads", || world.leader().is_some_and(|l| l != leader)).await;
        assert_eq!(world.leader(), Some((leader + 1) % 3), "round {round}");
        world.start_node(leader);
        seconds(15).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_has_not_heard_the_leader_is_sent_to_it_although_it_hears_few() {
    let (world, leader, machines) = full_house("j-000018").await;
    world.let_cuts_hang();
    for machine in &machines {
        world.cut(machine, &[leader]);
    }
    seconds(4).await;
    let follower = (leader + 1) % 3;
    let known = world.last_report(&machines[0]);
    let leader_name = format!("m-{leader}");
    let sent_to =
        |token| match world.node(follower).heartbeat(&WorkerHeartbeat { token, ..known.clone() }) {
            HeartbeatReply::Redirect(to) => to,
            other => panic!("a follower answered {other:?}"),
        };
    assert_eq!(sent_to(0), Some(leader_name), "it may reach whom others can't");
    assert_eq!(sent_to(known.token), None, "it could not reach the leader");
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_lost_workers_and_peers_learns_of_it_from_the_store() {
    let (world, leader, machines) = full_house("j-000015").await;
    world.sever(leader);
    loses_workers_but_no_task(&world, leader, &machines).await;
}

#[tokio::test(start_paused = true)]
async fn of_two_successors_the_one_that_hears_the_workers_leads() {
    // A leader and one other lose the workers together. If the other followed,
    // it would give way only after another lease.
    let (world, old, machines) = full_house("j-000016").await;
    for deaf in [(old + 1) % 3, (old + 2) % 3] {
        let now = world.leader().expect("a leader");
        if deaf == now {
            continue;
        }
        for machine in &machines {
            world.cut(machine, &[now, deaf]);
        }
        world.until("another leads", || world.leader().is_some_and(|l| l != now)).await;
        assert_ne!(world.leader(), Some(deaf));
        seconds(13).await;
        for machine in &machines {
            world.cut(machine, &[]);
        }
        seconds(13).await;
    }
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_another_node_answers_is_not_taken_for_dead() {
    // One node loses the store and the other controllers, but not the
    // workers; one worker can reach only that node. The leader has no proof
    // by lease then, and must not start its task elsewhere without another.
    let world = World::new(2).await;
    let leader = world.leader().expect("a leader");
    let body = job("j-000013", json!({"Shape": "service", "Spokes": 1, "Gpus": 8.0}));
    assert!(created(&world.node(leader).submit(&body).await));
    world.until("it runs", || world.starts() == 1).await;
    let machine = world.machines_of("j-000013").pop().expect("its machine");
    let lone = (leader + 1) % 3;
    let others: Vec<usize> = (0..3).filter(|n| *n != lone).collect();
    world.state.refuse(&format!("m-{lone}"), true);
    world.sever(lone);
    world.cut(&machine, &others);
    seconds(60).await;
    assert!(world.broken().is_empty(), "{:?}", world.broken());
    assert_eq!(world.starts(), 2, "the machine was given back, and the task started anew");
}

#[tokio::test(start_paused = true)]
async fn reads_after_a_failover_are_not_older_than_what_was_told() {
    let world = World::new(1).await;
    for round in 0..6 {
        let id = format!("j-0001{round:02}");
        let body = job(&id, json!({"Shape": "service", "Spokes": 1}));
        let first = world.node(round % 3).submit(&body).await;
        assert!(created(&first));
        // At once, on every node: whatever the watch has brought so far.
        for node in 0..3 {
            assert_ne!(world.node(node).status(&id).await, Ok(UserReply::Unknown));
        }
        assert_eq!(state(world.node((round + 1) % 3).cancel(&id).await), JobState::Cancelled);
        for node in 0..3 {
            assert_eq!(state(world.node(node).status(&id).await), JobState::Cancelled);
        }
        if round == 2 {
            let leader = world.leader().expect("a leader");
            world.kill_node(leader);
            seconds(1).await;
            world.start_node(leader);
            seconds(8).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn all_controllers_end_at_once_and_nothing_is_lost() {
    let world = World::new(2).await;
    world.runs_for("j-000011", 30);
    assert!(created(&world.node(0).submit(&job("j-000011", json!({"Spokes": 6}))).await));
    world.until("some run", || world.starts() >= 2).await;
    for node in 0..3 {
        world.kill_node(node);
    }
    seconds(4).await;
    for node in 0..3 {
        world.start_node(node);
    }
    world.until_state(0, "j-000011", JobState::Done).await;
    assert_eq!(world.starts(), 6, "running work went on through it");
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_hears_nothing_is_left_for_one_that_does() {
    let world = World::new(1).await;
    seconds(5).await;
    let machine = "n-000001";
    world.set_deaf(machine, true);
    let body = job("j-000012", json!({"Shape": "service", "Spokes": 1}));
    assert!(created(&world.node(0).submit(&body).await));
    world.until("it runs elsewhere", || !world.machines_of("j-000012").is_empty()).await;
    assert_ne!(&*world.machines_of("j-000012")[0], machine);
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_fails_its_tasks_does_not_stall_a_job() {
    let world = World::new(2).await;
    seconds(5).await;
    world.set_failing("n-000001");
    world.runs_for("j-000013", 4);
    assert!(created(&world.node(0).submit(&job("j-000013", json!({"Spokes": 10}))).await));
    world.until_state(0, "j-000013", JobState::Done).await;
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_huge_array_is_stored_in_values_that_fit_and_goes_on_after_a_takeover() {
    let world = World::new(2).await;
    world.runs_for("j-000014", 1_000);
    let body = job("j-000014", json!({"Spokes": 100_000, "Crew": "red"}));
    assert!(created(&world.node(0).submit(&body).await));
    // Its team's limit is 16 GPUs, so 16 tasks run.
    world.until("it fills its limit", || world.starts() == 16).await;
    let old = world.leader().expect("a leader");
    world.kill_node(old);
    seconds(30).await;
    assert_eq!(world.starts(), 16, "the limit holds over a takeover");
    let node = (old + 1) % 3;
    assert_eq!(state(world.node(node).cancel("j-000014").await), JobState::Cancelled);
    world.until("it is gone", || world.machines_of("j-000014").is_empty()).await;
    world.until("its records are dropped", || world.state.keys("sw/p/").is_empty()).await;
    assert!(world.broken().is_empty());
}

#[tokio::test(start_paused = true)]
async fn bad_submissions_are_told_apart() {
    let world = World::new(1).await;
    let node = world.node(0);
    let malformed = [
        b"not json".to_vec(),
        b"[]".to_vec(),
        job("j-1x", json!({})),
        job("j-000020", json!({"Spokes": 0})),
        job("j-000020", json!({"Spokes": 100_001})),
        job("j-000020", json!({"Cores": -1.0})),
        job("j-000020", json!({"Shape": "triangle"})),
        job("j-000020", json!({"Rank": "urgent"})),
        job("j-000020", json!({"Gpus": "two"})),
        job("j-000020", json!({"Frames": []})),
    ];
    for body in malformed {
        let reply = node.submit(&body).await;
        assert!(matches!(reply, Ok(UserReply::Malformed(_))), "{reply:?}");
    }
    let impossible = [
        job("j-000020", json!({"Crew": "nobody"})),
        job("j-000020", json!({"Gpus": 9.0})),
        job("j-000020", json!({"Frames": ["g9"]})),
        job("j-000020", json!({"Yard": "nowhere"})),
        job("j-000020", json!({"Crew": "red", "Shape": "ensemble", "Spokes": 17})),
    ];
    for body in impossible {
        let reply = node.submit(&body).await;
        assert!(matches!(reply, Ok(UserReply::Impossible(_))), "{reply:?}");
    }
    assert_eq!(node.status("j-000020").await, Ok(UserReply::Unknown));
    // More tasks than the limit holds at once are fine for an array.
    let body = job("j-000021", json!({"Crew": "red", "Spokes": 17}));
    assert!(created(&node.submit(&body).await));
}

#[tokio::test(start_paused = true)]
async fn a_conflict_takes_out_one_change_and_commits_the_others() {
    let world = World::new(1).await;
    let node = world.node(0);
    let raw = |text: &str| store::value(&text).expect("json");
    world
        .state
        .commit(
            Vec::new(),
            vec![Write::Put { key: "sw/e/j-7".into(), value: raw("x"), lease: None }],
        )
        .expect("free");
    let bodies = ["j-000030", "j-7", "j-000031"].map(|id| job(id, json!({})));
    let (one, two, three) =
        tokio::join!(node.submit(&bodies[0]), node.submit(&bodies[1]), node.submit(&bodies[2]),);
    assert!(created(&one) && created(&three));
    assert!(!created(&two), "its end record stands already");
    let condition = Condition { key: "sw/e/j-7".into(), version: 1 };
    assert!(world.state.commit(vec![condition], Vec::new()).is_err());
}

/// One request to a node's routes: the status, `Retry-After`, and how long the
/// answer took.
async fn ask(node: Arc<Node>, method: &str, path: &str, body: Vec<u8>) -> (u16, bool, Duration) {
    let service = TowerToHyperService::new(warp::service(routes(node)));
    let request = Request::builder().method(method).uri(path).body(Full::new(Bytes::from(body)));
    let asked = Instant::now();
    let response = service.call(request.expect("a request")).await.expect("an answer");
    (response.status().as_u16(), response.headers().contains_key("retry-after"), asked.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_crowd_is_refused_early_and_reports_go_first() {
    let world = World::new(3).await;
    let leader = world.leader().expect("a leader");
    let node = world.node(leader);
    // Every write takes a second, and far more users come than can be served.
    world.state.mute(&format!("m-{leader}"), 1000);
    let limit = node.admission.limit();
    let crowd: Vec<_> = (0..4 * limit)
        .map(|n| {
            let body = job(&format!("j-1{n:05}"), json!({"Spokes": 1}));
            tokio::spawn(ask(node.clone(), "POST", "/work", body))
        })
        .collect();
    seconds(1).await;
    let heartbeat = json!({"Millstone": "n-000001", "Endpoint": "", "Frame": "g8", "Yard": "a",
        "Turning": 1, "Tick": 1_000_000, "Warrant": 0, "Spokes": []});
    let body = serde_json::to_vec(&heartbeat).expect("json");
    let (status, _, took) = ask(node.clone(), "POST", "/agent/beat", body).await;
    assert_eq!((status, took), (200, Duration::ZERO), "no report waits for users");
    let (mut accepted, mut refused) = (Vec::new(), 0);
    for (n, answer) in crowd.into_iter().enumerate() {
        match answer.await.expect("it ran") {
            (200 | 201, ..) => accepted.push(format!("j-1{n:05}")),
            (503, retry_after, took) => {
                assert!(retry_after, "it says when to come back");
                refused += usize::from(took < Duration::from_millis(100));
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(refused >= 3 * limit, "only {refused} were refused at once");
    assert!(!accepted.is_empty());
    assert!(node.admission.limit() < limit, "slow answers shrink the limit");
    // When the store is quick again, all that was accepted runs.
    world.state.mute(&format!("m-{leader}"), 0);
    for id in &accepted {
        world.runs_for(id, 1);
    }
    for id in &accepted {
        world.until_state((leader + 1) % 3, id, JobState::Done).await;
    }
    assert!(world.broken().is_empty(), "{:?}", world.broken());
}

/// Runs in real time, since it has real connections.
#[tokio::test]
async fn unfinished_frames_on_many_links_are_bounded_and_links_come_free_again() {
    let world = World::new(0).await;
    let node = world.node(0);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let stop = CancellationToken::new();
    let listening = tokio::spawn(peers::listen(node.clone(), listener, stop.clone()));
    let mut unfinished = Vec::new();
    for _ in 0..peers::max_links(node.settings.members.len()) {
        let mut link = TcpStream::connect(address).await.expect("connected");
        // The length of a frame, and none of it.
        link.write_all(&1024_u32.to_be_bytes()).await.expect("sent");
        unfinished.push(link);
    }
    let mut heartbeat = world.node(1).controller_heartbeat("m-0");
    heartbeat.member = "m-9".into();
    let frame = peers::encode(peers::Message::new(heartbeat, peers::MIN_FRAME_LIMIT));
    let mut link = TcpStream::connect(address).await.expect("the system takes it");
    link.write_all(&(frame.len() as u32).to_be_bytes()).await.expect("sent");
    link.write_all(&frame).await.expect("sent");
    let heard =
        || node.peers.any_recent(Duration::from_secs(60), |heartbeat| heartbeat.member == "m-9");
    sleep(Duration::from_millis(300)).await;
    assert!(!heard(), "one link too many is heard");
    unfinished.pop();
    let limit = Instant::now() + Duration::from_secs(20);
    while !heard() {
        assert!(Instant::now() < limit, "a free link is not used");
        sleep(Duration::from_millis(20)).await;
    }
    stop.cancel();
    listening.await.expect("it ends when told to");
}
