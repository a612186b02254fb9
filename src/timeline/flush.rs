//! Writes batches of events to the object store.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::platform;
use crate::timeline::{Buffer, Event};

/// Prefix of the key of each batch object.
pub const OBJECT_PREFIX: &str = "timeline/";
/// Maximum number of events per object; keeps an object below about 512 KiB.
pub const MAX_BATCH_EVENTS: usize = 512;

/// Maximum delay between write attempts while the object store is unavailable.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

/// Writes batches and keeps a failed batch, so that a retry writes the same bytes to the same key.
#[derive(Debug, Default)]
pub struct Flusher {
    pending: Option<(String, Bytes)>,
}

impl Flusher {
    /// Writes all events that are not yet in a batch; returns the number of objects written.
    ///
    /// # Errors
    ///
    /// Returns the failure of the platform call. The failed batch is kept for the next attempt;
    /// later events stay in the buffer until newer events evict them.
    pub async fn write_pending(
        &mut self,
        buffer: &Buffer,
        client: &platform::Client,
    ) -> Result<usize, platform::Failure> {
        let mut written = 0;
        loop {
            let pending = self.pending.take().or_else(|| next_batch(buffer));
            let Some((key, body)) = pending else { return Ok(written) };
            let result = client.put_object(&key, body.clone()).await;
            if let Err(failure) = result {
                self.pending = Some((key, body));
                return Err(failure);
            }
            written += 1;
        }
    }
}

/// Writes batches every `period` until `stop` completes, then once more. After a failure the delay
/// doubles, up to `MAX_RETRY_DELAY`.
pub async fn flush_periodically(
    buffer: Arc<Buffer>,
    client: platform::Client,
    period: Duration,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    let mut flusher = Flusher::default();
    let mut delay = period;
    loop {
        let stopping = tokio::time::timeout(delay, &mut stop).await.is_ok();
        match flusher.write_pending(&buffer, &client).await {
            Ok(_) => delay = period,
            Err(failure) => {
                delay = (delay * 2).min(MAX_RETRY_DELAY.max(period));
                log::warn!("timeline: batch not written, next attempt in {delay:?}: {failure}");
            }
        }
        if stopping {
            return;
        }
    }
}

fn next_batch(buffer: &Buffer) -> Option<(String, Bytes)> {
    let events = buffer.take_batch(MAX_BATCH_EVENTS);
    let first = events.first()?;
    Some((object_key(first), encode(&events)))
}

fn encode(events: &[Event]) -> Bytes {
    let lines = events.iter().filter_map(|event| serde_json::to_string(event).ok());
    let text: String = lines.flat_map(|line| [line, "\n".to_owned()]).collect();
    text.into()
}

/// Returns a key that sorts by time within a node: the wall time of the first event, then its
/// sequence number.
fn object_key(first: &Event) -> String {
    let allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '.');
    let node: String = first
        .node
        .chars()
        .map(|character| if allowed(character) { character } else { '_' })
        .collect();
    format!("{OBJECT_PREFIX}{node}/{:013}-{:010}", first.stamp.wall_ms, first.sequence)
}

/// Returns the keys of the batches that may contain events from `wall_ms` on.
///
/// A key contains the time of the batch's first event only, so the last batch of each node that
/// starts before `wall_ms` is included.
pub fn keys_since(keys: Vec<String>, wall_ms: u64) -> Vec<String> {
    let mut kept = Vec::new();
    let mut earlier: BTreeMap<String, (u64, String)> = BTreeMap::new();
    for key in keys {
        let Some((node, time)) = parse_key(&key) else { continue };
        if time >= wall_ms {
            kept.push(key);
        } else if earlier.get(node).is_none_or(|(latest, _)| time >= *latest) {
            earlier.insert(node.to_owned(), (time, key));
        }
    }
    kept.extend(earlier.into_values().map(|(_, key)| key));
    kept.sort();
    kept
}

fn parse_key(key: &str) -> Option<(&str, u64)> {
    let (node, sequence) = key.strip_prefix(OBJECT_PREFIX)?.split_once('/')?;
    Some((node, sequence.split('-').next()?.parse().ok()?))
}
