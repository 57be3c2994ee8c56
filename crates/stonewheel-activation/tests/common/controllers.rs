//! Controllers on loopback. Each has a thread and a runtime of its own, so that a test can
//! kill or suspend one as if it were a process.

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

/// Command of a test to a controller.
enum Command {
    /// Ends the controller and its connections immediately, without an orderly shutdown.
    Kill,
    /// Suspends the controller for this time.
    Pause(Duration),
}

/// A running controller.
pub struct Controller {
    pub address: SocketAddr,
    pub client: String,
    commands: commands::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

/// State service and settings that the controllers share.
pub struct Deployment {
    pub state: MemState,
    pub settings: ActivationSettings,
    pub size: usize,
    pub session_ttl: Duration,
}

impl Deployment {
    /// Starts the controller with this index.
    pub fn start(&self, index: usize, starter: Arc<dyn ReplicaStarter>) -> Controller {
        let client = format!("m-{index}");
        let state = self.state.clone();
        let (settings, size, session_ttl) = (self.settings.clone(), self.size, self.session_ttl);
        let (commands, mut received) = commands::unbounded_channel();
        let (address_sender, address_receiver) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runs");
            runtime.block_on(async move {
                let stop = CancellationToken::new();
                let timing = Timing { session_ttl, state_timeout: session_ttl / 4 };
                let incarnation = index as u64;
                let coordinator =
                    spawn_coordinator(&state, &client, (index, size), incarnation, timing, &stop);
                let activator = Activator::new(coordinator, settings, starter, index as u64);
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
                address_sender
                    .send(listener.local_addr().expect("an address"))
                    .expect("the receiver waits");
                tokio::spawn(activator.clone().run(stop.clone()));
                tokio::spawn(serve(activator, listener, stop));
                while let Some(Command::Pause(time)) = received.recv().await {
                    // Blocks the runtime's only thread, so all of the controller's tasks stop.
                    std::thread::sleep(time);
                }
            });
            runtime.shutdown_background();
        });
        let address = address_receiver.recv().expect("it listens");
        Controller { address, client: format!("m-{index}"), commands, thread: Some(thread) }
    }
}

impl Controller {
    /// Ends the controller immediately and waits for its thread.
    pub fn kill(&mut self) {
        let _ = self.commands.send(Command::Kill);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("it ran");
        }
    }

    /// Suspends the controller for this time.
    pub fn pause(&self, time: Duration) {
        let _ = self.commands.send(Command::Pause(time));
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}
