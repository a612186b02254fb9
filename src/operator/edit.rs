//! Rules that turn declarations into the next catalog.
//!
//! Plain functions on the configuration as read; `revision::commit` runs them once per attempt.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::resource::{Catalog, Id, Move, Phase, Progress, Resource, Spec, Status};
use crate::revision::commit::{Base, Conflict, Failure, Violation};

/// Row version that stands for "must not exist yet".
pub const ABSENT: u64 = 0;

/// Holds one resource that an operator wants, with its place in the operator's file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    pub id: Id,
    pub spec: Spec,
    /// Row version that the resource must still have; `ABSENT` demands a new resource.
    pub expected: Option<u64>,
    pub file: Arc<str>,
    pub line: usize,
}

/// Gives the catalog with all items in place.
///
/// # Errors
///
/// Fails with every conflict, or else with every broken rule.
pub fn apply(base: &Base, items: &[Item], now_ms: u64) -> Result<Catalog, Failure> {
    let expected = items.iter().map(|item| (&item.id, item.expected));
    check_versions(base, expected)?;
    let mut catalog = base.catalog.clone();
    let mut faults = Vec::new();
    let mut seen = BTreeSet::new();
    // Moves come last, since their rules look at the services of the same set.
    let mut ordered: Vec<&Item> = items.iter().collect();
    ordered.sort_by_key(|item| item.id.kind);
    for item in ordered {
        if !seen.insert(&item.id) {
            faults.push(fault(&item.id, "name", "is declared more than once".to_owned()));
            continue;
        }
        put(&mut catalog, item, now_ms, &mut faults);
    }
    check_catalog(base, &catalog, &mut faults);
    if faults.is_empty() { Ok(catalog) } else { Err(Failure::Refused(faults)) }
}

/// Gives the catalog without a resource; an open move is reverted instead and stays visible.
///
/// Deleting a resource that does not exist changes nothing, so that a delete can be repeated.
///
/// # Errors
///
/// Fails with a conflict, or with the references that the deletion would break.
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
        let current = base.versions.get(*id).copied().unwrap_or(ABSENT);
        expected.is_some_and(|expected| expected != current)
    });
    let conflicts: Vec<Conflict> = outdated.map(|(id, _)| base.conflict(id)).collect();
    if conflicts.is_empty() { Ok(()) } else { Err(Failure::Conflict(conflicts)) }
}

fn put(catalog: &mut Catalog, item: &Item, now_ms: u64, faults: &mut Vec<Violation>) {
    let Some(current) = catalog.resources.get_mut(&item.id) else {
        let status = match &item.spec {
            Spec::Move(spec) => {
                check_new_move(catalog, &item.id, spec, faults);
                Status { serving: None, progress: Some(accepted(now_ms)) }
            }
            _ => Status::default(),
        };
        let resource = Resource { spec: item.spec.clone(), generation: 1, status };
        catalog.resources.insert(item.id.clone(), resource);
        return;
    };
    if current.spec == item.spec {
        return;
    }
    if let Spec::Move(_) = current.spec {
        // Nodes and the evidence refer to a move by name, so its meaning must not change.
        let message = "a move cannot be changed; delete it, then declare one with another name";
        faults.push(fault(&item.id, "name", message.to_owned()));
        return;
    }
    if let (Spec::Service(old), Spec::Service(new)) = (&current.spec, &item.spec) {
        let serving = current.status.serving.as_ref().unwrap_or(&old.version);
        if new.version != old.version && new.version != *serving {
            // A direct change would send all traffic to an unproven version at once.
            let message = format!("\"{serving}\" is serving; declare a move to change it");
            faults.push(fault(&item.id, "version", message));
        }
    }
    current.spec = item.spec.clone();
    current.generation += 1;
}

fn accepted(now_ms: u64) -> Progress {
    Progress {
        phase: Phase::InProgress,
        share_permille: 0,
        reason: "accepted".into(),
        accepted_ms: now_ms,
        changed_ms: now_ms,
    }
}

fn check_new_move(catalog: &Catalog, id: &Id, spec: &Move, faults: &mut Vec<Violation>) {
    for (open, _, _) in catalog.open_moves(&spec.service) {
        let message = format!("\"{}\" is still in progress for this service", open.name);
        faults.push(fault(id, "service", message));
    }
    if let Some(serving) = catalog.serving(&spec.service)
        && serving != spec.from
    {
        faults.push(fault(id, "from", format!("\"{serving}\" is the version that serves")));
    }
}

/// Checks the references of the whole catalog; faults that were there before are not repeated.
fn check_catalog(base: &Base, catalog: &Catalog, faults: &mut Vec<Violation>) {
    let old = broken(&base.catalog);
    let new = broken(catalog).into_iter().filter(|fault| !old.contains(fault));
    faults.extend(new);
}

fn broken(catalog: &Catalog) -> Vec<Violation> {
    let references = catalog.broken_references().into_iter();
    let mut faults: Vec<Violation> =
        references.map(|(id, field, message)| Violation { id, field, message }).collect();
    for (id, resource) in &catalog.resources {
        let Spec::Service(spec) = &resource.spec else { continue };
        if let Some(serving) = &resource.status.serving
            && catalog.version(serving).is_none()
        {
            let message = format!("\"{serving}\" serves this service and must stay");
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
