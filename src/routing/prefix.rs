use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::mix;

/// Size of a block of prompt text in bytes, about 128 tokens.
pub const BLOCK_BYTES: usize = 512;

/// Maximum number of blocks hashed per prompt; a longer common prefix does not change the choice of
/// endpoint.
pub const MAX_BLOCKS: usize = 64;

pub type BlockHashes = SmallVec<[u64; 16]>;

/// Returns the hash chain of the prompt's full blocks.
///
/// Each hash covers the text from the start of the prompt to the end of its block.
pub fn hash_blocks(text: &str) -> BlockHashes {
    let mut chain = 0;
    let full = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    full.map(|block| {
        chain = xxh3::xxh3_64_with_seed(block, chain);
        chain
    })
    .collect()
}

/// Number of successor changes from which a block counts as shared by many conversations. Forks of
/// one conversation, such as a repeated question, cause fewer.
const SHARED_BRANCHES: u8 = 4;

/// Number of slots in the table of observed blocks, 32 bytes each.
const SLOTS: usize = 4_096;

/// Number of requests after which all counts are halved, so that old popularity decays.
const EPOCH_REQUESTS: u32 = 2_048;

/// Number of eviction attempts that a block survives after its last use, per branch.
const CREDIT_PER_BRANCH: u8 = 8;

#[derive(Debug, Default, Clone, Copy)]
struct Slot {
    block: u64,
    last_successor: u64,
    hits: u32,
    epoch: u32,
    branches: u8,
    credit: u8,
}

/// Holds the blocks that determine the preferred endpoints of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Affinity {
    /// Last block shared by many conversations, and its fraction of recent requests.
    pub shared: Option<(u64, f64)>,
    /// First block after the shared ones, which identifies the conversation in all its turns.
    pub conversation: Option<u64>,
    /// Number of leading blocks up to and including the last shared one.
    pub depth: usize,
}

/// Detects blocks shared by many conversations, such as system prompts, in a table of fixed size.
///
/// Hashing a fixed number of leading blocks does not work: with a longer system prompt, all
/// requests of a workspace would go to one endpoint, and with a shorter one, each turn of a
/// conversation would have a different key.
#[derive(Debug)]
pub(super) struct Prefixes {
    slots: Box<[Slot]>,
    requests: u32,
    epoch: u32,
    /// Number of requests, halved every epoch as the hits of a slot are.
    recent_requests: f64,
}

impl Prefixes {
    pub fn new() -> Prefixes {
        let slots = vec![Slot::default(); SLOTS].into_boxed_slice();
        Prefixes { slots, requests: 0, epoch: 0, recent_requests: 0.0 }
    }

    /// Records the blocks of one request and returns its affinity.
    pub fn observe(&mut self, blocks: &[u64]) -> Affinity {
        self.requests += 1;
        self.recent_requests += 1.0;
        if self.requests.is_multiple_of(EPOCH_REQUESTS) {
            self.epoch = self.epoch.wrapping_add(1);
            self.recent_requests /= 2.0;
        }
        let mut shared = None;
        let mut depth = 0;
        for (index, &block) in blocks.iter().enumerate() {
            let Some(hits) = self.record(block, blocks.get(index + 1).copied()) else { continue };
            shared = Some((block, f64::from(hits) / self.recent_requests.max(1.0)));
            depth = index + 1;
        }
        Affinity { shared, conversation: blocks.get(depth).copied(), depth }
    }

    /// Counts one request with a block and returns the block's recent hits if it is shared.
    fn record(&mut self, block: u64, successor: Option<u64>) -> Option<u32> {
        let epoch = self.epoch;
        let first = mix(block, 1) as usize % SLOTS;
        let indices = [first, first ^ 1];
        let found = indices.into_iter().find(|&index| self.slots[index].block == block);
        let index = found.or_else(|| self.select_victim(indices))?;
        let slot = &mut self.slots[index];
        if found.is_none() {
            *slot = Slot { block, epoch, ..Slot::default() };
        }
        slot.hits = slot.hits.checked_shr(epoch.wrapping_sub(slot.epoch)).unwrap_or(0) + 1;
        slot.epoch = epoch;
        if let Some(successor) = successor
            && slot.last_successor != successor
        {
            slot.last_successor = successor;
            slot.branches = slot.branches.saturating_add(1).min(SHARED_BRANCHES);
        }
        slot.credit = slot.branches * CREDIT_PER_BRANCH;
        (slot.branches >= SHARED_BRANCHES).then_some(slot.hits)
    }

    /// Selects a slot to replace; blocks of a single conversation are evicted before shared ones.
    fn select_victim(&mut self, indices: [usize; 2]) -> Option<usize> {
        let index = indices.into_iter().min_by_key(|&index| self.slots[index].credit)?;
        let slot = &mut self.slots[index];
        if slot.credit <= CREDIT_PER_BRANCH {
            return Some(index);
        }
        slot.credit -= 1;
        None
    }
}
