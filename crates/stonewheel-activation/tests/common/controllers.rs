//! Controllers on loopback, each with a thread and a runtime of its own, so that one
//! can be killed or stand still as a process can.

use std::{
    net::SocketAddr,
    sync::{Arc, mpsc},
    thread::JoinHandle,
    time::Duration,
};

use stonewheel_activation::{ActivationSettings, Activator, ReplicaStarter, serve};
use stonewheel_coordination::Timing;
use stonewheel_testing::{MemState, spawn_coordinator};
use tokio::{net::TcpListener, sync::mpsc as commands};
use tokio_util::sync::CancellationToken;

/// What a test does to a controller.
enum Command {
    /// Its process ends at once, and its connections with it.
    Kill,
    /// Its process stands still.
    Pause(Duration),
}

/// One controller.
pub struct Controller {
    pub address: SocketAddr,
    pub client: String,
    commands: commands::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// What controllers share.
pub struct Deployment {
    pub state: MemState,
    pub settings: ActivationSettings,
    pub size: usize,
    pub session: Duration,
}

impl Deployment {
    /// Starts a controller.
    pub fn start(&self, at: usize, starter: Arc<dyn ReplicaStarter>) -> Controller {
        let client = format!("m-{at}");
        let state = self.state.clone();
        let (settings, size, session) = (self.settings.clone(), self.size, self.session);
        let (commands, mut received) = commands::unbounded_channel();
        let (tell, told) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
            runtime.block_on(async move {
                let stop = CancellationToken::new();
                let timing = Timing { session_ttl: session, state_timeout: session / 4 };
                let incarnation = at as u64;
                let coordinator =
                    spawn_coordinator(&state, &client, (at, size), incarnation, timing, &stop);
                let activator = Activator::new(coordinator, settings, starter, at as u64);
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                tell.send(listener.local_addr().expect("an address")).expect("somebody waits");
                tokio::spawn(activator.clone().run(stop.clone()));
                tokio::spawn(serve(activator, listener, stop));
                while let Some(Command::Pause(time)) = received.recv().await {
                    // Nothing else of this runtime runs meanwhile.
                    std::thread::sleep(time);
                }
            });
            runtime.shutdown_background();
        });
        let address = told.recv().expect("it listens");
        Controller { address, client: format!("m-{at}"), commands, thread: Some(thread) }
    }
}

impl Controller {
    pub fn kill(&mut self) {
        let _ = self.commands.send(Command::Kill);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ran");
        }
    }

    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}
