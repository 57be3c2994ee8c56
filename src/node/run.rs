//! The background tasks and listeners of a node.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use super::{instance::Node, records, requests, tasks::until_cancelled};
use crate::{election, http, peers};

impl Node {
    /// Serves both listeners and runs the background tasks until `stop` is cancelled, then
    /// waits for all tasks to end.
    pub async fn run(
        self: Arc<Self>,
        public: TcpListener,
        internal: TcpListener,
        stop: CancellationToken,
    ) {
        let tasks = self.spawn_background_tasks(&stop);
        let limits = requests::server_limits(&self.settings);
        tasks.spawn(http::server::serve(self.clone(), limits, public, stop.clone()));
        tasks.spawn(peers::listen(self.clone(), internal, stop.clone()));
        for member in &self.settings.members {
            let (name, endpoint) = (member.member.clone(), member.endpoint);
            tasks.spawn(peers::send_heartbeats(self.clone(), name, endpoint, stop.clone()));
        }
        stop.cancelled().await;
        tasks.close();
        tasks.wait().await;
    }

    /// Spawns the background tasks, without listeners and links to other controllers. Tests
    /// that simulate the network call this directly.
    pub fn spawn_background_tasks(self: &Arc<Self>, stop: &CancellationToken) -> TaskTracker {
        let tasks = TaskTracker::new();
        tasks.spawn(self.writer.clone().run(stop.clone()));
        tasks.spawn(until_cancelled(stop.clone(), records::run_watch(self.clone())));
        tasks.spawn(until_cancelled(stop.clone(), records::run_reads(self.clone())));
        tasks.spawn(election::run(self.clone(), stop.clone()));
        tasks
    }
}
