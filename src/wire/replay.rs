//! Replay protection of datagrams with a sliding window of counters per sender.

use std::collections::HashMap;

use super::Error;

/// Size of the window of a sender, in counters; a datagram may arrive out of order within it.
pub const WINDOW_SIZE: u64 = 1_024;
/// Maximum number of senders with a window: three times the nodes of the design size, at about 160
/// bytes each.
pub const MAX_SENDERS: usize = 1_024;

const WINDOW_WORDS: usize = (WINDOW_SIZE / 64) as usize;

/// Records which counters each sender has used in its current incarnation.
#[derive(Debug, Default)]
pub struct ReplayFilter {
    windows: HashMap<u64, Window>,
    /// Logical clock that orders the windows by last use.
    clock: u64,
}

#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit `counter % WINDOW_SIZE` is set when the counter has been seen.
    seen: [u64; WINDOW_WORDS],
    last_used: u64,
}

impl ReplayFilter {
    /// Checks and records the counter of an authenticated frame.
    ///
    /// A higher incarnation starts a new window, because the sender has restarted its counter. When
    /// there are too many senders, the window of the least recently active one is evicted.
    ///
    /// # Errors
    ///
    /// Fails with `Replay` for a counter that was seen before or is older than the window, and with
    /// `Incarnation` for a frame from before the sender's last restart.
    pub fn accept(&mut self, sender: u64, incarnation: u64, counter: u64) -> Result<(), Error> {
        self.clock += 1;
        let clock = self.clock;
        let fresh =
            Window { incarnation, highest: counter, seen: [0; WINDOW_WORDS], last_used: clock };
        if !self.windows.contains_key(&sender) && self.windows.len() >= MAX_SENDERS {
            self.evict_least_recent();
        }
        let window = self.windows.entry(sender).or_insert(fresh);
        if incarnation < window.incarnation {
            return Err(Error::Incarnation);
        }
        if incarnation > window.incarnation {
            *window =
                Window { incarnation, highest: counter, seen: [0; WINDOW_WORDS], last_used: clock };
        }
        window.last_used = clock;
        window.accept(counter)
    }

    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn evict_least_recent(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.last_used);
        if let Some(sender) = oldest.map(|(&sender, _)| sender) {
            self.windows.remove(&sender);
        }
    }
}

impl Window {
    fn accept(&mut self, counter: u64) -> Result<(), Error> {
        if counter > self.highest {
            let skipped = counter - self.highest;
            if skipped >= WINDOW_SIZE {
                self.seen = [0; WINDOW_WORDS];
            } else {
                for skipped_counter in self.highest + 1..counter {
                    self.clear(skipped_counter);
                }
            }
            self.highest = counter;
            self.set(counter);
            return Ok(());
        }
        if self.highest - counter >= WINDOW_SIZE || self.is_set(counter) {
            return Err(Error::Replay);
        }
        self.set(counter);
        Ok(())
    }

    fn is_set(&self, counter: u64) -> bool {
        let (word, bit) = bit_position(counter);
        self.seen[word] & bit != 0
    }

    fn set(&mut self, counter: u64) {
        let (word, bit) = bit_position(counter);
        self.seen[word] |= bit;
    }

    fn clear(&mut self, counter: u64) {
        let (word, bit) = bit_position(counter);
        self.seen[word] &= !bit;
    }
}

fn bit_position(counter: u64) -> (usize, u64) {
    let index = counter % WINDOW_SIZE;
    ((index / 64) as usize, 1 << (index % 64))
}
