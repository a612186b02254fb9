use smallvec::SmallVec;
use xxhash_rust::xxh3;

use super::mix;

/// Bytes of prompt text in one block, about 128 tokens.
pub const BLOCK_BYTES: usize = 512;

/// Blocks considered per prompt; a longer common prefix does not change the choice of endpoint.
pub const MAX_BLOCKS: usize = 64;

pub type Blocks = SmallVec<[u64; 16]>;

/// Gives the hash chain of the prompt's full blocks; equal words mean equal text up to there.
pub fn blocks(text: &str) -> Blocks {
    let mut chain = 0;
    let full = text.as_bytes().chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS);
    full.map(|block| {
        chain = xxh3::xxh3_64_with_seed(block, chain);
        chain
    })
    .collect()
}

/// Different successors after which a block counts as shared by many conversations. Forks of one
/// conversation, such as a repeated question, stay below this number.
const BRANCHES: u8 = 4;

/// Slots of the table of observed blocks (32 bytes each).
const SLOTS: usize = 4_096;

/// Requests between two halvings of the counts, so that old popularity fades.
const EPOCH: u32 = 2_048;

/// Replacement attempts that a block survives after its last use, per its number of successors.
const CREDIT: u8 = 8;

#[derive(Debug, Default, Clone, Copy)]
struct Slot {
    block: u64,
    successor: u64,
    hits: u32,
    epoch: u32,
    branches: u8,
    credit: u8,
}

/// Says which blocks define the affinity of a prompt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Affinity {
    /// Deepest block shared by many conversations, with its share of recent requests.
    pub shared: Option<(u64, f64)>,
    /// First block after the shared ones; it stays the same over all turns of a conversation.
    pub own: Option<u64>,
    /// Number of leading blocks that are shared.
    pub depth: usize,
}

/// Learns which blocks are shared by many conversations from the requests seen, in fixed memory.
///
/// A fixed depth does not work: a system prompt longer than that depth would send a whole workspace
/// to one endpoint, and a shorter one would give each turn of a conversation another key.
#[derive(Debug)]
pub(super) struct Shared {
    slots: Box<[Slot]>,
    requests: u32,
    epoch: u32,
    /// Requests counted with the same fading as the hits of a slot.
    total: f64,
}

impl Shared {
    pub fn new() -> Shared {
        let slots = vec![Slot::default(); SLOTS].into_boxed_slice();
        Shared { slots, requests: 0, epoch: 0, total: 0.0 }
    }

    /// Records the blocks of one request and says which of them define its affinity.
    pub fn observe(&mut self, blocks: &[u64]) -> Affinity {
        self.requests += 1;
        self.total += 1.0;
        if self.requests.is_multiple_of(EPOCH) {
            self.epoch = self.epoch.wrapping_add(1);
            self.total /= 2.0;
        }
        let mut shared = None;
        let mut depth = 0;
        for (index, &block) in blocks.iter().enumerate() {
            let Some(hits) = self.visit(block, blocks.get(index + 1).copied()) else { continue };
            shared = Some((block, f64::from(hits) / self.total.max(1.0)));
            depth = index + 1;
        }
        Affinity { shared, own: blocks.get(depth).copied(), depth }
    }

    /// Counts one visit of a block and gives its recent hits if the block is shared.
    fn visit(&mut self, block: u64, successor: Option<u64>) -> Option<u32> {
        let epoch = self.epoch;
        let start = mix(block, 1) as usize % SLOTS;
        let places = [start, start ^ 1];
        let found = places.into_iter().find(|&place| self.slots[place].block == block);
        let place = found.or_else(|| self.make_room(places))?;
        let slot = &mut self.slots[place];
        if found.is_none() {
            *slot = Slot { block, epoch, ..Slot::default() };
        }
        slot.hits = slot.hits.checked_shr(epoch.wrapping_sub(slot.epoch)).unwrap_or(0) + 1;
        slot.epoch = epoch;
        if let Some(successor) = successor
            && slot.successor != successor
        {
            slot.successor = successor;
            slot.branches = slot.branches.saturating_add(1).min(BRANCHES);
        }
        slot.credit = slot.branches * CREDIT;
        (slot.branches >= BRANCHES).then_some(slot.hits)
    }

    /// Gives a slot that may be replaced; blocks of one conversation leave before shared ones.
    fn make_room(&mut self, places: [usize; 2]) -> Option<usize> {
        let place = places.into_iter().min_by_key(|&place| self.slots[place].credit)?;
        let slot = &mut self.slots[place];
        if slot.credit <= CREDIT {
            return Some(place);
        }
        slot.credit -= 1;
        None
    }
}
