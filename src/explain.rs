//! Story of one request from the log files of all processes.
//!
//! The processes' clocks may differ and lines may be torn or dropped: a story says so where it
//! matters. The events are those of `docs/OPERATIONS.md`, section 8.

use std::collections::BTreeSet;
use std::sync::Arc;

use jiff::{SignedDuration, Timestamp};

use crate::gateway::refusal::Cause;
use crate::logging;

/// Time before a request's first line from which the states of its endpoints are told.
const BEFORE: SignedDuration = SignedDuration::from_secs(5);
/// Time after its last line.
const AFTER: SignedDuration = SignedDuration::from_millis(500);
/// Fields that name an endpoint.
const ENDPOINT_FIELDS: [&str; 4] = ["endpoint", "from", "to", "after"];
/// Events about an endpoint that bear on the requests there.
const ENDPOINT_EVENTS: [&str; 5] =
    ["endpoint_new", "endpoint_state", "endpoint_gone", "endpoint_paused", "endpoint_regained"];
/// Events about the process that bear on all its requests.
const PROCESS_EVENTS: [&str; 12] = [
    "start",
    "stopping",
    "stopped",
    "catalog",
    "rollout",
    "reverted",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "clock_corrected",
    "dropped",
];

/// Log of one process.
#[derive(Debug)]
pub struct Log {
    /// Name of the node, or of the file if no line tells it.
    pub process: Arc<str>,
    pub lines: Vec<Line>,
    /// Lines without a time: torn ones, and what other parts of the process printed.
    pub unreadable: usize,
}

#[derive(Debug, Clone)]
pub struct Line {
    /// Time as corrected by what the process learned about its clock later.
    pub time: Timestamp,
    /// Module, event and fields.
    pub text: Arc<str>,
}

/// One line of a story.
#[derive(Debug)]
pub struct Step {
    pub process: Arc<str>,
    pub line: Line,
    /// Set when the line is about an endpoint or the process, not about the request itself.
    pub is_context: bool,
}

#[derive(Debug)]
pub struct Story {
    pub steps: Vec<Step>,
    /// Says in a sentence how the request ended and why.
    pub outcome: String,
    /// Doubts about the story: lost lines, differing clocks.
    pub notes: Vec<String>,
}

impl Log {
    /// Reads the log of one process; bytes that are no text are kept as replacement characters.
    pub fn read(file: &str, bytes: &[u8]) -> Log {
        let text = String::from_utf8_lossy(bytes);
        let mut log = Log { process: file.into(), lines: Vec::new(), unreadable: 0 };
        let mut offset = SignedDuration::ZERO;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match read_line(line) {
                Some(line) => log.take(line, &mut offset),
                None => log.unreadable += 1,
            }
        }
        log
    }

    /// Takes a line; `offset` is what the process has learned so far about its clock.
    fn take(&mut self, mut line: Line, offset: &mut SignedDuration) {
        match logging::event(&line.text) {
            Some("start") => {
                *offset = SignedDuration::ZERO;
                if let Some(node) = field(&line.text, "node") {
                    self.process = node.into();
                }
            }
            Some("clock_corrected") => {
                let by = field(&line.text, "by_ms").and_then(|by| by.parse().ok());
                let by = SignedDuration::from_millis(by.unwrap_or(0));
                *offset = offset.saturating_add(by);
                let is_start = |line: &Line| logging::event(&line.text) == Some("start");
                let start = self.lines.iter().rposition(is_start).unwrap_or(0);
                self.lines[start..].iter_mut().for_each(|earlier| earlier.shift(by));
            }
            _ => {}
        }
        line.shift(*offset);
        self.lines.push(line);
    }
}

impl Line {
    fn shift(&mut self, by: SignedDuration) {
        self.time = self.time.saturating_add(by).unwrap_or(self.time);
    }
}

fn read_line(line: &str) -> Option<Line> {
    // Something else may stand before the line, such as the name of the process.
    let (_, rest) = line.split_once('[')?;
    let (head, text) = rest.split_once("] ")?;
    let time = head.split_whitespace().next()?.parse().ok()?;
    Some(Line { time, text: text.into() })
}

/// Gives the value of a field of a line.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = text;
    loop {
        let (_, found) = rest.split_once(name)?;
        let before = &rest[..rest.len() - found.len() - name.len()];
        if let Some(value) = found.strip_prefix('=')
            && (before.is_empty() || before.ends_with(' '))
        {
            return match value.strip_prefix('"') {
                Some(quoted) => quoted.split('"').next(),
                None => value.split_whitespace().next(),
            };
        }
        rest = found;
    }
}

