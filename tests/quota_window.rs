//! Quotas of tenants over all nodes, without a network.

use std::sync::Arc;
use std::time::Duration;

use pomelolink::gateway::catalog::{Quota, Tenant};
use pomelolink::gateway::quota::Quotas;

const WINDOW: Duration = Duration::from_secs(8);
/// Part by which the users let all nodes together exceed a quota, besides a fixed amount.
const OVERSHOOT: f64 = 0.1;
const RATE: f64 = 100_000.0;
/// Largest sum that may be admitted in a window.
const BOUND: f64 = (RATE * 8.0 + RATE) * (1.0 + OVERSHOOT) + 140_000.0;

fn tenants() -> Vec<Arc<Tenant>> {
    let quota = Quota { rate: RATE, burst: RATE, counts_tokens: true, default_tokens: 200 };
    let tenant = Tenant { name: "a".into(), keys: Vec::new(), priority: None, quota: Some(quota) };
    vec![Arc::new(tenant)]
}

fn started(is_first_start: bool, now: Duration) -> Quotas {
    let mut quotas = Quotas::new(WINDOW, is_first_start);
    quotas.configure(&tenants(), now);
    quotas
}

/// Asks for seven times the rate from `from` to `to` and gives what was admitted, with times.
fn press(quotas: &mut Quotas, from: u64, to: u64) -> Vec<(u64, u64)> {
    let mut admitted = Vec::new();
    for ms in (from..to).step_by(10) {
        if quotas.take("a", 7_000, Duration::from_millis(ms)).is_ok() {
            admitted.push((ms, 7_000));
        }
    }
    admitted
}

fn worst_window(admitted: &[(u64, u64)]) -> u64 {
    let sum = |start: u64| {
        let inside = admitted.iter().filter(|(ms, _)| (start..start + 8_000).contains(ms));
        inside.map(|(_, units)| units).sum::<u64>()
    };
    admitted.iter().map(|(ms, _)| sum(*ms)).max().unwrap_or(0)
}

/// Guards against a second full window when all nodes are killed at once and forget the first.
#[test]
fn restart_of_all_keeps_the_quota() {
    let mut admitted = press(&mut started(true, Duration::from_secs(100)), 100_000, 107_000);
    let start = Duration::from_millis(107_500);
    admitted.extend(press(&mut started(false, start), 107_500, 116_000));
    let worst = worst_window(&admitted);
    assert!((worst as f64) < BOUND, "{worst} units in a window, {BOUND} allowed");
}

/// Guards against refusals below the limit on a single node that was restarted: its peers know what
/// was admitted.
#[test]
fn restarted_node_learns_from_a_peer() {
    let now = Duration::from_secs(100);
    let mut quotas = started(false, now);
    assert!(quotas.take("a", 400_000, now).is_err(), "nothing is known yet");
    quotas.adopt(Duration::from_secs(60), &[("a".into(), 200_000)], now);
    assert_eq!(quotas.take("a", 400_000, now), Ok(()));
}

/// Guards against refusing the burst that a quota allows: a window holds nine seconds' rate.
#[test]
fn window_allows_its_burst() {
    let now = Duration::from_secs(100);
    let mut quotas = started(true, now);
    assert_eq!(quotas.take("a", 850_000, now), Ok(()));
    let again = quotas.take("a", 100_000, now);
    assert!(again.is_err_and(|after| after > Duration::from_secs(7)), "{again:?}");
}

/// Guards against two sides of a cut that each use the whole quota.
#[test]
fn cut_leaves_the_part_of_the_silent() {
    let now = Duration::from_secs(100);
    let sum = |share: f64| {
        let mut quotas = started(true, now);
        quotas.set_share(share);
        press(&mut quotas, 100_000, 108_000).iter().map(|(_, units)| units).sum::<u64>()
    };
    let both = sum(0.4) + sum(0.6);
    assert!((both as f64) < BOUND, "{both} units on both sides, {BOUND} allowed");
}

/// Guards against counting a peer's history twice, or forgetting what it adds.
#[test]
fn peers_count_once() {
    let now = Duration::from_secs(100);
    let mut quotas = started(true, now);
    let peer: Arc<str> = "b".into();
    quotas.hear((&peer, 1), "a", 5_000_000, Duration::from_secs(60), now);
    assert_eq!(quotas.take("a", 100_000, now), Ok(()), "the past of a peer is not in the window");
    quotas.hear((&peer, 1), "a", 5_800_000, Duration::from_secs(60), now);
    assert!(quotas.take("a", 100_000, now).is_err(), "what the peer adds is in the window");
}

/// Guards against a second window after a loss of all nodes, and against refusing tenants that had
/// used little of theirs: the store keeps the sums.
#[test]
fn sums_are_recalled_from_the_store() {
    let mut before = started(true, Duration::from_secs(100));
    let mut admitted = press(&mut before, 100_000, 107_000);
    let sums = before.sums(Duration::from_millis(107_000));
    let start = Duration::from_millis(108_500);
    let mut quotas = started(false, start);
    let (age, unrecorded) = (Duration::from_millis(1_500), Duration::from_millis(1_200));
    assert!(quotas.recall(&sums, age, unrecorded, start));
    admitted.extend(press(&mut quotas, 108_500, 117_000));
    let worst = worst_window(&admitted);
    assert!((worst as f64) < BOUND, "{worst} units in a window, {BOUND} allowed");

    let mut quotas = started(false, start);
    assert!(quotas.recall(&[("a".into(), 200_000)], age, unrecorded, start));
    assert_eq!(quotas.take("a", 300_000, start), Ok(()), "little was used before");
}

