//! Replay windows of the senders of datagrams.

use std::collections::HashMap;

use super::Error;

/// Counters that may arrive out of order, per sender.
pub const WINDOW: u64 = 1_024;
/// Senders remembered; three times the nodes of the design size, at about 160 bytes each.
pub const SENDERS: usize = 1_024;

const WORDS: usize = (WINDOW / 64) as usize;

/// Remembers which counters each sender has used in its current incarnation.
#[derive(Debug, Default)]
pub struct Replay {
    windows: HashMap<u64, Window>,
    /// Orders the windows by last use.
    clock: u64,
}

#[derive(Debug)]
struct Window {
    incarnation: u64,
    highest: u64,
    /// Bit `counter % WINDOW` is set when the counter has been seen.
    seen: [u64; WORDS],
    used: u64,
}

impl Replay {
    /// Enters a counter of an authenticated frame.
    ///
    /// A higher incarnation starts a new window, because the sender has restarted its counter. When
    /// there are too many senders, the one that has been silent for longest is forgotten.
    ///
    /// # Errors
    ///
    /// Fails with `Replay` for a counter that was seen or left the window, and with `Incarnation`
    /// for a frame from before the sender's last restart.
    pub fn accept(&mut self, sender: u64, incarnation: u64, counter: u64) -> Result<(), Error> {
        self.clock += 1;
        let clock = self.clock;
        let fresh = Window { incarnation, highest: counter, seen: [0; WORDS], used: clock };
        if !self.windows.contains_key(&sender) && self.windows.len() >= SENDERS {
            self.forget_oldest();
        }
        let window = self.windows.entry(sender).or_insert(fresh);
        if incarnation < window.incarnation {
            return Err(Error::Incarnation);
        }
        if incarnation > window.incarnation {
            *window = Window { incarnation, highest: counter, seen: [0; WORDS], used: clock };
        }
        window.used = clock;
        window.accept(counter)
    }

    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    fn forget_oldest(&mut self) {
        let oldest = self.windows.iter().min_by_key(|(_, window)| window.used);
        if let Some(sender) = oldest.map(|(&sender, _)| sender) {
            self.windows.remove(&sender);
        }
    }
}

impl Window {
    fn accept(&mut self, counter: u64) -> Result<(), Error> {
        if counter > self.highest {
            let skipped = counter - self.highest;
            if skipped >= WINDOW {
                self.seen = [0; WORDS];
            } else {
                for passed in self.highest + 1..counter {
                    self.clear(passed);
                }
            }
            self.highest = counter;
            self.set(counter);
            return Ok(());
        }
        if self.highest - counter >= WINDOW || self.is_set(counter) {
            return Err(Error::Replay);
        }
        self.set(counter);
        Ok(())
    }

    fn is_set(&self, counter: u64) -> bool {
        let (word, bit) = place(counter);
        self.seen[word] & bit != 0
    }

    fn set(&mut self, counter: u64) {
        let (word, bit) = place(counter);
        self.seen[word] |= bit;
    }

    fn clear(&mut self, counter: u64) {
        let (word, bit) = place(counter);
        self.seen[word] &= !bit;
    }
}

fn place(counter: u64) -> (usize, u64) {
    let index = counter % WINDOW;
    ((index / 64) as usize, 1 << (index % 64))
}
