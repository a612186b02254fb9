//! Journal of the streams that this node carries.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::{Finish, Request};

/// Holds the streams in progress and those that ended a short time ago.
#[derive(Debug)]
pub struct Journal {
    entries: Mutex<HashMap<Arc<str>, Arc<Entry>>>,
    limit: usize,
}

/// Holds one stream. The tokens only grow, and nothing is added after the finish.
#[derive(Debug)]
pub struct Entry {
    pub request: Request,
    pub accepted: Instant,
    progress: Mutex<Progress>,
    /// Counts changes, so that readers wake up.
    changes: watch::Sender<u64>,
    readers: AtomicUsize,
    /// Highest offset from which a caller wanted to read.
    wanted: AtomicU64,
}

/// Reads one stream from an offset on; while a reader exists, the stream counts as wanted.
#[derive(Debug)]
pub struct Reader {
    entry: Arc<Entry>,
    offset: u64,
}

#[derive(Debug, Default)]
struct Progress {
    /// Peer that holds a copy.
    holder: Option<Arc<str>>,
    tokens: Vec<Arc<str>>,
    finish: Option<Finish>,
    ended: Option<Instant>,
    read: Option<Instant>,
    mode: Mode,
}

/// Tells what this node does for a stream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Holds a copy.
    #[default]
    Copy,
    /// Follows the node that carries the stream.
    Mirror,
    /// Carries the stream over endpoints.
    Carry,
    /// Has handed the stream over and adds nothing any more.
    Detached,
}

/// Holds what a reader gets in one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    pub tokens: Vec<Arc<str>>,
    pub finish: Option<Finish>,
    /// Set when the stream goes on at another node; the reader has to resume there.
    pub moved: bool,
}

impl Journal {
    pub fn new(limit: usize) -> Journal {
        Journal { entries: Mutex::default(), limit }
    }

    /// Opens an entry; `None` when the journal is full or the id is taken.
    pub fn open(&self, request: Request, tokens: Vec<Arc<str>>) -> Option<Arc<Entry>> {
        let mut entries = self.lock();
        if entries.contains_key(&request.id) {
            return None;
        }
        if entries.len() >= self.limit {
            make_room(&mut entries, self.limit);
        }
        if entries.len() >= self.limit {
            return None;
        }
        let entry = Arc::new(Entry {
            accepted: Instant::now(),
            progress: Mutex::new(Progress { tokens, ..Progress::default() }),
            changes: watch::Sender::new(0),
            readers: AtomicUsize::new(0),
            wanted: AtomicU64::new(0),
            request,
        });
        entries.insert(entry.request.id.clone(), entry.clone());
        Some(entry)
    }

    pub fn get(&self, id: &str) -> Option<Arc<Entry>> {
        self.lock().get(id).cloned()
    }

    /// Tells whether there is room for a copy of another node's stream. Copies fill half of the
    /// journal at most, so that they never keep this node from accepting requests.
    pub fn has_room_for_copy(&self) -> bool {
        let mut entries = self.lock();
        if entries.len() >= self.limit / 2 {
            make_room(&mut entries, self.limit);
        }
        entries.len() < self.limit / 2
    }

    /// Lists the streams that this node carries and that have not ended.
    pub fn unfinished(&self) -> Vec<Arc<Entry>> {
        let entries = self.lock();
        let carried =
            entries.values().filter(|entry| entry.finish().is_none() && entry.is_carried());
        carried.cloned().collect()
    }

    /// Lists the streams that this node follows for its callers.
    pub fn mirrored(&self) -> Vec<Arc<Entry>> {
        let entries = self.lock();
        let mirrored =
            entries.values().filter(|entry| entry.finish().is_none() && entry.is_mirrored());
        mirrored.cloned().collect()
    }

