//! Reconstructs the history of one request from the log files of all processes.
//!
//! The processes' clocks may differ, and lines may be truncated or dropped; the notes of a history
//! report truncated and dropped lines. `docs/OPERATIONS.md`, section 8, lists the events.

use std::collections::BTreeSet;
use std::sync::Arc;

use jiff::{SignedDuration, Timestamp};

use crate::gateway::refusal::Cause;
use crate::logging;

/// Time before a request's first line from which context lines are included.
const CONTEXT_BEFORE: SignedDuration = SignedDuration::from_secs(5);
/// Time after a request's last line until which context lines are included.
const CONTEXT_AFTER: SignedDuration = SignedDuration::from_millis(500);
/// Fields whose value is an endpoint.
const ENDPOINT_FIELDS: [&str; 4] = ["endpoint", "from", "to", "after"];
/// Events of an endpoint that may affect its requests.
const ENDPOINT_EVENTS: [&str; 7] = [
    "endpoint_new",
    "endpoint_state",
    "endpoint_gone",
    "endpoint_paused",
    "endpoint_regained",
    "endpoint_slow",
    "endpoint_recovered",
];
/// Events of a process that may affect all its requests.
const PROCESS_EVENTS: [&str; 14] = [
    "start",
    "stopping",
    "stopped",
    "catalog",
    "rollout",
    "evacuation_begun",
    "evacuation_ended",
    "reverted",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "clock_corrected",
    "dropped",
];

/// Contains the parsed log of one process.
#[derive(Debug)]
pub struct Log {
    /// Node name, or the file name if no line contains the node name.
    pub process: Arc<str>,
    pub lines: Vec<Line>,
    /// Number of lines without a timestamp: truncated lines, and other output of the process.
    pub unreadable: usize,
}

#[derive(Debug, Clone)]
pub struct Line {
    /// Time of the line, corrected by the clock corrections that the process logged.
    pub time: Timestamp,
    /// Text after the log header: prefix, event and fields.
    pub text: Arc<str>,
}

/// Represents one log line in a history.
#[derive(Debug)]
pub struct Step {
    pub process: Arc<str>,
    pub line: Line,
    /// Whether the line concerns an endpoint or the process instead of the request itself.
    pub is_context: bool,
}

/// Contains the log lines of a request and its context in time order, and its outcome.
#[derive(Debug)]
pub struct History {
    pub steps: Vec<Step>,
    /// Sentence that describes how the request ended and why.
    pub outcome: String,
    /// Reasons why the history may be incomplete: unreadable or dropped lines.
    pub notes: Vec<String>,
}

impl Log {
    /// Parses the log of one process; replaces invalid UTF-8 with replacement characters.
    pub fn read(file: &str, bytes: &[u8]) -> Log {
        let text = String::from_utf8_lossy(bytes);
        let mut log = Log { process: file.into(), lines: Vec::new(), unreadable: 0 };
        let mut offset = SignedDuration::ZERO;
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match parse_line(line) {
                Some(line) => log.push_line(line, &mut offset),
                None => log.unreadable += 1,
            }
        }
        log
    }

    /// Appends a line; `offset` is the sum of the clock corrections since the start of the process.
    /// A correction also applies to the earlier lines since that start.
    fn push_line(&mut self, mut line: Line, offset: &mut SignedDuration) {
        match logging::event_name(&line.text) {
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
                let is_start = |line: &Line| logging::event_name(&line.text) == Some("start");
                let start = self.lines.iter().rposition(is_start).unwrap_or(0);
                self.lines[start..].iter_mut().for_each(|earlier| earlier.adjust_time(by));
            }
            _ => {}
        }
        line.adjust_time(*offset);
        self.lines.push(line);
    }
}

impl Line {
    fn adjust_time(&mut self, by: SignedDuration) {
        self.time = self.time.saturating_add(by).unwrap_or(self.time);
    }
}

fn parse_line(line: &str) -> Option<Line> {
    // Other text may precede the line, such as the name of the process.
    let (_, rest) = line.split_once('[')?;
    let (head, text) = rest.split_once("] ")?;
    let time = head.split_whitespace().next()?.parse().ok()?;
    Some(Line { time, text: text.into() })
}

/// Returns the value of the first field called `name` in a line, without quotes.
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

