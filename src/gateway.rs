//! Serves callers on the users' platform: every node takes requests and forwards them to endpoints.
//!
//! The decisions are in modules of their own and take the time as an argument; the shells around
//! them run on one thread. What the platform calls things stays in `platform/`; see
//! `docs/platform.md`.

pub mod balancer;
pub mod budget;
pub mod catalog;
pub mod clock;
pub mod demand;
mod duties;
pub mod fleet;
pub mod follow;
mod forward;
mod handle;
pub mod handover;
pub mod link;
mod metrics;
mod node;
pub mod notice;
pub mod peers;
mod place;
pub mod platform;
mod pump;
pub mod queue;
pub mod quota;
mod recall;
pub mod refusal;
pub mod relay;
pub mod roster;
mod serve;
pub mod settings;
pub mod shift;
mod stop;
pub mod usage;

pub use node::Node;

use std::io;
use std::rc::Rc;

use tokio::net::{TcpListener, UdpSocket};
use tokio::task::{JoinSet, LocalSet};

/// Runs a node until it is told to stop.
///
/// # Errors
///
/// Fails when an address can't be listened on.
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
    log::info!("gateway: event=start node={} start={}", node.settings.node, node.start);
    let mut tasks = JoinSet::new();
    tasks.spawn_local(serve::callers(node.clone(), callers));
    tasks.spawn_local(serve::readiness(node.clone(), readiness));
    tasks.spawn_local(serve::metrics(node.clone(), metrics));
    tasks.spawn_local(follow::declarations(node.clone()));
    tasks.spawn_local(follow::endpoints(node.clone()));
    tasks.spawn_local(peers::talk(node.clone(), peers));
    tasks.spawn_local(peers::discover(node.clone()));
    tokio::task::spawn_local(recall::load(node.clone()));
    let duties = tokio::task::spawn_local(duties::run(node.clone()));
    tokio::select! {
        result = stop::wait(node) => result,
        // A node that lacks one of its parts would serve wrongly; a new start mends it.
        Some(ended) = tasks.join_next() => {
            Err(io::Error::other(format!("a part of the node ended: {ended:?}")))
        }
        Err(error) = duties => Err(io::Error::other(format!("the duties ended: {error}"))),
    }
}
