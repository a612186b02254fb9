//! State that the parts of one daemon share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

use crate::config::Settings;
use crate::platform::{self, Vm};
use crate::{claim, endpoint, revision, stream};

/// Holds the state of one entry VM; everything in it is lost with the process.
#[derive(Debug)]
pub struct Node {
    pub settings: Settings,
    /// Grows with each start of the process, so that ids are not used twice.
    pub incarnation: u64,
    pub client: platform::Client,
    pub revision: Arc<revision::State>,
    pub journal: stream::Journal,
    pub directory: endpoint::Directory,
    pub batcher: claim::Batcher,
    pub vms: watch::Sender<Arc<Vec<Vm>>>,
    /// Turns true when a planned stop begins.
    pub stopping: watch::Sender<bool>,
    counter: AtomicU64,
}

impl Node {
    pub fn new(settings: Settings) -> Node {
        let client = platform::Client::new(settings.platform, settings.timing.platform_timeout);
        Node {
            incarnation: claim::keeper::unix_ms(),
            batcher: claim::Batcher::start(client.clone(), settings.timing.claim_window),
            journal: stream::Journal::new(settings.limits.journal_entries),
            revision: Arc::default(),
            directory: endpoint::Directory::default(),
            vms: watch::Sender::new(Arc::default()),
            stopping: watch::Sender::new(false),
            counter: AtomicU64::new(0),
            client,
            settings,
        }
    }

    /// Gives a number that differs with each call.
    pub fn tick(&self) -> u64 {
        self.counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Makes an id that no other request has, on any node.
    pub fn next_id(&self) -> Arc<str> {
        stream::make_id(&self.settings.node, self.incarnation, self.tick())
    }

    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Tells whether callers may send requests here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.revision.current().revision > 0
    }
}
