//! One answer: its tokens, and the body that sends them as server-sent events.

use std::fmt::Write;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use axum::body::{Body, Bytes};
use futures_util::stream;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;
use xxhash_rust::xxh3;

use super::Engine;

/// Tokens rendered into one write when more than one is due, about 8 KiB.
const BATCH: u64 = 64;

/// Gives the seed of all tokens that answer a prompt.
pub fn seed(prompt: &str) -> u64 {
    xxh3::xxh3_64(prompt.as_bytes())
}

/// Gives token `index` of the answer: one word with a leading space.
///
/// It depends on nothing else, so that a stream resumed on another engine continues identically.
pub fn token(seed: u64, index: u64) -> String {
    let mut text = String::with_capacity(8);
    push_token(&mut text, seed, index);
    text
}

fn push_token(text: &mut String, seed: u64, index: u64) {
    let mut hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    text.push(' ');
    for _ in 0..5 {
        text.push(char::from(b'a' + (hash % 26) as u8));
        hash /= 26;
    }
}

/// Counts the work of one request, in words.
#[derive(Debug, Default, Clone, Copy, Serialize)]
pub struct Usage {
    pub prompt_tokens: u64,
    /// Words of the prompt, and of the resumed answer, that the cache held.
    pub cached_tokens: u64,
    pub completion_tokens: u64,
    /// For a resumed stream, the words of prompt and answer computed a second time.
    pub recomputed_tokens: u64,
}

/// Holds what the scheduler and the body share about one stream.
#[derive(Debug)]
pub struct Stream {
    pub number: u64,
    pub id: Arc<str>,
    /// Id in the events; differs from `id` for a crossed answer.
    pub shown_id: Arc<str>,
    pub prompt: Arc<str>,
    pub seed: u64,
    pub offset: u64,
    pub end: u64,
    pub priority: i64,
    pub slow: f64,
    /// Body ends after this index without the last chunk.
    pub truncate_at: Option<u64>,
    pub truncate_abort: bool,
    /// Index up to which tokens may be sent.
    pub due: AtomicU64,
    pub sent: AtomicU64,
    pub cancelled: AtomicBool,
    pub cached: AtomicU64,
    pub recomputed: AtomicU64,
    pub wake: Notify,
}

impl Stream {
    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt.split_whitespace().count() as u64,
            cached_tokens: self.cached.load(Ordering::Relaxed),
            completion_tokens: self.sent.load(Ordering::Relaxed) - self.offset,
            recomputed_tokens: self.recomputed.load(Ordering::Relaxed),
        }
    }

    fn push_tokens(&self, text: &mut String, from: u64, to: u64) {
        for index in from..to {
            text.push_str("data: {\"id\":");
            text.push_str(&self.shown_id);
            // Writing to a string cannot fail.
            let _: Result<(), std::fmt::Error> = write!(
                text,
                ",\"index\":{index},\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\""
            );
            push_token(text, self.seed, index);
            text.push_str("\"},\"finish_reason\":null}]}\n\n");
        }
    }

    fn push_end(&self, text: &mut String, reason: &str) {
        let choice = json!({ "index": 0, "delta": { "content": "" }, "finish_reason": reason });
        let index = self.sent.load(Ordering::Relaxed);
        let usage = json!(self.usage());
        // Writing to a string cannot fail.
        let _: Result<(), std::fmt::Error> = write!(
            text,
            "data: {{\"id\":{},\"index\":{index},\"choices\":[{choice}],\"usage\":{usage}}}\n\n\
             data: [DONE]\n\n",
            self.shown_id
        );
    }
}

/// Frees the slot of the stream when the body ends or the client goes away.
#[derive(Debug)]
pub struct Lane {
    pub engine: Arc<Engine>,
    pub stream: Arc<Stream>,
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.engine.release(&self.stream);
    }
}

#[derive(Debug)]
enum Phase {
    Sending,
    /// The next poll fails, which closes the connection in the middle of the body.
    Abort,
    Ended,
}

/// Gives the body that sends tokens as they become due.
pub fn body(lane: Lane) -> Body {
    Body::from_stream(stream::unfold((lane, Phase::Sending), |(lane, phase)| async move {
        match phase {
            Phase::Sending => {
                let (text, phase) = next(&lane).await;
                Some((Ok(Bytes::from(text)), (lane, phase)))
            }
            Phase::Abort => {
                // Pending once lets the server flush the part that was sent before it closes.
                tokio::task::yield_now().await;
                Some((Err(io::Error::other("truncated as configured")), (lane, Phase::Ended)))
            }
            Phase::Ended => None,
        }
    }))
}

async fn next(lane: &Lane) -> (String, Phase) {
    let stream = &*lane.stream;
    loop {
        if stream.cancelled.load(Ordering::Acquire) {
            let mut text = String::new();
            stream.push_end(&mut text, "cancelled");
            return (text, Phase::Ended);
        }
        let from = stream.sent.load(Ordering::Relaxed);
        let due = stream.due.load(Ordering::Acquire).min(stream.end);
        if !lane.engine.frozen() && (from < due || from == stream.end) {
            return render(lane, from, due.min(from + BATCH));
        }
        stream.wake.notified().await;
    }
}

fn render(lane: &Lane, from: u64, to: u64) -> (String, Phase) {
    let stream = &*lane.stream;
    let cut = stream.truncate_at.map_or(u64::MAX, |at| at.max(from));
    let to = to.max(from).min(cut);
    let mut text = String::with_capacity((to - from) as usize * 128 + 256);
    stream.push_tokens(&mut text, from, to);
    stream.sent.store(to, Ordering::Relaxed);
    if to == cut {
        let phase = if stream.truncate_abort { Phase::Abort } else { Phase::Ended };
        return (text, phase);
    }
    if to < stream.end {
        return (text, Phase::Sending);
    }
    stream.push_end(&mut text, "stop");
    lane.engine.completed();
    (text, Phase::Ended)
}

/// Quotes an id as JSON once, so that each event can copy it.
pub fn quoted(id: &str) -> Arc<str> {
    serde_json::Value::from(id).to_string().into()
}
