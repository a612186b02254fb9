//! The network between daemons: one UDP socket and one TCP listener on the same address.
//!
//! This is the shell around `wire` and `membership`. Datagrams carry probes together with the
//! configuration revision and the digest of marks; requests and replies go by TCP. See
//! `docs/design.md`, section 7.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::BoxFuture;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::config::Settings;
use crate::membership::{self, Action, Member};
use crate::revision;
use crate::rollout::BadVersion;
use crate::wire::Codec;

mod counter;
mod datagram;
mod message;
mod server;
mod stream;

pub use counter::{Counter, Counters};
pub use message::{Content, Datagram, MARK_TEXT_BYTES, Reply, Request, digest};
pub use stream::Error;

/// Time for one exchange of member lists.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Members that hear at once of a new mark or revision; with each of them passing it on, a cluster
/// of 330 nodes is covered in about five steps, and heartbeats reach the rest.
const FANOUT: usize = 4;
/// Hints that wait for the configuration loop; a newer one makes the others superfluous.
const HINTS: usize = 64;

/// Answers the requests that this module does not answer itself.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Reply> + Send + Sync>;
/// Receives marks that another node knows.
pub type MarksHandler = Arc<dyn Fn(Vec<BadVersion>) + Send + Sync>;

/// Says that a node has a higher configuration revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hint {
    pub revision: u64,
    pub address: SocketAddr,
}

/// Holds what the network needs to know about its own node.
#[derive(Debug, Clone)]
pub struct Config {
    pub node: Arc<str>,
    pub region: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Others reach this node here, so it must not be the unspecified address. Port 0 takes any port
    /// that is free for both UDP and TCP.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub keys: Vec<Arc<str>>,
    pub heartbeat: Duration,
    /// Must be higher than in earlier processes of this node.
    pub incarnation: u64,
    /// Seeds the choices of the membership.
    pub random_seed: u64,
}

impl Config {
    /// Takes the settings of the daemon; the incarnation is the wall clock in milliseconds, since
    /// nodes keep nothing on disk.
    pub fn from_settings(settings: &Settings) -> Config {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Config {
            node: settings.node.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            address: settings.peers,
            seeds: settings.seeds.clone(),
            keys: settings.peer_keys.clone(),
            heartbeat: settings.timing.heartbeat,
            incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(1),
            random_seed: rand::random(),
        }
    }
}

/// Connects this daemon with the others; dropping it stops all its tasks.
#[derive(Debug)]
pub struct Network {
    shared: Arc<Shared>,
    hints: Mutex<Option<mpsc::Receiver<Hint>>>,
    _tasks: JoinSet<()>,
}

