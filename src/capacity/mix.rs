//! Choice of the cheapest VM mix that survives the loss of a failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Offer, Place};

/// Part by which the price of a VM that already runs is counted lower, so that small price changes
/// don't replace VMs: a replacement pays for two VMs while the new one warms up.
pub const STICKINESS: f64 = 0.1;

/// Counts VMs by place.
pub type Counts = BTreeMap<Place, u32>;

/// Counts the VMs that remain after the largest reclaimable failure domain is lost.
pub fn survivors(counts: &Counts) -> u32 {
    let total: u32 = counts.values().sum();
    total - largest_loss(counts)
}

/// Counts the VMs that the reclaim of one failure domain can take at once.
pub fn largest_loss(counts: &Counts) -> u32 {
    let mut by_domain: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for (place, count) in counts.iter().filter(|(place, _)| place.reclaimable) {
        *by_domain.entry(&place.failure_domain).or_default() += count;
    }
    by_domain.into_values().max().unwrap_or(0)
}

/// Gives the least costly mix in which `needed` VMs survive the loss of the largest reclaimable
/// failure domain. When the offers don't suffice, it gives the mix with most survivors.
///
/// All VMs of a pool have the same throughput. So for a bound on the reclaimable VMs of one failure
/// domain, taking the cheapest VMs until `needed` plus the bound is optimal, and trying all bounds
/// gives the optimum.
pub fn cheapest(needed: u32, offers: &[Offer], running: &Counts) -> Counts {
    let (segments, domains) = segments(offers, running);
    let fills = (0..=needed).map(|bound| fill(needed, bound, &segments, domains));
    let best = fills.min_by(|left, right| {
        let ranks = right.rank(needed).cmp(&left.rank(needed));
        ranks.then(left.cost.total_cmp(&right.cost))
    });
    let mut counts = Counts::new();
    for (segment, taken) in segments.iter().zip(best.map(|fill| fill.taken).unwrap_or_default()) {
        if taken > 0 {
            *counts.entry(segment.place.clone()).or_default() += taken;
        }
    }
    counts
}

/// Holds VMs of one place that have the same price.
#[derive(Debug)]
struct Segment<'a> {
    place: &'a Place,
    price: f64,
    count: u32,
    /// Number of the failure domain, for reclaimable VMs.
    domain: Option<usize>,
}

/// Lists the segments by price, and counts the failure domains.
fn segments<'a>(offers: &'a [Offer], running: &Counts) -> (Vec<Segment<'a>>, usize) {
    let mut segments = Vec::new();
    let mut domains: Vec<&Arc<str>> = Vec::new();
    for offer in offers {
        let place = &offer.place;
        let known = domains.iter().position(|name| **name == place.failure_domain);
        let domain = known.unwrap_or(domains.len());
        if known.is_none() {
            domains.push(&place.failure_domain);
        }
        let domain = place.reclaimable.then_some(domain);
        let kept = running.get(place).copied().unwrap_or(0).min(offer.limit);
        let sticky = offer.price * (1.0 - STICKINESS);
        segments.push(Segment { place, price: sticky, count: kept, domain });
        segments.push(Segment { place, price: offer.price, count: offer.limit - kept, domain });
    }
    segments.sort_by(|left, right| {
        left.price.total_cmp(&right.price).then_with(|| left.place.cmp(right.place))
    });
    (segments, domains.len())
}

/// Holds the VMs taken from each segment.
#[derive(Debug)]
struct Fill {
    taken: Vec<u32>,
    total: u32,
    loss: u32,
    cost: f64,
}

impl Fill {
    /// Orders mixes that don't suffice: survivors first, then VMs in the usual state.
    fn rank(&self, needed: u32) -> (u32, u32) {
        ((self.total - self.loss).min(needed), self.total.min(needed))
    }
}

/// Takes the cheapest VMs until `needed` remain after the loss of `bound` VMs.
fn fill(needed: u32, bound: u32, segments: &[Segment<'_>], domains: usize) -> Fill {
    let mut reclaimable = vec![0; domains];
    let mut fill = Fill { taken: Vec::with_capacity(segments.len()), total: 0, loss: 0, cost: 0.0 };
    for segment in segments {
        let mut taken = segment.count.min(needed + bound - fill.total);
        if let Some(domain) = segment.domain {
            taken = taken.min(bound - reclaimable[domain]);
            reclaimable[domain] += taken;
            fill.loss = fill.loss.max(reclaimable[domain]);
        }
        fill.total += taken;
        fill.cost += f64::from(taken) * segment.price;
        fill.taken.push(taken);
    }
    fill
}