/// Returns the history of a request, or `None` if no log has a line with its id.
pub fn reconstruct(id: &str, logs: &[Log]) -> Option<History> {
    let mut steps: Vec<Step> = Vec::new();
    let mut notes = Vec::new();
    for log in logs {
        let lines: Vec<&Line> =
            log.lines.iter().filter(|line| field(&line.text, "id") == Some(id)).collect();
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else { continue };
        let endpoints: BTreeSet<&str> =
            lines.iter().flat_map(|line| endpoint_names(&line.text)).collect();
        let from = first.time.saturating_sub(CONTEXT_BEFORE).unwrap_or(first.time);
        let until = last.time.saturating_add(CONTEXT_AFTER).unwrap_or(last.time);
        for line in log.lines.iter().filter(|line| (from..=until).contains(&line.time)) {
            let is_request_line = field(&line.text, "id") == Some(id);
            if is_request_line || is_context(&line.text, &endpoints) {
                let (process, line) = (log.process.clone(), line.clone());
                steps.push(Step { process, line, is_context: !is_request_line });
            }
        }
        if log.unreadable > 0 {
            notes.push(format!("{}: {} lines can't be read", log.process, log.unreadable));
        }
        let dropped =
            log.lines.iter().filter(|it| logging::event_name(&it.text) == Some("dropped"));
        if dropped.count() > 0 {
            notes.push(format!("{}: lines were dropped, so some may be missing", log.process));
        }
    }
    // The sort is stable, so lines of one process with equal times keep their order.
    steps.sort_by_key(|step| step.line.time);
    let last_step = steps.iter().rfind(|step| !step.is_context)?;
    let outcome = describe_outcome(last_step, &steps, logs);
    Some(History { steps, outcome, notes })
}

fn endpoint_names(text: &str) -> impl Iterator<Item = &str> {
    ENDPOINT_FIELDS.iter().filter_map(move |name| field(text, name))
}

fn is_context(text: &str, endpoints: &BTreeSet<&str>) -> bool {
    let Some(event) = logging::event_name(text) else { return false };
    PROCESS_EVENTS.contains(&event)
        || (ENDPOINT_EVENTS.contains(&event)
            && endpoint_names(text).any(|it| endpoints.contains(it)))
}

fn describe_outcome(last_step: &Step, steps: &[Step], logs: &[Log]) -> String {
    let text = &*last_step.line.text;
    let value = |name: &str| field(text, name).unwrap_or("?");
    let last_with_event = |event: &str| {
        let lines = steps.iter().filter(|step| !step.is_context).map(|step| &*step.line.text);
        lines.rev().find(|text| logging::event_name(text) == Some(event))
    };
    match logging::event_name(text) {
        Some("refused") => {
            let reason = Cause::from_name(value("cause")).map_or("", Cause::reason);
            format!("refused with {} ({}): {reason}", value("status"), value("cause"))
        }
        Some("answered" | "endpoint_error") => {
            let number = |name: &str| field(text, name).and_then(|it| it.parse::<u64>().ok());
            // The target of a stream applies to its first event.
            let took = number("first_ms").or(number("total_ms"));
            let status = field(text, "status").unwrap_or("200");
            match (took, number("target_ms")) {
                (Some(took), Some(target)) if took > target => {
                    format!(
                        "answered late with {status}: {took} ms, the target is {target} ms{}",
                        describe_delay(last_with_event("placed"))
                    )
                }
                _ => format!("answered with {status}"),
            }
        }
        Some("failed") => {
            let why = last_with_event("cut")
                .or(last_with_event("stream_broken"))
                .and_then(|text| field(text, "reason"));
            format!("broken off ({}): {}", value("outcome"), why.unwrap_or("see the lines above"))
        }
        _ => {
            let log = logs.iter().find(|log| log.process == last_step.process);
            let last_line = log.and_then(|log| log.lines.last());
            let end = last_line.map_or("?".to_owned(), |line| line.time.to_string());
            format!(
                "no end is logged: the process ended or lost the line; its last line is of {end}"
            )
        }
    }
}

/// Describes how long a late request waited for an endpoint and what latency was predicted.
fn describe_delay(placed: Option<&str>) -> String {
    let Some(placed) = placed else { return String::new() };
    let value = |name: &str| field(placed, name).unwrap_or("?");
    format!(
        "; it waited {} ms for an endpoint and {} was expected to take {} ms",
        value("waited_ms"),
        value("endpoint"),
        value("predicted_ms")
    )
}
