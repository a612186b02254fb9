//! Choice of the cheapest VM mix that survives the loss of a failure domain.

use std::cmp::Ordering;
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
    let segments = segments(offers, running);
    let best = (0..=needed).map(|bound| fill(needed + bound, bound, &segments)).min_by(
        |(left, left_cost), (right, right_cost)| {
            let ranks = rank(needed, right).cmp(&rank(needed, left));
            ranks.then(left_cost.partial_cmp(right_cost).unwrap_or(Ordering::Equal))
        },
    );
    best.map(|(counts, _)| counts).unwrap_or_default()
}

/// Orders mixes that don't suffice: survivors first, then VMs in the usual state.
fn rank(needed: u32, counts: &Counts) -> (u32, u32) {
    (survivors(counts).min(needed), counts.values().sum::<u32>().min(needed))
}

/// Holds VMs of one place that have the same price.
#[derive(Debug)]
struct Segment<'a> {
    place: &'a Place,
    price: f64,
    count: u32,
}

fn segments<'a>(offers: &'a [Offer], running: &Counts) -> Vec<Segment<'a>> {
    let mut segments = Vec::new();
    for offer in offers {
        let kept = running.get(&offer.place).copied().unwrap_or(0).min(offer.limit);
        let place = &offer.place;
        segments.push(Segment { place, price: offer.price * (1.0 - STICKINESS), count: kept });
        segments.push(Segment { place, price: offer.price, count: offer.limit - kept });
    }
    segments.sort_by(|left, right| {
        left.price.total_cmp(&right.price).then_with(|| left.place.cmp(right.place))
    });
    segments
}

fn fill(mut missing: u32, bound: u32, segments: &[Segment<'_>]) -> (Counts, f64) {
    let mut counts = Counts::new();
    let mut reclaimable: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    let mut cost = 0.0;
    for segment in segments {
        let mut taken = segment.count.min(missing);
        if segment.place.reclaimable {
            let used = reclaimable.entry(&segment.place.failure_domain).or_default();
            taken = taken.min(bound - *used);
            *used += taken;
        }
        if taken > 0 {
            *counts.entry(segment.place.clone()).or_default() += taken;
            cost += f64::from(taken) * segment.price;
            missing -= taken;
        }
    }
    (counts, cost)
}
