//! The configuration in effect on this node.
//!
//! A node applies only a higher revision, so an accepted configuration never reverts; see
//! `docs/design.md`, section 9.

pub mod commit;

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use tokio::sync::{Notify, watch};

use crate::platform;
use crate::resource::{Catalog, Id, Kind, Resource};

mod follow;

pub use follow::{is_acceptable, run};

/// Names the row that holds the revision.
pub const HEAD_KEY: &str = "config/head";
/// Starts the key of each resource row.
pub const RESOURCE_PREFIX: &str = "config/resource/";

/// Holds the newest catalog seen and tells others when it changes.
#[derive(Debug)]
pub struct State {
    sender: watch::Sender<Arc<Catalog>>,
    stale: Notify,
}

impl Default for State {
    fn default() -> State {
        State { sender: watch::Sender::new(Arc::default()), stale: Notify::new() }
    }
}

impl State {
    /// Gives the catalog in effect; its revision is 0 until one has been received.
    pub fn current(&self) -> Arc<Catalog> {
        self.sender.borrow().clone()
    }

    /// Tells whether a configuration has been received, from the platform or a peer; until then the
    /// node refuses traffic.
    pub fn is_ready(&self) -> bool {
        self.sender.borrow().revision > 0
    }

    pub fn subscribe(&self) -> watch::Receiver<Arc<Catalog>> {
        self.sender.subscribe()
    }

    /// Makes the loop of `run` fetch at once when this node has learned of a newer revision.
    pub fn expect(&self, revision: u64) {
        if revision > self.current().revision {
            self.stale.notify_one();
        }
    }

    /// Puts a catalog into effect if it is newer; tells whether it was.
    pub fn apply(&self, catalog: Catalog) -> bool {
        self.sender.send_if_modified(|current| {
            let newer = catalog.revision > current.revision;
            if newer {
                *current = Arc::new(catalog);
            }
            newer
        })
    }
}

/// Gives the key of a resource row.
pub fn resource_key(id: &Id) -> String {
    format!("{RESOURCE_PREFIX}{}/{}", id.kind, id.name)
}

/// Reads the whole configuration; `None` when the platform holds no revision newer than `known`.
///
/// # Errors
///
/// Fails as the platform call does; the configuration in effect stays.
pub async fn fetch(
    client: &platform::Client,
    known: u64,
) -> Result<Option<Catalog>, platform::Failure> {
    let head = client.read_row(HEAD_KEY).await?;
    let revision = head.as_ref().and_then(|row| row.value.as_u64()).unwrap_or(0);
    if revision <= known {
        return Ok(None);
    }
    let query = platform::Query {
        keys: vec![HEAD_KEY.to_owned()],
        prefixes: vec![RESOURCE_PREFIX.to_owned()],
    };
    Ok(Some(from_rows(&client.read(&query).await?)))
}

/// Builds a catalog from the rows of one consistent read; rows that do not parse are left out.
pub fn from_rows(rows: &BTreeMap<String, platform::Row>) -> Catalog {
    let mut catalog = Catalog::default();
    for (key, row) in rows {
        if key == HEAD_KEY {
            catalog.revision = row.value.as_u64().unwrap_or(0);
            continue;
        }
        let Some((id, resource)) = parse_row(key, &row.value) else {
            log::warn!("revision: row {key} is not a resource and is left out");
            continue;
        };
        catalog.resources.insert(id, resource);
    }
    catalog
}

fn parse_row(key: &str, value: &serde_json::Value) -> Option<(Id, Resource)> {
    let (kind, name) = key.strip_prefix(RESOURCE_PREFIX)?.split_once('/')?;
    let kind: Kind = kind.parse().ok()?;
    let resource = Resource::deserialize(value).ok()?;
    Some((Id::new(kind, name), resource))
}
