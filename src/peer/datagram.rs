//! The UDP side of the network: heartbeats, revision announcements and bad versions.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use super::counter::Counter;
use super::message::{Content, Datagram, bad_versions_digest, truncate_reason};
use super::{Announcement, FANOUT, Shared};
use crate::membership::TICKS_PER_PERIOD;
use crate::rollout::BadVersion;
use crate::wire;

/// Limit of the encoded bad versions in one datagram, in bytes; the rest is for the header, the
/// revision, the digest and the tag.
const CHUNK_BYTES: usize = wire::DATAGRAM_BYTES - 100;
/// Maximum number of bad versions kept; versions are few, and only those of open moves are listed.
const MAX_BAD_VERSIONS: usize = 1_024;
/// Minimum interval between two transmissions of all bad versions to one node whose digest differs.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of nodes for which the time of the last transmission of bad versions is kept.
const MAX_RECEIVERS: usize = 1_024;
/// Delay after a socket error, so that a persistent error does not use a whole core.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Holds the bad versions that this node sends to its peers.
#[derive(Debug, Default)]
pub(super) struct BadVersions {
    all: Vec<BadVersion>,
    digest: u64,
    last_sent: HashMap<SocketAddr, Duration>,
}

impl BadVersions {
    /// Replaces the bad versions and reports whether their digest has changed.
    pub(super) fn set(&mut self, mut bad_versions: Vec<BadVersion>) -> bool {
        // Sorts before truncating, so that nodes with equal sets of bad versions keep the same
        // ones.
        bad_versions.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        bad_versions.truncate(MAX_BAD_VERSIONS);
        let digest = bad_versions_digest(&bad_versions);
        let changed = digest != self.digest;
        self.digest = digest;
        self.all = bad_versions;
        if changed {
            self.last_sent.clear();
        }
        changed
    }

    /// Reports whether to send the bad versions to a node with this digest and records the
    /// transmission.
    ///
    /// Returns false if the digests agree, if there are no bad versions, or if the last
    /// transmission to the node is more recent than `RESEND_INTERVAL`.
    fn should_send(&mut self, address: SocketAddr, digest: u64, now: Duration) -> bool {
        if digest == self.digest || self.all.is_empty() {
            return false;
        }
        if self.last_sent.get(&address).is_some_and(|&sent| now < sent + RESEND_INTERVAL) {
            return false;
        }
        if self.last_sent.len() >= MAX_RECEIVERS {
            self.last_sent.clear();
        }
        self.last_sent.insert(address, now);
        true
    }

    /// Splits the bad versions into chunks that each fit a datagram.
    fn chunks(&self) -> Vec<Vec<BadVersion>> {
        let mut chunks = Vec::new();
        let mut chunk = Vec::new();
        let mut bytes = 0;
        for version in &self.all {
            let version = truncate_reason(version);
            // Each of the four texts is preceded by its length in at most two bytes; the time takes
            // up to ten bytes.
            let key = &version.key;
            let names = key.service.len() + key.version.len() + key.name.len();
            let size = names + version.reason.len() + 18;
            if bytes + size > CHUNK_BYTES {
                chunks.push(std::mem::take(&mut chunk));
                bytes = 0;
            }
            bytes += size;
            chunk.push(version);
        }
        if !chunk.is_empty() {
            chunks.push(chunk);
        }
        chunks
    }
}

impl Shared {
    pub(super) async fn send(&self, address: SocketAddr, mut content: Content) {
        loop {
            let revision = self.revision.current().revision;
            let bad_versions_digest = self.bad_versions().digest;
            let mut datagram = Datagram { revision, bad_versions_digest, content };
            match self.codec.seal(&datagram) {
                Ok(bytes) => return self.transmit(address, &bytes).await,
                Err(wire::Error::Oversize) if halve_updates(&mut datagram.content) => {
                    content = datagram.content;
                }
                Err(error) => {
                    self.counters.add(Counter::SendErrors, 1);
                    log::warn!("peer: datagram to {address} not sent: {error}");
                    return;
                }
            }
        }
    }

    async fn transmit(&self, address: SocketAddr, bytes: &[u8]) {
        match self.socket.send_to(bytes, address).await {
            Ok(_) => {
                self.counters.add(Counter::DatagramsSent, 1);
                self.counters.add(Counter::DatagramBytesSent, bytes.len());
            }
            Err(error) => {
                self.counters.add(Counter::SendErrors, 1);
                log::debug!("peer: datagram to {address} not sent: {error}");
            }
        }
    }

    pub(super) async fn send_bad_versions(&self, address: SocketAddr) {
        let chunks = self.bad_versions().chunks();
        for chunk in chunks {
            self.send(address, Content::BadVersions(chunk)).await;
        }
    }

    async fn handle(self: &Arc<Self>, from: SocketAddr, bytes: &[u8]) {
        self.counters.add(Counter::DatagramsReceived, 1);
        self.counters.add(Counter::DatagramBytesReceived, bytes.len());
        let datagram: Datagram = match self.codec.open(bytes) {
            Ok(frame) => frame.body,
            Err(cause) => {
                self.counters.add_dropped(cause);
                return;
            }
        };
        if datagram.revision > self.revision.current().revision {
            // A full queue is no loss, since the queued announcements already cause a fetch.
            let _ = self
                .announcements
                .try_send(Announcement { revision: datagram.revision, address: from });
        }
        let mut digest = datagram.bad_versions_digest;
        match datagram.content {
            Content::Probe(message) => {
                let actions = self.membership().receive(from, message, self.now());
                self.perform(actions).await;
            }
            Content::BadVersions(bad_versions) => {
                (self.bad_versions_handler)(bad_versions);
                // The sender may split its bad versions over several datagrams, so its digest is
                // not compared until the next heartbeat.
                digest = self.bad_versions().digest;
            }
            Content::Empty => {}
        }
        let should_send = self.bad_versions().should_send(from, digest, self.now());
        if should_send {
            self.send_bad_versions(from).await;
        }
    }
}

/// Halves the membership updates of a datagram that long node names have made too large, and
/// reports whether there were any.
fn halve_updates(content: &mut Content) -> bool {
    let Content::Probe(message) = content else { return false };
    let updates = &mut message.updates.0;
    let has_updates = !updates.is_empty();
    updates.truncate(updates.len() / 2);
    has_updates
}

/// Receives and handles datagrams until the task is aborted.
pub(super) async fn receive(shared: Arc<Shared>) {
    // One byte more than the limit, so that a longer datagram is counted as oversize instead of
    // being truncated to a valid length.
    let mut buffer = [0; wire::DATAGRAM_BYTES + 1];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => shared.handle(from, &buffer[..length]).await,
            Err(error) => {
                log::debug!("peer: cannot receive a datagram: {error}");
                time::sleep(RECEIVE_RETRY_DELAY).await;
            }
        }
    }
}

/// Calls `membership::State::tick` several times per heartbeat and executes the resulting actions.
pub(super) async fn tick(shared: Arc<Shared>) {
    let period = (shared.heartbeat / TICKS_PER_PERIOD).max(Duration::from_millis(1));
    let mut interval = time::interval(period);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let actions = shared.membership().tick(shared.now());
        shared.perform(actions).await;
    }
}

/// Announces the revision to a few members whenever the configuration in effect has changed.
pub(super) async fn announce_revisions(shared: Arc<Shared>) {
    let mut changes = shared.revision.subscribe();
    while changes.changed().await.is_ok() {
        let members = shared.membership().sample(FANOUT);
        for member in members {
            shared.send(member.address, Content::Empty).await;
        }
    }
}