const NODES: u64 = 30;
const LARGE_RATE: f64 = 700_000.0;
/// Time between two datagrams of a node, least time between two when a quota is nearly used up, and
/// time that one takes; the first two are those of `peers`.
const BEAT_MS: u64 = 200;
const NEWS_MS: u64 = 25;
const TRAVEL_MS: u64 = 8;

/// Plays a tenant that asks for `factor` times its rate at thirty nodes; gives the worst window and
/// the units that were refused in the first seven seconds.
fn press_fleet(factor: f64) -> (u64, u64) {
    let quota = Quota { rate: LARGE_RATE, burst: 0.0, counts_tokens: true, default_tokens: 200 };
    let tenant = Tenant { name: "a".into(), keys: Vec::new(), priority: None, quota: Some(quota) };
    let tenants = [Arc::new(tenant)];
    let names: Vec<Arc<str>> = (0..NODES).map(|node| format!("n{node}").into()).collect();
    let mut nodes: Vec<Quotas> = (0..NODES).map(|_| Quotas::new(WINDOW, true)).collect();
    for node in &mut nodes {
        node.configure(&tenants, Duration::ZERO);
        names.iter().for_each(|peer| node.hear((peer, 1), "a", 0, WINDOW * 2, Duration::ZERO));
    }
    let mut on_way: Vec<(u64, usize, u64)> = Vec::new();
    let mut told = vec![0; NODES as usize];
    let (mut admitted, mut refused, mut due, mut turn) = (Vec::new(), 0, 0.0, 0_u64);
    for ms in 0..24_000 {
        let now = Duration::from_millis(100_000 + ms);
        for (_, from, total) in on_way.extract_if(.., |(at, ..)| *at <= ms) {
            let others = nodes.iter_mut().enumerate().filter(|(index, _)| *index != from);
            for (_, node) in others {
                node.hear((&names[from], 1), "a", total, WINDOW * 2, now);
            }
        }
        due += LARGE_RATE * factor / 1_000.0;
        while due > 0.0 {
            turn = turn
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            let units = [200, 2_048, 5_456, 12_000][(turn >> 40) as usize % 4];
            let node = (turn >> 50) as usize % nodes.len();
            due -= units as f64;
            match nodes[node].take("a", units, now) {
                Ok(()) => admitted.push((ms, units)),
                Err(_) if ms < 7_000 => refused += units,
                Err(_) => {}
            }
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            let is_beat = (ms + index as u64 * 7).is_multiple_of(BEAT_MS);
            let has_news = node.is_nearly_used_up(NODES as usize) && ms >= told[index] + NEWS_MS;
            if is_beat || has_news {
                told[index] = ms;
                let total = node.tell().first().map_or(0, |(_, total)| *total);
                on_way.push((ms + TRAVEL_MS, index, total));
            }
        }
    }
    (worst_window(&admitted), refused)
}

/// Guards against thirty nodes that each use the last room of a quota before they tell each other.
#[test]
fn many_nodes_share_the_last_room() {
    let bound = LARGE_RATE * 8.0 * (1.0 + OVERSHOOT) + 140_000.0;
    let (worst, _) = press_fleet(8.0);
    assert!((worst as f64) < bound, "{worst} units in a window, {bound} allowed");
}

/// Guards against refusing a tenant that stays below its limit, for fear of what peers admit.
#[test]
fn tenants_below_the_limit_are_served() {
    assert_eq!(press_fleet(0.95).1, 0);
}

/// Guards against nodes that all start anew and count of each other only what they admit after their
/// first datagram (QUOTA on fresh-624e of mp-pomelo-grown: thirty nodes killed at once while a tenant sent
/// many times its usual).
#[test]
fn nodes_that_start_together_count_each_other() {
    let now = Duration::from_secs(107);
    let names: Vec<Arc<str>> = (0..30).map(|index| format!("n{index}").into()).collect();
    let mut nodes: Vec<_> = names.iter().map(|_| started(false, now)).collect();
    let recorded = 500_000;
    let recall = |node: &mut Quotas| {
        let zero = Duration::ZERO;
        assert!(node.recall(&[("a".into(), recorded)], zero, zero, now));
    };
    // One node hears from the others before it has read the store, the rest after it.
    nodes[1..].iter_mut().for_each(recall);
    let mut admitted = 0;
    for node in &mut nodes[1..] {
        admitted += if node.take("a", 10_000, now).is_ok() { 10_000 } else { 0 };
    }
    assert!(admitted > 0, "nothing fits");
    let totals: Vec<_> = nodes.iter_mut().map(|node| node.tell()).collect();
    let uptime = Duration::from_millis(200);
    for (to, node) in nodes.iter_mut().enumerate() {
        for (from, told) in totals.iter().enumerate().filter(|(from, _)| *from != to) {
            told.iter().for_each(|(tenant, total)| {
                node.hear((&names[from], 1), tenant, *total, uptime, now);
            });
        }
    }
    recall(&mut nodes[0]);
    for node in &nodes {
        let (used, _) = node.used("a");
        // Sums are kept in sixteenths.
        assert!(used + 16 >= recorded + admitted, "{used} of {recorded} and {admitted}");
    }
}
