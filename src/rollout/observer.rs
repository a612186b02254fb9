//! Evidence that one node keeps about the open moves, and its own verdict.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resource;
use crate::rollout::evidence::{Evidence, Report, Sample, Side};
use crate::rollout::verdict::{self, Targets};
use crate::rollout::{Key, Mark};

/// Good responses between two looks at latency; failing and late responses are looked at at once.
const LOOK_EVERY: u64 = 16;

/// Holds the evidence of one node.
#[derive(Debug, Default)]
pub struct Observer {
    /// Open moves by service.
    moves: BTreeMap<Arc<str>, Watched>,
}

#[derive(Debug)]
struct Watched {
    key: Key,
    old: Arc<str>,
    targets: Targets,
    evidence: Evidence,
    marked: bool,
}

impl Observer {
    /// Follows the catalog: closed moves are forgotten, new ones start without evidence.
    pub fn sync(&mut self, catalog: &resource::Catalog) {
        let mut before = std::mem::take(&mut self.moves);
        for id in catalog.resources.keys().filter(|id| id.kind == resource::Kind::Service) {
            let Some(split) = crate::rollout::Split::of(catalog, &id.name) else { continue };
            let Some(open) = split.open else { continue };
            let Some(service) = catalog.service(&id.name) else { continue };
            let targets = Targets::of(service);
            let watched = match before.remove(&id.name).filter(|known| known.key == open.key) {
                Some(known) => Watched { targets, ..known },
                None => Watched {
                    key: open.key,
                    old: split.old,
                    targets,
                    evidence: Evidence::default(),
                    marked: false,
                },
            };
            self.moves.insert(id.name.clone(), watched);
        }
    }

    /// Records a finished request; gives a mark when it proves the new version bad.
    pub fn record(&mut self, service: &str, version: &str, sample: &Sample<'_>) -> Option<Mark> {
        let watched = self.moves.get_mut(service)?;
        let side = match version {
            version if version == &*watched.key.version => Side::New,
            version if version == &*watched.old => Side::Old,
            _ => return None,
        };
        watched.evidence.record(side, sample, &watched.targets);
        let late = sample.first_byte > watched.targets.first_byte
            || sample.token_gap.is_some_and(|gap| gap > watched.targets.token_gap);
        let due = watched.evidence.new_requests.is_multiple_of(LOOK_EVERY);
        if side == Side::Old || watched.marked || !(sample.failed || late || due) {
            return None;
        }
        let signal = verdict::judge(&watched.evidence, &watched.targets)?;
        if !signal.is_proof() {
            return None;
        }
        watched.marked = true;
        Some(Mark { key: watched.key.clone(), reason: signal.to_string().into() })
    }

    /// Gives the reports of all open moves for the lease holder.
    pub fn reports(&self, node: &Arc<str>, sequence: u64) -> Vec<Report> {
        let report = |watched: &Watched| Report {
            node: node.clone(),
            sequence,
            key: watched.key.clone(),
            evidence: watched.evidence.clone(),
        };
        self.moves.values().map(report).collect()
    }
}
