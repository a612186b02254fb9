use std::time::Duration;

use super::mix;

/// Number of sets in the hint table; each holds `WAYS` hints of 24 bytes.
const SETS: usize = 1_024;
const WAYS: usize = 4;

/// Age from which a hint is ignored, since the cache event that would remove it may be lost.
const MAX_AGE: Duration = Duration::from_secs(600);

#[derive(Debug, Default, Clone, Copy)]
struct Hint {
    block: u64,
    /// Hash of the endpoint's ID; 0 marks an empty entry.
    endpoint: u64,
    recorded_at: Duration,
}

/// Maps blocks to the endpoint that caches their prefix, which takes precedence over the rendezvous
/// hash. The map is a set-associative table of fixed size.
#[derive(Debug)]
pub(super) struct Hints {
    sets: Box<[[Hint; WAYS]]>,
}

impl Hints {
    pub fn new() -> Hints {
        Hints { sets: vec![[Hint::default(); WAYS]; SETS].into_boxed_slice() }
    }

    pub fn get(&self, now: Duration, block: u64) -> Option<u64> {
        let set = &self.sets[set_index(block)];
        let hint = set.iter().find(|hint| hint.block == block && hint.endpoint != 0)?;
        (now.saturating_sub(hint.recorded_at) < MAX_AGE).then_some(hint.endpoint)
    }

    pub fn insert(&mut self, now: Duration, block: u64, endpoint: u64) {
        let set = &mut self.sets[set_index(block)];
        let existing = set.iter().position(|hint| hint.block == block);
        let oldest = || (0..WAYS).min_by_key(|&way| set[way].recorded_at);
        if let Some(way) = existing.or_else(oldest) {
            set[way] = Hint { block, endpoint, recorded_at: now };
        }
    }

    /// Removes the hint of a block; with `endpoint`, only if the hint names that endpoint.
    pub fn remove(&mut self, block: u64, endpoint: Option<u64>) {
        let set = &mut self.sets[set_index(block)];
        for hint in set.iter_mut().filter(|hint| hint.block == block) {
            if endpoint.is_none_or(|endpoint| endpoint == hint.endpoint) {
                *hint = Hint::default();
            }
        }
    }
}

fn set_index(block: u64) -> usize {
    mix(block, 2) as usize % SETS
}
