//! The public listener, which limits the connections and reads the bodies of requests.

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

/// The maximum number of connections divided by this is the number to keep free. While
/// fewer are free, connections of users and of the load balancer are closed after each
/// response, so that workers can connect.
const FREE_SOCKETS_DIVISOR: usize = 8;

/// The limits of the public listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// How long the header of the next request may take to arrive on an open connection,
    /// idle time included.
    pub idle_timeout: Duration,
    /// How long the body of a request may take to arrive.
    pub body_timeout: Duration,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: f64,
}

/// The sender's kind, which the path determines.
fn sender<B>(request: &Request<B>) -> Sender {
    let is_worker = request.uri().path().starts_with("/agent/");
    if is_worker { Sender::Worker } else { Sender::Other }
}

/// Reads the body of a request and passes the request to the service.
async fn handle_request<S>(
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
        Err(body_error) => Ok(body_error_response(body_error)),
    }
}

fn body_error_response(body_error: BodyError) -> Response {
    let mut response = match body_error {
        BodyError::Unreadable => error(StatusCode::BAD_REQUEST, body_error.to_string()),
        BodyError::TooSlow => error(StatusCode::REQUEST_TIMEOUT, body_error.to_string()),
        BodyError::BudgetExhausted => retry_later(&body_error.to_string()),
    };
    // The rest of the body may still arrive, so the connection can't be used for another
    // request.
    close_after(&mut response);
    response
}

/// Serves connections until `stop` is cancelled, each in a separate task.
pub async fn serve<H: RequestHandler>(
    handler: Arc<H>,
    limits: ServerLimits,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let connection_slots = Arc::new(Semaphore::new(limits.max_connections));
    let bodies = Arc::new(BodyBudget::new(limits.memory_bytes, limits.body_timeout));
    let connection_limits =
        ConnectionLimits { header_timeout: limits.idle_timeout, buffer_bytes: BODY_LIMIT / 4 };
    let service = warp::service(routes(handler));
    let free_slots = connection_slots.clone();
    let serve_stream = move |stream: TcpStream, stop: CancellationToken| {
        let inner = TowerToHyperService::new(service.clone());
        let (free_slots, bodies) = (free_slots.clone(), bodies.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let sender = sender(&request);
            let sockets_are_scarce =
                free_slots.available_permits() < limits.max_connections / FREE_SOCKETS_DIVISOR;
            let closes_connection = sender == Sender::Other && sockets_are_scarce;
            let (inner, bodies) = (inner.clone(), bodies.clone());
            async move {
                let mut response = handle_request(&inner, &bodies, sender, request).await;
                if let (true, Ok(response)) = (closes_connection, &mut response) {
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
    accept_connections(listener, connection_slots, stop, serve_stream).await;
}