    pub fn len(&self) -> usize {
        self.lock().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Forgets streams that ended longer ago than `keep`, and copies past their deadline.
    pub fn sweep(&self, now: Instant, keep: Duration) {
        self.lock().retain(|_, entry| {
            let (ended, mode) = {
                let progress = entry.lock();
                (progress.ended, progress.mode)
            };
            match (ended, mode) {
                (Some(ended), _) => now.saturating_duration_since(ended) < keep,
                (None, Mode::Carry) => true,
                (None, _) => now < entry.deadline(),
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<Entry>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Forgets the oldest streams that have ended or are only copies, an eighth of the limit at a time,
/// so that the cost of looking for them is small per accepted stream.
fn make_room(entries: &mut HashMap<Arc<str>, Arc<Entry>>, limit: usize) {
    let mut idle: Vec<(Instant, Arc<str>)> = entries
        .values()
        .filter_map(|entry| Some((entry.idle_since()?, entry.request.id.clone())))
        .collect();
    let wanted = (limit / 8).max(1).min(idle.len());
    if wanted == 0 {
        return;
    }
    idle.select_nth_unstable(wanted - 1);
    for (_, id) in &idle[..wanted] {
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

    /// Waits for the next tokens or the end of the stream.
    pub async fn next(&mut self) -> Part {
        let part = self.entry.read(self.offset).await;
        self.offset += part.tokens.len() as u64;
        part
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.entry.readers.fetch_sub(1, Ordering::Relaxed);
        self.entry.lock().read = Some(Instant::now());
    }
}

impl Entry {
    /// Adds tokens that follow directly on those held so far.
    pub fn push(&self, tokens: impl IntoIterator<Item = Arc<str>>) {
        let mut progress = self.lock();
        if progress.finish.is_none() && progress.mode != Mode::Detached {
            progress.tokens.extend(tokens);
            drop(progress);
            self.wake();
        }
    }

    /// Ends the stream; the first call counts.
    pub fn close(&self, finish: Finish) {
        let mut progress = self.lock();
        if progress.finish.is_none() && progress.mode != Mode::Detached {
            progress.finish = Some(finish);
            progress.ended = Some(Instant::now());
            drop(progress);
            self.wake();
        }
    }

    /// Takes what another node holds of the stream from an offset on: tokens beyond those held so
    /// far, and the end if no token before it is missing. Nothing is taken for a stream that this
    /// node carries, because only its pump adds to it.
    pub fn merge(&self, offset: u64, tokens: Vec<Arc<str>>, finish: Option<Finish>) {
        let mut progress = self.lock();
        if progress.finish.is_some() || !matches!(progress.mode, Mode::Copy | Mode::Mirror) {
            return;
        }
        let held = progress.tokens.len() as u64;
        let end = offset + tokens.len() as u64;
        let Some(known) = held.checked_sub(offset) else { return };
        let known = usize::try_from(known).unwrap_or(usize::MAX);
        progress.tokens.extend(tokens.into_iter().skip(known));
        if finish.is_some() && progress.tokens.len() as u64 == end {
            progress.finish = finish;
            progress.ended = Some(Instant::now());
        }
        drop(progress);
        self.wake();
    }

    /// Makes this node the carrier; tells whether it was not yet.
    pub fn start_carrying(&self) -> bool {
        self.enter(Mode::Carry, |mode| matches!(mode, Mode::Copy | Mode::Mirror))
    }

    /// Makes this node a mirror; tells whether it held only a copy.
    pub fn start_mirroring(&self) -> bool {
        self.enter(Mode::Mirror, |mode| mode == Mode::Copy)
    }

    /// Stops adding to the stream, since another node carries it from here on.
    pub fn detach(&self) {
        if self.enter(Mode::Detached, |_| true) {
            self.wake();
        }
    }

    pub fn is_carried(&self) -> bool {
        self.lock().mode == Mode::Carry
    }

    pub fn is_mirrored(&self) -> bool {
        self.lock().mode == Mode::Mirror
    }

    /// Waits until the stream has been handed over.
    pub async fn detached(&self) {
        let mut changes = self.changes.subscribe();
        while self.lock().mode != Mode::Detached {
            let _ = changes.changed().await;
        }
    }

    /// Notes which peer holds a copy; `None` when there is none any more.
    pub fn set_holder(&self, peer: Option<Arc<str>>) {
        self.lock().holder = peer;
        self.wake();
    }

    /// Waits until a peer holds a copy or the stream has ended here.
    pub async fn held(&self) {
        let mut changes = self.changes.subscribe();
        while self.holder().is_none() && self.finish().is_none() && self.is_carried() {
            let _ = changes.changed().await;
        }
    }

    pub fn holder(&self) -> Option<Arc<str>> {
        self.lock().holder.clone()
    }

    fn enter(&self, mode: Mode, from: impl Fn(Mode) -> bool) -> bool {
        let mut progress = self.lock();
        let allowed = progress.finish.is_none() && progress.mode != mode && from(progress.mode);
        if allowed {
            progress.mode = mode;
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

    /// Gives the time since which nobody reads or carries the stream here; `None` while somebody
    /// does.
    fn idle_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let progress = self.lock();
        match (progress.ended, progress.mode) {
            (Some(ended), _) => Some(ended),
            (None, Mode::Copy) => Some(self.accepted),
            (None, _) => None,
        }
    }

    /// Attaches a reader.
    pub fn reader(self: &Arc<Entry>, offset: u64) -> Reader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        self.wanted.fetch_max(offset, Ordering::Relaxed);
        Reader { entry: self.clone(), offset }
    }

    /// Counts the tokens that a caller has seen but this node lacks, and so would compute again.
    pub fn missing(&self) -> u64 {
        self.wanted.load(Ordering::Relaxed).saturating_sub(self.offset())
    }

    /// Tells how long no caller has read from the stream.
    pub fn unread_for(&self, now: Instant) -> Duration {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return Duration::ZERO;
        }
        let read = self.lock().read.unwrap_or(self.accepted);
        now.saturating_duration_since(read)
    }

    /// Gives what follows an offset at once, even if that is nothing.
    pub fn peek(&self, offset: u64) -> Part {
        let progress = self.lock();
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(progress.tokens.len());
        Part {
            tokens: progress.tokens[start..].to_vec(),
            finish: progress.finish.clone(),
            moved: progress.mode == Mode::Detached,
        }
    }

    /// Waits until something follows an offset.
    pub async fn read(&self, offset: u64) -> Part {
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let part = self.peek(offset);
            if !part.tokens.is_empty() || part.finish.is_some() || part.moved {
                return part;
            }
            // The sender lives in this entry, so waiting can't fail.
            let _ = changes.changed().await;
        }
    }

    /// Waits until the stream has ended; `None` when it goes on at another node.
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

    fn wake(&self) {
        self.changes.send_modify(|count| *count = count.wrapping_add(1));
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
