//! Decides which bodies may grow, for bodies of many callers whose sum exceeds the memory of the VM.

use std::collections::HashMap;
use std::time::Duration;

/// Largest body that may use the reserved share. Ordinary requests are smaller.
pub const SMALL_BYTES: usize = 64 << 10;
/// Part of the size that only small bodies may use: one of this number.
const RESERVED_PART: usize = 8;
/// Time without progress from which an unfinished body may be dropped for another. A caller within the limits with one
/// of 100 uploads over 10 Mbit/s sends a packet of 1,500 bytes every 120 ms.
const STALL: Duration = Duration::from_millis(500);

/// Rate that each request body has to reach after `RATE_GRACE`. A third of what 100 concurrent uploads get on a link of
/// 10 Mbit/s, which is 12,500 bytes per second.
const MIN_BYTES_PER_S: f64 = 4_000.0;
const RATE_GRACE: Duration = Duration::from_secs(3);

/// Returns the time after the start of an unfinished body by which more of it must have arrived.
pub fn time_limit(arrived: usize) -> Duration {
    RATE_GRACE + Duration::from_secs_f64(arrived as f64 / MIN_BYTES_PER_S)
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request body that is being read; its request has not run.
    Unfinished,
    /// A whole request body or a response; its request may have run.
    Accepted,
}

#[derive(Debug)]
struct Holder {
    owner: u64,
    kind: Kind,
    bytes: usize,
    progress_at: Duration,
}

/// The bytes held by each body, and their bound.
#[derive(Debug)]
pub struct Ledger {
    size: usize,
    used: usize,
    holders: HashMap<u64, Holder>,
    by_owner: HashMap<u64, usize>,
    next: u64,
}

impl Ledger {
    pub fn new(size: usize) -> Ledger {
        Ledger { size, used: 0, holders: HashMap::new(), by_owner: HashMap::new(), next: 0 }
    }

    pub fn size(&self) -> usize {
        self.size
    }

    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a body that holds nothing yet. `owner` is the hash of the caller's address.
    pub fn open(&mut self, owner: u64, kind: Kind, now: Duration) -> u64 {
        self.next += 1;
        self.holders.insert(self.next, Holder { owner, kind, bytes: 0, progress_at: now });
        self.next
    }

    /// Records that bytes of a body have arrived; returns `false` if it was dropped.
    pub fn record_progress(&mut self, id: u64, now: Duration) -> bool {
        self.holders.get_mut(&id).map(|holder| holder.progress_at = now).is_some()
    }

    /// Charges a body for a total of `bytes`, and returns the unfinished bodies that were dropped for it; `None` if
    /// there is no room or the body was dropped itself. A body is new until it exceeds `SMALL_BYTES`.
    pub fn grow(&mut self, id: u64, bytes: usize, now: Duration) -> Option<Vec<u64>> {
        let holder = self.holders.get(&id)?;
        let (owner, kind, held) = (holder.owner, holder.kind, holder.bytes);
        let more = bytes.saturating_sub(held);
        let is_small = bytes <= SMALL_BYTES;
        let room = if is_small { self.size } else { self.size - self.size / RESERVED_PART };
        let owned = self.by_owner.get(&owner).copied().unwrap_or(0);
        let others_want = self.used > owned;
        if kind == Kind::Unfinished && !is_small && others_want && owned + more > self.size / 2 {
            return None;
        }
        let mut dropped = Vec::new();
        if self.used + more > room {
            // A new large body is refused before others are dropped for it.
            if kind == Kind::Unfinished && held <= SMALL_BYTES && !is_small {
                return None;
            }
            dropped = self.stalled(id, kind, (self.used + more).saturating_sub(room), now)?;
            dropped.iter().for_each(|id| self.close(*id));
        }
        let holder = self.holders.get_mut(&id)?;
        holder.bytes += more;
        holder.progress_at = now;
        self.used += more;
        *self.by_owner.entry(owner).or_default() += more;
        Some(dropped)
    }

    /// Returns unfinished bodies that hold at least `needed` bytes, those without progress for longest first.
    fn stalled(&self, id: u64, kind: Kind, needed: usize, now: Duration) -> Option<Vec<u64>> {
        // A response belongs to a request that may have run, so any unfinished body yields to it.
        let stall = if kind == Kind::Accepted { Duration::ZERO } else { STALL };
        let mut candidates: Vec<_> = self
            .holders
            .iter()
            .filter(|(other, holder)| {
                **other != id
                    && holder.kind == Kind::Unfinished
                    && holder.bytes > 0
                    && now.saturating_sub(holder.progress_at) >= stall
            })
            .map(|(other, holder)| (holder.progress_at, *other, holder.bytes))
            .collect();
        candidates.sort_unstable();
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (_, other, bytes) in candidates {
            if freed >= needed {
                break;
            }
            freed += bytes;
            chosen.push(other);
        }
        (freed >= needed).then_some(chosen)
    }

    /// Records that a request body is whole, so that it is never dropped; returns `false` if it was dropped.
    pub fn accept(&mut self, id: u64) -> bool {
        self.holders.get_mut(&id).map(|holder| holder.kind = Kind::Accepted).is_some()
    }

    /// Returns the bytes of a body.
    pub fn close(&mut self, id: u64) {
        let Some(holder) = self.holders.remove(&id) else { return };
        self.used -= holder.bytes;
        if let Some(owned) = self.by_owner.get_mut(&holder.owner) {
            *owned -= holder.bytes;
            if *owned == 0 {
                self.by_owner.remove(&holder.owner);
            }
        }
    }
}
