//! Check of a catalog before operators declare it.
//!
//! The platform's store accepts whatever matches its schema. What it can't see are entries that never
//! take effect and limits that contradict each other: they show up as refused or misrouted requests only
//! after they are in force. The check is part of the adapter's command line; see "Check of a
//! configuration" in `docs/OPERATIONS.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use serde_json::Value;

use crate::gateway::catalog::{Draft, Kind, Route, Service, Tenant};

/// Least urgent priority that endpoints distinguish.
const MAX_PRIORITY: u8 = 9;

/// How much a finding matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// Callers would be refused or served wrongly.
    Error,
    /// An entry has no effect, or less than it states.
    Warning,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Severity::Error => "error",
            Severity::Warning => "warning",
        })
    }
}

/// One problem of a draft, with the entry that has it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    pub severity: Severity,
    /// Kind and name of the entry, such as `route chat`.
    pub entry: String,
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.entry, self.message)
    }
}

/// Collects the findings on one draft.
#[derive(Debug, Default)]
struct Report {
    findings: Vec<Finding>,
}

impl Report {
    fn error(&mut self, entry: &str, message: impl Into<String>) {
        self.add(Severity::Error, entry, message.into());
    }

    fn warn(&mut self, entry: &str, message: impl Into<String>) {
        self.add(Severity::Warning, entry, message.into());
    }

    fn add(&mut self, severity: Severity, entry: &str, message: String) {
        self.findings.push(Finding { severity, entry: entry.to_owned(), message });
    }
}

/// Returns the problems of a draft, errors first.
pub fn check(draft: &Draft) -> Vec<Finding> {
    let mut report = Report::default();
    for problem in &draft.unreadable.problems {
        report.error(&problem.entry, &*problem.reason);
    }
    check_names(&mut report, draft);
    for route in &draft.routes {
        check_route(&mut report, route, draft);
    }
    check_shadowed_routes(&mut report, &draft.routes);
    for service in &draft.services {
        check_service(&mut report, service, draft);
    }
    for tenant in draft.tenants.iter().flatten() {
        check_tenant(&mut report, tenant);
    }
    check_keys(&mut report, draft);
    check_limits(&mut report, draft);
    report.findings.sort();
    report.findings
}

/// Reports names that occur twice: the later entry replaces the earlier one or is confused with it.
fn check_names(report: &mut Report, draft: &Draft) {
    let names = [
        ("route", draft.routes.iter().map(|it| &it.name).collect::<Vec<_>>()),
        ("service", draft.services.iter().map(|it| &it.name).collect()),
        ("tenant", draft.tenants.iter().flatten().map(|it| &it.name).collect()),
    ];
    for (kind, names) in names {
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name) {
                report.error(&format!("{kind} {name}"), "the name occurs more than once");
            }
        }
    }
}

fn check_route(report: &mut Report, route: &Route, draft: &Draft) {
    let entry = format!("route {}", route.name);
    let is_declared = |name: &Arc<str>| draft.services.iter().any(|service| service.name == *name);
    for (service, weight) in &route.services {
        if !is_declared(service) {
            report.error(&entry, format!("service {service} is not declared"));
        }
        if *weight == 0 {
            report.warn(&entry, format!("service {service} has weight 0 and gets no requests"));
        }
    }
    if route.services.iter().all(|(_, weight)| *weight == 0) {
        report.error(&entry, "no service has a weight above 0, so each request is refused");
    }
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        let prefix = &route.path_prefix;
        report.error(&entry, format!("path prefix \"{prefix}\" has to begin and end with a slash"));
    }
    if route.host.contains(':') {
        report.error(&entry, "never matches: hosts are compared without their port");
    }
    if route.timeout.is_zero() {
        report.error(&entry, "the timeout is 0, so each request times out");
    }
    if route.target_latency > route.timeout {
        report.error(
            &entry,
            format!(
                "the target latency of {} ms is longer than the timeout of {} ms",
                route.target_latency.as_millis(),
                route.timeout.as_millis()
            ),
        );
    }
    if route.max_attempts > 1 && route.kind == Kind::NonIdempotent {
        report.warn(
            &entry,
            "more than one attempt has an effect only if an endpoint has not run the request",
        );
    }
    if route.resumable && route.kind != Kind::Stream {
        report.warn(&entry, "only streams can be resumed");
    }
    if route.priority > MAX_PRIORITY {
        report
            .warn(&entry, format!("endpoints treat priority {} as {MAX_PRIORITY}", route.priority));
    }
}