/// Holds what the tasks of a network have in common.
struct Shared {
    address: SocketAddr,
    started: Instant,
    heartbeat: Duration,
    socket: UdpSocket,
    codec: Arc<Codec>,
    counters: Arc<Counters>,
    pool: stream::Pool,
    membership: Mutex<membership::State>,
    marks: Mutex<datagram::Marks>,
    revision: Arc<revision::State>,
    hints: mpsc::Sender<Hint>,
    handler: Handler,
    marks_handler: MarksHandler,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Network {
    /// Binds both sockets and starts to join the cluster.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound for UDP and TCP.
    pub async fn start(
        config: Config,
        revision: Arc<revision::State>,
        handler: Handler,
        marks_handler: MarksHandler,
    ) -> io::Result<Network> {
        let (socket, listener) = bind(config.address).await?;
        let address = socket.local_addr()?;
        let me = Member {
            node: config.node.clone(),
            address,
            region: config.region,
            failure_domain: config.failure_domain,
            incarnation: config.incarnation,
            status: membership::Status::Alive,
        };
        let (seeds, heartbeat) = (config.seeds, config.heartbeat);
        let state =
            membership::State::new(me, seeds, heartbeat, config.random_seed, Duration::ZERO);
        let (sender, receiver) = mpsc::channel(HINTS);
        let shared = Arc::new(Shared {
            address,
            started: Instant::now(),
            heartbeat,
            socket,
            codec: Arc::new(Codec::new(&config.node, config.incarnation, &config.keys)),
            counters: Arc::default(),
            pool: stream::Pool::default(),
            membership: Mutex::new(state),
            marks: Mutex::default(),
            revision,
            hints: sender,
            handler,
            marks_handler,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(datagram::receive(shared.clone()));
        tasks.spawn(datagram::tick(shared.clone()));
        tasks.spawn(datagram::announce_revisions(shared.clone()));
        tasks.spawn(server::accept(shared.clone(), listener));
        Ok(Network { shared, hints: Mutex::new(Some(receiver)), _tasks: tasks })
    }

    /// Gives the address in use, which differs from the configured one for port 0.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Lists all members, this node first, dead ones included.
    pub fn members(&self) -> Vec<Member> {
        self.shared.membership().list()
    }

    /// Gives up to `count` random other members that are alive or leaving.
    pub fn sample(&self, count: usize) -> Vec<Member> {
        self.shared.membership().sample(count)
    }

    /// Tells the others that this node is about to stop and takes no new work.
    pub async fn announce_leaving(&self) {
        let actions = self.shared.membership().leave();
        self.shared.perform(actions).await;
    }

    /// Sends a datagram; like any datagram it may be lost.
    pub async fn send(&self, address: SocketAddr, content: Content) {
        self.shared.send(address, content).await;
    }

    /// Sends a request by TCP and waits for its reply.
    ///
    /// # Errors
    ///
    /// `Error::is_not_run` tells whether the peer certainly did not act on the request.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        self.shared.request(address, &request, timeout).await
    }

    /// Sets the marks that this node knows; new ones are sent to a few members at once.
    ///
    /// The marks handler has to add what it receives to this set. Otherwise the digests of two
    /// nodes differ for good, and they send each other their marks at each heartbeat.
    pub async fn set_marks(&self, marks: Vec<BadVersion>) {
        let grown = self.shared.marks().set(marks);
        if grown {
            for member in self.sample(FANOUT) {
                self.shared.send_marks(member.address).await;
            }
        }
    }

    /// Gives the hints for the configuration loop; `None` after the first call.
    pub fn take_hints(&self) -> Option<mpsc::Receiver<Hint>> {
        self.hints.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn membership(&self) -> MutexGuard<'_, membership::State> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn marks(&self) -> MutexGuard<'_, datagram::Marks> {
        self.marks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn request(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        self.pool.request(address, request, timeout, &self.codec, &self.counters).await
    }

    /// Carries out what the membership has decided.
    async fn perform(self: &Arc<Self>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(address, message) => {
                    self.send(address, Content::Probe(message)).await;
                }
                Action::Sync(address) => {
                    tokio::spawn(self.clone().sync(address));
                }
                Action::Changed(member) => {
                    let (node, status) = (&member.node, member.status.as_str());
                    log::info!("membership: {node} at {} is {status}", member.address);
                }
                Action::StaleIncarnation(incarnation) => {
                    log::warn!("membership: peers remember incarnation {incarnation}");
                    self.codec.raise_incarnation(incarnation.saturating_add(1));
                }
            }
        }
    }

    /// Exchanges member lists with another node.
    fn sync(self: Arc<Self>, address: SocketAddr) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let list = self.membership().list();
            match self.request(address, &Request::SyncMembers(list), SYNC_TIMEOUT).await {
                Ok(Reply::Members(members)) => {
                    let actions = self.membership().merge(members, self.now());
                    self.perform(actions).await;
                }
                Ok(_) => log::warn!("membership: {address} sent no member list"),
                Err(error) => log::debug!("membership: no list from {address}: {error}"),
            }
        })
    }
}

/// Binds UDP and TCP to the same port; a free port of one may be taken for the other.
async fn bind(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    const ATTEMPTS: usize = 16;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(_) if address.port() == 0 && attempt < ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}
