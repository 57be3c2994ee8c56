//! HTTP gateway for requests to models: `ANY /models/{name}/{path}` is forwarded to a
//! replica as `/{path}` once the model is ready. `GET /activation` returns the status of
//! each model.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    header::{self, HeaderValue},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
    service::TowerToHyperService,
};
use serde::Serialize;
use stonewheel_http_server::{ConnectionLimits, accept_connections, serve_connection};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{Duration, Instant, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use tracing::debug;
use warp::{Filter, Rejection, Reply};

use crate::{Activator, Admission, Refusal, settings::ActivationSettings};

/// Connections accepted for each request that may be held: the others serve requests in
/// progress and idle callers.
const CONNECTIONS_PER_HELD_REQUEST: usize = 2;
/// Read buffer of each connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// A replica that does not accept a connection within `request_s` divided by this is
/// skipped.
const CONNECT_TIMEOUT_DIVISOR: u32 = 8;
/// Maximum number of idle connections kept open to each replica.
const MAX_IDLE_CONNECTIONS_PER_REPLICA: usize = 16;

/// Headers that concern a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

fn error_response(
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> warp::reply::Response {
    let body = warp::reply::json(&ErrorBody { error: reason.to_owned() });
    let mut response = warp::reply::with_status(body, status).into_response();
    if let Some(after) = retry_after {
        // The header counts whole seconds: round up, so that the caller never comes back
        // too early.
        let seconds = HeaderValue::from(after.as_secs_f64().ceil().max(1.0) as u64);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn refusal_response(refusal: &Refusal) -> warp::reply::Response {
    let status = match refusal {
        Refusal::UnknownModel => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    error_response(status, &refusal.to_string(), refusal.retry_after())
}

/// A request as received from the caller.
struct IncomingRequest {
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    body: Bytes,
}

struct Gateway {
    activator: Arc<Activator>,
    client: Client<HttpConnector, Full<Bytes>>,
    request_timeout: Duration,
}

impl Gateway {
    fn new(activator: Arc<Activator>) -> Self {
        let request_timeout = activator.settings().request_timeout();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(request_timeout / CONNECT_TIMEOUT_DIVISOR));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(request_timeout)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS_PER_REPLICA)
            .build(connector);
        Self { activator, client, request_timeout }
    }

    /// Forwards a request once the model is ready, and returns the response to the caller.
    async fn handle_request(
        &self,
        model: String,
        incoming: IncomingRequest,
    ) -> warp::reply::Response {
        let received_at = Instant::now();
        loop {
            let admission = match self.activator.admit(&model, incoming.body.len()).await {
                Ok(admission) => admission,
                Err(refusal) => return refusal_response(&refusal),
            };
            let exchange =
                timeout(self.request_timeout, self.forward_to_any(&admission, &incoming));
            match exchange.await {
                Ok(Some(response)) => return response,
                Err(_) => {
                    let reason = "the replica did not answer in time";
                    return error_response(StatusCode::GATEWAY_TIMEOUT, reason, None);
                }
                Ok(None) => drop(admission),
            }
            // No replica received the request. The activation's owner detects this with its
            // next probe and updates the record, after which the request is held, forwarded
            // or refused.
            let Some(pause) = self.retry_pause(&model, received_at) else {
                let retry_after = Some(self.request_timeout / CONNECT_TIMEOUT_DIVISOR);
                let reason = "no replica can be reached";
                return error_response(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after);
            };
            sleep(pause).await;
        }
    }

    /// Returns how long to wait before a request that reached no replica is tried again;
    /// none if that would exceed the time for which the request may be held.
    fn retry_pause(&self, model: &str, received_at: Instant) -> Option<Duration> {
        let settings = self.activator.settings().models.get(model)?;
        let (probe_interval_s, hold_s) = (settings.look_s, settings.hold_s);
        let pause = Duration::from_secs_f64(probe_interval_s);
        (received_at.elapsed() + pause < Duration::from_secs_f64(hold_s)).then_some(pause)
    }

    /// Sends a request to one replica after another until one receives it. None if the
    /// request certainly reached no replica.
    async fn forward_to_any(
        &self,
        admission: &Admission,
        incoming: &IncomingRequest,
    ) -> Option<warp::reply::Response> {
        for endpoint in admission.endpoints() {
            let response = self.forward(endpoint, incoming).await;
            if response.is_some() {
                return response;
            }
        }
        None
    }

    /// Returns the replica's response, or an error response for the caller; none if the
    /// request certainly did not reach the replica.
    async fn forward(
        &self,
        endpoint: &str,
        incoming: &IncomingRequest,
    ) -> Option<warp::reply::Response> {
        let query = incoming.query.as_ref().map(|query| format!("?{query}")).unwrap_or_default();
        let uri = format!("http://{endpoint}/{}{query}", incoming.path);
        let request = Request::builder().method(incoming.method.clone()).uri(uri);
        let Ok(mut request) = request.body(Full::from(incoming.body.clone())) else {
            return Some(error_response(
                StatusCode::BAD_REQUEST,
                "the path can't be forwarded",
                None,
            ));
        };
        *request.headers_mut() = end_to_end_headers(&incoming.headers);
        match self.client.request(request).await {
            Ok(response) => Some(relay_response(response).await),
            Err(error) if error.is_connect() => {
                debug!(endpoint, %error, "connecting to a replica failed");
                None
            }
            Err(error) => {
                debug!(endpoint, %error, "request to a replica failed after connecting");
                Some(error_response(StatusCode::BAD_GATEWAY, "the replica broke off", None))
            }
        }
    }
}

/// Returns the headers to forward: those that don't concern a single connection. The
/// length is set anew from the body.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

/// Reads a replica's response to its end and turns it into the response to the caller.
async fn relay_response(response: Response<hyper::body::Incoming>) -> warp::reply::Response {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return error_response(StatusCode::BAD_GATEWAY, "the replica broke off", None);
    };
    let mut reply =
        warp::reply::with_status(body.to_bytes().to_vec(), parts.status).into_response();
    *reply.headers_mut() = end_to_end_headers(&parts.headers);
    reply
}

fn routes(
    gateway: Arc<Gateway>,
    body_limit: usize,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_gateway = warp::any().map(move || gateway.clone());
    let query = warp::query::raw().map(Some).or(warp::any().map(|| None)).unify();
    let body = warp::body::content_length_limit(body_limit as u64)
        .and(warp::body::bytes())
        // A request without a body needs no Content-Length, or has one of 0.
        .or(warp::header::exact_ignore_case("content-length", "0").map(Bytes::new))
        .unify()
        .or(warp::get().or(warp::head()).unify().map(Bytes::new))
        .unify();
    let request = warp::path("models")
        .and(warp::path::param::<String>())
        .and(warp::path::tail())
        .and(warp::method())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(body)
        .and(with_gateway.clone())
        .then(
            |model: String,
             path: warp::path::Tail,
             method: Method,
             query: Option<String>,
             headers: HeaderMap,
             body: Bytes,
             gateway: Arc<Gateway>| async move {
                let path = path.as_str().to_owned();
                gateway
                    .handle_request(model, IncomingRequest { method, path, query, headers, body })
                    .await
            },
        );
    let status = warp::path!("activation").and(warp::get()).and(with_gateway).map(
        |gateway: Arc<Gateway>| warp::reply::json(&gateway.activator.statuses()).into_response(),
    );
    status
        .or(request)
        .unify()
        .recover(|rejection: Rejection| async move {
            Ok::<_, Infallible>(rejection_response(&rejection))
        })
        .unify()
}

fn rejection_response(rejection: &Rejection) -> warp::reply::Response {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than request_kb", None)
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        error_response(StatusCode::LENGTH_REQUIRED, "the body needs a Content-Length", None)
    } else if rejection.is_not_found() {
        error_response(StatusCode::NOT_FOUND, "no such path", None)
    } else {
        error_response(StatusCode::BAD_REQUEST, "the request can't be read", None)
    }
}

fn max_connections(settings: &ActivationSettings) -> usize {
    settings.hold_requests as usize * CONNECTIONS_PER_HELD_REQUEST
}

/// Serves requests until `stop` is cancelled; requests in progress are still answered.
pub async fn serve(activator: Arc<Activator>, listener: TcpListener, stop: CancellationToken) {
    let settings = activator.settings();
    let slots = Arc::new(Semaphore::new(max_connections(settings)));
    let limits = ConnectionLimits {
        header_timeout: settings.request_timeout(),
        buffer_bytes: READ_BUFFER_BYTES,
    };
    let body_limit = settings.max_request_bytes();
    let gateway = Arc::new(Gateway::new(activator));
    let service = warp::service(routes(gateway, body_limit));
    let connection = move |stream: TcpStream, stop: CancellationToken| {
        let service = TowerToHyperService::new(service.clone());
        async move {
            let _ = stream.set_nodelay(true);
            serve_connection(stream, service, limits, stop).await;
        }
    };
    accept_connections(listener, slots, stop, connection).await;
}
