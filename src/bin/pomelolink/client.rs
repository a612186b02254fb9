//! HTTP client for the operator interface, with failover between several servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{self, ResponseFuture};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use crate::error::Error;

/// Short, so that a server in a failed domain does not delay the attempt at the next one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer than the about 10 s within which a server resolves the unknown outcome of a commit.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum number of attempts at each server.
const MAX_ROUNDS: u32 = 3;
/// Delay before the second round; later rounds wait proportionally longer.
const ROUND_DELAY: Duration = Duration::from_millis(200);

/// Describes a request. Each write has an operation id, so that retries are idempotent.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Call {
        Call { method: Method::GET, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    pub fn post(path: &str, body: &Value) -> Call {
        Call { method: Method::POST, body: body.to_string().into(), ..Call::get(path) }
    }
}

#[derive(Debug)]
pub struct Client {
    pub servers: Vec<SocketAddr>,
    authorization: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(servers: Vec<SocketAddr>, token: &str) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Client { servers, authorization: format!("Bearer {token}"), http }
    }

    /// Sends a request as `send_raw` does and parses the response as JSON.
    pub async fn send(&self, call: &Call) -> Result<Value, Error> {
        let body = self.send_raw(call).await?;
        serde_json::from_slice(&body)
            .map_err(|error| Error::Failed(format!("the response is not JSON: {error}")))
    }

    /// Sends a request to each server in turn until one returns a success or an error that is not
    /// retryable.
    ///
    /// A 5xx status is retryable, since a server returns it when it can't reach the platform, while
    /// another server may be able to. If all attempts fail, returns the error that leaves the
    /// outcome most uncertain.
    pub async fn send_raw(&self, call: &Call) -> Result<Bytes, Error> {
        let mut most_uncertain = Error::Unreachable("no server is configured".to_owned());
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_DELAY * round).await;
            }
            for &server in &self.servers {
                let error = match self.send_to(server, call).await {
                    Ok(body) => return Ok(body),
                    Err(error) => error,
                };
                let is_retryable = match &error {
                    Error::Refused(status, _) => *status >= 500,
                    Error::Unreachable(_) | Error::NoResponse(_) => true,
                    _ => false,
                };
                if !is_retryable {
                    return Err(error);
                }
                if error.uncertainty() >= most_uncertain.uncertainty() {
                    most_uncertain = error;
                }
            }
        }
        Err(most_uncertain)
    }

    /// Sends a request to one server, without retries.
    pub async fn send_to(&self, server: SocketAddr, call: &Call) -> Result<Bytes, Error> {
        let exchange = async {
            let response = self.start_request(server, call)?.await;
            let response = response.map_err(|error| transport_error(server, &error))?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|error| no_response(server, &error.to_string()))?;
            check_status(status, body.to_bytes())
        };
        match tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(no_response(server, &format!("no response within {RESPONSE_TIMEOUT:?}"))),
        }
    }

    /// Returns the response body of the first server that accepts the request.
    ///
    /// Tries the next server after a failed or timed-out exchange, but not after an error response.
    pub async fn stream(&self, call: &Call) -> Result<Incoming, Error> {
        let mut last = None;
        for &server in &self.servers {
            let result =
                tokio::time::timeout(RESPONSE_TIMEOUT, self.start_request(server, call)?).await;
            let reason = match result {
                Ok(Ok(response)) if response.status().is_success() => {
                    return Ok(response.into_body());
                }
                Ok(Ok(response)) => {
                    let status = response.status();
                    let body =
                        Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
                    match body.map(|body| check_status(status, body.to_bytes())) {
                        Ok(Err(refused)) => return Err(refused),
                        Ok(Ok(_)) => status.to_string(),
                        Err(error) => error.to_string(),
                    }
                }
                Ok(Err(error)) => format_chain(&error),
                Err(_) => format!("no response within {RESPONSE_TIMEOUT:?}"),
            };
            last = Some(Error::Unreachable(format!("{server}: {reason}")));
        }
        Err(last.unwrap_or_else(|| Error::Unreachable("no server is configured".to_owned())))
    }

    fn start_request(&self, server: SocketAddr, call: &Call) -> Result<ResponseFuture, Error> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{server}{}", call.path))
            .header(header::AUTHORIZATION, &self.authorization)
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(call.body.clone()))
            .map_err(|error| Error::Usage(format!("the request is invalid: {error}")))?;
        Ok(self.http.request(request))
    }
}

fn check_status(status: StatusCode, body: Bytes) -> Result<Bytes, Error> {
    if status.is_success() {
        return Ok(body);
    }
    Err(Error::Refused(status.as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
}

fn transport_error(server: SocketAddr, error: &legacy::Error) -> Error {
    let reason = format_chain(error);
    if error.is_connect() {
        Error::Unreachable(format!("{server}: {reason}"))
    } else {
        no_response(server, &reason)
    }
}

fn no_response(server: SocketAddr, reason: &str) -> Error {
    Error::NoResponse(format!("{server}: {reason}"))
}

/// Formats an error with all its causes; the outer error alone only says that the request failed.
fn format_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
