//! Shares of tenants and priorities in the room of one service while it is short.
//!
//! The load that decides is a few tenants that send several times their usual rate while part of the
//! endpoints is lost. Every node then turns requests away, and without shares the tenants that send
//! most get most. A node sees too few requests to judge this by its own, so the nodes exchange what each
//! tenant and priority started and lacked in the last second. All state expires within two seconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::demand;
use crate::gateway::platform::Prompt;

/// Time constant of recent sums, so that a steady rate gives the sum of one second.
const MEMORY: Duration = Duration::from_secs(1);
/// Age from which a report of a peer doesn't count, as for its loads.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);
/// Time without a start after which a tenant or priority that lacks room goes first. With a heartbeat
/// and the next release of room it stays within the bound of two seconds.
const STARVED_AFTER: Duration = Duration::from_secs(1);
/// Time after a request found no room for which reserved room is kept free; rejected callers retry meanwhile.
const MAX_WANTED_AGE: Duration = Duration::from_millis(500);
/// Work of an output token relative to a prompt token.
const OUTPUT_TOKEN_WORK: u32 = 10;
/// Part of an endpoint's slots that is reserved for each rank of priority, and at most.
const RESERVED_PER_RANK: f64 = 0.125;
const MAX_RESERVED: f64 = 0.5;
/// Use above the share that is tolerated, since reports are a heartbeat old.
const SHARE_SLACK: f64 = 1.1;
/// Most tenants of a service in a report; those with the most work go first.
const MAX_REPORTED_TENANTS: usize = 32;

/// Priorities of a request; the least is the most urgent.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Class {
    /// The tenant's priority if it has one, else the route's.
    pub priority: u8,
    pub route_priority: u8,
}

impl Class {
    /// Returns the number of ranks by which this class is less urgent than another.
    fn ranks_below(self, other: Class) -> u8 {
        if self.priority == other.priority {
            self.route_priority.saturating_sub(other.route_priority)
        } else {
            self.priority.saturating_sub(other.priority)
        }
    }
}

/// What a request asks of its service.
#[derive(Debug, Clone)]
pub struct Claim {
    pub class: Class,
    /// Empty for requests without a tenant.
    pub tenant: Arc<str>,
    pub work: u32,
    /// Whether some endpoints were tried, so that the request may wait for one that others don't need.
    pub is_restricted: bool,
}

/// Returns the work of a request: prompt tokens to read and ten for each output token; 1 without a prompt.
pub fn work(prompt: Option<&Prompt>) -> u32 {
    prompt.map_or(1, |prompt| {
        let output = prompt.max_output_tokens.saturating_mul(OUTPUT_TOKEN_WORK);
        demand::prefill_tokens(prompt).saturating_add(output).max(1)
    })
}

/// A sum over about the last second, which is 0 once nothing was added for a second.
#[derive(Debug, Default, Clone, Copy)]
struct Recent {
    sum: f64,
    updated_at: Duration,
}

impl Recent {
    fn add(&mut self, amount: f64, now: Duration) {
        self.sum = self.value(now) + amount;
        self.updated_at = now;
    }

    fn value(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        if age >= MEMORY { 0.0 } else { self.sum * (-age.div_duration_f64(MEMORY)).exp() }
    }

    /// Returns the sum as reported, at least 1 while it isn't 0.
    fn rounded(&self, now: Duration) -> u32 {
        self.value(now).ceil() as u32
    }
}

/// Recent work of a tenant or class at this node.
#[derive(Debug, Default)]
struct Usage {
    started: Recent,
    lacked: Recent,
    /// Time since which requests lacked room and none started.
    lacking_since: Option<Duration>,
}

impl Usage {
    fn record_start(&mut self, work: f64, now: Duration) {
        self.started.add(work, now);
        self.lacking_since = None;
    }

    fn record_lack(&mut self, work: f64, now: Duration) {
        if self.lacked.value(now) == 0.0 {
            self.lacking_since = None;
        }
        self.lacking_since.get_or_insert(now);
        self.lacked.add(work, now);
    }

    fn has_lacked_long(&self, now: Duration) -> bool {
        self.lacking_since.is_some_and(|since| now.saturating_sub(since) >= STARVED_AFTER)
            && self.lacked.value(now) > 0.0
    }

    fn is_expired(&self, now: Duration) -> bool {
        self.started.value(now) == 0.0 && self.lacked.value(now) == 0.0
    }
}

/// Work that was started and that lacked room in the last second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub started: u32,
    pub lacked: u32,
}

impl Work {
    fn add(&mut self, other: Work) {
        self.started = self.started.saturating_add(other.started);
        self.lacked = self.lacked.saturating_add(other.lacked);
    }
}

