//! Prefix cache of an engine: blocks of words in limited memory, least recently used first out.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::Serialize;
use xxhash_rust::xxh3;

/// Words in one block; only full blocks are cached.
pub const BLOCK_WORDS: usize = 16;

/// Events kept for readers; a reader that falls further behind sees a gap.
const EVENTS: usize = 65_536;

/// Gives the hashes of the full blocks of a text.
///
/// The hash of a block is XXH3-64 of its words joined by one space, seeded with the hash of the
/// block before it (0 for the first), so that equal hashes mean equal prefixes.
pub fn blocks(words: &[&str]) -> Vec<u64> {
    let full = words.chunks_exact(BLOCK_WORDS);
    full.scan(0, |before, block| {
        *before = xxh3::xxh3_64_with_seed(block.join(" ").as_bytes(), *before);
        Some(*before)
    })
    .collect()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    Stored,
    Removed,
}

/// Reports one change of the cache; sequence numbers of lost events are skipped.
#[derive(Debug, Clone, Serialize)]
pub struct Event {
    pub sequence: u64,
    pub change: Change,
    /// Hash of the block, as 16 hexadecimal digits.
    pub block: String,
}

/// Holds hashes only; the model has no real attention state.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    used: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    sequence: u64,
    events: VecDeque<(Instant, Event)>,
}

impl Cache {
    pub fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            clock: 0,
            used: HashMap::new(),
            order: BTreeMap::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Gives how many leading blocks are cached.
    pub fn hits(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Stores the blocks and marks them as used just now.
    ///
    /// The first block is marked last, so that the end of a prefix is evicted before its start.
    pub fn store(&mut self, blocks: &[u64], now: Instant) {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        for &block in kept.iter().rev() {
            self.clock += 1;
            match self.used.insert(block, self.clock) {
                Some(before) => {
                    self.order.remove(&before);
                }
                None => self.report(Change::Stored, block, now),
            }
            self.order.insert(self.clock, block);
        }
        while self.used.len() > self.capacity {
            let Some((_, block)) = self.order.pop_first() else { break };
            self.used.remove(&block);
            self.report(Change::Removed, block, now);
        }
    }

    fn report(&mut self, change: Change, block: u64, now: Instant) {
        self.sequence += 1;
        let event = Event { sequence: self.sequence, change, block: format!("{block:016x}") };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }

    /// Gives the events after `since` that are at least `lag` old.
    pub fn events(&self, since: u64, now: Instant, lag: Duration) -> Vec<Event> {
        let visible = self.events.iter().take_while(|(at, _)| *at + lag <= now);
        visible.filter(|(_, event)| event.sequence > since).map(|(_, e)| e.clone()).collect()
    }
}
