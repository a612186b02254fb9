//! Guards against a service stand-in that miscounts executions when an answer is lost or wrong.

mod common;

use std::net::SocketAddr;

use common::{get, listener, post, send};
use http::Method;
use serde_json::{Value, json};
use standin::service;

async fn start() -> SocketAddr {
    let (listener, address) = listener().await;
    tokio::spawn(service::run(listener, service::Options::default()));
    address
}

#[tokio::test]
async fn each_execution_is_counted_under_its_operation() {
    let to = start().await;
    let headers = [("x-operation", "op-1"), ("x-request-id", "r-1")];
    let answer = send(to, Method::POST, "/bookings", &headers, Value::Null).await.expect("answer");
    assert_eq!(
        (answer.status.as_u16(), &answer.headers["x-request-id"]),
        (201, &"r-1".parse().expect("id"))
    );
    assert_eq!(answer.json()["executions"], 1);
    assert_eq!(
        post(to, "/deposits/7", json!({ "operation": "op-1" })).await.json()["executions"],
        2
    );
    assert_eq!(get(to, "/orders/op-1").await.json()["executions"], 2);
    assert_eq!(get(to, "/control/executions").await.json(), json!({ "op-1": 2 }));
    for method in [Method::HEAD, Method::OPTIONS] {
        let answer = send(to, method, "/bookings", &[], Value::Null).await.expect("answer");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(get(to, "/control/executions").await.json(), json!({ "op-1": 2 }));
}

#[tokio::test]
async fn a_connection_dropped_before_runs_nothing_and_one_dropped_after_runs_once() {
    let to = start().await;
    let body = json!({ "operation": "op-1" });
    post(to, "/control/faults", json!({ "drop_before": true })).await;
    assert!(send(to, Method::POST, "/bookings", &[], body.clone()).await.is_none());
    assert_eq!(get(to, "/control/executions").await.json(), json!({}));
    post(to, "/control/faults", json!({ "drop_before": 0.0, "drop_after": 1.0 })).await;
    assert!(send(to, Method::POST, "/bookings", &[], body).await.is_none());
    assert_eq!(get(to, "/control/executions").await.json(), json!({ "op-1": 1 }));
}

#[tokio::test]
async fn faults_apply_only_in_their_scope() {
    let to = start().await;
    let faults = json!({ "fail_share": 1.0, "scope": { "route": "/deposits", "after": 1 } });
    post(to, "/control/faults", faults).await;
    assert_eq!(post(to, "/deposits", json!({ "operation": "a" })).await.status, 201);
    assert_eq!(post(to, "/bookings", json!({ "operation": "a" })).await.status, 201);
    assert_eq!(post(to, "/deposits", json!({ "operation": "a" })).await.status, 500);
}

#[tokio::test]
async fn a_truncated_or_crossed_answer_can_be_recognised() {
    let to = start().await;
    post(to, "/control/faults", json!({ "truncate": true })).await;
    let answer = send(to, Method::POST, "/bookings", &[], json!({})).await.expect("headers");
    assert!(answer.body.is_none());
    post(to, "/control/faults", json!({ "truncate": false, "wrong_id": true })).await;
    let headers = [("x-request-id", "r-1")];
    let answer = send(to, Method::POST, "/bookings", &headers, json!({})).await.expect("answer");
    assert_ne!(answer.headers["x-request-id"], "r-1");
}
