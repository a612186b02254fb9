//! Resources that operators declare in files, and the catalog of them that nodes follow.
//!
//! A declaration contains the spec of a resource; the system adds a status. See `docs/design.md`,
//! sections 5 and 6.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::config;
use crate::document::{self, Mistake, Reader};

/// Shortest duration of a move, in seconds: reports take 3 s to settle, and the five steps of 2.5 s
/// each are decided once per second.
const MIN_MOVE_S: u64 = 20;

/// Kind of a resource, as in the row key `config/resource/KIND/NAME`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Workspace,
    Pool,
    Service,
    Version,
    Move,
}

impl Kind {
    pub const ALL: [Kind; 5] =
        [Kind::Workspace, Kind::Pool, Kind::Service, Kind::Version, Kind::Move];

    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Workspace => "workspace",
            Kind::Pool => "pool",
            Kind::Service => "service",
            Kind::Version => "version",
            Kind::Move => "move",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = ();

    fn from_str(text: &str) -> Result<Kind, ()> {
        Kind::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or(())
    }
}

/// Identifies a resource by kind and name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    pub kind: Kind,
    pub name: Arc<str>,
}

impl Id {
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> Id {
        Id { kind, name: name.into() }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// Identifies callers by token and sets their share of each service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Weight relative to other workspaces while a service is overloaded.
    pub share: u32,
    pub token_digests: Vec<Arc<str>>,
}

/// Describes a group of endpoints of one machine class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    pub class: Arc<str>,
    /// Whether endpoints reject orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Maximum number of requests in flight at one endpoint.
    pub concurrency: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// Chat completions with server-sent events.
    Model,
    /// Plain HTTP.
    Plain,
}

/// Declares whether requests to a path may be retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    pub method: Option<Arc<str>>,
    pub path: Arc<str>,
    pub idempotent: bool,
}

/// Describes a service that callers address by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    pub protocol: Protocol,
    /// Version that serves until a move changes it.
    pub version: Arc<str>,
    pub routes: Vec<Route>,
    pub first_token_ms: u32,
    pub token_gap_ms: u32,
    pub deadline_ms: u64,
    pub in_flight: u32,
}

/// Binds a version of a service to the pool whose endpoints run it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    pub service: Arc<str>,
    pub pool: Arc<str>,
}

/// Requests that traffic shift from one version of a service to another by a deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    pub service: Arc<str>,
    pub from: Arc<str>,
    pub to: Arc<str>,
    /// Seconds from the acceptance of the move until its deadline.
    pub within_s: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spec {
    Workspace(Workspace),
    Pool(Pool),
    Service(Service),
    Version(Version),
    Move(Move),
}

impl Spec {
    pub fn kind(&self) -> Kind {
        match self {
            Spec::Workspace(_) => Kind::Workspace,
            Spec::Pool(_) => Kind::Pool,
            Spec::Service(_) => Kind::Service,
            Spec::Version(_) => Kind::Version,
            Spec::Move(_) => Kind::Move,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    InProgress,
    Done,
    Reverted,
}

/// Records the progress of a move; after acceptance, only the holder of the lease for the duty
/// `moves` and an operator who reverts the move change it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    pub phase: Phase,
    /// Share of the service's requests that go to the new version, in thousandths.
    pub share_permille: u32,
    pub reason: Arc<str>,
    pub accepted_ms: u64,
    pub changed_ms: u64,
}

/// Holds the state that the system adds to a spec.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Version that serves now; set on a service when a move ends.
    pub serving: Option<Arc<str>>,
    pub progress: Option<Progress>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resource {
    pub spec: Spec,
    /// Increases by 1 with each change of the spec.
    pub generation: u64,
    pub status: Status,
}

/// Holds all resources of one configuration revision.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    pub revision: u64,
    pub resources: BTreeMap<Id, Resource>,
}

macro_rules! lookup {
    ($method:ident, $variant:ident) => {
        pub fn $method(&self, name: &str) -> Option<&$variant> {
            match &self.get(Kind::$variant, name)?.spec {
                Spec::$variant(spec) => Some(spec),
                _ => None,
            }
        }
    };
}

impl Catalog {
    lookup!(workspace, Workspace);
    lookup!(pool, Pool);
    lookup!(service, Service);
    lookup!(version, Version);

    pub fn get(&self, kind: Kind, name: &str) -> Option<&Resource> {
        self.resources.get(&Id::new(kind, name))
    }

    /// Returns the version that serves a service while no move is in progress.
    pub fn serving_version(&self, service: &str) -> Option<Arc<str>> {
        let resource = self.get(Kind::Service, service)?;
        let Spec::Service(spec) = &resource.spec else { return None };
        Some(resource.status.serving.clone().unwrap_or_else(|| spec.version.clone()))
    }

    /// Returns the moves of a service that are in progress.
    pub fn open_moves(&self, service: &str) -> SmallVec<[(&Id, &Move, &Progress); 1]> {
        let moves = self.resources.iter().filter_map(|(id, resource)| match &resource.spec {
            Spec::Move(spec) if &*spec.service == service => {
                let progress = resource.status.progress.as_ref()?;
                (progress.phase == Phase::InProgress).then_some((id, spec, progress))
            }
            _ => None,
        });
        moves.collect()
    }

