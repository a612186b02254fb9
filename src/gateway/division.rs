//! Division of a request rate of an endpoint among the nodes.
//!
//! A rate may be lower than the number of nodes, so equal parts would allow no node a request. Instead a few
//! nodes use the endpoint, and each spends an equal part from a token bucket of its own. All nodes derive the
//! users from the live nodes in the same way, and leave the part of silent ones unused. The load that it
//! addresses: all nodes send to the same few endpoints at once, each of which takes few requests.

use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Live nodes as one of them knows them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Fleet {
    pub node: Arc<str>,
    pub domain: Arc<str>,
    /// The other live nodes of the failure domain.
    pub neighbors: Vec<Arc<str>>,
    /// Number of live nodes in each failure domain, this node included.
    pub domains: SmallVec<[(Arc<str>, u32); 8]>,
    /// Live nodes as a fraction of those that have not expired.
    pub share: f64,
}

impl Fleet {
    /// Returns the requests per second that this node may send to an endpoint that takes `rate` from all
    /// nodes, with one user for each `user_rate`; 0 if other nodes use the endpoint.
    ///
    /// The nodes of the endpoint's failure domain come first, since requests from there cross no other one.
    pub fn own_rate(
        &self,
        endpoint: &str,
        endpoint_domain: &str,
        rate: f64,
        user_rate: f64,
    ) -> f64 {
        let seed = xxh3::xxh3_64(endpoint.as_bytes());
        let rank = |name: &str| xxh3::xxh3_64_with_seed(name.as_bytes(), seed);
        let domain_rank =
            |domain: &str| (domain != endpoint_domain, rank(domain), Arc::from(domain));
        let own_domain: (bool, u64, Arc<str>) = domain_rank(&self.domain);
        let (mut live, mut ahead) = (0, 0);
        for (domain, count) in &self.domains {
            live += count;
            if domain_rank(domain) < own_domain {
                ahead += count;
            }
        }
        let users = ((rate / user_rate) as u32).clamp(1, live.max(1));
        if ahead >= users {
            return 0.0;
        }
        let own = (rank(&self.node), &self.node);
        ahead += self.neighbors.iter().filter(|name| (rank(name), *name) < own).count() as u32;
        if ahead < users { rate * self.share / f64::from(users) } else { 0.0 }
    }
}

/// Token bucket from which a node spends its part of a rate.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    /// Requests per second that this node may send.
    own_rate: f64,
    /// Requests that this node may send now; negative after requests that could not wait.
    tokens: f64,
    refilled_at: Duration,
    /// Requests that a node may send at once after a pause, or those of `burst_time` if that is more.
    burst: f64,
    burst_time: Duration,
}

impl Bucket {
    /// Returns an empty bucket.
    pub fn new(burst: f64, burst_time: Duration, now: Duration) -> Bucket {
        Bucket { own_rate: 0.0, tokens: 0.0, refilled_at: now, burst, burst_time }
    }

    pub fn own_rate(&self) -> f64 {
        self.own_rate
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        let capacity = self.burst.max(self.own_rate * self.burst_time.as_secs_f64());
        (self.tokens + elapsed * self.own_rate).min(capacity)
    }

    pub fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    /// Sets the part of this node.
    pub fn assign(&mut self, own_rate: f64, now: Duration) {
        self.refill(now);
        self.own_rate = own_rate;
        // What a node saved while it was a user is another node's part now.
        if own_rate == 0.0 {
            self.tokens = self.tokens.min(0.0);
        }
    }

    /// Sets the requests that this node may send at once now.
    pub fn set_tokens(&mut self, tokens: f64, now: Duration) {
        self.tokens = tokens;
        self.refilled_at = now;
    }

    /// Returns whether this node may send one more request now.
    pub fn permit(&self, now: Duration) -> Permit {
        let missing = 1.0 - self.tokens_at(now);
        if self.own_rate <= 0.0 {
            Permit::Denied
        } else if missing <= 0.0 {
            Permit::Granted
        } else {
            Permit::After(Duration::from_secs_f64(missing / self.own_rate))
        }
    }

    /// Spends one request. What may not wait is paid later.
    pub fn spend(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
    }
}

/// Whether a node may send an endpoint one more request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Permit {
    Granted,
    /// The node has used its part until this much later.
    After(Duration),
    /// Other nodes use the endpoint.
    Denied,
}

impl Permit {
    /// Returns the permit if both rules have to allow a request.
    pub fn and(self, other: Permit) -> Permit {
        match (self, other) {
            (Permit::Denied, _) | (_, Permit::Denied) => Permit::Denied,
            (Permit::After(left), Permit::After(right)) => Permit::After(left.max(right)),
            (Permit::Granted, permit) | (permit, Permit::Granted) => permit,
        }
    }
}
