//! HTTP gateway on the users' platform: every node accepts requests and forwards them to endpoints.
//!
//! Decision logic is in modules that do no I/O and take the current time as an argument; the tasks
//! that do the I/O run on one thread. The platform's own names appear only in `platform/`; see
//! `docs/platform.md`.

pub mod balancer;
pub mod budget;
pub mod catalog;
pub mod clock;
pub mod cold;
pub mod crash;
pub mod demand;
mod discovery;
pub mod division;
pub mod duties;
pub mod evacuation;
mod exchange;
pub mod fleet;
pub mod follow;
mod forward;
pub mod gate;
mod gossip;
mod handle;
pub mod handover;
pub mod lateness;
pub mod link;
pub mod lint;
mod metrics;
mod node;
pub mod notice;
pub mod pace;
pub mod pause;
pub mod peers;
mod place;
mod placement;
pub mod platform;
pub mod prefill;
mod pump;
pub mod quarantine;
pub mod queue;
pub mod quota;
pub mod rate_limit;
pub mod recall;
pub mod refusal;
pub mod relay;
pub mod rollout;
pub mod roster;
mod serve;
pub mod settings;
pub mod share;
pub mod shift;
pub mod shortage;
pub mod speed;
pub mod stall;
pub mod statement;
mod stop;
pub mod unreadable;
pub mod usage;
pub mod verdict;
pub mod version;

pub use node::Node;

use std::io;
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{JoinSet, LocalSet};

/// Runs a node until SIGTERM has stopped it.
///
/// # Errors
///
/// Returns an error if the runtime can't be built, an address can't be bound, or a task of the node
/// ends unexpectedly.
pub fn run(node: Rc<Node>) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, serve(node))
}

async fn serve(node: Rc<Node>) -> io::Result<()> {
    let listen = node.settings.listen;
    let callers = TcpListener::bind(listen.callers).await?;
    let readiness = TcpListener::bind(listen.readiness).await?;
    let peers = UdpSocket::bind(listen.peers).await?;
    let metrics = TcpListener::bind(listen.metrics).await?;
    log::info!("gateway: event=start node={} start={}", node.settings.node, node.incarnation);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(serve::callers(node.clone(), callers));
    tasks.spawn_local(serve::readiness(node.clone(), readiness));
    tasks.spawn_local(serve::metrics(node.clone(), metrics));
    tasks.spawn_local(follow::watch_declarations(node.clone()));
    tasks.spawn_local(follow::watch_endpoints(node.clone()));
    tasks.spawn_local(gossip::run(node.clone(), peers));
    tasks.spawn_local(discovery::run(node.clone()));
    tasks.spawn_local(rollout::watch_records(node.clone()));
    tokio::task::spawn_local(recall::restore(node.clone()));
    let duties = tokio::task::spawn_local(duties::run(node.clone()));
    tokio::select! {
        result = stop::wait(node) => result,
        // A node without one of its tasks would serve wrongly, so the process exits to be restarted.
        Some(result) = tasks.join_next() => {
            Err(io::Error::other(format!("a task of the node ended: {result:?}")))
        }
        Err(error) = duties => Err(io::Error::other(format!("the duties task ended: {error}"))),
    }
}
