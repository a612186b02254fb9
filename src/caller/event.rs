//! Encodes a stream as server-sent events or as one chat completion.

use std::fmt::Write as _;
use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;

use crate::endpoint::sse::Usage;
use crate::error::Kind;
use crate::stream::Finish;
use crate::stream::journal::{Part, Reader};

/// Event that ends every complete stream.
const DONE: &str = "data: [DONE]\n\n";

/// Encodes the events of one stream.
#[derive(Debug)]
pub struct Encoder {
    id: Arc<str>,
    /// Text of a chunk event between its id and its content.
    chunk_prefix: String,
    model: Arc<str>,
}

impl Encoder {
    pub fn new(id: Arc<str>, model: Arc<str>) -> Encoder {
        let chunk_prefix = format!(
            "\ndata: {{\"id\":{},\"object\":\"chat.completion.chunk\",\"model\":{},\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":",
            quote(&id),
            quote(&model)
        );
        Encoder { id, chunk_prefix, model }
    }

    /// Encodes the tokens of a part, the first of which has the number `offset`, and the end of the
    /// stream if the part contains it.
    pub fn encode(&self, offset: u64, part: &Part) -> Bytes {
        let mut text = String::with_capacity(part.tokens.len() * (self.chunk_prefix.len() + 96));
        let mut next = offset;
        for token in &part.tokens {
            self.push_id(&mut text, next);
            text.push_str(&self.chunk_prefix);
            push_quoted(&mut text, token);
            text.push_str("},\"finish_reason\":null}]}\n\n");
            next += 1;
        }
        match &part.finish {
            Some(Finish::Complete { reason, usage }) => self.finish(&mut text, next, reason, usage),
            Some(Finish::Failed { kind, detail }) => {
                text.push_str("event: error\ndata: ");
                text.push_str(&error_json(*kind, detail).to_string());
                text.push_str("\n\n");
            }
            None => {}
        }
        Bytes::from(text)
    }

    /// Encodes an event without data, which carries only the id to resume with.
    pub fn encode_position(&self, offset: u64) -> Bytes {
        let last = offset.checked_sub(1).map_or("-1".to_owned(), |last| last.to_string());
        Bytes::from(format!("id: {}.{last}\n\n", self.id))
    }

    fn push_id(&self, text: &mut String, number: u64) {
        text.push_str("id: ");
        text.push_str(&self.id);
        // Writing to a `String` can't fail.
        let _ = write!(text, ".{number}");
    }

    fn finish(&self, text: &mut String, number: u64, reason: &str, usage: &Usage) {
        let chunk = json!({
            "id": &*self.id,
            "object": "chat.completion.chunk",
            "model": &*self.model,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": reason }],
            "usage": usage_json(usage),
        });
        self.push_id(text, number);
        text.push_str("\ndata: ");
        text.push_str(&chunk.to_string());
        text.push_str("\n\n");
        text.push_str(DONE);
    }
}

/// Builds the response for a caller that did not ask for a stream.
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

/// Builds a response body from `first` and the parts that the reader yields, up to the end of the
/// stream. If the stream continues at another node, the body ends with an error, so that the
/// caller's connection breaks and the caller resumes.
pub fn body(reader: Reader, encoder: Encoder, first: Bytes, is_finished: bool) -> axum::body::Body {
    let start = (reader, encoder, Some(first), is_finished);
    let stream =
        futures_util::stream::unfold(start, async |(mut reader, encoder, first, is_finished)| {
            if let Some(first) = first {
                return Some((Ok(first), (reader, encoder, None, is_finished)));
            }
            if is_finished {
                return None;
            }
            let offset = reader.offset();
            let part = reader.next().await;
            if part.moved && part.tokens.is_empty() && part.finish.is_none() {
                // An error discards unwritten data, which may include the response head and the
                // event with the id to resume with. Yielding once lets the server write them.
                tokio::task::yield_now().await;
                let moved = std::io::Error::other("the stream continues at another entry VM");
                return Some((Err(moved), (reader, encoder, None, true)));
            }
            let bytes = encoder.encode(offset, &part);
            Some((Ok(bytes), (reader, encoder, None, part.finish.is_some())))
        });
    axum::body::Body::from_stream(stream)
}

fn error_json(kind: Kind, detail: &str) -> serde_json::Value {
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

/// Appends a text as a JSON string. Runs once per token, and most tokens need no escaping.
fn push_quoted(target: &mut String, text: &str) {
    if text.bytes().any(|byte| byte < b' ' || byte == b'"' || byte == b'\\') {
        target.push_str(&serde_json::Value::from(text).to_string());
    } else {
        target.push('"');
        target.push_str(text);
        target.push('"');
    }
}
