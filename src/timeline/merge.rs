//! Merges the events of many nodes into one ordered time line.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::timeline::{Event, Stamp};

/// Marks a place where events of a node are missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    pub node: Arc<str>,
    /// Stamp of the last event before the gap.
    pub after: Stamp,
    /// Stamp of the first event after the gap.
    pub before: Stamp,
    /// Number of missing events; `None` if the process ended without an orderly stop, since the
    /// number of events lost with it is unknown.
    pub missing: Option<u64>,
}

/// Represents one entry of the merged time line.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    Event(Event),
    Gap(Gap),
}

impl Entry {
    /// Returns the sort key; a gap sorts immediately before the first event after it.
    fn sort_key(&self) -> (Stamp, Arc<str>, bool, u64) {
        match self {
            Entry::Event(event) => (event.stamp, event.node.clone(), true, event.sequence),
            Entry::Gap(gap) => (gap.before, gap.node.clone(), false, 0),
        }
    }
}

/// Sorts events by stamp, removes duplicates, and inserts gaps.
///
/// Events may come from batches and from the buffers of running nodes, in any order. Events missing
/// before the first given event of a node are not marked, since the reader chose the start time.
pub fn merge(events: impl IntoIterator<Item = Event>) -> Vec<Entry> {
    let mut unique_events: BTreeMap<(Arc<str>, u64, u64), Event> = BTreeMap::new();
    for event in events {
        unique_events.insert((event.node.clone(), event.boot, event.sequence), event);
    }
    let mut entries = Vec::with_capacity(unique_events.len());
    let mut previous: Option<&Event> = None;
    for event in unique_events.values() {
        let same_node = previous.filter(|previous| previous.node == event.node);
        entries.extend(same_node.and_then(|previous| find_gap(previous, event)).map(Entry::Gap));
        previous = Some(event);
    }
    entries.extend(unique_events.values().cloned().map(Entry::Event));
    entries.sort_by_cached_key(Entry::sort_key);
    entries
}

fn find_gap(previous: &Event, event: &Event) -> Option<Gap> {
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

/// Parses the events of a batch; returns them and the number of malformed lines.
pub fn parse_lines(text: &[u8]) -> (Vec<Event>, usize) {
    let lines = text.split(|&byte| byte == b'\n').filter(|line| !line.is_empty());
    let mut events = Vec::new();
    let mut malformed = 0;
    for line in lines {
        match serde_json::from_slice(line) {
            Ok(event) => events.push(event),
            Err(_) => malformed += 1,
        }
    }
    (events, malformed)
}
