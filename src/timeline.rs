//! Events of all nodes with comparable stamps, so that one story can be told after the fact.
//!
//! Each node keeps a bounded ring of events and writes batches to objects
//! `timeline/NODE/SEQUENCE`. Sequence numbers without holes make lost events visible as gaps.

mod buffer;
mod clock;
mod flush;
mod merge;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use buffer::{Buffer, Draft};
pub use clock::{Clock, MAX_DRIFT_MS, Stamp};
pub use flush::{BATCH_EVENTS, Flusher, OBJECT_PREFIX, flush, keys_since};
pub use merge::{Entry, Gap, merge, parse_lines};

/// Names what an event is about; unset fields do not apply.
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
    /// Tells whether every field that is set in `wanted` has the same value here.
    pub fn matches(&self, wanted: &Subject) -> bool {
        let pairs = [
            (&wanted.request, &self.request),
            (&wanted.move_name, &self.move_name),
            (&wanted.service, &self.service),
            (&wanted.workspace, &self.workspace),
        ];
        pairs.into_iter().all(|(wanted, own)| wanted.is_none() || wanted == own)
    }
}

/// Records one thing that happened on a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub stamp: Stamp,
    pub node: Arc<str>,
    /// Start of the process, in milliseconds since the Unix epoch; tells runs of a node apart.
    pub boot: u64,
    /// Counts the events of one run from 0 without holes.
    pub sequence: u64,
    pub part: Arc<str>,
    #[serde(flatten)]
    pub subject: Subject,
    pub text: Arc<str>,
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub numbers: BTreeMap<Arc<str>, f64>,
}

impl Event {
    /// Tells whether this is the last event of an orderly stop.
    pub fn is_closing(&self) -> bool {
        &*self.part == buffer::PART && &*self.text == buffer::CLOSED
    }
}
