//! The platform stand-in behind a forwarder that can lose the answer of exactly one transaction.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use http::StatusCode;
use hyper_util::client::legacy::{Client, connect::HttpConnector};
use hyper_util::rt::TokioExecutor;
use pomelolink::platform::Verdict;
use standin::platform;
use tokio::net::TcpListener;

/// Largest body that the forwarder passes on.
const BODY_BYTES: usize = 64 << 20;

#[derive(Debug)]
pub struct Platform {
    behind: SocketAddr,
    http: Client<HttpConnector, Body>,
    /// Answers everything with 503.
    pub down: AtomicBool,
    /// Number of committed transactions whose answer is lost.
    pub lost_answers: AtomicU32,
    /// Loses the answer of the next committed transaction and turns `down` on, so that the outcome
    /// cannot be read back either.
    pub down_after_commit: AtomicBool,
}

/// Starts the stand-in and the forwarder; gives the forwarder's address.
pub async fn start() -> (Arc<Platform>, SocketAddr) {
    let bind = || TcpListener::bind("127.0.0.1:0");
    let (listener, behind) = (bind().await.unwrap(), bind().await.unwrap());
    let address = listener.local_addr().unwrap();
    let platform = Arc::new(Platform {
        behind: behind.local_addr().unwrap(),
        http: Client::builder(TokioExecutor::new()).build_http(),
        down: AtomicBool::new(false),
        lost_answers: AtomicU32::new(0),
        down_after_commit: AtomicBool::new(false),
    });
    tokio::spawn(platform::run(behind, platform::Options::default()));
    let router = axum::Router::new().fallback(forward).with_state(platform.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (platform, address)
}

async fn forward(platform: State<Arc<Platform>>, mut request: Request) -> Response {
    if platform.down.load(Ordering::SeqCst) {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let path = request.uri().path_and_query().unwrap().clone();
    let uri = format!("http://{}{path}", platform.behind);
    *request.uri_mut() = uri.parse().unwrap();
    let response = platform.http.request(request).await.unwrap();
    let status = response.status();
    let body = axum::body::to_bytes(Body::new(response.into_body()), BODY_BYTES).await.unwrap();
    if path == "/table/transact" {
        let committed = serde_json::from_slice(&body).is_ok_and(|found: Verdict| found.committed);
        if committed && platform.lose() {
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
    }
    (status, body).into_response()
}

impl Platform {
    /// Tells whether the answer of a committed transaction is lost.
    fn lose(&self) -> bool {
        if self.down_after_commit.swap(false, Ordering::SeqCst) {
            self.down.store(true, Ordering::SeqCst);
            return true;
        }
        let lost = &self.lost_answers;
        lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }
}