/// What one node, or the nodes of a failure domain, saw of a service in the last second.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub releases: u32,
    pub rejections: u32,
    /// Number of waiting requests, and of the nodes that have some.
    pub waiting: u32,
    pub waiting_nodes: u32,
    /// Left out while the service isn't short.
    classes: Vec<(Class, Work)>,
    tenants: Vec<(Arc<str>, Work)>,
}

/// Sum of reports.
#[derive(Debug, Default)]
struct Totals {
    releases: u32,
    rejections: u32,
    waiting: u32,
    waiting_nodes: u32,
    classes: BTreeMap<Class, Work>,
    tenants: BTreeMap<Arc<str>, Work>,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.releases = self.releases.saturating_add(report.releases);
        self.rejections = self.rejections.saturating_add(report.rejections);
        self.waiting = self.waiting.saturating_add(report.waiting);
        self.waiting_nodes = self.waiting_nodes.saturating_add(report.waiting_nodes);
        for (class, work) in &report.classes {
            self.classes.entry(*class).or_default().add(*work);
        }
        for (tenant, work) in &report.tenants {
            self.tenants.entry(tenant.clone()).or_default().add(*work);
        }
    }

    fn into_report(self) -> Report {
        let mut tenants: Vec<_> = self.tenants.into_iter().collect();
        tenants.sort_by_key(|(_, work)| std::cmp::Reverse(work.started.max(work.lacked)));
        tenants.truncate(MAX_REPORTED_TENANTS);
        Report {
            releases: self.releases,
            rejections: self.rejections,
            waiting: self.waiting,
            waiting_nodes: self.waiting_nodes,
            classes: self.classes.into_iter().collect(),
            tenants,
        }
    }
}

/// Releases, rejections and waiting requests of a service over all nodes in the last second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Flow {
    pub releases: u32,
    pub rejections: u32,
    pub waiting: u32,
    /// Nodes with waiting requests, including this one.
    pub waiting_nodes: u32,
}

/// Recent use of one service, at this node and as its peers report it.
#[derive(Debug, Default)]
pub struct Share {
    releases: Recent,
    rejections: Recent,
    classes: BTreeMap<Class, Usage>,
    tenants: BTreeMap<Arc<str>, Usage>,
    /// Newest report of each direct peer and of each other failure domain, with its age counted from.
    peers: HashMap<Arc<str>, (Duration, Report)>,
    domains: HashMap<Arc<str>, (Duration, Report)>,
}

impl Share {
    pub fn record_start(&mut self, claim: &Claim, now: Duration) {
        self.classes.entry(claim.class).or_default().record_start(1.0, now);
        let tenant = self.tenants.entry(claim.tenant.clone()).or_default();
        tenant.record_start(f64::from(claim.work), now);
        self.expire(now);
    }

    /// Records that a request found no room: it waits or is rejected.
    pub fn record_lack(&mut self, claim: &Claim, now: Duration) {
        self.classes.entry(claim.class).or_default().record_lack(1.0, now);
        let tenant = self.tenants.entry(claim.tenant.clone()).or_default();
        tenant.record_lack(f64::from(claim.work), now);
        self.expire(now);
    }

    pub fn record_release(&mut self, now: Duration) {
        self.releases.add(1.0, now);
    }

    /// Records that a request was rejected for lack of room.
    pub fn record_rejection(&mut self, now: Duration) {
        self.rejections.add(1.0, now);
    }

    fn expire(&mut self, now: Duration) {
        self.classes.retain(|_, usage| !usage.is_expired(now));
        self.tenants.retain(|_, usage| !usage.is_expired(now));
        let is_fresh = |read_at: Duration| now.saturating_sub(read_at) < MAX_REPORT_AGE;
        self.peers.retain(|_, (read_at, _)| is_fresh(*read_at));
        self.domains.retain(|_, (read_at, _)| is_fresh(*read_at));
    }

    pub fn set_peer(&mut self, peer: &Arc<str>, report: Report, read_at: Duration) {
        self.peers.insert(peer.clone(), (read_at, report));
    }

    pub fn set_domain(&mut self, domain: &Arc<str>, report: Report, read_at: Duration) {
        self.domains.insert(domain.clone(), (read_at, report));
    }

    /// Returns what this node reports to its direct peers.
    pub fn report(&self, waiting: usize, now: Duration) -> Report {
        self.own(waiting, self.is_short(now), now)
    }

    /// Returns the sum for the failure domain, which its relay reports to the others.
    pub fn domain_report(&self, waiting: usize, now: Duration) -> Report {
        let mut totals = Totals::default();
        totals.add(&self.report(waiting, now));
        self.fresh(&self.peers, now).for_each(|report| totals.add(report));
        totals.into_report()
    }

