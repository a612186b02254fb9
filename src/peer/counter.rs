//! Counters of the traffic that the network sends, receives and drops.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire;

/// Identifies a traffic counter. Names with `Bytes` count bytes, all others count events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Counter {
    DatagramsSent,
    DatagramBytesSent,
    DatagramsReceived,
    DatagramBytesReceived,
    StreamBytesSent,
    StreamBytesReceived,
    /// Datagrams that the socket refused to send.
    SendErrors,
    /// TCP connections closed on accept because too many are open.
    ConnectionsRefused,
}

impl Counter {
    pub const ALL: [Counter; 8] = [
        Counter::DatagramsSent,
        Counter::DatagramBytesSent,
        Counter::DatagramsReceived,
        Counter::DatagramBytesReceived,
        Counter::StreamBytesSent,
        Counter::StreamBytesReceived,
        Counter::SendErrors,
        Counter::ConnectionsRefused,
    ];
}

#[derive(Debug, Default)]
pub struct Counters {
    values: [AtomicU64; Counter::ALL.len()],
    dropped: [AtomicU64; wire::Error::ALL.len()],
}

impl Counters {
    pub(super) fn add(&self, counter: Counter, amount: usize) {
        self.values[counter as usize].fetch_add(amount as u64, Ordering::Relaxed);
    }

    pub(super) fn add_dropped(&self, cause: wire::Error) {
        self.dropped[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of frames received over UDP or TCP that were dropped for `cause`.
    pub fn dropped(&self, cause: wire::Error) -> u64 {
        self.dropped[cause as usize].load(Ordering::Relaxed)
    }
}
