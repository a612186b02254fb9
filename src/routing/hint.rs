use std::time::Duration;

use super::mix;

/// Sets of the hint table; each set holds `WAYS` hints of 24 bytes.
const SETS: usize = 1_024;
const WAYS: usize = 4;

/// Age at which a hint is ignored: cache events may be missing, so no hint is trusted for long.
const MAX_AGE: Duration = Duration::from_secs(600);

#[derive(Debug, Default, Clone, Copy)]
struct Hint {
    block: u64,
    /// Hash of the endpoint's id; 0 marks a free place.
    endpoint: u64,
    at: Duration,
}

/// Remembers which endpoint holds a block where the hash alone would name another, in fixed memory.
#[derive(Debug)]
pub(super) struct Hints {
    sets: Box<[[Hint; WAYS]]>,
}

impl Hints {
    pub fn new() -> Hints {
        Hints { sets: vec![[Hint::default(); WAYS]; SETS].into_boxed_slice() }
    }

    pub fn get(&self, now: Duration, block: u64) -> Option<u64> {
        let set = &self.sets[index(block)];
        let hint = set.iter().find(|hint| hint.block == block && hint.endpoint != 0)?;
        (now.saturating_sub(hint.at) < MAX_AGE).then_some(hint.endpoint)
    }

    pub fn insert(&mut self, now: Duration, block: u64, endpoint: u64) {
        let set = &mut self.sets[index(block)];
        let same = set.iter().position(|hint| hint.block == block);
        let oldest = || (0..WAYS).min_by_key(|&way| set[way].at);
        if let Some(way) = same.or_else(oldest) {
            set[way] = Hint { block, endpoint, at: now };
        }
    }

    /// Removes the hint of a block, or only the one that names the given endpoint.
    pub fn remove(&mut self, block: u64, endpoint: Option<u64>) {
        let set = &mut self.sets[index(block)];
        for hint in set.iter_mut().filter(|hint| hint.block == block) {
            if endpoint.is_none_or(|endpoint| endpoint == hint.endpoint) {
                *hint = Hint::default();
            }
        }
    }
}

fn index(block: u64) -> usize {
    mix(block, 2) as usize % SETS
}