    fn own(&self, waiting: usize, has_details: bool, now: Duration) -> Report {
        let work = |usage: &Usage| Work {
            started: usage.started.rounded(now),
            lacked: usage.lacked.rounded(now),
        };
        let mut totals = Totals {
            releases: self.releases.rounded(now),
            rejections: self.rejections.rounded(now),
            waiting: waiting as u32,
            waiting_nodes: u32::from(waiting > 0),
            ..Totals::default()
        };
        if has_details {
            totals.classes =
                self.classes.iter().map(|(class, usage)| (*class, work(usage))).collect();
            totals.tenants =
                self.tenants.iter().map(|(tenant, usage)| (tenant.clone(), work(usage))).collect();
        }
        totals.into_report()
    }

    fn fresh<'a>(
        &self,
        reports: &'a HashMap<Arc<str>, (Duration, Report)>,
        now: Duration,
    ) -> impl Iterator<Item = &'a Report> {
        reports
            .values()
            .filter(move |(read_at, _)| now.saturating_sub(*read_at) < MAX_REPORT_AGE)
            .map(|(_, report)| report)
    }

    fn others(&self, now: Duration) -> impl Iterator<Item = &Report> {
        self.fresh(&self.peers, now).chain(self.fresh(&self.domains, now))
    }

    fn totals(&self, waiting: usize, now: Duration) -> Totals {
        let mut totals = Totals::default();
        totals.add(&self.own(waiting, true, now));
        self.others(now).for_each(|report| totals.add(report));
        totals
    }

    /// Returns the sums over all nodes, or `None` if no room was released in the last second.
    pub fn flow(&self, waiting: usize, now: Duration) -> Option<Flow> {
        let mut flow = Flow {
            releases: self.releases.rounded(now),
            rejections: self.rejections.rounded(now),
            waiting: waiting as u32,
            waiting_nodes: 1,
        };
        for report in self.others(now) {
            flow.releases = flow.releases.saturating_add(report.releases);
            flow.rejections = flow.rejections.saturating_add(report.rejections);
            flow.waiting = flow.waiting.saturating_add(report.waiting);
            flow.waiting_nodes = flow.waiting_nodes.saturating_add(report.waiting_nodes);
        }
        (flow.releases > 0).then_some(flow)
    }

    /// Returns whether some node hears other nodes, so that sums over all nodes are known.
    pub fn has_reports(&self, now: Duration) -> bool {
        self.others(now).next().is_some()
    }

    /// Returns whether requests waited or were rejected for lack of room in the last second, at any node.
    pub fn is_short(&self, now: Duration) -> bool {
        self.classes.values().any(|usage| usage.lacked.value(now) > 0.0)
            || self.others(now).any(|it| it.classes.iter().any(|(_, work)| work.lacked > 0))
    }

    /// Returns whether others want the room that a request leaves free: more urgent requests found none in the
    /// last half second at this node or wait at others, or its tenant is above its share.
    pub fn is_wanted(&self, claim: &Claim, now: Duration) -> bool {
        let is_recent = |usage: &Usage| {
            now.saturating_sub(usage.lacked.updated_at) < MAX_WANTED_AGE
                && usage.lacked.value(now) > 0.0
        };
        let mut more_urgent = self.classes.range(..claim.class);
        let waits = |report: &Report| {
            let mut classes = report.classes.iter();
            report.waiting > 0
                && classes.any(|(class, work)| *class < claim.class && work.lacked > 0)
        };
        more_urgent.any(|(_, usage)| is_recent(usage))
            || self.others(now).any(waits)
            || self.is_above(claim, now)
    }

    /// Returns the part of an endpoint's slots that a request leaves free for more urgent ones; 0 while no
    /// such request is short.
    pub fn reserved(&self, claim: &Claim, now: Duration) -> f64 {
        if !self.is_short(now) {
            return 0.0;
        }
        let totals = self.totals(0, now);
        if self.is_starved(claim, &totals, now) {
            return 0.0;
        }
        let mut short = totals.classes.iter().filter(|(_, work)| work.lacked > 0);
        let below = short.next().map_or(0, |(urgent, _)| claim.class.ranks_below(*urgent));
        // A tenant above its share yields to the others of its class as to a more urgent one.
        let ranks = f64::from(below) + f64::from(u8::from(is_above(&totals, claim)));
        (ranks * RESERVED_PER_RANK).min(MAX_RESERVED)
    }

    /// Returns whether a tenant has used more than its max-min share while another one lacks room that has
    /// used less.
    pub fn is_above(&self, claim: &Claim, now: Duration) -> bool {
        self.is_short(now) && is_above(&self.totals(0, now), claim)
    }

    /// Returns whether the tenant or the class of a request got nothing for too long.
    pub fn is_overdue(&self, claim: &Claim, now: Duration) -> bool {
        self.is_short(now) && self.is_starved(claim, &self.totals(0, now), now)
    }

    fn is_starved(&self, claim: &Claim, totals: &Totals, now: Duration) -> bool {
        self.is_starved_class(claim.class, totals, now)
            || self.is_starved_tenant(&claim.tenant, totals, now)
    }

    fn is_starved_class(&self, class: Class, totals: &Totals, now: Duration) -> bool {
        self.classes.get(&class).is_some_and(|usage| usage.has_lacked_long(now))
            && totals.classes.get(&class).is_none_or(|work| work.started == 0)
    }

    fn is_starved_tenant(&self, tenant: &str, totals: &Totals, now: Duration) -> bool {
        self.tenants.get(tenant).is_some_and(|usage| usage.has_lacked_long(now))
            && totals.tenants.get(tenant).is_none_or(|work| work.started == 0)
    }

    /// Sorts waiting requests into the order in which they are served, and returns how many of them go
    /// first because their tenant or class got nothing for too long.
    ///
    /// Within a class, the next is that of the tenant with the least work in the last second, to which the
    /// work of its requests before it is added (start-time fair queueing).
    pub fn sort<T>(
        &self,
        waiting: &mut Vec<T>,
        claim: impl Fn(&T) -> &Claim,
        key: impl Fn(&T) -> (Duration, u64),
        now: Duration,
    ) -> usize {
        waiting.sort_by_key(|it| (claim(it).class, key(it)));
        let Some(first) = waiting.first() else { return 0 };
        let has_one_tenant = waiting.iter().all(|it| claim(it).tenant == claim(first).tenant);
        let has_one_class = waiting.iter().all(|it| claim(it).class == claim(first).class);
        if has_one_tenant && has_one_class {
            return usize::from(self.is_overdue(claim(first), now));
        }
        let totals = self.totals(0, now);
        if !has_one_tenant {
            let mut used: BTreeMap<Arc<str>, f64> = BTreeMap::new();
            for (tenant, work) in &totals.tenants {
                used.insert(tenant.clone(), f64::from(work.started));
            }
            let mut tagged: Vec<(Class, f64, Duration, u64, T)> = Vec::with_capacity(waiting.len());
            // Requests of one tenant and class are in the order of their deadlines, so the tags rise.
            for request in waiting.drain(..) {
                let Claim { class, ref tenant, work, .. } = *claim(&request);
                let tag = used.entry(tenant.clone()).or_default();
                let start = *tag;
                *tag += f64::from(work);
                let (deadline, serial) = key(&request);
                tagged.push((class, start, deadline, serial, request));
            }
            tagged.sort_by(|left, right| {
                let by_share = left.0.cmp(&right.0).then(left.1.total_cmp(&right.1));
                by_share.then((left.2, left.3).cmp(&(right.2, right.3)))
            });
            waiting.extend(tagged.into_iter().map(|(.., request)| request));
        }
        let mut served: BTreeSet<Class> = BTreeSet::new();
        let mut served_tenants: BTreeSet<Arc<str>> = BTreeSet::new();
        let (mut overdue, mut others) = (Vec::new(), Vec::with_capacity(waiting.len()));
        for request in waiting.drain(..) {
            let Claim { class, tenant, .. } = claim(&request);
            let is_due = !served.contains(class) && self.is_starved_class(*class, &totals, now)
                || !served_tenants.contains(tenant) && self.is_starved_tenant(tenant, &totals, now);
            if is_due {
                served.insert(*class);
                served_tenants.insert(tenant.clone());
                overdue.push(request);
            } else {
                others.push(request);
            }
        }
        let count = overdue.len();
        waiting.extend(overdue);
        waiting.extend(others);
        count
    }
}

