//! Selection of the cheapest VM mix that tolerates the loss of a failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Offer, Placement};

/// Fraction by which the price of a running VM is discounted, so that small price changes don't
/// replace VMs: a replacement pays for two VMs while the new one warms up.
pub const RUNNING_DISCOUNT: f64 = 0.1;

/// Numbers of VMs by placement.
pub type Counts = BTreeMap<Placement, u32>;

/// Returns the number of VMs that remain after the loss of the largest reclaimable failure domain.
pub fn survivors(counts: &Counts) -> u32 {
    let total: u32 = counts.values().sum();
    total - largest_domain_loss(counts)
}

/// Returns the largest number of VMs that the reclaim of one failure domain can remove at once.
pub fn largest_domain_loss(counts: &Counts) -> u32 {
    let mut by_domain: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    for (placement, count) in counts.iter().filter(|(placement, _)| placement.reclaimable) {
        *by_domain.entry(&placement.failure_domain).or_default() += count;
    }
    by_domain.into_values().max().unwrap_or(0)
}

/// Returns the cheapest mix in which `required` VMs survive the loss of the largest reclaimable
/// failure domain. If the offers don't suffice, returns the mix with the most survivors.
///
/// All VMs of a pool have the same throughput. So for a given bound on the reclaimable VMs per
/// failure domain, taking the cheapest VMs until `required` plus the bound is optimal, and trying
/// all bounds finds the optimum.
pub fn cheapest(required: u32, offers: &[Offer], running: &Counts) -> Counts {
    let (segments, domains) = segments(offers, running);
    let selections = (0..=required).map(|max_loss| select(required, max_loss, &segments, domains));
    let best = selections.min_by(|left, right| {
        let ranks = right.rank(required).cmp(&left.rank(required));
        ranks.then(left.cost.total_cmp(&right.cost))
    });
    let mut counts = Counts::new();
    for (segment, taken) in
        segments.iter().zip(best.map(|selection| selection.taken).unwrap_or_default())
    {
        if taken > 0 {
            *counts.entry(segment.placement.clone()).or_default() += taken;
        }
    }
    counts
}

/// VMs of one placement that have the same price.
#[derive(Debug)]
struct Segment<'a> {
    placement: &'a Placement,
    price: f64,
    count: u32,
    /// Index of the failure domain, for reclaimable VMs.
    domain: Option<usize>,
}

/// Returns the segments sorted by price, and the number of failure domains.
fn segments<'a>(offers: &'a [Offer], running: &Counts) -> (Vec<Segment<'a>>, usize) {
    let mut segments = Vec::new();
    let mut domains: Vec<&Arc<str>> = Vec::new();
    for offer in offers {
        let placement = &offer.placement;
        let known = domains.iter().position(|name| **name == placement.failure_domain);
        let domain = known.unwrap_or(domains.len());
        if known.is_none() {
            domains.push(&placement.failure_domain);
        }
        let domain = placement.reclaimable.then_some(domain);
        let running_count = running.get(placement).copied().unwrap_or(0).min(offer.max_vms);
        let discounted = offer.price * (1.0 - RUNNING_DISCOUNT);
        segments.push(Segment { placement, price: discounted, count: running_count, domain });
        segments.push(Segment {
            placement,
            price: offer.price,
            count: offer.max_vms - running_count,
            domain,
        });
    }
    segments.sort_by(|left, right| {
        left.price.total_cmp(&right.price).then_with(|| left.placement.cmp(right.placement))
    });
    (segments, domains.len())
}

/// Numbers of VMs taken from each segment.
#[derive(Debug)]
struct Selection {
    taken: Vec<u32>,
    total: u32,
    loss: u32,
    cost: f64,
}

impl Selection {
    /// Ranks selections that don't suffice: by survivors, then by VMs before any loss.
    fn rank(&self, required: u32) -> (u32, u32) {
        ((self.total - self.loss).min(required), self.total.min(required))
    }
}

/// Takes the cheapest VMs until `required` remain after the loss of `max_loss` VMs.
fn select(required: u32, max_loss: u32, segments: &[Segment<'_>], domains: usize) -> Selection {
    let mut reclaimable = vec![0; domains];
    let mut selection =
        Selection { taken: Vec::with_capacity(segments.len()), total: 0, loss: 0, cost: 0.0 };
    for segment in segments {
        let mut taken = segment.count.min(required + max_loss - selection.total);
        if let Some(domain) = segment.domain {
            taken = taken.min(max_loss - reclaimable[domain]);
            reclaimable[domain] += taken;
            selection.loss = selection.loss.max(reclaimable[domain]);
        }
        selection.total += taken;
        selection.cost += f64::from(taken) * segment.price;
        selection.taken.push(taken);
    }
    selection
}
