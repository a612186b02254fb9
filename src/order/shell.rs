//! HTTP shell that sends orders as a `Desk` decides.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::error::{Error, Kind as ErrorKind, Result};
use crate::lease;
use crate::order::{ANSWER, Action, Answer, Desk, Kind, Order};

/// Largest answer of an endpoint that is read.
const ANSWER_BYTES: usize = 1 << 20;

/// Holds what an endpoint tells about itself at `GET /load`.
#[derive(Debug, Default, Clone, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct State {
    pub running: u64,
    pub queued: u64,
    /// Ids of orders that were run, where an endpoint reports them.
    pub orders: Vec<Arc<str>>,
}

/// Sends the orders of one duty.
#[derive(Debug)]
pub struct Sender {
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    desk: Mutex<Desk>,
}

impl Default for Sender {
    fn default() -> Sender {
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(HttpConnector::new());
        Sender { http, desk: Mutex::default() }
    }
}

impl Sender {
    /// Sends an order until the endpoint has answered; a repeat with the same id is harmless.
    ///
    /// # Errors
    ///
    /// Fails with `Conflict` when the lease ends or a higher fencing number exists, with
    /// `EndpointFailed` when the endpoint rejects the order, and with `DeadlinePassed` when there
    /// was no answer within `patience`; then the order may have been run.
    pub async fn send(
        &self,
        address: SocketAddr,
        checks_fencing: bool,
        id: Arc<str>,
        kind: Kind,
        keeper: &lease::Keeper,
        patience: Duration,
    ) -> Result<()> {
        let endpoint: Arc<str> = address.to_string().into();
        let end = keeper.now() + patience;
        loop {
            let now = keeper.now();
            if now >= end {
                let detail = format!("order {id} to {endpoint} had no answer in {patience:?}");
                return Err(Error::new(ErrorKind::DeadlinePassed, detail));
            }
            let holder = keeper.holder(ANSWER);
            let action = self.desk().next(&endpoint, checks_fencing, &id, &kind, holder, now);
            match action {
                Action::NotHolder => {
                    let detail = format!("order {id} to {endpoint} has no lease");
                    return Err(Error::new(ErrorKind::Conflict, detail));
                }
                Action::Wait(until) => {
                    tokio::time::sleep(until.min(end).saturating_sub(now)).await;
                }
                Action::ReadState => {
                    let Some(holder) = holder else { continue };
                    let Some(state) = self.read_state(address).await else {
                        self.desk().state_unknown(&endpoint, keeper.now());
                        continue;
                    };
                    self.desk().state_read(&endpoint, holder.fence);
                    if state.orders.contains(&id) {
                        return Ok(());
                    }
                }
                Action::Send(order) => {
                    let answer = self.post(address, &order).await;
                    let now = keeper.now();
                    if self.desk().answered(&endpoint, order.fence, answer, now) {
                        return finish(&endpoint, &id, answer);
                    }
                }
            }
        }
    }

    /// Reads the state of an endpoint; `None` when it did not answer.
    pub async fn read_state(&self, address: SocketAddr) -> Option<State> {
        let (status, body) =
            self.exchange(Method::GET, address, "/load", Bytes::new()).await.ok()?;
        (status == StatusCode::OK).then(|| serde_json::from_slice(&body).ok())?
    }

    async fn post(&self, address: SocketAddr, order: &Order) -> Answer {
        let Ok(body) = serde_json::to_vec(order) else { return Answer::Rejected(400) };
        match self.exchange(Method::POST, address, "/orders", body.into()).await {
            Ok((StatusCode::OK, _)) => Answer::Accepted,
            Ok((StatusCode::CONFLICT, _)) => Answer::Fenced,
            Ok((status, _)) if status.is_client_error() => Answer::Rejected(status.as_u16()),
            Ok(_) | Err(()) => Answer::Unknown,
        }
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<(StatusCode, Bytes), ()> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(drop)?;
        let answer = async {
            let response = self.http.request(request).await.map_err(drop)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), ANSWER_BYTES).collect().await;
            Ok((status, body.map_err(drop)?.to_bytes()))
        };
        tokio::time::timeout(ANSWER, answer).await.map_err(drop)?
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn finish(endpoint: &str, id: &str, answer: Answer) -> Result<()> {
    match answer {
        Answer::Rejected(status) => {
            let detail = format!("{endpoint} rejected order {id} with status {status}");
            Err(Error::new(ErrorKind::EndpointFailed, detail))
        }
        _ => Ok(()),
    }
}
