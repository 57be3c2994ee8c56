//! Four thousand workers over sockets on loopback, by hand: `cargo test --release --test
//! large_fleet -- --ignored --nocapture`. A controller in a thread of its own, with the
//! state service and the cloud in memory; each worker has a connection and reports once
//! a second.

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
const REPORT: Duration = Duration::from_secs(1);
/// How long a worker waits for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
const MEASURED: Duration = Duration::from_secs(20);
const PAGE_BYTES: usize = 4096;

/// A cloud that has machines of one type, none to rent, and lists none.
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

/// Processor time of a thread of this process.
fn thread_time(id: &str) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/self/task/{id}/schedstat")).expect("linux");
    let nanoseconds = stat.split_whitespace().next().expect("a time on the processor");
    Duration::from_nanos(nanoseconds.parse().expect("a number"))
}

fn resident_mb() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("linux");
    let pages: usize = statm.split_whitespace().nth(1).expect("pages").parse().expect("a number");
    (pages * PAGE_BYTES) >> 20
}

/// Starts a controller on a thread of its own; tells its address and thread.
fn start_controller() -> (SocketAddr, String) {
    let (tell, told) = mpsc::channel();
    std::thread::spawn(move || {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
        runtime.block_on(async move {
            let mut settings = settings("m-0");
            scale_settings(&mut settings, 15.0);
            settings.cluster.size = 1;
            // Machines that idle stay.
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
            tell.send((address, thread)).expect("somebody waits");
            let node = Node::new(settings, state, Arc::new(FullCloud), workers, 1);
            node.run(public, internal, CancellationToken::new()).await;
        });
    });
    told.recv().expect("it listens")
}

#[derive(Default)]
struct Heard {
    answers: AtomicUsize,
    failures: AtomicUsize,
    times: Mutex<Vec<Duration>>,
    highest_token: AtomicUsize,
}

/// Reads one answer: its status and body.
async fn answer(stream: &mut BufReader<TcpStream>) -> std::io::Result<(u16, Vec<u8>)> {
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

/// A worker's life: connect, report, wait; connect anew when told to.
async fn work(number: usize, address: SocketAddr, heard: Arc<Heard>, mut restart: Restart) {
    let name = format!("n-{number:06}");
    let (mut sequence, mut token) = (0_u64, 0_u64);
    sleep(REPORT * (number as u32 % 1000) / 1000).await;
    loop {
        let Ok(Ok(stream)) = timeout(PATIENCE, TcpStream::connect(address)).await else {
            heard.failures.fetch_add(1, Ordering::Relaxed);
            sleep(REPORT).await;
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
            let asked = Instant::now();
            let exchange = async {
                stream.get_mut().write_all(request.as_bytes()).await?;
                answer(&mut stream).await
            };
            let Ok(Ok((200, body))) = timeout(PATIENCE, exchange).await else {
                heard.failures.fetch_add(1, Ordering::Relaxed);
                sleep(REPORT).await;
                break;
            };
            let answer: serde_json::Value = serde_json::from_slice(&body).expect("json");
            token = answer["Warrant"].as_u64().expect("a token");
            heard.highest_token.fetch_max(token as usize, Ordering::Relaxed);
            heard.answers.fetch_add(1, Ordering::Relaxed);
            heard.times.lock().expect("not poisoned").push(asked.elapsed());
            let told = timeout(REPORT.saturating_sub(asked.elapsed()), restart.changed()).await;
            if told.is_ok() {
                break;
            }
        }
    }
}

type Restart = tokio::sync::watch::Receiver<u32>;

#[test]
#[ignore = "a measurement: 4,000 connections"]
fn four_thousand_workers_over_sockets() {
    let (address, thread) = start_controller();
    let empty_mb = resident_mb();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
    runtime.block_on(async move {
        let heard = Arc::new(Heard::default());
        let (tell, restart) = tokio::sync::watch::channel(0);
        sleep(Duration::from_secs(3)).await;
        for number in 0..MACHINES {
            tokio::spawn(work(number, address, heard.clone(), restart.clone()));
        }
        sleep(Duration::from_secs(10)).await;
        heard.times.lock().expect("not poisoned").clear();
        let (answers, failures) =
            (heard.answers.load(Ordering::Relaxed), heard.failures.load(Ordering::Relaxed));
        let cpu = thread_time(&thread);
        sleep(MEASURED).await;
        let share = (thread_time(&thread) - cpu).as_secs_f64() / MEASURED.as_secs_f64();
        let answered = heard.answers.load(Ordering::Relaxed) - answers;
        let failed = heard.failures.load(Ordering::Relaxed) - failures;
        let mut times = std::mem::take(&mut *heard.times.lock().expect("not poisoned"));
        times.sort_unstable();
        println!(
            "{MACHINES} workers: {:.0} reports a second, {failed} failed, median {:?}, 99% within \
             {:?}; the controller took {share:.2} of a core; {} MB with both sides of the \
             connections, {empty_mb} MB before",
            answered as f64 / MEASURED.as_secs_f64(),
            times[times.len() / 2],
            times[times.len() * 99 / 100],
            resident_mb(),
        );
        // All come anew within one instant, as after a change of leader.
        let before = heard.answers.load(Ordering::Relaxed);
        let failures = heard.failures.load(Ordering::Relaxed);
        let began = Instant::now();
        tell.send_modify(|round| *round += 1);
        while heard.answers.load(Ordering::Relaxed) < before + MACHINES {
            assert!(began.elapsed() < Duration::from_secs(30), "they never all came back");
            sleep(Duration::from_millis(5)).await;
        }
        println!(
            "all connected anew and answered after {:?}, {} failures",
            began.elapsed(),
            heard.failures.load(Ordering::Relaxed) - failures
        );
        assert_eq!(failed, 0);
        assert!(answered > MACHINES * 15, "{answered} answers");
    });
}
