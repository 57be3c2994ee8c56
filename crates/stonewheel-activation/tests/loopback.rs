//! A thousand simultaneous requests over HTTP on loopback, to several controllers that
//! are killed, stand still and are cut off from the state service. The model servers
//! note their own starts.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use bytes::Bytes;
use common::loopback::{BOOT, Loopback, SESSION};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use tokio::time::{Instant, sleep};

const REQUESTS: usize = 1000;

async fn answered(requests: Vec<tokio::task::JoinHandle<(u32, Vec<StatusCode>)>>) {
    for request in requests {
        request.await.expect("answered in the end");
    }
}

#[tokio::test]
async fn a_thousand_requests_at_once_cause_exactly_one_start() {
    let loopback = Loopback::new(5).await;
    let began = Instant::now();
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    for request in requests {
        let (retries, refusals) = request.await.expect("answered");
        assert_eq!((retries, refusals), (0, Vec::new()), "each at its first try");
    }
    println!("{REQUESTS} requests answered after {:?}", began.elapsed());
    assert_eq!((loopback.house.started(), loopback.house.served()), (1, REQUESTS));
    loopback.end();
}

#[tokio::test]
async fn the_owner_is_killed_in_mid_start_and_there_is_one_start() {
    let mut loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    sleep(BOOT / 4).await;
    loopback.controllers[owner].kill();
    answered(requests).await;
    assert_eq!(loopback.house.started(), 1);
    assert!(loopback.house.served() >= REQUESTS);
    loopback.end();
}

#[tokio::test]
async fn the_owner_pauses_past_its_lease_and_is_refused_when_it_resumes() {
    let loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    loopback.controllers[owner].pause(SESSION * 3);
    answered(requests).await;
    assert_ne!(loopback.owner().await, owner, "another one adopted the start");
    assert_eq!(loopback.house.started(), 1);
    // It went on, and still there is one.
    sleep(SESSION * 3).await;
    answered((0..30).map(|number| loopback.request(number)).collect()).await;
    assert_eq!((loopback.house.started(), loopback.house.answering()), (1, 1));
    loopback.end();
}

#[tokio::test]
async fn the_owner_is_cut_off_from_the_state_service_in_mid_start() {
    let loopback = Loopback::new(3).await;
    let requests: Vec<_> = (0..REQUESTS).map(|number| loopback.request(number)).collect();
    let owner = loopback.owner().await;
    loopback.deployment.state.refuse(&loopback.controllers[owner].client, true);
    answered(requests).await;
    assert_eq!(loopback.house.started(), 1);
    loopback.end();
}

#[tokio::test]
async fn requests_that_reach_no_replica_wait_for_the_next_start() {
    let loopback = Loopback::new(3).await;
    answered((0..3).map(|number| loopback.request(number)).collect()).await;
    loopback.house.lose_all();
    // Some come before anybody has noticed, and none is sent away.
    for request in (0..100).map(|number| loopback.request(number)).collect::<Vec<_>>() {
        let (retries, refusals) = request.await.expect("answered");
        assert_eq!((retries, refusals), (0, Vec::new()));
    }
    assert_eq!(loopback.house.started(), 2);
    loopback.end();
}

#[tokio::test]
async fn bad_requests_get_one_plain_answer() {
    let loopback = Loopback::new(1).await;
    let address = loopback.controllers[0].address;
    let ask = async |method: Method, path: &str, body: Bytes| {
        let request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        let request = request.body(Full::from(body)).expect("a request");
        loopback.client.request(request).await.expect("an answer").status()
    };
    let nothing = Bytes::new;
    assert_eq!(ask(Method::GET, "/models/nobody/x", nothing()).await, StatusCode::NOT_FOUND);
    assert_eq!(ask(Method::GET, "/elsewhere", nothing()).await, StatusCode::NOT_FOUND);
    let large = Bytes::from(vec![0; 65 * 1024]);
    let too_large = ask(Method::POST, "/models/router/x", large).await;
    assert_eq!(too_large, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(loopback.house.started(), 0, "none of them woke the model");
    loopback.end();
}
