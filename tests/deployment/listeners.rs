//! Sockets, overload and the writer under conflicts.

use crate::common::seconds;
use crate::common::{TestDeployment, job};
use crate::jobs::created;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, service::Service};
use hyper_util::service::TowerToHyperService;
use serde_json::json;
use std::sync::Arc;
use std::time::Duration;
use stonewheel::{
    http::routes,
    node::Node,
    peers,
    protocol::{Condition, JobState, Write},
    store,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};
use tokio_util::sync::CancellationToken;

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
async fn a_conflict_takes_out_one_change_and_commits_the_others() {
    let deployment = TestDeployment::new(1).await;
    let node = deployment.node(0);
    let raw = |text: &str| store::to_raw_value(&text).expect("json");
    deployment
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
    assert!(deployment.state.commit(vec![condition], Vec::new()).is_err());
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
async fn overload_is_refused_early_and_heartbeats_take_precedence() {
    let deployment = TestDeployment::new(3).await;
    let leader = deployment.leader().expect("a leader");
    let node = deployment.node(leader);
    // Every write takes a second, and far more users come than can be served.
    deployment.state.lose_answers(&format!("m-{leader}"), 1000);
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
    deployment.state.lose_answers(&format!("m-{leader}"), 0);
    for id in &accepted {
        deployment.runs_for(id, 1);
    }
    for id in &accepted {
        deployment.until_state((leader + 1) % 3, id, JobState::Done).await;
    }
    assert!(deployment.violations().is_empty(), "{:?}", deployment.violations());
}

/// Runs in real time, since it has real connections.
#[tokio::test]
async fn unfinished_frames_on_many_links_are_bounded_and_links_are_released() {
    let deployment = TestDeployment::new(0).await;
    let node = deployment.node(0);
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
    let mut heartbeat = deployment.node(1).controller_heartbeat("m-0");
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
