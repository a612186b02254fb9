//! In-memory journal of the streams that this node runs, follows or stores a copy of.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::{Finish, Request};

/// Stores the streams in progress and those that ended recently.
#[derive(Debug)]
pub struct Journal {
    entries: Mutex<HashMap<Arc<str>, Arc<Entry>>>,
    max_entries: usize,
}

/// The record of one stream. Tokens are only appended, and never after the stream has finished.
#[derive(Debug)]
pub struct Entry {
    pub request: Request,
    pub accepted: Instant,
    progress: Mutex<Progress>,
    /// Number of changes; each change notifies the readers.
    changes: watch::Sender<u64>,
    readers: AtomicUsize,
    /// Highest offset at which a caller asked to start reading.
    max_requested_offset: AtomicU64,
}

/// Reads one stream from an offset; the entry is not evicted while it has a reader.
#[derive(Debug)]
pub struct Reader {
    entry: Arc<Entry>,
    offset: u64,
}

#[derive(Debug, Default)]
struct Progress {
    /// Peer that stores a copy of the stream.
    copy_holder: Option<Arc<str>>,
    tokens: Vec<Arc<str>>,
    finish: Option<Finish>,
    ended_at: Option<Instant>,
    last_read: Option<Instant>,
    role: Role,
}

/// The role of this node for a stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Stores a copy for use after the primary has failed.
    #[default]
    Copy,
    /// Fetches new tokens from the primary for callers of this node.
    Follower,
    /// Sends the stream to endpoints and appends their tokens.
    Primary,
    /// Leaves the stream to another node and appends nothing more.
    Detached,
}

/// The tokens after an offset, and the status of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    pub tokens: Vec<Arc<str>>,
    pub finish: Option<Finish>,
    /// Set when the stream continues on another node, where the reader must resume.
    pub moved: bool,
}

impl Journal {
    pub fn new(max_entries: usize) -> Journal {
        Journal { entries: Mutex::default(), max_entries }
    }

    /// Adds an entry for a stream; returns `None` if the journal is full or the id exists.
    pub fn open(&self, request: Request, tokens: Vec<Arc<str>>) -> Option<Arc<Entry>> {
        let mut entries = self.lock();
        if entries.contains_key(&request.id) {
            return None;
        }
        if entries.len() >= self.max_entries {
            evict_oldest(&mut entries, self.max_entries);
        }
        if entries.len() >= self.max_entries {
            return None;
        }
        let entry = Arc::new(Entry {
            accepted: Instant::now(),
            progress: Mutex::new(Progress { tokens, ..Progress::default() }),
            changes: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
            max_requested_offset: AtomicU64::new(0),
            request,
        });
        entries.insert(entry.request.id.clone(), entry.clone());
        Some(entry)
    }

    pub fn get(&self, id: &str) -> Option<Arc<Entry>> {
        self.lock().get(id).cloned()
    }

    /// Reports whether a copy of another node's stream may be added, after evicting old entries if
    /// necessary. Copies are refused while the journal is half full, so that they never prevent
    /// this node from accepting requests.
    pub fn has_room_for_copy(&self) -> bool {
        let mut entries = self.lock();
        if entries.len() >= self.max_entries / 2 {
            evict_oldest(&mut entries, self.max_entries);
        }
        entries.len() < self.max_entries / 2
    }

    /// Returns the streams in progress of which this node is the primary.
    pub fn unfinished(&self) -> Vec<Arc<Entry>> {
        let entries = self.lock();
        let primary =
            entries.values().filter(|entry| entry.finish().is_none() && entry.is_primary());
        primary.cloned().collect()
    }

    /// Returns the streams in progress that this node follows for its callers.
    pub fn followed(&self) -> Vec<Arc<Entry>> {
        let entries = self.lock();
        let followed =
            entries.values().filter(|entry| entry.finish().is_none() && entry.is_follower());
        followed.cloned().collect()
    }

