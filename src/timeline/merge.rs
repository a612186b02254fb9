//! Merges the events of many nodes into one ordered story.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::timeline::{Event, Stamp};

/// Marks where events of a node are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    pub node: Arc<str>,
    /// Stamp of the last event before the gap.
    pub after: Stamp,
    /// Stamp of the first event after the gap.
    pub before: Stamp,
    /// Number of missing events; `None` when a run ended without an orderly stop, since nobody
    /// knows how many events it took along.
    pub missing: Option<u64>,
}

/// Holds one line of the story.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Event(Event),
    Gap(Gap),
}

impl Entry {
    /// Gives the place in the story; a gap comes right before the event that reveals it.
    fn place(&self) -> (Stamp, Arc<str>, bool, u64) {
        match self {
            Entry::Event(event) => (event.stamp, event.node.clone(), true, event.sequence),
            Entry::Gap(gap) => (gap.before, gap.node.clone(), false, 0),
        }
    }
}

/// Orders events by stamp, drops duplicates, and marks gaps.
///
/// Events may come from batches and from live rings in any order. Events missing before the first
/// known event of a node are not marked, since the reader chose where the story starts.
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Entry> {
    let mut runs: BTreeMap<(Arc<str>, u64, u64), Event> = BTreeMap::new();
    for event in events {
        runs.insert((event.node.clone(), event.boot, event.sequence), event);
    }
    let mut entries = Vec::with_capacity(runs.len());
    let mut previous: Option<&Event> = None;
    for event in runs.values() {
        let same_node = previous.filter(|previous| previous.node == event.node);
        entries.extend(same_node.and_then(|previous| gap(previous, event)).map(Entry::Gap));
        previous = Some(event);
    }
    entries.extend(runs.values().cloned().map(Entry::Event));
    entries.sort_by_cached_key(Entry::place);
    entries
}

fn gap(previous: &Event, event: &Event) -> Option<Gap> {
    let missing = if previous.boot != event.boot {
        match (previous.is_closing(), event.sequence) {
            (true, 0) => return None,
            (true, missing) => Some(missing),
            (false, _) => None,
        }
    } else {
        match event.sequence - previous.sequence - 1 {
            0 => return None,
            missing => Some(missing),
        }
    };
    let node = event.node.clone();
    Some(Gap { node, after: previous.stamp, before: event.stamp, missing })
}

/// Reads the events of a batch; gives the number of lines that do not parse as well.
pub fn parse_lines(text: &[u8]) -> (Vec<Event>, usize) {
    let lines = text.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let mut events = Vec::new();
    let mut broken = 0;
    for line in lines {
        match serde_json::from_slice(line) {
            Ok(event) => events.push(event),
            Err(_) => broken += 1,
        }
    }
    (events, broken)
}
