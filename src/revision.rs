//! The configuration in effect on this node.
//!
//! A node applies a configuration only if its revision is higher than the current one, so the
//! configuration in effect never reverts; see `docs/design.md`, section 9.

pub mod commit;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use serde::Deserialize;
use tokio::sync::{Notify, watch};

use crate::platform;
use crate::resource::{Catalog, Id, Kind, Resource};
use crate::util::number;

mod follow;

pub use follow::{is_acceptable, run};

/// Key of the head row, whose value is the current revision.
pub const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of resource rows.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// Holds the catalog with the highest revision received so far and notifies subscribers of changes.
#[derive(Debug)]
pub struct State {
    sender: watch::Sender<Arc<Catalog>>,
    fetch_requested: Notify,
    /// Failure of the last read of the platform.
    last_failure: Mutex<Option<platform::Failure>>,
}

impl Default for State {
    fn default() -> State {
        State {
            sender: watch::Sender::new(Arc::default()),
            fetch_requested: Notify::new(),
            last_failure: Mutex::default(),
        }
    }
}

impl State {
    /// Returns the catalog in effect; its revision is 0 until a catalog has been received.
    pub fn current(&self) -> Arc<Catalog> {
        self.sender.borrow().clone()
    }

    /// Reports whether a configuration has been received, from the platform or from a peer. Until
    /// then the node refuses traffic.
    pub fn is_ready(&self) -> bool {
        self.sender.borrow().revision > 0
    }

    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalog>> {
        self.sender.subscribe()
    }

    /// Makes `run` fetch the configuration at once if `revision` is higher than the current one.
    pub fn request_revision(&self, revision: u64) {
        if revision > self.current().revision {
            self.fetch_requested.notify_one();
        }
    }

    /// Puts a catalog into effect if its revision is higher than the current one, and reports
    /// whether it was.
    pub fn apply(&self, catalog: Catalog) -> bool {
        self.sender.send_if_modified(|current| {
            let is_newer = catalog.revision > current.revision;
            if is_newer {
                *current = Arc::new(catalog);
            }
            is_newer
        })
    }
}

/// Returns the key of the row that holds a resource.
pub fn resource_key(id: &Id) -> String {
    format!("{RESOURCE_PREFIX}{}/{}", id.kind, id.name)
}

/// Reads the whole configuration; returns `None` if the platform holds no revision above `known`.
///
/// # Errors
///
/// Returns the failure of the platform call; the configuration in effect does not change.
pub async fn fetch(
    client: &platform::Client,
    known: u64,
) -> Result<Option<Catalog>, platform::Failure> {
    let head = client.read_row(HEAD_KEY).await?;
    let revision = head.as_ref().map_or(Ok(0), head_revision)?;
    if revision <= known {
        return Ok(None);
    }
    let query = platform::Query {
        keys: vec![HEAD_KEY.to_owned()],
        prefixes: vec![RESOURCE_PREFIX.to_owned()],
    };
    from_rows(&client.read(&query).await?).map(Some)
}

/// Returns the revision in the head row.
///
/// # Errors
///
/// Returns an error if it can't be read: it then says neither that there is a newer revision nor that there is none.
fn head_revision(row: &platform::Row) -> Result<u64, platform::Failure> {
    number::deserialize_whole(&row.value).map_err(|error| {
        platform::Failure::NotRun(format!("row {HEAD_KEY} holds no revision: {error}"))
    })
}

/// Builds a catalog from the rows of one consistent read; skips rows of resources that do not parse.
///
/// # Errors
///
/// Returns an error if the revision can't be read.
pub fn from_rows(rows: &BTreeMap<String, platform::Row>) -> Result<Catalog, platform::Failure> {
    let mut catalog = Catalog::default();
    for (key, row) in rows {
        if key == HEAD_KEY {
            catalog.revision = head_revision(row)?;
            continue;
        }
        let Some((id, resource)) = parse_row(key, &row.value) else {
            log::warn!("revision: skipped row {key}, which does not parse as a resource");
            continue;
        };
        catalog.resources.insert(id, resource);
    }
    Ok(catalog)
}

fn parse_row(key: &str, value: &serde_json::Value) -> Option<(Id, Resource)> {
    let (kind, name) = key.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
    let kind: Kind = kind.parse().ok()?;
    let resource = Resource::deserialize(value).ok()?;
    Some((Id::new(kind, name), resource))
}