/// Tells the story of a request; `None` when no log has a line about it.
pub fn tell(id: &str, logs: &[Log]) -> Option<Story> {
    let mut steps: Vec<Step> = Vec::new();
    let mut notes = Vec::new();
    for log in logs {
        let own: Vec<&Line> =
            log.lines.iter().filter(|line| field(&line.text, "id") == Some(id)).collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else { continue };
        let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| endpoints(&line.text)).collect();
        let from = first.time.saturating_sub(BEFORE).unwrap_or(first.time);
        let until = last.time.saturating_add(AFTER).unwrap_or(last.time);
        for line in log.lines.iter().filter(|line| (from..=until).contains(&line.time)) {
            let is_own = field(&line.text, "id") == Some(id);
            if is_own || is_context(&line.text, &endpoints) {
                let (process, line) = (log.process.clone(), line.clone());
                steps.push(Step { process, line, is_context: !is_own });
            }
        }
        if log.unreadable > 0 {
            notes.push(format!("{}: {} lines can't be read", log.process, log.unreadable));
        }
        let dropped = log.lines.iter().filter(|it| logging::event(&it.text) == Some("dropped"));
        if dropped.count() > 0 {
            notes.push(format!("{}: lines were dropped, so some may be missing", log.process));
        }
    }
    // Stable, so that lines of one process with the same time keep their order.
    steps.sort_by_key(|step| step.line.time);
    let ending = steps.iter().rfind(|step| !step.is_context)?;
    let outcome = outcome(ending, &steps, logs);
    Some(Story { steps, outcome, notes })
}

fn endpoints(text: &str) -> impl Iterator<Item = &str> {
    ENDPOINT_FIELDS.iter().filter_map(move |name| field(text, name))
}

fn is_context(text: &str, about: &BTreeSet<&str>) -> bool {
    let Some(event) = logging::event(text) else { return false };
    PROCESS_EVENTS.contains(&event)
        || (ENDPOINT_EVENTS.contains(&event) && endpoints(text).any(|it| about.contains(it)))
}

fn outcome(ending: &Step, steps: &[Step], logs: &[Log]) -> String {
    let text = &*ending.line.text;
    let value = |name: &str| field(text, name).unwrap_or("?");
    let own = |event: &str| {
        let lines = steps.iter().filter(|step| !step.is_context).map(|step| &*step.line.text);
        lines.rev().find(|text| logging::event(text) == Some(event))
    };
    match logging::event(text) {
        Some("refused") => {
            let reason = Cause::from_name(value("cause")).map_or("", Cause::reason);
            format!("refused with {} ({}): {reason}", value("status"), value("cause"))
        }
        Some("answered" | "endpoint_error") => {
            let number = |name: &str| field(text, name).and_then(|it| it.parse::<u64>().ok());
            // A stream is in time when its first event is.
            let took = number("first_ms").or(number("total_ms"));
            let status = field(text, "status").unwrap_or("200");
            match (took, number("target_ms")) {
                (Some(took), Some(target)) if took > target => {
                    format!(
                        "answered late with {status}: {took} ms, the target is {target} ms{}",
                        lateness(own("placed"))
                    )
                }
                _ => format!("answered with {status}"),
            }
        }
        Some("failed") => {
            let why = own("cut").or(own("stream_broken")).and_then(|text| field(text, "reason"));
            format!("broken off ({}): {}", value("outcome"), why.unwrap_or("see the lines above"))
        }
        _ => {
            let log = logs.iter().find(|log| log.process == ending.process);
            let stopped = log.and_then(|log| log.lines.last());
            let end = stopped.map_or("?".to_owned(), |line| line.time.to_string());
            format!(
                "no end is logged: the process ended or lost the line; its last line is of {end}"
            )
        }
    }
}

/// Says where the time of a late answer went.
fn lateness(placed: Option<&str>) -> String {
    let Some(placed) = placed else { return String::new() };
    let value = |name: &str| field(placed, name).unwrap_or("?");
    format!(
        "; it waited {} ms for an endpoint and {} was expected to take {} ms",
        value("waited_ms"),
        value("endpoint"),
        value("predicted_ms")
    )
}
