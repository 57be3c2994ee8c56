//! The public listener: connections, and the bodies of their requests.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::service::TowerToHyperService;
use stonewheel_http_server::{ConnectionLimits, accept_connections, serve_connection};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::Duration,
};
use tokio_util::sync::CancellationToken;
use warp::{http::StatusCode, reply::Response};

use super::{
    body::{BodyBudget, BodyError, Sender},
    responses::{close_after, error, retry_later},
    routes::{RequestHandler, routes},
};
use crate::protocol::BODY_LIMIT;

/// While fewer than one in so many of the public sockets is free, users'
/// connections are closed after a response: workers come first.
const SCARCE: usize = 8;

/// The bounds of the public listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Connections at once.
    pub sockets: usize,
    /// A connection without a request for so long is closed.
    pub idle_timeout: Duration,
    /// How long the body of a request may take to arrive.
    pub body_timeout: Duration,
    /// All the bytes that the process may hold.
    pub memory: f64,
}

fn sender<B>(request: &Request<B>) -> Sender {
    let worker = request.uri().path().starts_with("/agent/");
    if worker { Sender::Worker } else { Sender::Other }
}

/// Reads the body of a request and has it answered.
async fn answer<S>(
    service: &S,
    bodies: &BodyBudget,
    sender: Sender,
    request: Request<Incoming>,
) -> Result<Response, S::Error>
where
    S: hyper::service::Service<Request<Full<Bytes>>, Response = Response>,
{
    let (parts, body) = request.into_parts();
    match bodies.read(sender, body).await {
        Ok(body) => {
            let request = Request::from_parts(parts, Full::from(body.bytes.clone()));
            service.call(request).await
        }
        Err(reason) => Ok(body_refusal(reason)),
    }
}

fn body_refusal(reason: BodyError) -> Response {
    let mut refusal = match reason {
        BodyError::Unreadable => error(StatusCode::BAD_REQUEST, reason.to_string()),
        BodyError::TooSlow => error(StatusCode::REQUEST_TIMEOUT, reason.to_string()),
        BodyError::NoRoom => retry_later(&reason.to_string()),
    };
    // The rest of the body may still come on this connection.
    close_after(&mut refusal);
    refusal
}

/// Serves connections until `stop` is cancelled, each in a task of its own.
pub async fn serve<H: RequestHandler>(
    handler: Arc<H>,
    limits: ServerLimits,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let slots = Arc::new(Semaphore::new(limits.sockets));
    let bodies = Arc::new(BodyBudget::new(limits.memory, limits.body_timeout));
    let connection_limits =
        ConnectionLimits { header_timeout: limits.idle_timeout, buffer_bytes: BODY_LIMIT / 4 };
    let service = warp::service(routes(handler));
    let free = slots.clone();
    let connection = move |stream: TcpStream, stop: CancellationToken| {
        let inner = TowerToHyperService::new(service.clone());
        let (free, bodies) = (free.clone(), bodies.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let sender = sender(&request);
            let sockets_scarce = free.available_permits() < limits.sockets / SCARCE;
            let closes = sender == Sender::Other && sockets_scarce;
            let (inner, bodies) = (inner.clone(), bodies.clone());
            async move {
                let mut response = answer(&inner, &bodies, sender, request).await;
                if let (true, Ok(response)) = (closes, &mut response) {
                    close_after(response);
                }
                response
            }
        });
        async move {
            let _ = stream.set_nodelay(true);
            serve_connection(stream, service, connection_limits, stop).await;
        }
    };
    accept_connections(listener, slots, stop, connection).await;
}
