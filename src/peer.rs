//! The network between daemons: one UDP socket and one TCP listener on the same address.
//!
//! Runs the protocols of `wire` and `membership` over real sockets. Datagrams carry the membership
//! probes, the configuration revision and the digest of the bad versions; requests and replies go
//! over TCP. See `docs/design.md`, section 7.

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
pub use message::{Content, Datagram, MAX_REASON_BYTES, Reply, Request, bad_versions_digest};
pub use stream::Error;

/// Timeout of one exchange of member lists.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);
/// Members to which a new bad version or revision is sent at once. Since each receiver forwards it,
/// it covers a cluster of 330 nodes in about five steps; heartbeats reach the nodes that were
/// missed.
const FANOUT: usize = 4;
/// Capacity of the queue of announcements to the configuration loop; a newer one supersedes the
/// rest.
const ANNOUNCEMENT_QUEUE: usize = 64;

/// Handles the requests that this module does not answer itself.
pub type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Reply> + Send + Sync>;
/// Receives the versions that another node reports as bad.
pub type BadVersionsHandler = Arc<dyn Fn(Vec<BadVersion>) + Send + Sync>;

/// Announces that the node at `address` has a configuration revision higher than the local one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announcement {
    pub revision: u64,
    pub address: SocketAddr,
}

/// Configures the network of one node.
#[derive(Debug, Clone)]
pub struct Config {
    pub node: Arc<str>,
    pub region: Arc<str>,
    pub failure_domain: Arc<str>,
    /// Address to bind, which peers also use to reach this node, so it must not be the unspecified
    /// address. Port 0 selects a port that is free for both UDP and TCP.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub keys: Vec<Arc<str>>,
    pub heartbeat: Duration,
    /// Must be higher than the incarnation of every earlier process of this node.
    pub incarnation: u64,
    /// Seeds the random choices of the membership protocol.
    pub random_seed: u64,
}

