//! Operators' commands over HTTP on the loopback interface.

#[allow(dead_code)] // Each test file uses its own part.
mod common;

use bytes::Bytes;
use common::deployment::{Deployment, SERVICE};
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};
use stonewheel_rollout::{record::Phase, serve};
use tokio::{
    net::TcpListener,
    time::{Duration, sleep},
};
use tokio_util::sync::CancellationToken;

struct Operator {
    client: Client<HttpConnector, Full<Bytes>>,
    url: String,
}

impl Operator {
    async fn send(&self, path: &str, body: Option<&str>) -> (StatusCode, Value) {
        let uri = format!("{}{path}", self.url);
        let request = match body {
            Some(body) => Request::post(uri).body(Full::from(body.to_owned())),
            None => Request::get(uri).body(Full::default()),
        };
        let answer = self.client.request(request.expect("a request")).await.expect("an answer");
        let status = answer.status();
        let body = answer.into_body().collect().await.expect("a body").to_bytes();
        (status, serde_json::from_slice(&body).expect("json"))
    }

    async fn command(&self, body: &Value) -> (StatusCode, Value) {
        self.send("/rollouts/assistant", Some(&body.to_string())).await
    }
}

#[tokio::test]
async fn commands_are_carried_out_once_and_invalid_ones_refused_with_a_reason() {
    // This test runs in real time: the servers have loaded once the deployment is created.
    let deployment = Deployment::new(4, 4, 4).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = CancellationToken::new();
    let serving = tokio::spawn(serve(deployment.executor(1), listener, stop.clone()));
    let client = Client::builder(TokioExecutor::new()).build_http();
    let operator = Operator { client, url: format!("http://{address}") };
    let (status, shown) = operator.send("/rollouts/assistant", None).await;
    assert_eq!((status, shown["record"]["version"].as_str()), (StatusCode::OK, Some("one")));
    assert_eq!(shown["endpoints"].as_array().map(Vec::len), Some(4));
    let start = json!({"id": "c", "command": "start", "to": "two", "steps": [50, 100], "surge": 3});
    let with = |key: &str, value: Value| {
        let mut body = start.clone();
        body[key] = value;
        body
    };
    let refused = [
        (with("to", json!("one")), StatusCode::UNPROCESSABLE_ENTITY, "to must differ"),
        (with("to", json!("a b")), StatusCode::UNPROCESSABLE_ENTITY, "to must be a name"),
        (with("steps", json!([50])), StatusCode::UNPROCESSABLE_ENTITY, "steps must rise"),
        (with("surge", json!(0)), StatusCode::UNPROCESSABLE_ENTITY, "surge must be"),
        (with("surge", json!(9999)), StatusCode::UNPROCESSABLE_ENTITY, "size and surge"),
        (with("id", json!("")), StatusCode::UNPROCESSABLE_ENTITY, "id must have"),
        (with("command", json!("stop")), StatusCode::BAD_REQUEST, "unknown variant"),
        (json!({"id": "p", "command": "pause"}), StatusCode::CONFLICT, "no rollout"),
        (
            json!({"id": "d", "command": "deploy", "version": "one", "replicas": 4}),
            StatusCode::UNPROCESSABLE_ENTITY,
            "deployed already",
        ),
    ];
    for (body, status, reason) in refused {
        let (found, answer) = operator.command(&body).await;
        assert_eq!(found, status, "{body}: {answer}");
        let text = answer["error"].as_str().expect("a sentence");
        assert!(text.contains(reason) && text.lines().count() == 1, "{text}");
    }
    assert_eq!(operator.send("/rollouts/nobody", None).await.0, StatusCode::NOT_FOUND);
    let pause = r#"{"id": "p", "command": "pause"}"#;
    assert_eq!(operator.send("/rollouts/nobody", Some(pause)).await.0, StatusCode::NOT_FOUND);
    let long = format!("{{\"id\": \"{}\", \"command\": \"pause\"}}", "x".repeat(5000));
    let too_long = operator.send("/rollouts/assistant", Some(&long)).await.0;
    assert_eq!(too_long, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(deployment.record().rollout, None, "nothing was changed");
    // The second request repeats the first one's command.
    for _ in 0..2 {
        assert_eq!(operator.command(&start).await, (StatusCode::OK, json!({"done": true})));
    }
    let other = with("id", json!("e"));
    assert_eq!(operator.command(&other).await.0, StatusCode::CONFLICT);
    let roll_back = json!({"id": "b", "command": "roll_back"});
    assert_eq!(operator.command(&roll_back).await.0, StatusCode::OK);
    deployment
        .wait_until("the rollout is rolled back", |d| d.phase() == Some(Phase::RolledBack))
        .await;
    deployment.assert_nothing_lost(4);
    stop.cancel();
    sleep(Duration::from_millis(10)).await;
    drop(operator);
    serving.await.expect("it ends");
    assert_eq!(SERVICE, "assistant");
}
