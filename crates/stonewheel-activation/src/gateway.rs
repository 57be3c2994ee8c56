//! The way in for requests to models, over HTTP: `ANY /models/{name}/{path}` goes to
//! a replica as `/{path}`, once the model serves. `GET /activation` tells the
//! operator what each model does.

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

/// Connections beyond those whose requests are held: of requests that pass, and of
/// callers that idle.
const CONNECTIONS_PER_HELD: usize = 2;
/// A connection reads so much ahead.
const BUFFER: usize = 16 * 1024;
/// A replica that takes no connection within this part of a request's time is passed
/// over.
const CONNECT_PARTS: u32 = 8;
/// Idle connections kept to each replica.
const IDLE_CONNECTIONS: usize = 16;

/// Headers that hold for one connection only.
const HOP_BY_HOP: [header::HeaderName; 7] = [
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

fn refuse(
    status: StatusCode,
    reason: &str,
    retry_after: Option<Duration>,
) -> warp::reply::Response {
    let body = warp::reply::json(&ErrorBody { error: reason.to_owned() });
    let mut response = warp::reply::with_status(body, status).into_response();
    if let Some(after) = retry_after {
        // Whole seconds, never sooner than asked.
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
    refuse(status, &refusal.to_string(), refusal.retry_after())
}

/// One request as it came in.
struct Incoming {
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    body: Bytes,
}

struct Gateway {
    activator: Arc<Activator>,
    client: Client<HttpConnector, Full<Bytes>>,
    request_limit: Duration,
}

impl Gateway {
    fn new(activator: Arc<Activator>) -> Self {
        let request_limit = activator.settings().request_limit();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(request_limit / CONNECT_PARTS));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(request_limit)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build(connector);
        Self { activator, client, request_limit }
    }

    async fn answer(&self, model: String, incoming: Incoming) -> warp::reply::Response {
        let began = Instant::now();
        loop {
            let admission = match self.activator.enter(&model, incoming.body.len()).await {
                Ok(admission) => admission,
                Err(refusal) => return refusal_response(&refusal),
            };
            let exchange = timeout(self.request_limit, self.exchange(&admission, &incoming));
            match exchange.await {
                Ok(Some(response)) => return response,
                Err(_) => {
                    let reason = "the replica did not answer in time";
                    return refuse(StatusCode::GATEWAY_TIMEOUT, reason, None);
                }
                Ok(None) => drop(admission),
            }
            // No replica has the request. Their owner will have noticed soon, and what
            // it does then lets the request pass or be refused.
            let Some(pause) = self.patience(&model, began) else {
                let retry_after = Some(self.request_limit / CONNECT_PARTS);
                let reason = "no replica can be reached";
                return refuse(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after);
            };
            sleep(pause).await;
        }
    }

    /// How long to wait before a request that reached nobody tries again; none if its
    /// time is over.
    fn patience(&self, model: &str, began: Instant) -> Option<Duration> {
        let settings = self.activator.settings().models.get(model)?;
        let (probe, hold) = (settings.look_s, settings.hold_s);
        let pause = Duration::from_secs_f64(probe);
        (began.elapsed() + pause < Duration::from_secs_f64(hold)).then_some(pause)
    }

    /// Sends a request to one replica after another until one has it.
    async fn exchange(
        &self,
        admission: &Admission,
        incoming: &Incoming,
    ) -> Option<warp::reply::Response> {
        for endpoint in admission.endpoints() {
            let response = self.forward(endpoint, incoming).await;
            if response.is_some() {
                return response;
            }
        }
        None
    }

    /// The replica's answer, or none if the request surely did not reach it.
    async fn forward(&self, endpoint: &str, incoming: &Incoming) -> Option<warp::reply::Response> {
        let query = incoming.query.as_ref().map(|query| format!("?{query}")).unwrap_or_default();
        let uri = format!("http://{endpoint}/{}{query}", incoming.path);
        let request = Request::builder().method(incoming.method.clone()).uri(uri);
        let Ok(mut request) = request.body(Full::from(incoming.body.clone())) else {
            return Some(refuse(StatusCode::BAD_REQUEST, "the path can't be forwarded", None));
        };
        *request.headers_mut() = end_to_end(&incoming.headers);
        match self.client.request(request).await {
            Ok(response) => Some(passed_on(response).await),
            Err(error) if error.is_connect() => {
                debug!(endpoint, %error, "a replica can't be reached");
                None
            }
            Err(error) => {
                debug!(endpoint, %error, "a replica broke off");
                Some(refuse(StatusCode::BAD_GATEWAY, "the replica broke off", None))
            }
        }
    }
}

/// The headers that concern both ends, not one connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut headers = headers.clone();
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
    headers
}

async fn passed_on(response: Response<hyper::body::Incoming>) -> warp::reply::Response {
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return refuse(StatusCode::BAD_GATEWAY, "the replica broke off", None);
    };
    let mut answer =
        warp::reply::with_status(body.to_bytes().to_vec(), parts.status).into_response();
    *answer.headers_mut() = end_to_end(&parts.headers);
    answer
}

fn routes(
    gateway: Arc<Gateway>,
    body_limit: usize,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_gateway = warp::any().map(move || gateway.clone());
    let query = warp::query::raw().map(Some).or(warp::any().map(|| None)).unify();
    let body = warp::body::content_length_limit(body_limit as u64)
        .and(warp::body::bytes())
        // Without a body there is no length to check.
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
                gateway.answer(model, Incoming { method, path, query, headers, body }).await
            },
        );
    let status = warp::path!("activation").and(warp::get()).and(with_gateway).map(
        |gateway: Arc<Gateway>| warp::reply::json(&gateway.activator.statuses()).into_response(),
    );
    status
        .or(request)
        .unify()
        .recover(|rejection: Rejection| async move { Ok::<_, Infallible>(rejected(&rejection)) })
        .unify()
}

fn rejected(rejection: &Rejection) -> warp::reply::Response {
    if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is larger than request_kb", None)
    } else if rejection.find::<warp::reject::LengthRequired>().is_some() {
        refuse(StatusCode::LENGTH_REQUIRED, "the body needs a Content-Length", None)
    } else if rejection.is_not_found() {
        refuse(StatusCode::NOT_FOUND, "no such path", None)
    } else {
        refuse(StatusCode::BAD_REQUEST, "the request can't be read", None)
    }
}

fn most_connections(settings: &ActivationSettings) -> usize {
    settings.hold_requests as usize * CONNECTIONS_PER_HELD
}

/// Takes requests until told to stop; those in progress are still answered.
pub async fn serve(activator: Arc<Activator>, listener: TcpListener, stop: CancellationToken) {
    let settings = activator.settings();
    let slots = Arc::new(Semaphore::new(most_connections(settings)));
    let limits =
        ConnectionLimits { header_timeout: settings.request_limit(), buffer_bytes: BUFFER };
    let body_limit = settings.request_bytes();
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
