//! The node as the handler of the HTTP routes.

use std::sync::Arc;

use super::instance::Node;
use crate::{
    admission_limit::AdmissionLimit,
    http::{RequestHandler, server::ServerLimits},
    protocol::WorkerHeartbeat,
    replies::{HeartbeatReply, Unavailable, UserReply},
    settings::Settings,
};

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The limits of the public listener, derived from the settings.
pub(super) fn server_limits(settings: &Settings) -> ServerLimits {
    ServerLimits {
        sockets: settings.public_sockets(),
        // A worker that is silent for longer than its lease has stopped. A connection that
        // a network failure left half open must not occupy a socket for long.
        idle_timeout: settings.worker_lease() * 2,
        body_timeout: settings.worker_lease() / 2,
        memory: settings.cluster.quota.mem_mb * BYTES_PER_MB,
    }
}

impl RequestHandler for Node {
    fn admission(&self) -> &Arc<AdmissionLimit> {
        &self.admission
    }

    fn is_ready(&self) -> bool {
        self.is_healthy()
    }

    fn submit(&self, body: &[u8]) -> impl Future<Output = Result<UserReply, Unavailable>> + Send {
        Node::submit(self, body)
    }

    fn status(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send {
        Node::status(self, id)
    }

    fn cancel(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send {
        Node::cancel(self, id)
    }

    fn worker_heartbeat(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> impl Future<Output = HeartbeatReply> + Send {
        self.answer_heartbeat(heartbeat)
    }
}
