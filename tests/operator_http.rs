//! Tests the operators' HTTP interface as programs other than the command-line tool use it: status
//! codes, conditional requests, roles and error bodies.

mod workdir;

use std::sync::atomic::Ordering;

use serde_json::{Value, json};
use standin::client;
use workdir::tool::{READER, WRITER, Workdir, now_ms};

type Headers<'a> = &'a [(&'a str, &'a str)];

async fn call(
    workdir: &Workdir,
    method: &str,
    path: &str,
    headers: Headers<'_>,
    body: &Value,
) -> (u16, Value) {
    let bearer = format!("Bearer {WRITER}");
    let mut all_headers = vec![("authorization", bearer.as_str())];
    all_headers.extend_from_slice(headers);
    let body = if body.is_null() { String::new() } else { body.to_string() };
    let answer = client::call(workdir.server, method, path, &all_headers, body).await.unwrap();
    (answer.status.as_u16(), answer.json())
}

#[tokio::test]
async fn conditional_requests() {
    let workdir = Workdir::start().await;
    let path = "/v1/resources/pool/l4";
    let body = |concurrency: u32| json!({ "spec": { "class": "l4", "concurrency": concurrency } });
    let put = async |condition, concurrency| {
        call(&workdir, "PUT", path, &[condition], &body(concurrency)).await
    };
    let (status, created) = put(("if-none-match", "*"), 1).await;
    let version = created["changes"][0]["resource_version"].to_string();
    assert_eq!((status, &created["revision"]), (201, &1.into()));
    let (status, refused) = put(("if-none-match", "*"), 2).await;
    assert_eq!((status, &refused["conflicts"][0]["current"]["generation"]), (409, &1.into()));
    let (status, changed) = put(("if-match", &version), 2).await;
    assert_eq!((status, &changed["changes"][0]["action"]), (200, &"changed".into()));
    let (status, refused) = put(("if-match", &version), 3).await;
    assert_eq!((status, &refused["error"]["run"]), (409, &"no".into()));
    assert_eq!(refused["conflicts"][0]["current"]["spec"]["concurrency"], 2);
    let (status, _) = put(("if-match", "soon"), 3).await;
    assert_eq!(status, 400);
    let key = ("idempotency-key", "delete-1");
    for repeated in [false, true] {
        let (status, deleted) = call(&workdir, "DELETE", path, &[key], &Value::Null).await;
        assert_eq!((status, &deleted["revision"]), (200, &3.into()));
        assert_eq!(deleted["repeated"], repeated);
    }
    let (status, _) = call(&workdir, "DELETE", path, &[], &Value::Null).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn invalid_requests_rejected() {
    let workdir = Workdir::start().await;
    let put = json!({ "spec": { "class": "l4", "concurrency": 0, "size": 1 } });
    let (status, refused) = call(&workdir, "PUT", "/v1/resources/pool/L4", &[], &put).await;
    let fields: Vec<&str> = refused["mistakes"]
        .as_array()
        .unwrap()
        .iter()
        .map(|mistake| mistake["field"].as_str().unwrap())
        .collect();
    assert_eq!(status, 400);
    let expected = ["name", "concurrency", "size"].map(|name| format!("resources[0].{name}"));
    assert_eq!(fields, expected);
    let requests: [(&str, &str, Headers<'_>, Value, u16); 8] = [
        ("GET", "/v1/resources/disk", &[], Value::Null, 404),
        ("GET", "/v1/resources/pool/none", &[], Value::Null, 404),
        ("GET", "/v2", &[], Value::Null, 404),
        ("GET", "/v1/watch?since=x", &[], Value::Null, 400),
        ("GET", "/v1/timeline/batches/%2e%2e/config", &[], Value::Null, 404),
        ("POST", "/v1/apply", &[], json!({ "resources": 1 }), 400),
        ("POST", "/v1/apply", &[], json!({ "resources": [], "operation": "a/b" }), 400),
        ("POST", "/v1/apply", &[], Value::String("x".repeat(9 << 20)), 413),
    ];
    for (method, path, headers, body, expected) in requests {
        let (status, answer) = call(&workdir, method, path, headers, &body).await;
        assert_eq!(status, expected, "{method} {path}: {answer}");
        assert_eq!(answer["error"]["run"], "no", "{method} {path}: {answer}");
    }
}

#[tokio::test]
async fn required_tokens_and_roles() {
    let workdir = Workdir::start().await;
    let call_without_token =
        async |path| client::call(workdir.server, "GET", path, &[], String::new()).await;
    assert_eq!(call_without_token("/healthz").await.unwrap().status, 200);
    assert_eq!(call_without_token("/readyz").await.unwrap().status, 503);
    assert_eq!(call_without_token("/metrics").await.unwrap().body, "up 1\n");
    let paths = [
        "/v1/resources",
        "/v1/resources/pool",
        "/v1/resources/pool/l4",
        "/v1/watch",
        "/v1/status",
        "/v1/timeline",
        "/v1/timeline/batches",
        "/v1/timeline/batches/n/1",
    ];
    for path in paths {
        assert_eq!(call_without_token(path).await.unwrap().status, 401, "{path}");
    }
    workdir.apply_service().await;
    assert_eq!(call_without_token("/readyz").await.unwrap().status, 200);
    let reader = format!("Bearer {READER}");
    let reader = [("authorization", reader.as_str())];
    for (method, path) in [
        ("POST", "/v1/apply"),
        ("PUT", "/v1/resources/pool/l4"),
        ("DELETE", "/v1/resources/pool/l4"),
    ] {
        let answer = client::call(workdir.server, method, path, &reader, String::new()).await;
        assert_eq!(answer.unwrap().status, 403, "{method} {path}");
    }
}

#[tokio::test]
async fn reads_during_outage() {
    let workdir = Workdir::start().await;
    workdir.apply_service().await;
    workdir.platform.down.store(true, Ordering::SeqCst);
    let (status, found) =
        call(&workdir, "GET", "/v1/resources/service/chat", &[], &Value::Null).await;
    assert_eq!((status, &found["source"]), (200, &"node".into()));
    assert_eq!(
        found["resource_version"],
        Value::Null,
        "must not return a row version that may be stale"
    );
    let path = format!("/v1/timeline?since_ms={}&service=chat", now_ms() - 600_000);
    let (status, timeline) = call(&workdir, "GET", &path, &[], &Value::Null).await;
    assert_eq!((status, timeline["events"].as_array().unwrap().len()), (200, 1));
    let put = json!({ "spec": { "class": "l4" } });
    let (status, refused) = call(&workdir, "PUT", "/v1/resources/pool/l4", &[], &put).await;
    assert_eq!((status, &refused["error"]["kind"]), (503, &"platform_down".into()));
}
