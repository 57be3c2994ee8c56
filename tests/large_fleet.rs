//! A measurement of one controller with four thousand workers over loopback sockets, to be run by
//! hand: `cargo test --release --test large_fleet -- --ignored --nocapture`. The controller runs
//! in a separate thread, with the state service and the cloud in memory. Each worker has a
//! connection and sends a heartbeat once a second.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::Duration,
};

use common::{MemState, machine_type, scale_settings, settings};
use futures_util::future::BoxFuture;
use serde_json::json;
use stonewheel::{
    cloud::{CloudApi, CloudError},
    node::Node,
    protocol::{MachineId, MachineList, MachineType, ProvisionRequest},
    worker_client::HttpWorkers,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const MACHINES: usize = 4000;
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A worker's time-out for connecting and for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
const PAGE_BYTES: usize = 4096;

/// A cloud with one machine type, no capacity, and no machines in its list.
struct FullCloud;

impl CloudApi for FullCloud {
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        Box::pin(async { Ok(vec![machine_type()]) })
    }

    fn provision(&self, _: ProvisionRequest) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async { Err(CloudError::NoCapacity) })
    }

    fn delete(&self, _: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>> {
        Box::pin(async { Ok(()) })
    }

    fn list(&self, _: &str) -> BoxFuture<'_, Result<MachineList, CloudError>> {
        Box::pin(async { Ok(MachineList { machines: Vec::new(), more: false }) })
    }
}

/// Returns the CPU time that a thread of this process has used.
fn thread_time(id: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).expect("linux");
    let nanoseconds = stat.split_whitespace().next().expect("a time on the processor");
    Duration::from_nanos(nanoseconds.parse().expect("a number"))
}

/// Returns the resident memory of this process in MiB.
fn resident_mb() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("linux");
    let pages: usize = statm.split_whitespace().nth(1).expect("pages").parse().expect("a number");
    (pages * PAGE_BYTES) >> 20
}

/// Starts a controller on a separate thread. Returns its public address and its thread id.
fn start_controller() -> (SocketAddr, String) {
    let (ready_sender, ready_receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
        runtime.block_on(async move {
            let mut settings = settings("m-0");
            scale_settings(&mut settings, 15.0);
            settings.cluster.size = 1;
            // Idle machines are not returned to the cloud.
            settings.operator.idle_boots = 1e3;
            let backlog = settings.listen_backlog();
            let any_port = "127.0.0.1:0".parse().expect("an address");
            let public = stonewheel::http::listen(any_port, backlog).expect("a port");
            let internal = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let state = MemState::default().client("m-0");
            let workers = Arc::new(HttpWorkers::new(&settings));
            let address = public.local_addr().expect("an address");
            let thread = std::fs::read_link("/proc/thread-self").expect("linux");
            let thread = thread.file_name().expect("an id").to_string_lossy().into_owned();
            ready_sender.send((address, thread)).expect("the receiver exists");
            let node = Node::new(settings, state, Arc::new(FullCloud), workers, 1);
            node.run(public, internal, CancellationToken::new()).await;
        });
    });
    ready_receiver.recv().expect("the controller listens")
}

/// The results of all workers' heartbeats.
#[derive(Default)]
struct HeartbeatResults {
    responses: AtomicUsize,
    failures: AtomicUsize,
    latencies: Mutex<Vec<Duration>>,
    highest_token: AtomicUsize,
}

/// Reads one HTTP response. Returns its status code and body.
async fn read_response(stream: &mut BufReader<TcpStream>) -> std::io::Result<(u16, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).to_lowercase();
    let status = head.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|n| n.trim().parse().ok()).unwrap_or(0)];
    stream.read_exact(&mut body).await?;
    Ok((status, body))
}