/// Reports routes that never match because an earlier one has the same host and path prefix.
fn check_shadowed_routes(report: &mut Report, routes: &[Route]) {
    let mut first: BTreeMap<(&str, &str), &Route> = BTreeMap::new();
    for route in routes {
        match first.get(&(&*route.host, &*route.path_prefix)) {
            Some(earlier) => report.error(
                &format!("route {}", route.name),
                format!("never matches: route {} has the same host and path prefix", earlier.name),
            ),
            None => {
                first.insert((&route.host, &route.path_prefix), route);
            }
        }
    }
}

fn check_service(report: &mut Report, service: &Service, draft: &Draft) {
    let entry = format!("service {}", service.name);
    let is_used = draft.routes.iter().any(|route| {
        route.services.iter().any(|(name, weight)| *name == service.name && *weight > 0)
    });
    if !is_used {
        report.warn(&entry, "no route sends requests to it");
    }
    if service.max_connections == 0 {
        report.error(&entry, "endpoints accept no connection");
    }
    if let Some(engine) = service.engine {
        if engine.slots == 0 || engine.memory_tokens == 0 {
            report.error(&entry, "its engines have no slot or no memory");
        }
        if service.max_connections < engine.slots {
            report.warn(
                &entry,
                format!(
                    "{} connections can't use the {} slots of an endpoint",
                    service.max_connections, engine.slots
                ),
            );
        }
    }
    let Some(scaling) = &service.scaling else { return };
    if scaling.min > scaling.max {
        report.error(
            &entry,
            format!("at least {} and at most {} endpoints", scaling.min, scaling.max),
        );
    }
    if scaling.max == 0 {
        report.error(&entry, "no endpoint may be ordered");
    }
    if scaling.domain_prices.is_empty() {
        report.warn(&entry, "no failure domain has a price, so no endpoint is ordered");
    }
}

fn check_tenant(report: &mut Report, tenant: &Tenant) {
    let entry = format!("tenant {}", tenant.name);
    if tenant.keys.is_empty() {
        report.warn(&entry, "it has no API key, so no request belongs to it");
    }
    if tenant.keys.iter().any(|key| key.is_empty()) {
        report.error(&entry, "an API key is empty");
    }
    let Some(quota) = tenant.quota else { return };
    if quota.counts_tokens && quota.default_tokens as f64 > quota.rate + quota.burst {
        report.warn(
            &entry,
            format!(
                "a request without token counts is charged {} tokens, more than a second's rate and the \
                 burst allow",
                quota.default_tokens
            ),
        );
    }
}

/// Reports API keys of several tenants; the key itself is a secret and not shown.
fn check_keys(report: &mut Report, draft: &Draft) {
    let mut owners: BTreeMap<&str, &Tenant> = BTreeMap::new();
    for tenant in draft.tenants.iter().flatten() {
        for key in &tenant.keys {
            if let Some(owner) = owners.insert(key, tenant) {
                let message = match owner.name == tenant.name {
                    true => "it has the same API key twice".to_owned(),
                    false => format!("it shares an API key with tenant {}", owner.name),
                };
                report.error(&format!("tenant {}", tenant.name), message);
            }
        }
    }
    if draft.routes.iter().all(|route| route.anonymous) {
        return;
    }
    match &draft.tenants {
        None => report.warn(
            "tenants",
            "there is no list, so every route is open to callers without a key and closed to those with one",
        ),
        Some(tenants) if tenants.is_empty() && !draft.unreadable.tenants => report.warn(
            "tenants",
            "the list is empty, so routes that aren't anonymous are closed to all callers",
        ),
        Some(_) => {}
    }
}

