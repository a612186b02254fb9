//! Trace records, a seeded generator, and replay of decisions with checks of the outcome.
//!
//! Records are JSON lines with the fields of public model-serving traces, so that such traces can
//! be replayed too. See `docs/design.md`, section 5.

pub mod engine;
pub mod generate;
pub mod replay;
pub mod report;

use std::fmt;
use std::io::{self, BufRead, Write};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Prompt tokens per block in generated traces, the size of a [`crate::routing::BLOCK_BYTES`] block.
pub const BLOCK_TOKENS: u32 = 128;

/// Longest line of a trace, in bytes; a longer one is a mistake and must not fill the memory.
const MAX_LINE: u64 = 1 << 20;

/// Records one request. Traces without the last four fields can be read as well.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Milliseconds since the start of the trace.
    pub timestamp: u64,
    /// Prompt tokens.
    pub input_length: u32,
    /// Response tokens.
    pub output_length: u32,
    /// Hash chain of the prompt's blocks.
    pub hash_ids: Vec<u64>,
    #[serde(default = "unnamed")]
    pub workspace: Arc<str>,
    #[serde(default = "unnamed")]
    pub service: Arc<str>,
    #[serde(default = "chat_route")]
    pub route: Arc<str>,
    #[serde(default = "usual_priority")]
    pub priority: u8,
}

fn unnamed() -> Arc<str> {
    "default".into()
}

fn chat_route() -> Arc<str> {
    generate::CHAT.into()
}

fn usual_priority() -> u8 {
    5
}

impl Record {
    /// Tells whether the request goes to a model; plain requests have no tokens.
    pub fn is_model(&self) -> bool {
        self.input_length > 0
    }

    /// Tells whether the request is a lookup that may run more than once.
    pub fn is_lookup(&self) -> bool {
        self.route.starts_with("GET ")
    }
}

/// Describes a line that is no record.
#[derive(Debug)]
pub struct Mistake {
    pub line: usize,
    pub message: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}", self.line, self.message)
    }
}

impl std::error::Error for Mistake {}

/// Reads records line by line; empty lines are skipped.
#[derive(Debug)]
pub struct Reader<R> {
    input: R,
    line: usize,
    last: u64,
}

impl<R: BufRead> Reader<R> {
    pub fn new(input: R) -> Reader<R> {
        Reader { input, line: 0, last: 0 }
    }

    fn next_record(&mut self) -> Result<Option<Record>, String> {
        loop {
            let mut line = Vec::new();
            let mut limited = io::Read::take(&mut self.input, MAX_LINE);
            let length = limited.read_until(b'\n', &mut line).map_err(|error| error.to_string())?;
            if length == 0 {
                return Ok(None);
            }
            self.line += 1;
            if length as u64 == MAX_LINE && !line.ends_with(b"\n") {
                self.input.skip_until(b'\n').map_err(|error| error.to_string())?;
                return Err(format!("the line is longer than {MAX_LINE} bytes"));
            }
            if line.trim_ascii().is_empty() {
                continue;
            }
            let record: Record = serde_json::from_slice(&line).map_err(|error| describe(&error))?;
            if record.timestamp < self.last {
                return Err(format!("timestamp {} is before the previous one", record.timestamp));
            }
            self.last = record.timestamp;
            return Ok(Some(record));
        }
    }
}

/// Leaves out the line that serde counts, since it only ever sees one.
fn describe(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let message = text.split(" at line ").next().unwrap_or(&text);
    format!("column {}: {message}", error.column())
}

impl<R: BufRead> Iterator for Reader<R> {
    type Item = Result<Record, Mistake>;

    fn next(&mut self) -> Option<Result<Record, Mistake>> {
        let read = self.next_record();
        read.map_err(|message| Mistake { line: self.line, message }).transpose()
    }
}

/// Writes one record as a line.
pub fn write(output: &mut impl Write, record: &Record) -> io::Result<()> {
    serde_json::to_writer(&mut *output, record)?;
    output.write_all(b"\n")
}
