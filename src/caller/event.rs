//! Writes a stream as server-sent events or as one chat completion.

use std::fmt::Write as _;
use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;

use crate::endpoint::sse::Usage;
use crate::error::Kind;
use crate::stream::Finish;
use crate::stream::journal::{Part, Reader};

/// Ends every complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Encodes the events of one stream.
#[derive(Debug)]
pub struct Encoder {
    id: Arc<str>,
    /// Text of a chunk event before and after its content.
    head: String,
    model: Arc<str>,
}

impl Encoder {
    pub fn new(id: Arc<str>, model: Arc<str>) -> Encoder {
        let head = format!(
            "\ndata: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"model\":{},\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":",
            quote(&id),
            quote(&model)
        );
        Encoder { id, head, model }
    }

    /// Encodes what follows `offset`; a finish that the caller has already seen is not repeated.
    pub fn encode(&self, offset: u64, part: &Part) -> Bytes {
        let mut text = String::with_capacity(part.tokens.len() * (self.head.len() + 96));
        let mut next = offset;
        for token in &part.tokens {
            self.open(&mut text, next);
            text.push_str(&self.head);
            push_quoted(&mut text, token);
            text.push_str("},\"finish_reason\":null}]}\n\n");
            next += 1;
        }
        match &part.finish {
            Some(Finish::Complete { reason, usage }) => self.close(&mut text, next, reason, usage),
            Some(Finish::Failed { kind, detail }) => {
                text.push_str("event: error\ndata: ");
                text.push_str(&failure(*kind, detail).to_string());
                text.push_str("\n\n");
            }
            None => {}
        }
        Bytes::from(text)
    }

    /// Encodes an event without data, which only tells the caller the id to resume with.
    pub fn position(&self, offset: u64) -> Bytes {
        let last = offset.checked_sub(1).map_or("-1".to_owned(), |last| last.to_string());
        Bytes::from(format!("id: {}.{last}\n\n", self.id))
    }

    fn open(&self, text: &mut String, number: u64) {
        text.push_str("id: ");
        text.push_str(&self.id);
        // Writing to a string can't fail.
        let _ = write!(text, ".{number}");
    }

    fn close(&self, text: &mut String, number: u64, reason: &str, usage: &Usage) {
        let chunk = json!({
            "id": &*self.id,
            "object": "chat.completion.chunk",
            "model": &*self.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": reason }],
            "usage": usage_json(usage),
        });
        self.open(text, number);
        text.push_str("\ndata: ");
        text.push_str(&chunk.to_string());
        text.push_str("\n\n");
        text.push_str(DONE);
    }
}

/// Builds the answer for a caller that did not ask for a stream.
pub fn completion(
    id: &str,
    model: &str,
    content: &str,
    reason: &str,
    usage: &Usage,
) -> serde_json::Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": content },
            "finish_reason": reason,
        }],
        "usage": usage_json(usage),
    })
}

/// Gives the reader's steps as body chunks and ends after the finish. A stream that goes on at
/// another node ends with an error, so that the caller's connection breaks and it resumes.
pub fn body(reader: Reader, encoder: Encoder, first: Bytes, ended: bool) -> axum::body::Body {
    let start = (reader, encoder, Some(first), ended);
    let stream =
        futures_util::stream::unfold(start, async |(mut reader, encoder, first, ended)| {
            if let Some(first) = first {
                return Some((Ok(first), (reader, encoder, None, ended)));
            }
            if ended {
                return None;
            }
            let offset = reader.offset();
            let part = reader.next().await;
            if part.moved && part.tokens.is_empty() && part.finish.is_none() {
                // An error discards what is not yet written, and the head of the answer with the id
                // to resume with may be part of that. Pending once lets the server write it.
                tokio::task::yield_now().await;
                let moved = std::io::Error::other("the stream goes on at another entry VM");
                return Some((Err(moved), (reader, encoder, None, true)));
            }
            let bytes = encoder.encode(offset, &part);
            Some((Ok(bytes), (reader, encoder, None, part.finish.is_some())))
        });
    axum::body::Body::from_stream(stream)
}

fn failure(kind: Kind, detail: &str) -> serde_json::Value {
    let answer = kind.entry();
    json!({ "error": { "kind": answer.name, "message": detail, "run": answer.run.as_str() } })
}

fn usage_json(usage: &Usage) -> serde_json::Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

fn quote(text: &str) -> String {
    let mut quoted = String::with_capacity(text.len() + 2);
    push_quoted(&mut quoted, text);
    quoted
}

/// Appends a text as JSON. Most tokens need no escapes, and this runs once per token.
fn push_quoted(target: &mut String, text: &str) {
    if text.bytes().any(|byte| byte < b' ' || byte == b'"' || byte == b'\\') {
        target.push_str(&serde_json::Value::from(text).to_string());
    } else {
        target.push('"');
        target.push_str(text);
        target.push('"');
    }
}
