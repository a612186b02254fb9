//! Guards endpoint choice: the load bound, prefix affinity, ejection, removal and subsets.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pomelolink::routing::{self, Endpoint, Key, Locality, Table};

fn endpoints(count: usize) -> Vec<Endpoint> {
    let endpoint = |index: usize| Endpoint {
        id: format!("worker-{index}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 10_000 + index as u16)),
        failure_domain: format!("r{}-{}", index % 2, index / 2 % 4).into(),
        region: format!("r{}", index % 2).into(),
        pool: "gpu".into(),
        version: None,
        cost: 1_000,
    };
    (0..count).map(endpoint).collect()
}

fn locality(node: usize) -> Locality {
    Locality {
        node: format!("node-{node}").into(),
        failure_domain: format!("r{}-{}", node % 2, node / 2 % 4).into(),
        region: format!("r{}", node % 2).into(),
    }
}

fn table(node: usize, count: usize) -> Table {
    let mut table = Table::new(locality(node), node as u64);
    table.update(Duration::ZERO, endpoints(count));
    table
}

fn key(blocks: &[u64], seed: u64) -> Key<'_> {
    Key { blocks, seed }
}

#[test]
fn prefix_hashes_match() {
    let text = "a".repeat(3 * routing::BLOCK_BYTES);
    let longer = format!("{text}{}", "b".repeat(routing::BLOCK_BYTES));
    let (short, long) = (routing::hash_blocks(&text), routing::hash_blocks(&longer));
    assert_eq!(short[..], long[..3]);
    assert_ne!(short[0], short[1], "a block's hash must cover everything before it");
    assert_eq!(routing::hash_blocks(&"x".repeat(1_000_000)).len(), routing::MAX_BLOCKS);
}

#[test]
fn hot_prompt_within_bound() {
    let mut table = table(0, 18);
    for sent in 1..=500u64 {
        let chosen = table.choose(Duration::ZERO, key(&[7, 8, 9], sent), &[]).unwrap();
        table.record_start(Duration::ZERO, &chosen.id);
        let load = table.load(Duration::ZERO, &chosen.id).unwrap();
        assert!(load <= (1.25 * sent as f64 / 18.0).ceil(), "load {load} after {sent} requests");
    }
}

#[test]
fn nodes_choose_alike() {
    let mut tables: Vec<_> = (0..4).map(|node| table(node * 2, 18)).collect();
    let mut agreed = 0;
    for prompt in 0..200u64 {
        let blocks = [prompt * 31 + 1, prompt * 31 + 2];
        let chosen: HashSet<_> = tables
            .iter_mut()
            .map(|table| table.choose(Duration::ZERO, key(&blocks, prompt), &[]).unwrap().id)
            .collect();
        agreed += usize::from(chosen.len() == 1);
    }
    assert!(agreed >= 150, "nodes agreed on {agreed} of 200 prompts");
}

#[test]
fn shared_prompt_spreads() {
    let mut table = table(0, 18);
    let mut counts: HashMap<Arc<str>, u32> = HashMap::new();
    for conversation in 0..1_000u64 {
        let blocks = [1, 2, 3, 4, conversation + 100, conversation + 5_000];
        let chosen = table.choose(Duration::ZERO, key(&blocks, conversation), &[]).unwrap();
        *counts.entry(chosen.id).or_default() += 1;
    }
    let most = counts.values().max().unwrap();
    assert!(*most < 150, "one idle endpoint received {most} of 1000 requests: {counts:?}");
}

#[test]
fn stale_list_ignored() {
    let mut table = table(0, 6);
    let removed: Arc<str> = "worker-3".into();
    table.remove(Duration::from_secs(1), &removed);
    table.update(Duration::from_secs(2), endpoints(6));
    for seed in 0..300 {
        let blocks = [seed + 1];
        let now = Duration::from_secs(2);
        for blocks in [&blocks[..], &[]] {
            assert_ne!(table.choose(now, key(blocks, seed), &[]).unwrap().id, removed);
        }
    }
}

#[test]
fn single_probe_per_ejection() {
    let mut table = table(0, 1);
    let mut ejections = Vec::new();
    let mut now = Duration::ZERO;
    for _ in 0..5 {
        let chosen = table.choose(now, key(&[], 1), &[]).unwrap();
        table.record_start(now, &chosen.id);
        assert!(ejections.is_empty() || table.choose(now, key(&[], 2), &[]).is_none());
        table.record_failure(now, &chosen.id);
        let failed_at = now;
        while table.choose(now, key(&[], 1), &[]).is_none() {
            now += Duration::from_millis(1);
        }
        ejections.push(now - failed_at);
    }
    assert!(
        ejections.windows(2).all(|pair| pair[1] > pair[0]),
        "ejection times must grow: {ejections:?}"
    );
    let chosen = table.choose(now, key(&[], 1), &[]).unwrap();
    assert!(chosen.is_probe);
    table.record_start(now, &chosen.id);
    table.record_answer(&chosen.id);
    assert!(!table.choose(now, key(&[], 1), &[]).unwrap().is_probe);
}

#[test]
fn stale_hints_ignored() {
    let mut table = table(0, 18);
    let blocks = [11, 12, 13];
    let preferred = table.choose(Duration::ZERO, key(&blocks, 1), &[]).unwrap().id;
    let other: Arc<str> = if &*preferred == "worker-5" { "worker-6" } else { "worker-5" }.into();
    table.record_cached(Duration::ZERO, &other, 13);
    assert_eq!(table.choose(Duration::ZERO, key(&blocks, 1), &[]).unwrap().id, other);
    assert_eq!(
        table.choose(Duration::from_secs(9_000), key(&blocks, 1), &[]).unwrap().id,
        preferred
    );
    table.record_cached(Duration::from_secs(9_000), &other, 13);
    table.record_evicted(&other, 13);
    table.record_evicted(&other, 11);
    assert_eq!(
        table.choose(Duration::from_secs(9_000), key(&blocks, 1), &[]).unwrap().id,
        preferred
    );
}

#[test]
fn stale_load_ignored() {
    let mut table = table(0, 2);
    table.record_load(Duration::ZERO, "worker-0", 30, 10);
    for seed in 0..20 {
        let chosen = table.choose(Duration::from_secs(1), key(&[], seed), &[]).unwrap();
        assert_eq!(&*chosen.id, "worker-1");
    }
    assert_eq!(table.load(Duration::from_secs(60), "worker-0"), Some(0.0));
}

#[test]
fn subsets_cover_evenly() {
    let mut picks: HashMap<Arc<str>, u32> = HashMap::new();
    for node in 0..330 {
        let subset = routing::subset(&locality(node), endpoints(820));
        assert_eq!(subset.len(), 64);
        let domains: HashSet<_> = subset.iter().map(|endpoint| &endpoint.failure_domain).collect();
        assert_eq!(domains.len(), 8);
        subset.into_iter().for_each(|endpoint| *picks.entry(endpoint.id).or_default() += 1);
    }
    let (least, most) = (picks.values().min().unwrap(), picks.values().max().unwrap());
    assert_eq!(picks.len(), 820);
    assert!(*least >= 10 && *most <= 45, "{least} to {most} nodes per endpoint, mean 25.8");
}
