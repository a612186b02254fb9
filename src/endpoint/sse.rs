//! Parsing of the server-sent events that a model engine sends.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// Largest number of bytes buffered while the end of an event has not arrived.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into events and returns the data of each.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: Vec<u8>,
    start: usize,
}

impl Splitter {
    /// Appends received bytes.
    ///
    /// # Errors
    ///
    /// Fails if more than 1 MiB would be buffered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err("the event is too large");
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the data of the next complete event that has any; `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<&[u8]> {
        loop {
            let rest = &self.buffer[self.start..];
            let length = find_event_end(rest)?;
            let event = self.start..self.start + length;
            self.start += length + 2;
            if self.buffer[event.clone()].starts_with(b"data: ") {
                return Some(&self.buffer[event.start + 6..event.end]);
            }
        }
    }
}

/// Returns the position of the line break before the empty line that ends an event. Uses `memchr`
/// to skip whole lines, since all relayed bytes pass through here.
fn find_event_end(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    loop {
        let newline = from + memchr::memchr(b'\n', &bytes[from..])?;
        if *bytes.get(newline + 1)? == b'\n' {
            return Some(newline);
        }
        from = newline + 1;
    }
}

/// The fields of a chat completion chunk that are needed to relay it.
#[derive(Debug, PartialEq, Eq)]
pub struct Chunk<'a> {
    pub id: Cow<'a, str>,
    pub index: Option<u64>,
    pub content: Option<Cow<'a, str>>,
    pub finish: Option<Cow<'a, str>>,
    pub usage: Option<Usage>,
}

/// Token counts that the engine reports in the last chunk.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct Usage {
    pub prompt_tokens: u64,
    pub cached_tokens: u64,
    pub completion_tokens: u64,
    pub recomputed_tokens: u64,
}

/// Parses one chunk; strings without escapes borrow from the event.
pub fn parse(event: &[u8]) -> Result<Chunk<'_>, serde_json::Error> {
    serde_json::from_slice(event)
}

// There is a chunk per token, so this visitor skips unknown fields without allocating values.
impl<'de> Deserialize<'de> for Chunk<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Chunk<'de>, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = Chunk<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chat completion chunk")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Chunk<'de>, A::Error> {
        let mut chunk =
            Chunk { id: Cow::Borrowed(""), index: None, content: None, finish: None, usage: None };
        while let Some(Text(key)) = map.next_key::<Text<'de>>()? {
            match &*key {
                "id" => chunk.id = map.next_value::<Text<'de>>()?.0,
                "index" => chunk.index = map.next_value()?,
                "usage" => chunk.usage = map.next_value()?,
                "choices" => {
                    if let Choices(Some(choice)) = map.next_value()? {
                        chunk.content = choice.content;
                        chunk.finish = choice.finish;
                    }
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(chunk)
    }
}

struct Text<'a>(Cow<'a, str>);

impl<'de> Deserialize<'de> for Text<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Text<'de>, D::Error> {
        deserializer.deserialize_str(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = Text<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<Text<'de>, E> {
        Ok(Text(Cow::Owned(text.to_owned())))
    }
}

#[derive(Default)]
struct Choice<'a> {
    content: Option<Cow<'a, str>>,
    finish: Option<Cow<'a, str>>,
}

struct Choices<'a>(Option<Choice<'a>>);

impl<'de> Deserialize<'de> for Choices<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Choices<'de>, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = Choices<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an array of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Choices<'de>, A::Error> {
        let first = seq.next_element::<Choice<'de>>()?;
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Choices(first))
    }
}

impl<'de> Deserialize<'de> for Choice<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Choice<'de>, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = Choice<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Choice<'de>, A::Error> {
        let mut choice = Choice::default();
        while let Some(Text(key)) = map.next_key::<Text<'de>>()? {
            match &*key {
                "delta" => choice.content = map.next_value::<Delta<'de>>()?.0,
                "finish_reason" => {
                    choice.finish = map.next_value::<Option<Text<'de>>>()?.map(|text| text.0);
                }
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(choice)
    }
}

struct Delta<'a>(Option<Cow<'a, str>>);

impl<'de> Deserialize<'de> for Delta<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Delta<'de>, D::Error> {
        deserializer.deserialize_map(DeltaVisitor)
    }
}

struct DeltaVisitor;

impl<'de> Visitor<'de> for DeltaVisitor {
    type Value = Delta<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a delta")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Delta<'de>, A::Error> {
        let mut content = None;
        while let Some(Text(key)) = map.next_key::<Text<'de>>()? {
            if &*key == "content" {
                content = map.next_value::<Option<Text<'de>>>()?.map(|text| text.0);
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(Delta(content))
    }
}
