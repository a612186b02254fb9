//! Counts what the network sends, receives and drops.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::wire;

/// Lists what is counted, in bytes unless the name says otherwise.
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
    /// TCP connections refused because there are too many.
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

    pub(super) fn drop_frame(&self, cause: wire::Error) {
        self.dropped[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn get(&self, counter: Counter) -> u64 {
        self.values[counter as usize].load(Ordering::Relaxed)
    }

    /// Gives the number of frames, by UDP or TCP, that were dropped for a cause.
    pub fn dropped(&self, cause: wire::Error) -> u64 {
        self.dropped[cause as usize].load(Ordering::Relaxed)
    }
}
