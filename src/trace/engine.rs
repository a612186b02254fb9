//! Small model of a worker, used by the replay.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Sets the speed of a modelled model worker.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Prompt tokens computed per second, one request after the other.
    pub prefill: f64,
    /// Requests in a batch.
    pub slots: usize,
    /// Time between two tokens of a request that runs alone; it doubles at a full batch.
    pub gap: Duration,
    /// Prompt tokens that fit in the prefix cache.
    pub cache: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { prefill: 8_000.0, slots: 16, gap: Duration::from_millis(25), cache: 200_000 }
    }
}

/// Holds the blocks of a prefix cache; the least recently used block is evicted first.
#[derive(Debug)]
pub struct Cache {
    capacity: usize,
    used: HashMap<u64, u64>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
}

impl Cache {
    pub fn new(capacity: usize) -> Cache {
        Cache { capacity, used: HashMap::new(), order: VecDeque::new(), clock: 0 }
    }

    /// Counts the leading blocks that are cached.
    pub fn matching(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Records the use of a prompt's blocks. The first block is the most recently used one, so
    /// that a chain loses its end first.
    pub fn insert(&mut self, blocks: &[u64]) {
        for &block in blocks.iter().rev() {
            self.clock += 1;
            self.used.insert(block, self.clock);
            self.order.push_back((self.clock, block));
        }
        while self.used.len() > self.capacity {
            let Some((used, block)) = self.order.pop_front() else { break };
            if self.used.get(&block) == Some(&used) {
                self.used.remove(&block);
            }
        }
        if self.order.len() > 4 * self.capacity.max(64) {
            let newest = &self.used;
            self.order.retain(|(used, block)| newest.get(block) == Some(used));
        }
    }
}

/// Tells when a started request gives its first token and its last.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    pub first: Duration,
    pub done: Duration,
    /// Prompt blocks that were found in the cache.
    pub cached: usize,
}

/// Models one worker with a batch, a serial prefill and a prefix cache.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    pub cache: Cache,
    pub queue: VecDeque<usize>,
    pub running: usize,
    prefill_free: Duration,
}

impl Engine {
    pub fn new(settings: Settings, block_tokens: u32) -> Engine {
        Engine {
            settings,
            cache: Cache::new((settings.cache / block_tokens.max(1)) as usize),
            queue: VecDeque::new(),
            running: 0,
            prefill_free: Duration::ZERO,
        }
    }

    pub fn has_slot(&self) -> bool {
        self.running < self.settings.slots
    }

    /// Starts a request in a free slot.
    pub fn start(
        &mut self,
        now: Duration,
        blocks: &[u64],
        input: u32,
        output: u32,
        block_tokens: u32,
    ) -> Timing {
        self.running += 1;
        let cached = self.cache.matching(blocks);
        self.cache.insert(blocks);
        let left = input.saturating_sub(cached as u32 * block_tokens).max(1);
        let prefill = Duration::from_secs_f64(f64::from(left) / self.settings.prefill);
        let first = self.prefill_free.max(now) + prefill;
        self.prefill_free = first;
        let fill = self.running as f64 / self.settings.slots as f64;
        let decode = self.settings.gap.mul_f64(f64::from(output.saturating_sub(1)) * (1.0 + fill));
        Timing { first, done: first + decode, cached }
    }
}
