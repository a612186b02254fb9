//! One request to an endpoint, up to the head of the response.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::endpoint::answer;
use crate::endpoint::pool::{Failure, Guard};
use crate::gateway::clock;
use crate::gateway::gate;
use crate::gateway::link::Link;
use crate::gateway::node::Node;
use crate::gateway::platform::{Endpoint, Reply};
use crate::gateway::statement;

/// Time for which the head of a response is still awaited after its request was given up and the endpoint was told
/// so. What the endpoint has sent before arrives within a round trip; one that doesn't listen runs on for no longer.
const LATE_HEAD_TIME: Duration = Duration::from_millis(200);

/// A response whose head has arrived and whose statement is applied.
#[derive(Debug)]
pub struct Head {
    pub response: Response<Incoming>,
    pub reply: Reply,
    /// Set if the response has the id of another request.
    pub is_other: bool,
    pub guard: Guard,
}

/// Writes a request, waits for the head of the response, and applies what it states about the endpoint.
///
/// If the future is dropped, because the caller has left or its time is over, a head that arrives within
/// [`LATE_HEAD_TIME`] is still read for its statement, and the connection is closed.
///
/// # Errors
///
/// Fails with `NotRun` only if no byte of the request was written, and with `Unknown` if the connection failed or what
/// came is no final response.
pub async fn send(
    node: &Rc<Node>,
    endpoint: &Endpoint,
    id: &Arc<str>,
    mut link: Link,
    request: Request<Full<Bytes>>,
    pass: gate::Pass,
) -> Result<Head, Failure> {
    let (mut sender, receiver) = oneshot::channel();
    let (node, endpoint, id) = (node.clone(), endpoint.clone(), id.clone());
    spawn_local(async move {
        if sender.is_closed() {
            return link.release();
        }
        let hangup = link.hangup();
        let result = {
            let mut exchange = pin!(link.send(request, pass));
            let head = tokio::select! {
                biased;
                head = &mut exchange => Some(head),
                () = sender.closed() => None,
            };
            match head {
                Some(head) => head,
                None => {
                    if let Some(hangup) = hangup {
                        hangup.ask();
                    }
                    match timeout(LATE_HEAD_TIME, exchange).await {
                        Ok(head) => head,
                        // Dropping the link closes the connection.
                        Err(_) => return,
                    }
                }
            }
        };
        let head = result.and_then(|response| read_head(&node, &endpoint, &id, response, link));
        if sender.send(head).is_err() {
            log::debug!("exchange: event=late_head id={id} endpoint={}", endpoint.id);
        }
    });
    let stopped = |_| Failure::Unknown("the node is stopping".to_owned());
    receiver.await.map_err(stopped)?
}

fn read_head(
    node: &Node,
    endpoint: &Endpoint,
    id: &str,
    response: Response<Incoming>,
    link: Link,
) -> Result<Head, Failure> {
    // Its headers count as little as its status. Dropping the link closes the connection.
    if !answer::is_final(response.status()) {
        return Err(Failure::Unknown(format!(
            "status {} of no final response",
            response.status().as_u16()
        )));
    }
    node.pools.record_response(&endpoint.domain, clock::now());
    let mut reply = (node.header_codec.parse_reply)(response.status(), response.headers());
    let is_other = reply.id.as_ref().is_some_and(|other| **other != *id);
    match reply.statement.take() {
        Some(stated) if is_other => statement::apply(node, endpoint, stated.without_ends()),
        Some(stated) => statement::apply(node, endpoint, stated),
        None => statement::log_ignored(endpoint, "another endpoint has responded"),
    }
    Ok(Head { response, reply, is_other, guard: link.into_guard() })
}
