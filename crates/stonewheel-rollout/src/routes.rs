//! The HTTP interface for operators:
//!
//! - `GET /rollouts/{service}` returns the service's record and the endpoints of the
//!   replicas that take requests;
//! - `POST /rollouts/{service}` takes a command, with an id that the caller chose.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper_util::service::TowerToHyperService;
use serde::{Deserialize, Serialize};
use stonewheel_http_server::{ConnectionLimits, accept_connections, serve_connection};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::sync::CancellationToken;
use warp::{
    Filter, Rejection, Reply,
    http::{StatusCode, header},
    reply::Response,
};

use crate::{
    CommandFailure, Executor,
    command::{Command, CommandError, CommandKind},
    record::ServiceRecord,
};

/// Open connections of operators at the same time.
const MAX_CONNECTIONS: usize = 32;
/// Bytes of the longest body of a command.
const MAX_BODY_BYTES: u64 = 4096;
/// Bytes that a connection reads ahead.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// How long a request's header may take to arrive, idle time before it included.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// The `Retry-After` header of an answer 503, in seconds.
const RETRY_AFTER_S: &str = "1";

/// The body of a command. The name of the type is part of the answer to a body that is not a
/// JSON object.
#[derive(Debug, Deserialize)]
struct CommandBody {
    id: String,
    #[serde(flatten)]
    ask: CommandRequest,
}

#[derive(Debug, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
enum CommandRequest {
    Deploy { version: String, replicas: u32 },
    Start { to: String, steps: Vec<u8>, surge: u32 },
    Pause,
    Resume,
    RollBack,
    Abort,
}

#[derive(Serialize)]
struct ServiceStatus {
    record: ServiceRecord,
    endpoints: Vec<String>,
}

#[derive(Serialize)]
struct Done {
    done: bool,
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

fn error_response(status: StatusCode, reason: impl Into<String>) -> Response {
    let body = warp::reply::json(&ErrorBody { error: reason.into() });
    let mut response = warp::reply::with_status(body, status).into_response();
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let retry_after = header::HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
    response
}

fn failure_response(failure: &CommandFailure) -> Response {
    let status = match failure {
        CommandFailure::Refused(
            CommandError::RolloutInProgress(_) | CommandError::NoRolloutInProgress,
        ) => StatusCode::CONFLICT,
        CommandFailure::Refused(_) => StatusCode::UNPROCESSABLE_ENTITY,
        CommandFailure::UnknownService(_) => StatusCode::NOT_FOUND,
        CommandFailure::TooManyCommands => StatusCode::TOO_MANY_REQUESTS,
        CommandFailure::Unavailable | CommandFailure::OutcomeUnknown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    error_response(status, failure.to_string())
}

async fn show_service(service: String, executor: Arc<Executor>) -> Response {
    let endpoints = executor.endpoints(&service).await;
    match (executor.record(&service), endpoints) {
        (Some(record), Some(endpoints)) => {
            warp::reply::json(&ServiceStatus { record: record.value, endpoints }).into_response()
        }
        _ => error_response(StatusCode::NOT_FOUND, format!("service {service} is not known")),
    }
}

async fn carry_out_command(
    service: String,
    body: CommandBody,
    executor: Arc<Executor>,
) -> Response {
    let kind = match body.ask {
        CommandRequest::Deploy { version, replicas } => {
            let deployed = executor.create(&service, &version, replicas).await;
            return command_response(deployed);
        }
        CommandRequest::Start { to, steps, surge } => CommandKind::Start { to, steps, surge },
        CommandRequest::Pause => CommandKind::Pause,
        CommandRequest::Resume => CommandKind::Resume,
        CommandRequest::RollBack => CommandKind::RollBack,
        CommandRequest::Abort => CommandKind::Abort,
    };
    command_response(executor.command(&service, &Command { id: body.id, kind }).await)
}

fn command_response(outcome: Result<(), CommandFailure>) -> Response {
    match outcome {
        Ok(()) => warp::reply::json(&Done { done: true }).into_response(),
        Err(reason) => failure_response(&reason),
    }
}

fn routes(
    executor: Arc<Executor>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_executor = warp::any().map(move || executor.clone());
    let show = warp::path!("rollouts" / String)
        .and(warp::get())
        .and(with_executor.clone())
        .then(show_service);
    let command = warp::path!("rollouts" / String)
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .and(with_executor)
        .then(carry_out_command);
    show.or(command)
        .unify()
        .recover(|rejection: Rejection| async move {
            Ok::<_, Infallible>(rejection_response(&rejection))
        })
        .unify()
}

fn rejection_response(rejection: &Rejection) -> Response {
    if let Some(error) = rejection.find::<warp::body::BodyDeserializeError>() {
        error_response(StatusCode::BAD_REQUEST, error.to_string())
    } else if rejection.find::<warp::reject::PayloadTooLarge>().is_some() {
        error_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long")
    } else if rejection.is_not_found() {
        error_response(StatusCode::NOT_FOUND, "no such path")
    } else {
        error_response(StatusCode::BAD_REQUEST, "the request can't be read")
    }
}

/// Serves operators' requests until `stop` is cancelled.
pub async fn serve(executor: Arc<Executor>, listener: TcpListener, stop: CancellationToken) {
    let service = warp::service(routes(executor));
    let limits =
        ConnectionLimits { header_timeout: HEADER_TIMEOUT, buffer_bytes: READ_BUFFER_BYTES };
    let connection = move |stream: TcpStream, stop: CancellationToken| {
        let service = TowerToHyperService::new(service.clone());
        serve_connection(stream, service, limits, stop)
    };
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    accept_connections(listener, slots, stop, connection).await;
}
