//! Usage: `standin proxy --to IP:PORT [--listen IP:PORT] [--control IP:PORT] [--udp]`
//!
//! Fault proxy for TCP, and with `--udp` also for UDP on the same port: cut, delay, silence,
//! truncation and loss. It prints a second line `control on IP:PORT`.

mod tcp;
mod udp;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use argh::FromArgs;
use axum::extract::State;
use axum::response::Response;
use axum::routing::{get, post};
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;

use crate::fault::{self, Dice};
use crate::serve;

/// fault proxy for TCP and UDP
#[derive(Debug, Clone, FromArgs)]
#[argh(subcommand, name = "proxy")]
pub struct Options {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub listen: SocketAddr,
    /// address to forward to
    #[argh(option)]
    pub to: SocketAddr,
    /// address of the control endpoints
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    pub control: SocketAddr,
    /// forward datagrams too
    #[argh(switch)]
    pub udp: bool,
    /// seed of the draws for lost datagrams
    #[argh(option, default = "1")]
    pub seed: u64,
}

impl Options {
    /// Forwards TCP to the address; both own ports are free ones.
    pub fn to(to: SocketAddr) -> Options {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Options { listen: any, to, control: any, udp: false, seed: 1 }
    }
}

#[derive(Debug, Default, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Faults {
    /// Closes all connections, refuses new ones and drops all datagrams.
    cut: bool,
    /// Delays each byte and each datagram by this many milliseconds in both directions.
    delay_ms: u64,
    /// Keeps the connections that are open when it is set, but passes nothing on them until it is
    /// unset; also drops all datagrams.
    silent: bool,
    /// Extends `silent` to connections opened later.
    silent_new: bool,
    /// Closes a connection after this many bytes towards the client.
    truncate_after: Option<u64>,
    /// Drops this share of datagrams in each direction.
    #[serde(deserialize_with = "fault::share")]
    loss_share: f64,
}

#[derive(Debug, Default, Clone)]
struct Rules {
    faults: Faults,
    /// Connections with smaller numbers existed when `silent` was set.
    silent_below: u64,
}

impl Rules {
    fn silences(&self, connection: u64) -> bool {
        self.faults.silent && (self.faults.silent_new || connection < self.silent_below)
    }
}

#[derive(Debug, Default)]
struct Counters {
    connections: AtomicU64,
    open: AtomicU64,
    bytes_up: AtomicU64,
    bytes_down: AtomicU64,
    datagrams_up: AtomicU64,
    datagrams_down: AtomicU64,
    datagrams_dropped: AtomicU64,
}

#[derive(Debug)]
struct Proxy {
    to: SocketAddr,
    dice: Dice,
    rules: watch::Sender<Rules>,
    /// Tells whether the listening socket is closed, so that an answer about a cut can wait for it.
    closed: watch::Sender<bool>,
    counters: Counters,
}

type Shared = State<Arc<Proxy>>;

/// Binds the listen and control addresses, announces them and serves.
pub async fn execute(options: Options) -> io::Result<()> {
    let listener = serve::bind(options.listen).await?;
    let control = TcpListener::bind(options.control).await?;
    serve::announce("control", control.local_addr()?)?;
    run(listener, control, options).await
}

/// Forwards what reaches the listener until the task is dropped, which closes all connections.
///
/// Fails when datagrams are wanted and the port is taken for UDP.
pub async fn run(listener: TcpListener, control: TcpListener, options: Options) -> io::Result<()> {
    let proxy = Arc::new(Proxy {
        to: options.to,
        dice: Dice::new(options.seed),
        rules: watch::Sender::default(),
        closed: watch::Sender::default(),
        counters: Counters::default(),
    });
    let router = Router::new()
        .route("/faults", post(set_faults))
        .route("/counters", get(counters))
        .with_state(Arc::clone(&proxy));
    let address = listener.local_addr()?;
    let socket = match options.udp {
        true => Some(UdpSocket::bind(address).await?),
        false => None,
    };
    let datagrams = async {
        match socket {
            Some(socket) => udp::forward(&proxy, socket).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        result = serve::serve(control, router) => result,
        result = tcp::accept(&proxy, listener, address) => result,
        result = datagrams => result,
    }
}

async fn set_faults(State(proxy): Shared, Json(patch): Json<Value>) -> Response {
    let silenced = patch["silent"] == true;
    let mut response = None;
    let mut cut = false;
    proxy.rules.send_modify(|rules| {
        response = Some(fault::update(&mut rules.faults, patch));
        cut = rules.faults.cut;
        if silenced {
            rules.silent_below = proxy.counters.connections.load(Ordering::Relaxed);
        }
    });
    let mut closed = proxy.closed.subscribe();
    if closed.wait_for(|closed| *closed == cut).await.is_err() {
        log::debug!("proxy: stopped while setting faults");
    }
    response.unwrap_or_default()
}

async fn counters(State(proxy): Shared) -> Json<Value> {
    let counters = &proxy.counters;
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    Json(serde_json::json!({
        "connections": read(&counters.connections),
        "open": read(&counters.open),
        "bytes_up": read(&counters.bytes_up),
        "bytes_down": read(&counters.bytes_down),
        "datagrams_up": read(&counters.datagrams_up),
        "datagrams_down": read(&counters.datagrams_down),
        "datagrams_dropped": read(&counters.datagrams_dropped),
    }))
}
