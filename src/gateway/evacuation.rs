//! Failure domains that the operators have ordered to evacuate.
//!
//! The load: a domain with a quarter of the endpoints is evacuated for some seconds, also while a roll-out runs,
//! nodes are killed or another domain loses power. From the order on, nothing more is sent to the endpoints there.
//! They are healthy: what they run goes on, and they are used again once the order is removed. See
//! `docs/design/evacuation.md`.

use std::collections::BTreeSet;
use std::sync::Arc;

use smallvec::SmallVec;

/// What makes an evacuation worth a warning. It is executed as given all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Concern {
    /// No listed endpoint is in the domain, so that the evacuation changes nothing.
    UnknownDomain,
    /// Another domain is evacuated too.
    Concurrent,
    /// No endpoint is left outside of evacuated domains.
    LastDomain,
}

impl Concern {
    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Concern::UnknownDomain => "unknown_domain",
            Concern::Concurrent => "concurrent",
            Concern::LastDomain => "last_domain",
        }
    }
}

/// Domains whose endpoints get no requests.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// An ordered set, so that logs and metrics list the domains in the same order on all nodes.
    domains: BTreeSet<Arc<str>>,
}

impl Evacuations {
    /// Applies an order; returns whether it is new.
    pub fn begin(&mut self, domain: Arc<str>) -> bool {
        self.domains.insert(domain)
    }

    /// Applies the removal of an order; returns whether the domain was evacuated.
    pub fn end(&mut self, domain: &str) -> bool {
        self.domains.remove(domain)
    }

    /// Ends the evacuations that a complete read of the orders doesn't hold, and returns their domains. The
    /// removal of an order that fell into an outage of the store, or was undone with it, is seen only so.
    pub fn retain_ordered(&mut self, ordered: &[Arc<str>]) -> Vec<Arc<str>> {
        let is_ended = |domain: &&Arc<str>| !ordered.contains(*domain);
        let ended: Vec<_> = self.domains.iter().filter(is_ended).cloned().collect();
        self.domains.retain(|domain| ordered.contains(domain));
        ended
    }

    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    pub fn domains(&self) -> impl Iterator<Item = &Arc<str>> {
        self.domains.iter()
    }

    /// Returns what the operators should know of the evacuation of a domain, given the domains with endpoints.
    pub fn concerns(&self, domain: &str, listed: &BTreeSet<Arc<str>>) -> SmallVec<[Concern; 3]> {
        let mut concerns = SmallVec::new();
        if !listed.contains(domain) {
            concerns.push(Concern::UnknownDomain);
        }
        if self.domains.iter().any(|other| **other != *domain) {
            concerns.push(Concern::Concurrent);
        }
        if listed.contains(domain) && listed.iter().all(|it| self.is_evacuated(it)) {
            concerns.push(Concern::LastDomain);
        }
        concerns
    }
}