impl Config {
    /// Builds the configuration from the daemon's settings. The incarnation is the wall clock in
    /// milliseconds, since nodes keep nothing on disk.
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

/// Connects this daemon to its peers. Dropping it stops all its tasks.
#[derive(Debug)]
pub struct Network {
    shared: Arc<Shared>,
    announcements: Mutex<Option<mpsc::Receiver<Announcement>>>,
    _tasks: JoinSet<()>,
}

/// Holds the state that the tasks of a network share.
struct Shared {
    address: SocketAddr,
    started: Instant,
    heartbeat: Duration,
    socket: UdpSocket,
    codec: Arc<Codec>,
    counters: Arc<Counters>,
    pool: stream::Pool,
    membership: Mutex<membership::State>,
    bad_versions: Mutex<datagram::BadVersions>,
    revision: Arc<revision::State>,
    announcements: mpsc::Sender<Announcement>,
    handler: Handler,
    bad_versions_handler: BadVersionsHandler,
}

impl fmt::Debug for Shared {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Shared").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Network {
    /// Binds the UDP socket and the TCP listener and starts to join the cluster.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound for both UDP and TCP.
    pub async fn start(
        config: Config,
        revision: Arc<revision::State>,
        handler: Handler,
        bad_versions_handler: BadVersionsHandler,
    ) -> io::Result<Network> {
        let (socket, listener) = bind(config.address).await?;
        let address = socket.local_addr()?;
        let local = Member {
            node: config.node.clone(),
            address,
            region: config.region,
            failure_domain: config.failure_domain,
            incarnation: config.incarnation,
            status: membership::Status::Alive,
        };
        let (seeds, heartbeat) = (config.seeds, config.heartbeat);
        let state =
            membership::State::new(local, seeds, heartbeat, config.random_seed, Duration::ZERO);
        let (sender, receiver) = mpsc::channel(ANNOUNCEMENT_QUEUE);
        let shared = Arc::new(Shared {
            address,
            started: Instant::now(),
            heartbeat,
            socket,
            codec: Arc::new(Codec::new(&config.node, config.incarnation, &config.keys)),
            counters: Arc::default(),
            pool: stream::Pool::default(),
            membership: Mutex::new(state),
            bad_versions: Mutex::default(),
            revision,
            announcements: sender,
            handler,
            bad_versions_handler,
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(datagram::receive(shared.clone()));
        tasks.spawn(datagram::tick(shared.clone()));
        tasks.spawn(datagram::announce_revisions(shared.clone()));
        tasks.spawn(server::accept(shared.clone(), listener));
        Ok(Network { shared, announcements: Mutex::new(Some(receiver)), _tasks: tasks })
    }

    /// Returns the bound address, which differs from the configured one if that has port 0.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    pub fn counters(&self) -> &Counters {
        &self.shared.counters
    }

    /// Lists all members including dead ones, this node first.
    pub fn members(&self) -> Vec<Member> {
        self.shared.membership().list()
    }

    /// Returns up to `count` random other members that are alive or leaving.
    pub fn sample(&self, count: usize) -> Vec<Member> {
        self.shared.membership().sample(count)
    }

    /// Announces to the cluster that this node is about to stop and accepts no new work.
    pub async fn announce_leaving(&self) {
        let actions = self.shared.membership().leave();
        self.shared.perform(actions).await;
    }

    /// Sends a datagram without any guarantee of delivery.
    pub async fn send(&self, address: SocketAddr, content: Content) {
        self.shared.send(address, content).await;
    }

    /// Sends a request over TCP and waits for its reply.
    ///
    /// # Errors
    ///
    /// Fails if no valid reply arrives within `timeout`; `Error::is_not_run` reports whether the
    /// peer certainly did not act on the request.
    pub async fn request(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        self.shared.request(address, &request, timeout).await
    }

    /// Replaces the set of bad versions known to this node and, if the set has changed, sends it to
    /// a few members at once.
    ///
    /// The handler of bad versions must add those that it receives to this set. Otherwise the
    /// digests of two nodes never converge, and they send each other their bad versions at each
    /// heartbeat.
    pub async fn set_bad_versions(&self, bad_versions: Vec<BadVersion>) {
        let changed = self.shared.bad_versions().set(bad_versions);
        if changed {
            for member in self.sample(FANOUT) {
                self.shared.send_bad_versions(member.address).await;
            }
        }
    }

    /// Returns the receiver of announcements for the configuration loop; `None` after the first
    /// call.
    pub fn take_announcements(&self) -> Option<mpsc::Receiver<Announcement>> {
        self.announcements.lock().unwrap_or_else(PoisonError::into_inner).take()
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn membership(&self) -> MutexGuard<'_, membership::State> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn bad_versions(&self) -> MutexGuard<'_, datagram::BadVersions> {
        self.bad_versions.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn request(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, Error> {
        self.pool.request(address, request, timeout, &self.codec, &self.counters).await
    }

    /// Executes the actions that the membership protocol has returned.
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
                    log::warn!(
                        "membership: peers know incarnation {incarnation} of this node; raising it"
                    );
                    self.codec.raise_incarnation(incarnation.saturating_add(1));
                }
            }
        }
    }

    /// Exchanges member lists with the node at `address` and merges its list.
    fn sync(self: Arc<Self>, address: SocketAddr) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            let list = self.membership().list();
            match self.request(address, &Request::SyncMembers(list), SYNC_TIMEOUT).await {
                Ok(Reply::Members(members)) => {
                    let actions = self.membership().merge(members, self.now());
                    self.perform(actions).await;
                }
                Ok(_) => log::warn!("membership: {address} replied without a member list"),
                Err(error) => log::debug!("membership: cannot sync with {address}: {error}"),
            }
        })
    }
}

/// Binds UDP and TCP to the same port. For port 0 it retries with another port when the port that
/// is free for TCP is in use for UDP.
async fn bind(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    const MAX_ATTEMPTS: usize = 16;
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = TcpListener::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((socket, listener)),
            Err(_) if address.port() == 0 && attempt < MAX_ATTEMPTS => {}
            Err(error) => return Err(error),
        }
    }
}
