//! Writes batches of events to the object store.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::platform;
use crate::timeline::{Buffer, Event};

/// Starts the key of each batch object.
pub const OBJECT_PREFIX: &str = "timeline/";
/// Most events per object; an object stays below about 512 KiB.
pub const BATCH_EVENTS: usize = 512;

/// Longest pause between two attempts while the object store is down.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// Holds the batch that is being written, so that a retry writes the same bytes to the same key.
#[derive(Debug, Default)]
pub struct Flusher {
    pending: Option<(String, Bytes)>,
}

impl Flusher {
    /// Writes all batches that are due; gives the number of objects written.
    ///
    /// # Errors
    ///
    /// Fails as the platform call does; the batch is kept for the next attempt, and events beyond
    /// it stay in the ring until newer ones replace them.
    pub async fn step(
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

/// Writes batches every `period` until `stop` completes, and once more then.
pub async fn flush(
    buffer: Arc<Buffer>,
    client: platform::Client,
    period: Duration,
    stop: impl Future<Output = ()>,
) {
    let mut stop = pin!(stop);
    let mut flusher = Flusher::default();
    let mut pause = period;
    loop {
        let stopping = tokio::time::timeout(pause, &mut stop).await.is_ok();
        match flusher.step(&buffer, &client).await {
            Ok(_) => pause = period,
            Err(failure) => {
                pause = (pause * 2).min(LONGEST_PAUSE.max(period));
                log::warn!("timeline: batch not written, next attempt in {pause:?}: {failure}");
            }
        }
        if stopping {
            return;
        }
    }
}

fn next_batch(buffer: &Buffer) -> Option<(String, Bytes)> {
    let events = buffer.take(BATCH_EVENTS);
    let first = events.first()?;
    Some((object_key(first), encode(&events)))
}

fn encode(events: &[Event]) -> Bytes {
    let lines = events.iter().filter_map(|event| serde_json::to_string(event).ok());
    let text: String = lines.flat_map(|line| [line, "\n".to_owned()]).collect();
    text.into()
}

/// Gives a key that sorts by time within a node; the time of the first event comes first.
fn object_key(first: &Event) -> String {
    let allowed = |letter: char| letter.is_ascii_alphanumeric() || matches!(letter, '-' | '.');
    let node: String =
        first.node.chars().map(|letter| if allowed(letter) { letter } else { '_' }).collect();
    format!("{OBJECT_PREFIX}{node}/{:013}-{:010}", first.stamp.wall_ms, first.sequence)
}

/// Keeps the keys of batches that can hold events from a wall time on.
///
/// A batch is named after its first event, so the last batch before that time is kept as well.
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
