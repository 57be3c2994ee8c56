//! The routes that users, the load balancer and workers call.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::Full;
use hyper::{Request, body::Incoming, service::service_fn};
use hyper_util::service::TowerToHyperService;
use stonewheel_http_server::{ConnectionLimits, accept_each, serve_connection};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;
use warp::{
    Filter, Rejection, Reply,
    http::{HeaderValue, StatusCode, header},
    reply::Response,
};

use super::body::{BodyBudget, BodyError, Sender};
use crate::{
    node::{HeartbeatReply, Node, Unavailable, UserReply},
    protocol::{BODY_LIMIT, ErrorBody, HeartbeatResponse, Redirect, WorkerHeartbeat},
};

/// While fewer than one in so many of the public sockets is free, users'
/// connections are closed after an answer: workers come first.
const SCARCE: usize = 8;

const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

fn error(status: StatusCode, reason: impl Into<String>) -> Response {
    json(status, &ErrorBody { error: reason.into() })
}

/// A refusal says when to come back. It is given at once: holding a request
/// back would only hide that it can't be taken.
fn come_back(reason: &str) -> Response {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

fn user_response(reply: Result<UserReply, Unavailable>) -> Response {
    match reply {
        Ok(UserReply::Created(status)) => json(StatusCode::CREATED, &status),
        Ok(UserReply::Known(status)) => json(StatusCode::OK, &status),
        Ok(UserReply::Unknown) => error(StatusCode::NOT_FOUND, "no such job"),
        Ok(UserReply::Malformed(reason)) => error(StatusCode::BAD_REQUEST, reason),
        Ok(UserReply::Impossible(reason)) => error(StatusCode::UNPROCESSABLE_ENTITY, reason),
        Err(unavailable) => come_back(&unavailable.to_string()),
    }
}

/// Runs a user's request if the admission limit has room for it.
async fn admitted(
    node: Arc<Node>,
    work: BoxFuture<'_, Result<UserReply, Unavailable>>,
) -> Response {
    let Some(permit) = node.admission.enter() else {
        return come_back("too many requests in progress");
    };
    let reply = work.await;
    match &reply {
        // Refusals come fast and would make a slow service look quick.
        Err(_) => permit.discard(),
        Ok(_) => permit.finish(),
    }
    user_response(reply)
}

async fn report_response(node: &Node, body: &Bytes) -> Response {
    let heartbeat: WorkerHeartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => return error(StatusCode::BAD_REQUEST, e.to_string()),
    };
    match node.answer_heartbeat(&heartbeat).await {
        HeartbeatReply::Commands { token, commands } => {
            json(StatusCode::OK, &HeartbeatResponse { token, commands })
        }
        HeartbeatReply::Redirect(report_to) => {
            json(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
        }
    }
}

pub fn routes(
    node: Arc<Node>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_node = {
        let node = node.clone();
        warp::any().map(move || node.clone())
    };
    let beat = warp::path!("agent" / "beat")
        .and(warp::post())
        .and(warp::body::bytes())
        .and(with_node.clone())
        .then(|body: Bytes, node: Arc<Node>| async move { report_response(&node, &body).await });
    let status = warp::path!("work" / String).and(warp::get()).and(with_node.clone()).then(
        |id: String, node: Arc<Node>| async move {
            let asked = node.clone();
            admitted(node, Box::pin(async move { asked.status(&id).await })).await
        },
    );
    let submit =
        warp::path!("work").and(warp::post()).and(warp::body::bytes()).and(with_node.clone()).then(
            |body: Bytes, node: Arc<Node>| async move {
                let asked = node.clone();
                admitted(node, Box::pin(async move { asked.submit(&body).await })).await
            },
        );
    let withdraw = warp::path!("work" / String / "withdraw")
        .and(warp::post())
        .and(with_node.clone())
        .then(|id: String, node: Arc<Node>| async move {
            let asked = node.clone();
            admitted(node, Box::pin(async move { asked.cancel(&id).await })).await
        });
    let up = warp::path!("up").and(warp::get()).and(with_node).map(|node: Arc<Node>| {
        if node.healthy() {
            warp::reply::with_status("ok\n", StatusCode::OK).into_response()
        } else {
            come_back("not ready")
        }
    });
    beat.or(status)
        .unify()
        .or(submit)
        .unify()
        .or(up)
        .unify()
        .or(withdraw)
        .unify()
        .recover(|rejection: Rejection| async move { Ok::<_, Infallible>(rejected(&rejection)) })
}

fn rejected(rejection: &Rejection) -> Response {
    if rejection.is_not_found() {
        error(StatusCode::NOT_FOUND, "no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        error(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
    } else {
        // What is left are bodies that can't be read or are too large.
        error(StatusCode::BAD_REQUEST, "the body can't be read")
    }
}

fn sender<B>(request: &Request<B>) -> Sender {
    let worker = request.uri().path().starts_with("/agent/");
    if worker { Sender::Worker } else { Sender::Other }
}

fn close_after(answer: &mut Response) {
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
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
        Err(reason) => {
            let mut refusal = match reason {
                BodyError::Unreadable => error(StatusCode::BAD_REQUEST, reason.to_string()),
                BodyError::TooSlow => error(StatusCode::REQUEST_TIMEOUT, reason.to_string()),
                BodyError::NoRoom => come_back(&reason.to_string()),
            };
            // The rest of the body may still come on this connection.
            close_after(&mut refusal);
            Ok(refusal)
        }
    }
}

/// Accepts connections until told to stop, with a routine for each.
pub async fn serve(node: Arc<Node>, listener: TcpListener, stop: CancellationToken) {
    let limit = node.settings.public_sockets();
    let slots = Arc::new(Semaphore::new(limit));
    // A worker that was silent for longer has left; what a cut left half open
    // must not hold a socket for long.
    let idle = node.settings.worker_lease() * 2;
    let memory = node.settings.cluster.quota.mem_mb * BYTES_PER_MB;
    let bodies = Arc::new(BodyBudget::new(memory, node.settings.worker_lease() / 2));
    let limits = ConnectionLimits { header_time: idle, buffer: BODY_LIMIT / 4 };
    let service = warp::service(routes(node));
    let free = slots.clone();
    let connection = move |stream: TcpStream, stop: CancellationToken| {
        let inner = TowerToHyperService::new(service.clone());
        let (free, bodies) = (free.clone(), bodies.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let sender = sender(&request);
            let gives_way = sender == Sender::Other && free.available_permits() < limit / SCARCE;
            let (inner, bodies) = (inner.clone(), bodies.clone());
            async move {
                let mut answer = answer(&inner, &bodies, sender, request).await;
                if let (true, Ok(answer)) = (gives_way, &mut answer) {
                    close_after(answer);
                }
                answer
            }
        });
        async move {
            let _ = stream.set_nodelay(true);
            serve_connection(stream, service, limits, stop).await;
        }
    };
    accept_each(listener, slots, stop, connection).await;
}