    /// Checks the references between resources; returns the resource, the field and a message for
    /// each broken reference.
    pub fn broken_references(&self) -> Vec<(Id, &'static str, String)> {
        let mut broken = Vec::new();
        for (id, resource) in &self.resources {
            for (field, kind, name) in references(&resource.spec) {
                if self.get(kind, name).is_none() {
                    broken.push((id.clone(), field, format!("there is no {kind} \"{name}\"")));
                }
            }
            if let Spec::Move(spec) = &resource.spec {
                for (field, name) in [("from", &spec.from), ("to", &spec.to)] {
                    let mismatched =
                        self.version(name).filter(|found| found.service != spec.service);
                    if mismatched.is_some() {
                        let message = format!("\"{name}\" is a version of another service");
                        broken.push((id.clone(), field, message));
                    }
                }
            }
        }
        broken
    }
}

fn references(spec: &Spec) -> SmallVec<[(&'static str, Kind, &str); 3]> {
    match spec {
        Spec::Workspace(_) | Spec::Pool(_) => SmallVec::new(),
        Spec::Service(spec) => smallvec::smallvec![("version", Kind::Version, &*spec.version)],
        Spec::Version(spec) => smallvec::smallvec![
            ("service", Kind::Service, &*spec.service),
            ("pool", Kind::Pool, &*spec.pool)
        ],
        Spec::Move(spec) => smallvec::smallvec![
            ("service", Kind::Service, &*spec.service),
            ("from", Kind::Version, &*spec.from),
            ("to", Kind::Version, &*spec.to)
        ],
    }
}

/// Holds one parsed declaration with its location, so that later checks can report the line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Declaration {
    pub id: Id,
    pub spec: Spec,
    pub file: Arc<str>,
    pub line: usize,
}

/// Parses the declarations of one file; fails with all mistakes found.
pub fn parse(file: &str, text: &str) -> Result<Vec<Declaration>, Vec<Mistake>> {
    let items = document::read_all(file, text, |reader| {
        let line = reader.line();
        let kinds = Kind::ALL.map(|kind| (kind.as_str(), kind));
        let kind = reader.choice("kind", &kinds, None);
        let name = reader.text("name");
        if !name.is_empty() && !is_name(&name) {
            reader.reject("name", "expected lower-case letters, digits, '-' and '.', at most 63");
        }
        let spec = match kind? {
            Kind::Workspace => Spec::Workspace(read_workspace(reader)),
            Kind::Pool => Spec::Pool(read_pool(reader)),
            Kind::Service => Spec::Service(read_service(reader)),
            Kind::Version => Spec::Version(read_version(reader)),
            Kind::Move => Spec::Move(read_move(reader)),
        };
        Some(Declaration { id: Id::new(spec.kind(), name), spec, file: file.into(), line })
    })?;
    Ok(items.into_iter().flatten().collect())
}

/// Returns whether `text` is a valid resource name.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.');
    !text.is_empty() && text.len() <= 63 && text.bytes().all(allowed)
}

fn read_workspace(reader: &mut Reader<'_>) -> Workspace {
    let share = reader.number("share", 1..=1_000, Some(1));
    let token_digests = reader.texts("token_digests");
    if token_digests.iter().any(|digest| !config::is_sha256_digest(digest)) {
        reader.reject("token_digests", "expected 64 lower-case hexadecimal digits each");
    }
    Workspace { share, token_digests }
}

fn read_pool(reader: &mut Reader<'_>) -> Pool {
    Pool {
        class: reader.text("class"),
        checks_fencing: reader.flag("checks_fencing", false),
        concurrency: reader.number("concurrency", 1..=4_096, Some(64)),
    }
}

fn read_service(reader: &mut Reader<'_>) -> Service {
    let protocols = [("model", Protocol::Model), ("plain", Protocol::Plain)];
    Service {
        protocol: reader.choice("protocol", &protocols, None).unwrap_or(Protocol::Plain),
        version: reader.text("version"),
        routes: reader.objects("routes", read_route),
        first_token_ms: reader.number("first_token_ms", 1..=600_000, Some(360)),
        token_gap_ms: reader.number("token_gap_ms", 1..=600_000, Some(74)),
        deadline_ms: reader.number("deadline_ms", 1..=86_400_000, Some(120_000)),
        in_flight: reader.number("in_flight", 1..=1_000_000, Some(4_096)),
    }
}

fn read_route(reader: &mut Reader<'_>) -> Route {
    let path = reader.text("path");
    if !path.is_empty() && !path.starts_with('/') {
        reader.reject("path", "must start with '/'");
    }
    let idempotent = reader.flag("idempotent", false);
    Route { method: reader.optional_text("method"), path, idempotent }
}

fn read_version(reader: &mut Reader<'_>) -> Version {
    Version { service: reader.text("service"), pool: reader.text("pool") }
}

fn read_move(reader: &mut Reader<'_>) -> Move {
    let spec = Move {
        service: reader.text("service"),
        from: reader.text("from"),
        to: reader.text("to"),
        within_s: reader.number("within_s", MIN_MOVE_S..=2_592_000, None),
    };
    if spec.from == spec.to && !spec.to.is_empty() {
        reader.reject("to", "must differ from \"from\"");
    }
    spec
}

impl Service {
    /// Returns whether a request may be retried, as its route declares, or else by its method as in
    /// RFC 9110.
    pub fn is_idempotent(&self, method: &http::Method, path: &str) -> bool {
        self.route(method, path).map_or_else(|| method.is_idempotent(), |route| route.idempotent)
    }

    /// Returns the most specific route that matches a request.
    pub fn route(&self, method: &http::Method, path: &str) -> Option<&Route> {
        let matching = self.routes.iter().filter(|route| {
            let matches_method =
                route.method.as_ref().is_none_or(|name| **name == *method.as_str());
            matches_method && has_path_prefix(path, &route.path)
        });
        matching.max_by_key(|route| (route.path.len(), route.method.is_some()))
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
