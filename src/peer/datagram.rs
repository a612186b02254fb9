//! The UDP side of the network: heartbeats, hints and marks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time;

use super::counter::Counter;
use super::message::{Content, Datagram, digest, shorten};
use super::{FANOUT, Hint, Shared};
use crate::membership::TICKS_PER_PERIOD;
use crate::rollout::BadVersion;
use crate::wire;

/// Encoded bytes of marks in one datagram; the rest is for the header, the hints and the tag.
const MARKS_BYTES: usize = wire::DATAGRAM_BYTES - 100;
/// Marks kept at most; versions are few and marks are for versions of open moves.
const MAX_MARKS: usize = 1_024;
/// Shortest time between two sendings of all marks to the same node because digests differ.
const MARKS_PAUSE: Duration = Duration::from_millis(500);
/// Nodes for which the time of the last sending is remembered.
const MARKS_RECEIVERS: usize = 1_024;
/// Pause after the socket reported an error, so that a lasting error does not use up a core.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Holds the marks that this node sends to others.
#[derive(Debug, Default)]
pub(super) struct Marks {
    all: Vec<BadVersion>,
    digest: u64,
    sent: HashMap<SocketAddr, Duration>,
}

impl Marks {
    /// Replaces the marks; tells whether the digest has changed.
    pub(super) fn set(&mut self, mut marks: Vec<BadVersion>) -> bool {
        // Sorted first, so that nodes with the same marks keep the same ones.
        marks.sort_unstable_by(|one, other| one.key.cmp(&other.key));
        marks.truncate(MAX_MARKS);
        let digest = digest(&marks);
        let changed = digest != self.digest;
        self.digest = digest;
        self.all = marks;
        if changed {
            self.sent.clear();
        }
        changed
    }

    /// Tells whether the marks should now go to a node whose digest differs.
    fn is_due(&mut self, address: SocketAddr, digest: u64, now: Duration) -> bool {
        if digest == self.digest || self.all.is_empty() {
            return false;
        }
        if self.sent.get(&address).is_some_and(|&sent| now < sent + MARKS_PAUSE) {
            return false;
        }
        if self.sent.len() >= MARKS_RECEIVERS {
            self.sent.clear();
        }
        self.sent.insert(address, now);
        true
    }

    /// Splits the marks into parts that fit a datagram each.
    fn parts(&self) -> Vec<Vec<BadVersion>> {
        let mut parts = Vec::new();
        let mut part = Vec::new();
        let mut bytes = 0;
        for mark in &self.all {
            let mark = shorten(mark);
            // Each text is preceded by its length in at most two bytes, the time takes up to ten.
            let key = &mark.key;
            let names = key.service.len() + key.version.len() + key.name.len();
            let size = names + mark.reason.len() + 18;
            if bytes + size > MARKS_BYTES {
                parts.push(std::mem::take(&mut part));
                bytes = 0;
            }
            bytes += size;
            part.push(mark);
        }
        if !part.is_empty() {
            parts.push(part);
        }
        parts
    }
}

impl Shared {
    pub(super) async fn send(&self, address: SocketAddr, mut content: Content) {
        loop {
            let revision = self.revision.current().revision;
            let marks = self.marks().digest;
            let mut datagram = Datagram { revision, marks, content };
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

    pub(super) async fn send_marks(&self, address: SocketAddr) {
        let parts = self.marks().parts();
        for part in parts {
            self.send(address, Content::Marks(part)).await;
        }
    }

    async fn handle(self: &Arc<Self>, from: SocketAddr, bytes: &[u8]) {
        self.counters.add(Counter::DatagramsReceived, 1);
        self.counters.add(Counter::DatagramBytesReceived, bytes.len());
        let datagram: Datagram = match self.codec.open(bytes) {
            Ok(frame) => frame.body,
            Err(cause) => {
                self.counters.drop_frame(cause);
                return;
            }
        };
        if datagram.revision > self.revision.current().revision {
            // When the queue is full, the hints in it already lead to a fetch.
            let _ = self.hints.try_send(Hint { revision: datagram.revision, address: from });
        }
        let mut digest = datagram.marks;
        match datagram.content {
            Content::Probe(message) => {
                let actions = self.membership().receive(from, message, self.now());
                self.perform(actions).await;
            }
            Content::Marks(marks) => {
                (self.marks_handler)(marks);
                // The marks may be in several datagrams; heartbeats compare the digests later.
                digest = self.marks().digest;
            }
            Content::Hint => {}
        }
        let due = self.marks().is_due(from, digest, self.now());
        if due {
            self.send_marks(from).await;
        }
    }
}

/// Halves the updates in a datagram that names of unusual length have made too large.
fn halve_updates(content: &mut Content) -> bool {
    let Content::Probe(message) = content else { return false };
    let updates = &mut message.updates.0;
    let shortened = !updates.is_empty();
    updates.truncate(updates.len() / 2);
    shortened
}

/// Receives datagrams for as long as the network exists.
pub(super) async fn receive(shared: Arc<Shared>) {
    // One byte more than the limit, so that a longer datagram is counted as such and not cut.
    let mut buffer = [0; wire::DATAGRAM_BYTES + 1];
    loop {
        match shared.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => shared.handle(from, &buffer[..length]).await,
            Err(error) => {
                log::debug!("peer: cannot receive: {error}");
                time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}

/// Drives the membership.
pub(super) async fn tick(shared: Arc<Shared>) {
    let pause = (shared.heartbeat / TICKS_PER_PERIOD).max(Duration::from_millis(1));
    let mut interval = time::interval(pause);
    interval.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let actions = shared.membership().tick(shared.now());
        shared.perform(actions).await;
    }
}

/// Sends a hint to a few members whenever the configuration in effect has changed.
pub(super) async fn announce_revisions(shared: Arc<Shared>) {
    let mut changes = shared.revision.subscribe();
    while changes.changed().await.is_ok() {
        let members = shared.membership().sample(FANOUT);
        for member in members {
            shared.send(member.address, Content::Hint).await;
        }
    }
}
