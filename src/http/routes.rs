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

/// The operations behind the routes.
pub trait RequestHandler: Send + Sync + 'static {
    /// The limit on users' requests in progress.
    fn admission_limit(&self) -> &Arc<AdmissionLimit>;
    /// Whether the load balancer may send users' requests here.
    fn is_ready(&self) -> bool;
    /// Submits a job. `body`: the job specification in JSON.
    fn submit(&self, body: &[u8]) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Returns the status of a job.
    fn status(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Cancels a job.
    fn cancel(&self, id: &str) -> impl Future<Output = Result<UserReply, Unavailable>> + Send;
    /// Processes a worker's heartbeat.
    fn worker_heartbeat(
        &self,
        heartbeat: &WorkerHeartbeat,
    ) -> impl Future<Output = HeartbeatReply> + Send;
}

/// Runs a user's request, or refuses it while the admission limit is reached.
async fn respond_if_admitted(
    limit: &Arc<AdmissionLimit>,
    request: impl Future<Output = Result<UserReply, Unavailable>>,
) -> Response {
    let Some(permit) = limit.try_acquire() else {
        return retry_later("too many requests in progress");
    };
    let reply = request.await;
    match &reply {
        // Refusals are quick. Their times would make an overloaded service seem fast.
        Err(_) => permit.discard(),
        Ok(_) => permit.finish(),
    }
    user_response(reply)
}

/// Parses and processes a worker's heartbeat.
async fn heartbeat_response_for<H: RequestHandler>(handler: &H, body: &[u8]) -> Response {
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
        .then(|body: Bytes, handler: Arc<H>| async move {
            heartbeat_response_for(&*handler, &body).await
        });
    let status = warp::path!("work" / String).and(warp::get()).and(with_handler.clone()).then(
        |id: String, handler: Arc<H>| async move {
            respond_if_admitted(handler.admission_limit(), handler.status(&id)).await
        },
    );
    let submit = warp::path!("work")
        .and(warp::post())
        .and(warp::body::bytes())
        .and(with_handler.clone())
        .then(|body: Bytes, handler: Arc<H>| async move {
            respond_if_admitted(handler.admission_limit(), handler.submit(&body)).await
        });
    let cancel = warp::path!("work" / String / "withdraw")
        .and(warp::post())
        .and(with_handler.clone())
        .then(|id: String, handler: Arc<H>| async move {
            respond_if_admitted(handler.admission_limit(), handler.cancel(&id)).await
        });
    let ready = warp::path!("up").and(warp::get()).and(with_handler).map(|handler: Arc<H>| {
        if handler.is_ready() {
            warp::reply::with_status("ok\n", StatusCode::OK).into_response()
        } else {
            retry_later("not ready")
        }
    });
    heartbeat.or(status).unify().or(submit).unify().or(ready).unify().or(cancel).unify().recover(
        |rejection: Rejection| async move { Ok::<_, Infallible>(rejection_response(&rejection)) },
    )
}

fn rejection_response(rejection: &Rejection) -> Response {
    if rejection.is_not_found() {
        error(StatusCode::NOT_FOUND, "no such path")
    } else if rejection.find::<warp::reject::MethodNotAllowed>().is_some() {
        error(StatusCode::METHOD_NOT_ALLOWED, "no such method here")
    } else {
        // The only other rejections are of bodies that can't be read or are too large.
        error(StatusCode::BAD_REQUEST, "the body can't be read")
    }
}
