//! The TCP server side of the network.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time;

use super::Shared;
use super::counter::Counter;
use super::message::{Reply, Request};
use super::stream::Connection;

/// Maximum number of open connections; each of the other nodes keeps up to two idle ones.
const MAX_CONNECTIONS: usize = 1_024;
/// Delay after a failed `accept`, which happens for instance when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections until the task is aborted.
pub(super) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let socket = match listener.accept().await {
            Ok((socket, _)) => socket,
            Err(error) => {
                log::warn!("peer: cannot accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            shared.counters.add(Counter::ConnectionsRefused, 1);
            continue;
        };
        let shared = shared.clone();
        tasks.spawn(async move {
            serve(&shared, socket).await;
            drop(slot);
        });
    }
}

/// Answers the requests of one connection until it closes or its peer violates the protocol.
async fn serve(shared: &Arc<Shared>, socket: TcpStream) {
    let (codec, counters) = (shared.codec.clone(), shared.counters.clone());
    let Ok(mut connection) = Connection::accept(socket, codec, counters).await else { return };
    while let Ok(request) = connection.next_request().await {
        let reply = answer(shared, request.body).await;
        if let Err(error) = connection.reply(request.id, &reply).await {
            log::debug!("peer: cannot send a reply: {error}");
            return;
        }
    }
}

async fn answer(shared: &Arc<Shared>, request: Request) -> Reply {
    match request {
        Request::PullConfig { known } => {
            let current = shared.revision.current();
            Reply::Config((current.revision > known).then(|| (*current).clone()))
        }
        Request::SyncMembers(members) => {
            let (missing, actions) = shared.membership().exchange(members, shared.now());
            shared.perform(actions).await;
            Reply::Members(missing)
        }
        other => (shared.handler)(other).await,
    }
}
