//! Evidence that one node records about the open moves, and the verdict that it draws from it
//! alone.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::resource;
use crate::rollout::evidence::{Evidence, Report, Sample, Side};
use crate::rollout::verdict::{self, Targets};
use crate::rollout::{BadVersion, Key};

/// Requests to the new version between two checks of its latency; a failing or late response is
/// checked at once.
const CHECK_INTERVAL_REQUESTS: u64 = 16;

/// Holds the evidence of one node.
#[derive(Debug, Default)]
pub struct Observer {
    /// Open moves by service.
    moves: BTreeMap<Arc<str>, ObservedMove>,
}

#[derive(Debug)]
struct ObservedMove {
    key: Key,
    baseline: Arc<str>,
    targets: Targets,
    evidence: Evidence,
    is_marked_bad: bool,
}

impl Observer {
    /// Applies a new catalog: drops moves that are no longer open; new ones start without evidence.
    pub fn sync(&mut self, catalog: &resource::Catalog) {
        let mut previous = std::mem::take(&mut self.moves);
        for id in catalog.resources.keys().filter(|id| id.kind == resource::Kind::Service) {
            let Some(split) = crate::rollout::Split::build(catalog, &id.name) else { continue };
            let Some(open_move) = split.open_move else { continue };
            let Some(service) = catalog.service(&id.name) else { continue };
            let targets = Targets::from_service(service);
            let observed =
                match previous.remove(&id.name).filter(|known| known.key == open_move.key) {
                    Some(known) => ObservedMove { targets, ..known },
                    None => ObservedMove {
                        key: open_move.key,
                        baseline: split.baseline,
                        targets,
                        evidence: Evidence::default(),
                        is_marked_bad: false,
                    },
                };
            self.moves.insert(id.name.clone(), observed);
        }
    }

    /// Records a finished request; returns the new version when the evidence shows that it is bad.
    ///
    /// A node returns a bad version once for each move.
    pub fn record(
        &mut self,
        service: &str,
        version: &str,
        sample: &Sample<'_>,
    ) -> Option<BadVersion> {
        let observed = self.moves.get_mut(service)?;
        let side = match version {
            version if version == &*observed.key.version => Side::New,
            version if version == &*observed.baseline => Side::Old,
            _ => return None,
        };
        observed.evidence.record(side, sample, &observed.targets);
        let is_late = sample.first_byte > observed.targets.first_byte
            || sample.token_gap.is_some_and(|gap| gap > observed.targets.token_gap);
        let is_check_due = observed.evidence.new_requests.is_multiple_of(CHECK_INTERVAL_REQUESTS);
        if side == Side::Old
            || observed.is_marked_bad
            || !(sample.failed || is_late || is_check_due)
        {
            return None;
        }
        let regression = verdict::find_regression(&observed.evidence, &observed.targets)?;
        if !regression.is_conclusive() {
            return None;
        }
        observed.is_marked_bad = true;
        Some(BadVersion { key: observed.key.clone(), reason: regression.to_string().into() })
    }

    /// Returns one report for each open move, to be sent to the lease holder.
    pub fn reports(&self, node: &Arc<str>, sequence: u64) -> Vec<Report> {
        let report = |observed: &ObservedMove| Report {
            node: node.clone(),
            sequence,
            key: observed.key.clone(),
            evidence: observed.evidence.clone(),
        };
        self.moves.values().map(report).collect()
    }
}
