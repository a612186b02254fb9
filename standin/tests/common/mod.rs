//! A small HTTP client for the tests of the stand-ins.

#![allow(dead_code, reason = "each test file uses a part of these items")]

use std::net::SocketAddr;

use axum::body::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::net::TcpListener;

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    /// `None` when the body ended before its declared end.
    pub body: Option<Bytes>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(self.body.as_ref().expect("complete body")).expect("JSON body")
    }

    /// Gives the events of a stream, without the closing `[DONE]`.
    pub fn events(&self) -> Vec<Value> {
        let text = String::from_utf8_lossy(self.body.as_ref().expect("complete body")).into_owned();
        let data = text.split("\n\n").filter_map(|event| event.strip_prefix("data: "));
        let data = data.filter(|data| *data != "[DONE]");
        data.map(|data| serde_json::from_str(data).expect("JSON event")).collect()
    }
}

pub async fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    (listener, address)
}

/// Sends one request on a new connection; `None` when the connection closed without an answer.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Value,
) -> Option<Answer> {
    let client: legacy::Client<HttpConnector, Full<Bytes>> =
        legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{to}{path}"))
        .header("content-type", "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let response = client.request(request.body(Full::new(body)).expect("request")).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok().map(|body| body.to_bytes());
    Some(Answer { status: parts.status, headers: parts.headers, body })
}

pub async fn get(to: SocketAddr, path: &str) -> Answer {
    send(to, Method::GET, path, &[], Value::Null).await.expect("answer")
}

pub async fn post(to: SocketAddr, path: &str, body: Value) -> Answer {
    send(to, Method::POST, path, &[], body).await.expect("answer")
}
