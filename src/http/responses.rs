//! Responses with a JSON body.

use warp::{
    Reply,
    http::{HeaderValue, StatusCode, header},
    reply::Response,
};

use crate::{
    protocol::{ErrorBody, HeartbeatResponse, Redirect},
    replies::{HeartbeatReply, Unavailable, UserReply},
};

/// The value of `Retry-After` in a refusal, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> Response {
    warp::reply::with_status(warp::reply::json(body), status).into_response()
}

/// A response with an error message.
pub(super) fn error(status: StatusCode, reason: impl Into<String>) -> Response {
    json(status, &ErrorBody { error: reason.into() })
}

/// A refusal with the time after which the caller may retry. Requests are refused
/// without delay: queuing them would only hide that they can't be served.
pub(super) fn retry_later(reason: &str) -> Response {
    let mut response = error(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S);
    response
}

/// Marks a response so that the connection is closed after it.
pub(super) fn close_after(response: &mut Response) {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// The response to a user's request.
pub(super) fn user_response(reply: Result<UserReply, Unavailable>) -> Response {
    match reply {
        Ok(UserReply::Created(status)) => json(StatusCode::CREATED, &status),
        Ok(UserReply::Known(status)) => json(StatusCode::OK, &status),
        Ok(UserReply::Unknown) => error(StatusCode::NOT_FOUND, "no such job"),
        Ok(UserReply::Malformed(reason)) => error(StatusCode::BAD_REQUEST, reason),
        Ok(UserReply::Impossible(reason)) => error(StatusCode::UNPROCESSABLE_ENTITY, reason),
        Err(unavailable) => retry_later(&unavailable.to_string()),
    }
}

/// The response to a worker's heartbeat.
pub(super) fn heartbeat_response(reply: HeartbeatReply) -> Response {
    match reply {
        HeartbeatReply::Commands { token, commands } => {
            json(StatusCode::OK, &HeartbeatResponse { token, commands })
        }
        HeartbeatReply::Redirect(report_to) => {
            json(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
        }
    }
}