/// Runs one worker: connects, sends heartbeats, and reconnects after a failure or when `reconnect`
/// changes.
async fn run_worker(
    number: usize,
    address: SocketAddr,
    results: Arc<HeartbeatResults>,
    mut reconnect: ReconnectSignal,
) {
    let name = format!("n-{number:06}");
    let (mut sequence, mut token) = (0_u64, 0_u64);
    sleep(HEARTBEAT_INTERVAL * (number as u32 % 1000) / 1000).await;
    loop {
        let Ok(Ok(stream)) = timeout(RESPONSE_TIMEOUT, TcpStream::connect(address)).await else {
            results.failures.fetch_add(1, Ordering::Relaxed);
            sleep(HEARTBEAT_INTERVAL).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut stream = BufReader::new(stream);
        loop {
            sequence += 1;
            let heartbeat = json!({
                "Millstone": name, "Endpoint": "127.0.0.1:1", "Frame": "g8", "Yard": "a",
                "Driftwood": false, "Turning": 1, "Tick": sequence, "Warrant": token,
                "WarningS": null, "Spokes": []
            });
            let body = heartbeat.to_string();
            let request = format!(
                "POST /agent/beat HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let sent_at = Instant::now();
            let exchange = async {
                stream.get_mut().write_all(request.as_bytes()).await?;
                read_response(&mut stream).await
            };
            let Ok(Ok((200, body))) = timeout(RESPONSE_TIMEOUT, exchange).await else {
                results.failures.fetch_add(1, Ordering::Relaxed);
                sleep(HEARTBEAT_INTERVAL).await;
                break;
            };
            let response: serde_json::Value = serde_json::from_slice(&body).expect("json");
            token = response["Warrant"].as_u64().expect("a token");
            results.highest_token.fetch_max(token as usize, Ordering::Relaxed);
            results.responses.fetch_add(1, Ordering::Relaxed);
            results.latencies.lock().expect("not poisoned").push(sent_at.elapsed());
            let signalled =
                timeout(HEARTBEAT_INTERVAL.saturating_sub(sent_at.elapsed()), reconnect.changed())
                    .await;
            if signalled.is_ok() {
                break;
            }
        }
    }
}

/// Tells the workers to reconnect.
type ReconnectSignal = tokio::sync::watch::Receiver<u32>;

#[test]
#[ignore = "a measurement: 4,000 connections"]
fn four_thousand_workers_over_sockets() {
    let (address, thread) = start_controller();
    let empty_mb = resident_mb();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
    runtime.block_on(async move {
        let results = Arc::new(HeartbeatResults::default());
        let (reconnect_sender, reconnect) = tokio::sync::watch::channel(0);
        sleep(Duration::from_secs(3)).await;
        for number in 0..MACHINES {
            tokio::spawn(run_worker(number, address, results.clone(), reconnect.clone()));
        }
        sleep(Duration::from_secs(10)).await;
        results.latencies.lock().expect("not poisoned").clear();
        let (responses_before, failures_before) =
            (results.responses.load(Ordering::Relaxed), results.failures.load(Ordering::Relaxed));
        let cpu = thread_time(&thread);
        sleep(MEASUREMENT_TIME).await;
        let core_share =
            (thread_time(&thread) - cpu).as_secs_f64() / MEASUREMENT_TIME.as_secs_f64();
        let responses = results.responses.load(Ordering::Relaxed) - responses_before;
        let failed = results.failures.load(Ordering::Relaxed) - failures_before;
        let mut latencies = std::mem::take(&mut *results.latencies.lock().expect("not poisoned"));
        latencies.sort_unstable();
        println!(
            "{MACHINES} workers: {:.0} reports a second, {failed} failed, median {:?}, 99% within \
             {:?}; the controller took {core_share:.2} of a core; {} MB with both sides of the \
             connections, {empty_mb} MB before",
            responses as f64 / MEASUREMENT_TIME.as_secs_f64(),
            latencies[latencies.len() / 2],
            latencies[latencies.len() * 99 / 100],
            resident_mb(),
        );
        // All workers reconnect at the same instant, as after a failover.
        let responses_before = results.responses.load(Ordering::Relaxed);
        let failures_before = results.failures.load(Ordering::Relaxed);
        let started_at = Instant::now();
        reconnect_sender.send_modify(|round| *round += 1);
        while results.responses.load(Ordering::Relaxed) < responses_before + MACHINES {
            assert!(started_at.elapsed() < Duration::from_secs(30), "not all workers reconnected");
            sleep(Duration::from_millis(5)).await;
        }
        println!(
            "all connected anew and answered after {:?}, {} failures",
            started_at.elapsed(),
            results.failures.load(Ordering::Relaxed) - failures_before
        );
        assert_eq!(failed, 0);
        assert!(responses > MACHINES * 15, "{responses} responses");
    });
}