fn is_above(totals: &Totals, claim: &Claim) -> bool {
    let Claim { tenant, work, .. } = claim;
    let Some(own) = totals.tenants.get(tenant) else { return false };
    let level = fair_level(totals.tenants.values());
    let started = f64::from(own.started);
    let is_wanted = |(name, work): (&Arc<str>, &Work)| {
        *name != *tenant && work.lacked > 0 && f64::from(work.started) < level
    };
    // One request beyond the share is tolerated, since large ones exceed it by themselves.
    started > level * SHARE_SLACK + f64::from(*work) && totals.tenants.iter().any(is_wanted)
}

/// Returns the max-min share of the work that was started: what each tenant that wants at least as much gets.
/// Tenants that lacked room want more than they got; the others are content.
fn fair_level<'a>(tenants: impl Iterator<Item = &'a Work>) -> f64 {
    let mut capacity = 0.0;
    let mut wanted: Vec<f64> = tenants
        .map(|work| {
            capacity += f64::from(work.started);
            f64::from(work.started) + f64::from(work.lacked)
        })
        .collect();
    wanted.sort_by(f64::total_cmp);
    let mut remaining = wanted.len();
    for want in wanted {
        let level = capacity / remaining as f64;
        if want >= level {
            return level;
        }
        capacity -= want;
        remaining -= 1;
    }
    f64::MAX
}
