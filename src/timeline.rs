//! Event log of each node, with timestamps that are comparable between nodes, so that an operator
//! can merge the events of all nodes into one ordered time line.
//!
//! Each node keeps a bounded ring buffer of events and writes batches to objects
//! `timeline/NODE/SEQUENCE`. Event numbers are consecutive, so a missing one shows a lost event.

mod buffer;
mod clock;
mod flush;
mod merge;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use buffer::{Buffer, Draft};
pub use clock::{Clock, MAX_DRIFT_MS, Stamp};
pub use flush::{Flusher, MAX_BATCH_EVENTS, OBJECT_PREFIX, flush_periodically, keys_since};
pub use merge::{Entry, Gap, merge, parse_lines};

/// Identifies the request, move, service and workspace that an event concerns, where they apply.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subject {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<Arc<str>>,
    #[serde(rename = "move", default, skip_serializing_if = "Option::is_none")]
    pub move_name: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Arc<str>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<Arc<str>>,
}

impl Subject {
    /// Returns whether every field set in `filter` has an equal value in this subject.
    pub fn matches(&self, filter: &Subject) -> bool {
        let pairs = [
            (&filter.request, &self.request),
            (&filter.move_name, &self.move_name),
            (&filter.service, &self.service),
            (&filter.workspace, &self.workspace),
        ];
        pairs.into_iter().all(|(filter, value)| filter.is_none() || filter == value)
    }
}

/// Describes one event of a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub stamp: Stamp,
    pub node: Arc<str>,
    /// Start time of the process, in milliseconds since the Unix epoch; distinguishes the runs of a
    /// node.
    pub boot: u64,
    /// Number of the event within one run of the process; consecutive, starting at 0.
    pub sequence: u64,
    pub part: Arc<str>,
    #[serde(flatten)]
    pub subject: Subject,
    pub text: Arc<str>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub numbers: BTreeMap<Arc<str>, f64>,
}

impl Event {
    /// Returns whether this event marks the orderly stop of its process.
    pub fn is_closing(&self) -> bool {
        &*self.part == buffer::PART && &*self.text == buffer::CLOSED
    }
}