fn check_limits(report: &mut Report, draft: &Draft) {
    let limits = &draft.limits;
    if limits.header_bytes == 0 || limits.header_timeout.is_zero() || limits.idle_timeout.is_zero()
    {
        report.error("limits", "a limit of 0 refuses every request");
    }
    if limits.body_bytes == 0 {
        report.warn("limits", "requests can't have a body");
    }
    let longest = draft.routes.iter().map(|route| route.timeout).max().unwrap_or_default();
    if limits.header_timeout > longest && !longest.is_zero() {
        report.warn(
            "limits",
            format!(
                "a head may take {} ms, longer than the longest timeout of a route, {} ms",
                limits.header_timeout.as_millis(),
                longest.as_millis()
            ),
        );
    }
}

/// Returns an error if no node would adopt the draft while `current` is in force.
pub fn check_version(current: &Draft, draft: &Draft) -> Option<Finding> {
    (draft.version <= current.version).then(|| Finding {
        severity: Severity::Error,
        entry: "version".to_owned(),
        message: format!(
            "{} is not above {}, which is in force, so no node adopts it",
            draft.version, current.version
        ),
    })
}

/// Returns what differs between two documents, a line for each field. Entries of lists are compared by their
/// name if they have one. The values of the field `secret` are counted, not shown.
pub fn differences(current: &Value, draft: &Value, secret: &str) -> Vec<String> {
    let mut comparison = Comparison { secret, lines: Vec::new() };
    comparison.compare("", current, draft);
    comparison.lines
}

struct Comparison<'a> {
    secret: &'a str,
    lines: Vec<String>,
}

impl Comparison<'_> {
    fn compare(&mut self, path: &str, current: &Value, draft: &Value) {
        if current == draft {
            return;
        }
        let fields = (named_fields(current), named_fields(draft));
        let (Some(old), Some(new)) = fields else {
            self.lines.push(format!("{path}: {current} -> {draft}"));
            return;
        };
        for (name, value) in &old {
            let path = join(path, name);
            match new.get(name) {
                _ if **name == *self.secret => {
                    self.compare_secrets(&path, value, new.get(name).copied())
                }
                None => self.lines.push(format!("{path}: removed")),
                Some(changed) => self.compare(&path, value, changed),
            }
        }
        for (name, value) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
            let path = join(path, name);
            match value {
                _ if **name == *self.secret => {
                    self.compare_secrets(&path, &Value::Null, Some(value))
                }
                Value::Object(_) | Value::Array(_) => self.lines.push(format!("{path}: added")),
                value => self.lines.push(format!("{path}: added, {value}")),
            }
        }
    }

    fn compare_secrets(&mut self, path: &str, current: &Value, draft: Option<&Value>) {
        let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
        let (old, new) = (list(current), draft.map(list).unwrap_or_default());
        let added = new.iter().filter(|it| !old.contains(it)).count();
        let removed = old.iter().filter(|it| !new.contains(it)).count();
        if added + removed > 0 {
            self.lines.push(format!("{path}: {added} added, {removed} removed"));
        }
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

/// Returns the fields of an object, or the entries of a list whose entries all have distinct names.
fn named_fields(value: &Value) -> Option<BTreeMap<String, &Value>> {
    match value {
        Value::Object(fields) => Some(fields.iter().map(|(name, it)| (name.clone(), it)).collect()),
        Value::Array(entries) => {
            let name = |entry: &Value| Some(entry.get("name")?.as_str()?.to_owned());
            let named: BTreeMap<String, &Value> =
                entries.iter().map(|it| Some((name(it)?, it))).collect::<Option<_>>()?;
            (named.len() == entries.len()).then_some(named)
        }
        _ => None,
    }
}
