//! The routes that users, the load balancer and workers call.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use warp::{Filter, Rejection, Reply, http::StatusCode, reply::Response};

use super::responses::{error, heartbeat_response, retry_later, user_response};
use crate::{
    admission_limit::AdmissionLimit,
    protocol::WorkerHeartbeat,
    replies::{HeartbeatReply, Unavailable, UserReply},
};

/// What answers the requests.
pub trait RequestHandler: Send + Sync + 'static {
    /// The limit on users' requests in progress.
    fn admission_limit(&self) -> &Arc<AdmissionLimit>;
    /// Whether the load balancer may send users' requests here.
    fn is_ready(&self) -> bool;
    /// Answers a submission. `body`: the job specification in JSON.
    fn submit(&self, body: &[u8]) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Answers a query for a job's status.
    fn status(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Answers a cancellation.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Answers a worker's heartbeat.
    fn worker_heartbeat(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> impl Future<Output = HeartbeatReply> + Send;
}

/// Runs a user's request if the admission limit has room for it.
async fn admitted(
    limit: &Arc<AdmissionLimit>,
    request: impl Future<Output = Result<UserReply, Unavailable>>,
) -> Response {
    let Some(permit) = limit.enter() else {
        return retry_later("too many requests in progress");
    };
    let reply = request.await;
    match &reply {
        // Refusals come fast and would make a slow service seem quick.
        Err(_) => permit.discard(),
        Ok(_) => permit.finish(),
    }
    user_response(reply)
}

async fn answer_heartbeat<H: RequestHandler>(handler: &H, body: &[u8]) -> Response {
    match serde_json::from_slice::<WorkerHeartbeat>(body) {
        Ok(heartbeat) => heartbeat_response(handler.worker_heartbeat(&heartbeat).await),
        Err(e) => error(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

/// All routes of the public listener.
pub fn routes<H: RequestHandler>(
    handler: Arc<H>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync + 'static {
    let with_handler = {
        let handler = handler.clone();
        warp::any().map(move || handler.clone())
    };
    let heartbeat = warp::path!("agent" / "beat")
        .and(warp::post())
        .and(warp::body::bytes())
        .and(with_handler.clone())
        .then(
            |body: Bytes, handler: Arc<H>| async move { answer_heartbeat(&*handler, &body).await },
        );
    let status = warp::path!("work" / String).and(warp::get()).and(with_handler.clone()).then(
        |id: String, handler: Arc<H>| async move {
            admitted(handler.admission_limit(), handler.status(&id)).await
        },
    );
    let submit = warp::path!("work")
        .and(warp::post())
        .and(warp::body::bytes())
        .and(with_handler.clone())
        .then(|body: Bytes, handler: Arc<H>| async move {
            admitted(handler.admission_limit(), handler.submit(&body)).await
        });
    let cancel = warp::path!("work" / String / "withdraw")
        .and(warp::post())
        .and(with_handler.clone())
        .then(|id: String, handler: Arc<H>| async move {
            admitted(handler.admission_limit(), handler.cancel(&id)).await
        });
    let ready = warp::path!("up").and(warp::get()).and(with_handler).map(|handler: Arc<H>| {
        if handler.is_ready() {
            warp::reply::with_status("ok\n", StatusCode::OK).into_response()
        } else {
            retry_later("not ready")
        }
    });
    heartbeat
        .or(status)
        .unify()
        .or(submit)
        .unify()
        .or(ready)
        .unify()
        .or(cancel)
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
