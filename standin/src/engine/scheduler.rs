//! Continuous batching: which streams wait, which run, and how fast their tokens become due.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::cache::{self, Cache};
use super::stream::{self, Stream};

/// Ended streams whose state can still be exported.
const ENDED: usize = 256;

/// Imported states that wait for their stream.
const IMPORTED: usize = 4_096;

/// Changes of the load kept for lagged reports, so that the list is bounded without a reader.
const LOADS: usize = 10_000;

/// Sets the speed of the model.
#[derive(Debug, Clone)]
pub struct Speed {
    /// Time between tokens of one stream up to the batch size; zero for no limit.
    pub gap: Duration,
    /// Streams above this number make the gap of every stream grow in proportion.
    pub batch: usize,
    /// Streams above this number wait.
    pub slots: usize,
    pub prefill_per_block: Duration,
}

#[derive(Debug)]
struct Slot {
    stream: Arc<Stream>,
    next_at: Instant,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Totals {
    pub prompt: u64,
    pub cached: u64,
    pub recomputed: u64,
}

#[derive(Debug)]
pub struct Scheduler {
    speed: Speed,
    pub cache: Cache,
    pub totals: Totals,
    /// Most important first, then in order of arrival.
    waiting: BTreeMap<(Reverse<i64>, u64), Arc<Stream>>,
    running: Vec<Slot>,
    ended: VecDeque<Arc<Stream>>,
    /// Words of prompt and answer whose state was imported, by request id.
    imported: HashMap<Arc<str>, u64>,
    loads: VecDeque<(Instant, usize, usize)>,
}

impl Scheduler {
    pub fn new(speed: Speed, cache_blocks: usize) -> Scheduler {
        Scheduler {
            speed,
            cache: Cache::new(cache_blocks),
            totals: Totals::default(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            ended: VecDeque::new(),
            imported: HashMap::new(),
            loads: VecDeque::new(),
        }
    }

    /// Gives the numbers of running and waiting streams.
    pub fn load(&self) -> (usize, usize) {
        (self.running.len(), self.waiting.len())
    }

    /// Gives the load as it was `lag` ago.
    pub fn lagged_load(&mut self, now: Instant, lag: Duration) -> (usize, usize) {
        while self.loads.get(1).is_some_and(|(at, ..)| *at + lag <= now) {
            self.loads.pop_front();
        }
        match self.loads.front() {
            Some(&(at, running, queued)) if at + lag <= now => (running, queued),
            _ => (0, 0),
        }
    }

    pub fn add(&mut self, stream: Arc<Stream>, now: Instant) {
        self.waiting.insert((Reverse(stream.priority), stream.number), stream);
        self.admit(now);
    }

    pub fn remove(&mut self, stream: &Arc<Stream>, now: Instant) {
        self.waiting.remove(&(Reverse(stream.priority), stream.number));
        self.running.retain(|slot| slot.stream.number != stream.number);
        self.store_answer(stream, now);
        self.ended.push_back(Arc::clone(stream));
        if self.ended.len() > ENDED {
            self.ended.pop_front();
        }
        self.admit(now);
    }

    /// Finds a stream by request id; the newest wins when a request was sent again.
    pub fn find(&self, id: &str) -> Option<&Arc<Stream>> {
        let running = self.running.iter().map(|slot| &slot.stream);
        let live = running.chain(self.waiting.values()).filter(|stream| &*stream.id == id);
        live.max_by_key(|stream| stream.number)
            .or_else(|| self.ended.iter().rev().find(|stream| &*stream.id == id))
    }

    pub fn last_ended(&self) -> Option<Arc<str>> {
        self.ended.back().map(|stream| stream.id.clone())
    }

    /// Gives the id of another stream, for a crossed answer.
    pub fn other_id(&self, id: &str) -> Option<Arc<str>> {
        let others = self.streams().chain(self.ended.iter().rev());
        others.map(|stream| &stream.id).find(|other| ***other != *id).cloned()
    }

    pub fn streams(&self) -> impl Iterator<Item = &Arc<Stream>> {
        self.running.iter().map(|slot| &slot.stream).chain(self.waiting.values())
    }

    pub fn import(&mut self, id: &str, words: u64, blocks: &[u64], now: Instant) {
        self.cache.store(blocks, now);
        if self.imported.len() < IMPORTED {
            self.imported.insert(id.into(), words);
        }
    }

    /// Lets tokens become due; gives false when nothing runs.
    pub fn tick(&mut self, now: Instant) -> bool {
        let crowd = (self.running.len() as f64 / self.speed.batch as f64).max(1.0);
        for slot in &mut self.running {
            let stream = &slot.stream;
            let gap = self.speed.gap.mul_f64(crowd * stream.slow);
            let before = stream.due.load(Ordering::Relaxed);
            let mut due = before;
            while slot.next_at <= now && due < stream.end {
                due = if gap.is_zero() { stream.end } else { due + 1 };
                slot.next_at += gap;
            }
            if due != before {
                stream.due.store(due, Ordering::Release);
                stream.wake.notify_one();
            }
        }
        !self.running.is_empty()
    }

    fn admit(&mut self, now: Instant) {
        while self.running.len() < self.speed.slots
            && let Some((_, stream)) = self.waiting.pop_first()
        {
            let next_at = now + self.prefill(&stream, now);
            if self.speed.gap.is_zero() && next_at <= now {
                stream.due.store(stream.end, Ordering::Release);
                stream.wake.notify_one();
            }
            self.running.push(Slot { stream, next_at });
        }
        let (running, waiting) = self.load();
        if self.loads.back().is_none_or(|(_, r, w)| (*r, *w) != (running, waiting)) {
            self.loads.push_back((now, running, waiting));
        }
        if self.loads.len() > LOADS {
            self.loads.pop_front();
        }
    }

    /// Looks the prompt up in the cache and gives the time to compute the rest.
    fn prefill(&mut self, stream: &Stream, now: Instant) -> Duration {
        let text = answered(stream, stream.offset);
        let words: Vec<&str> = text.split_whitespace().collect();
        let blocks = cache::blocks(&words);
        let hits = (self.cache.hits(&blocks) * cache::BLOCK_WORDS) as u64;
        let imported = self.imported.remove(&stream.id).unwrap_or(0).min(words.len() as u64);
        let cached = hits.max(imported);
        self.cache.store(&blocks, now);
        let computed = words.len() as u64 - cached;
        let recomputed = if stream.offset > 0 { computed } else { 0 };
        stream.cached.store(cached, Ordering::Relaxed);
        stream.recomputed.store(recomputed, Ordering::Relaxed);
        self.totals.prompt += words.len() as u64;
        self.totals.cached += cached;
        self.totals.recomputed += recomputed;
        let blocks = computed as f64 / cache::BLOCK_WORDS as f64;
        self.speed.prefill_per_block.mul_f64(blocks * stream.slow)
    }

    fn store_answer(&mut self, stream: &Stream, now: Instant) {
        let text = answered(stream, stream.sent.load(Ordering::Relaxed));
        let words: Vec<&str> = text.split_whitespace().collect();
        self.cache.store(&cache::blocks(&words), now);
    }
}

/// Gives the prompt with the first tokens of the answer.
pub fn answered(stream: &Stream, tokens: u64) -> String {
    let mut text = stream.prompt.to_string();
    text.extend((0..tokens).map(|index| stream::token(stream.seed, index)));
    text
}
