//! Simultaneous HTTP requests on loopback to several controllers, one of which is killed,
//! suspended or cut off from the state service during a cold start. Guards against a second
//! start by the controller that adopts the activation or by the former owner. The model
//! servers log their own starts.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use bytes::Bytes;
use common::loopback::{Loopback, SESSION_TTL, STARTUP_TIME};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, sleep};

const REQUESTS: usize = 1000;

async fn wait_until_answered(requests: Vec<tokio::task::JoinHandle<(u32, Vec<StatusCode>)>>) {
    for request in requests {
        request.await.expect("answered eventually");
    }
}

#[tokio::test]
async fn simultaneous_requests_cause_exactly_one_start() {
    let loopback = Loopback::new(5).await;
    let began = Instant::now();
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    for request in requests {
        let (retries, refusals) = request.await.expect("answered");
        assert_eq!(
            (retries, refusals),
            (0, Vec::new()),
            "each request is answered at its first try"
        );
    }
    println!("{REQUESTS} requests answered after {:?}", began.elapsed());
    assert_eq!((loopback.starter.started(), loopback.starter.served()), (1, REQUESTS));
    loopback.end();
}

#[tokio::test]
async fn owner_killed_during_start_causes_no_second_start() {
    let mut loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    sleep(STARTUP_TIME / 4).await;
    loopback.controllers[owner].kill();
    wait_until_answered(requests).await;
    assert_eq!(loopback.starter.started(), 1);
    assert!(loopback.starter.served() >= REQUESTS);
    loopback.end();
}

#[tokio::test]
async fn owner_suspended_past_its_session_causes_no_second_start() {
    let loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    loopback.controllers[owner].pause(SESSION_TTL * 3);
    wait_until_answered(requests).await;
    assert_ne!(loopback.owner().await, owner, "another controller adopted the start");
    assert_eq!(loopback.starter.started(), 1);
    // The former owner has resumed by then; it must not start or stop replicas.
    sleep(SESSION_TTL * 3).await;
    wait_until_answered((0..30).map(|number| loopback.request(number)).collect()).await;
    assert_eq!((loopback.starter.started(), loopback.starter.ready_count()), (1, 1));
    loopback.end();
}

#[tokio::test]
async fn owner_without_state_service_during_start_causes_no_second_start() {
    let loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    loopback.deployment.state.refuse(&loopback.controllers[owner].client, true);
    wait_until_answered(requests).await;
    assert_eq!(loopback.starter.started(), 1);
    loopback.end();
}

#[tokio::test]
async fn requests_that_reach_no_replica_are_held_until_the_next_start() {
    let loopback = Loopback::new(3).await;
    wait_until_answered((0..3).map(|number| loopback.request(number)).collect()).await;
    loopback.starter.stop_all();
    // The first requests arrive before a probe finds the replicas gone; they are held, not
    // refused.
    for request in (0..100).map(|number| loopback.request(number)).collect::<Vec<_>>() {
        let (retries, refusals) = request.await.expect("answered");
        assert_eq!((retries, refusals), (0, Vec::new()));
    }
    assert_eq!(loopback.starter.started(), 2);
    loopback.end();
}

#[tokio::test]
async fn invalid_requests_are_refused_without_starting_the_model() {
    let loopback = Loopback::new(1).await;
    let address = loopback.controllers[0].address;
    let status_of = async |method: Method, path: &str, body: Bytes| {
        let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        let request = request.body(Full::from(body)).expect("a request");
        loopback.client.request(request).await.expect("an answer").status()
    };
    let nothing = Bytes::new;
    assert_eq!(status_of(Method::GET, "/models/nobody/x", nothing()).await, StatusCode::NOT_FOUND);
    assert_eq!(status_of(Method::GET, "/elsewhere", nothing()).await, StatusCode::NOT_FOUND);
    let large = Bytes::from(vec![0; 65 * 1024]);
    let too_large = status_of(Method::POST, "/models/router/x", large).await;
    assert_eq!(too_large, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(loopback.starter.started(), 0, "no invalid request started the model");
    loopback.end();
}