    pub fn len(&self) -> usize {
        self.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Removes streams that ended at least `keep` ago, and unfinished streams past their deadline
    /// unless this node is their primary.
    pub fn remove_expired(&self, now: Instant, keep: Duration) {
        self.lock().retain(|_, entry| {
            let (ended_at, role) = {
                let progress = entry.lock();
                (progress.ended_at, progress.role)
            };
            match (ended_at, role) {
                (Some(ended_at), _) => now.saturating_duration_since(ended_at) < keep,
                (None, Role::Primary) => true,
                (None, _) => now < entry.deadline(),
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Evicts the oldest entries that have no reader and have ended or are only copies. Each call
/// evicts up to an eighth of the limit, so that the cost of the search per accepted stream stays
/// small.
fn evict_oldest(entries: &mut HashMap<Arc<str>, Arc<Entry>>, max_entries: usize) {
    let mut idle: Vec<(Instant, Arc<str>)> = entries
        .values()
        .filter_map(|entry| Some((entry.idle_since()?, entry.request.id.clone())))
        .collect();
    let count = (max_entries / 8).max(1).min(idle.len());
    if count == 0 {
        return;
    }
    idle.select_nth_unstable(count - 1);
    for (_, id) in &idle[..count] {
        entries.remove(id);
    }
}

impl Reader {
    pub fn entry(&self) -> &Arc<Entry> {
        &self.entry
    }

    pub fn offset(&self) -> u64 {
        self.offset
    }

    /// Waits for the next tokens, the end of the stream or its hand-over.
    pub async fn next(&mut self) -> Part {
        let part = self.entry.read(self.offset).await;
        self.offset += part.tokens.len() as u64;
        part
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.entry.readers.fetch_sub(1, Ordering::Relaxed);
        self.entry.lock().last_read = Some(Instant::now());
    }
}

impl Entry {
    /// Appends tokens that directly follow those stored so far.
    pub fn push(&self, tokens: impl IntoIterator<Item = Arc<str>>) {
        let mut progress = self.lock();
        if progress.finish.is_none() && progress.role != Role::Detached {
            progress.tokens.extend(tokens);
            drop(progress);
            self.notify();
        }
    }

    /// Records the outcome of the stream; later calls have no effect.
    pub fn close(&self, finish: Finish) {
        let mut progress = self.lock();
        if progress.finish.is_none() && progress.role != Role::Detached {
            progress.finish = Some(finish);
            progress.ended_at = Some(Instant::now());
            drop(progress);
            self.notify();
        }
    }

    /// Merges what another node stores of the stream from an offset: tokens beyond those stored
    /// here, and the outcome if no token before it is missing. Has no effect on the primary, where
    /// only the task that runs the stream appends tokens.
    pub fn merge(&self, offset: u64, tokens: Vec<Arc<str>>, finish: Option<Finish>) {
        let mut progress = self.lock();
        if progress.finish.is_some() || !matches!(progress.role, Role::Copy | Role::Follower) {
            return;
        }
        let token_count = progress.tokens.len() as u64;
        let end = offset + tokens.len() as u64;
        let Some(known) = token_count.checked_sub(offset) else { return };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        progress.tokens.extend(tokens.into_iter().skip(known));
        if finish.is_some() && progress.tokens.len() as u64 == end {
            progress.finish = finish;
            progress.ended_at = Some(Instant::now());
        }
        drop(progress);
        self.notify();
    }

    /// Makes this node the primary, unless the stream has ended or was handed over by this node;
    /// returns whether the role changed.
    pub fn become_primary(&self) -> bool {
        self.switch_role(Role::Primary, |role| matches!(role, Role::Copy | Role::Follower))
    }

    /// Makes this node a follower if it stores a copy of an unfinished stream; returns whether the
    /// role changed.
    pub fn become_follower(&self) -> bool {
        self.switch_role(Role::Follower, |role| role == Role::Copy)
    }

    /// Stops appending to the stream, because another node is or becomes its primary.
    pub fn detach(&self) {
        if self.switch_role(Role::Detached, |_| true) {
            self.notify();
        }
    }

    pub fn is_primary(&self) -> bool {
        self.lock().role == Role::Primary
    }

    pub fn is_follower(&self) -> bool {
        self.lock().role == Role::Follower
    }

    /// Waits until this node has detached from the stream.
    pub async fn detached(&self) {
        let mut changes = self.changes.subscribe();
        while self.lock().role != Role::Detached {
            let _ = changes.changed().await;
        }
    }

    /// Records which peer stores a copy; `None` means that no peer does.
    pub fn set_copy_holder(&self, peer: Option<Arc<str>>) {
        self.lock().copy_holder = peer;
        self.notify();
    }

    /// Waits until a peer stores a copy, the stream has ended or this node is not its primary.
    pub async fn copied(&self) {
        let mut changes = self.changes.subscribe();
        while self.copy_holder().is_none() && self.finish().is_none() && self.is_primary() {
            let _ = changes.changed().await;
        }
    }

    pub fn copy_holder(&self) -> Option<Arc<str>> {
        self.lock().copy_holder.clone()
    }

    fn switch_role(&self, role: Role, from: impl Fn(Role) -> bool) -> bool {
        let mut progress = self.lock();
        let allowed = progress.finish.is_none() && progress.role != role && from(progress.role);
        if allowed {
            progress.role = role;
        }
        allowed
    }

    pub fn deadline(&self) -> Instant {
        self.accepted + Duration::from_millis(self.request.deadline_ms)
    }

    pub fn offset(&self) -> u64 {
        self.lock().tokens.len() as u64
    }

    pub fn tokens(&self) -> Vec<Arc<str>> {
        self.lock().tokens.clone()
    }

    pub fn finish(&self) -> Option<Finish> {
        self.lock().finish.clone()
    }

    /// Returns the time by which unused entries are ordered for eviction: the end of the stream, or
    /// the creation of the entry if it is a copy. Returns `None` if the entry must stay.
    fn idle_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let progress = self.lock();
        match (progress.ended_at, progress.role) {
            (Some(ended_at), _) => Some(ended_at),
            (None, Role::Copy) => Some(self.accepted),
            (None, _) => None,
        }
    }

    /// Creates a reader that starts at an offset.
    pub fn reader(self: &Arc<Entry>, offset: u64) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        self.max_requested_offset.fetch_max(offset, Ordering::Relaxed);
        Reader { entry: self.clone(), offset }
    }

    /// Returns the number of tokens that a caller has received but this node lacks. An engine has
    /// to recompute them if this node takes the stream over.
    pub fn missing_tokens(&self) -> u64 {
        self.max_requested_offset.load(Ordering::Relaxed).saturating_sub(self.offset())
    }

    /// Returns the time since the last reader was dropped, or since acceptance if there was none;
    /// zero while there is a reader.
    pub fn unread_for(&self, now: Instant) -> Duration {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        let read = self.lock().last_read.unwrap_or(self.accepted);
        now.saturating_duration_since(read)
    }

    /// Returns the tokens stored after an offset without waiting for more.
    pub fn peek(&self, offset: u64) -> Part {
        let progress = self.lock();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(progress.tokens.len());
        Part {
            tokens: progress.tokens[start..].to_vec(),
            finish: progress.finish.clone(),
            moved: progress.role == Role::Detached,
        }
    }

    /// Waits until there are tokens after an offset, or the stream has ended or was handed over.
    pub async fn read(&self, offset: u64) -> Part {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let part = self.peek(offset);
            if !part.tokens.is_empty() || part.finish.is_some() || part.moved {
                return part;
            }
            // The entry owns the sender, so `changed` can't fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits for the outcome of the stream; returns `None` if it continues on another node.
    pub async fn wait(&self) -> Option<Finish> {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let part = self.peek(u64::MAX);
            if part.finish.is_some() || part.moved {
                return part.finish;
            }
            let _ = changes.changed().await;
        }
    }

    fn notify(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
