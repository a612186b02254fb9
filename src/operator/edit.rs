//! Applies an operator's changes to a catalog, or reports the rules that they break.
//!
//! These functions do no I/O, since `revision::commit` calls them again on every attempt, each time
//! with the configuration just read.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::resource::{Catalog, Id, Move, Phase, Progress, Resource, Spec, Status};
use crate::revision::commit::{Base, Conflict, Failure, Violation};

/// Expected row version of a resource that must not exist yet.
pub const ABSENT_VERSION: u64 = 0;

/// Holds a resource to create or update, with its location in the operator's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upsert {
    pub id: Id,
    pub spec: Spec,
    /// Row version that the stored resource must have: `ABSENT_VERSION` if it must not exist,
    /// `None` if any version is accepted.
    pub expected: Option<u64>,
    pub file: Arc<str>,
    pub line: usize,
}

/// Returns the catalog with all `upserts` created or updated.
///
/// # Errors
///
/// Fails with all version conflicts, or, if there are none, with all broken rules.
pub fn apply(base: &Base, upserts: &[Upsert], now_ms: u64) -> Result<Catalog, Failure> {
    let expected = upserts.iter().map(|upsert| (&upsert.id, upsert.expected));
    check_versions(base, expected)?;
    let mut catalog = base.catalog.clone();
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    // Applies moves last, since their rules read services that the request may declare too.
    let mut ordered: Vec<&Upsert> = upserts.iter().collect();
    ordered.sort_by_key(|upsert| upsert.id.kind);
    for upsert in ordered {
        if !seen.insert(&upsert.id) {
            faults.push(fault(&upsert.id, "name", "is declared more than once".to_owned()));
            continue;
        }
        put(&mut catalog, upsert, now_ms, &mut faults);
    }
    check_catalog(base, &catalog, &mut faults);
    if faults.is_empty() { Ok(catalog) } else { Err(Failure::Refused(faults)) }
}

/// Returns the catalog without a resource; a move in progress is marked as reverted instead and
/// stays in the catalog.
///
/// Deleting a resource that does not exist changes nothing, so that a delete can be retried.
///
/// # Errors
///
/// Fails with a version conflict, or with the references that the deletion would break.
pub fn delete(
    base: &Base,
    id: &Id,
    expected: Option<u64>,
    operator: &str,
    now_ms: u64,
) -> Result<Catalog, Failure> {
    check_versions(base, [(id, expected)])?;
    let mut catalog = base.catalog.clone();
    let Some(resource) = catalog.resources.get_mut(id) else { return Ok(catalog) };
    match resource.status.progress.as_mut() {
        Some(progress) if progress.phase == Phase::InProgress => {
            progress.phase = Phase::Reverted;
            progress.share_permille = 0;
            progress.reason = format!("reverted by operator {operator}").into();
            progress.changed_ms = now_ms;
        }
        _ => {
            catalog.resources.remove(id);
        }
    }
    let mut faults = Vec::new();
    check_catalog(base, &catalog, &mut faults);
    if faults.is_empty() { Ok(catalog) } else { Err(Failure::Refused(faults)) }
}

fn check_versions<'a>(
    base: &Base,
    expected: impl IntoIterator<Item = (&'a Id, Option<u64>)>,
) -> Result<(), Failure> {
    let outdated = expected.into_iter().filter(|(id, expected)| {
        let current = base.versions.get(*id).copied().unwrap_or(ABSENT_VERSION);
        expected.is_some_and(|expected| expected != current)
    });
    let conflicts: Vec<Conflict> = outdated.map(|(id, _)| base.conflict(id)).collect();
    if conflicts.is_empty() { Ok(()) } else { Err(Failure::Conflict(conflicts)) }
}

fn put(catalog: &mut Catalog, upsert: &Upsert, now_ms: u64, faults: &mut Vec<Violation>) {
    let Some(current) = catalog.resources.get_mut(&upsert.id) else {
        let status = match &upsert.spec {
            Spec::Move(spec) => {
                check_new_move(catalog, &upsert.id, spec, faults);
                Status { serving: None, progress: Some(initial_progress(now_ms)) }
            }
            _ => Status::default(),
        };
        let resource = Resource { spec: upsert.spec.clone(), generation: 1, status };
        catalog.resources.insert(upsert.id.clone(), resource);
        return;
    };
    if current.spec == upsert.spec {
        return;
    }
    if let Spec::Move(_) = current.spec {
        // Nodes and evidence reports refer to a move by name, so its spec must not change.
        let message = "a move cannot be changed; delete it, then declare one with another name";
        faults.push(fault(&upsert.id, "name", message.to_owned()));
        return;
    }
    if let (Spec::Service(old), Spec::Service(new)) = (&current.spec, &upsert.spec) {
        let serving = current.status.serving.as_ref().unwrap_or(&old.version);
        if new.version != old.version && new.version != *serving {
            // A direct change would send all traffic to an untested version at once.
            let message = format!("\"{serving}\" is serving; declare a move to change it");
            faults.push(fault(&upsert.id, "version", message));
        }
    }
    current.spec = upsert.spec.clone();
    current.generation += 1;
}

fn initial_progress(now_ms: u64) -> Progress {
    Progress {
        phase: Phase::InProgress,
        share_permille: 0,
        reason: "accepted".into(),
        accepted_ms: now_ms,
        changed_ms: now_ms,
    }
}

fn check_new_move(catalog: &Catalog, id: &Id, spec: &Move, faults: &mut Vec<Violation>) {
    for (active, _, _) in catalog.open_moves(&spec.service) {
        let message = format!("\"{}\" is still in progress for this service", active.name);
        faults.push(fault(id, "service", message));
    }
    if let Some(serving) = catalog.serving_version(&spec.service)
        && serving != spec.from
    {
        faults.push(fault(id, "from", format!("\"{serving}\" is the version in service")));
    }
}

/// Checks all references in `catalog`; adds only the faults that the base does not have already.
fn check_catalog(base: &Base, catalog: &Catalog, faults: &mut Vec<Violation>) {
    let old_faults = find_reference_faults(&base.catalog);
    let new_faults =
        find_reference_faults(catalog).into_iter().filter(|fault| !old_faults.contains(fault));
    faults.extend(new_faults);
}

fn find_reference_faults(catalog: &Catalog) -> Vec<Violation> {
    let broken_references = catalog.broken_references().into_iter();
    let mut faults: Vec<Violation> =
        broken_references.map(|(id, field, message)| Violation { id, field, message }).collect();
    for (id, resource) in &catalog.resources {
        let Spec::Service(spec) = &resource.spec else { continue };
        if let Some(serving) = &resource.status.serving
            && catalog.version(serving).is_none()
        {
            let message = format!("\"{serving}\" serves this service and cannot be deleted");
            faults.push(fault(id, "version", message));
        }
        if catalog.version(&spec.version).is_some_and(|version| version.service != id.name) {
            let message = format!("\"{}\" is a version of another service", spec.version);
            faults.push(fault(id, "version", message));
        }
    }
    faults
}

fn fault(id: &Id, field: &'static str, message: String) -> Violation {
    Violation { id: id.clone(), field, message }
}
