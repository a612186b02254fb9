//! Guards the membership against slow failure detection, false deaths, views that stay different
//! and message sizes that grow with the cluster.
//!
//! `cargo test --test membership_rounds -- --nocapture` prints the measured figures.

mod rounds;

use pomelolink::membership::Status;
use rounds::{DOMAINS, Simulation};

/// Maximum number of bytes that a node may send per period of 1 s.
const MAX_BYTES_PER_PERIOD: u64 = 2_000;

/// Periods over which bytes are averaged.
const AVERAGING_PERIODS: u32 = 50;

fn bytes_per_period(current: &[u64], previous: &[u64]) -> Vec<u64> {
    let pairs = current.iter().zip(previous);
    pairs.map(|(current, previous)| (current - previous) / u64::from(AVERAGING_PERIODS)).collect()
}

fn converged(count: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(count, seed);
    simulation.run_until(60, Simulation::views_agree);
    simulation.run(30);
    assert!(simulation.views_agree());
    simulation
}

/// Guards against a killed node that some view does not show as dead within 20 periods.
#[test]
fn killed_member_is_detected() {
    for seed in 1..=5 {
        for loss in [0.0, 0.1] {
            let mut simulation = converged(60, seed);
            simulation.loss = loss;
            simulation.down[17] = true;
            let detected_after = simulation
                .run_until(20, |simulation| simulation.nodes_seeing(17, Status::Dead) == 59);
            println!(
                "60 nodes, loss {loss}, seed {seed}: all nodes know of the failure after \
                 {detected_after} periods"
            );
        }
    }
}

/// Guards against message loss alone making a running node look dead to another.
#[test]
fn loss_causes_no_false_death() {
    for seed in 1..=2 {
        let mut simulation = converged(60, seed);
        simulation.loss = 0.1;
        simulation.run(1_000);
        println!(
            "60 nodes, 10% loss, 1,000 periods, seed {seed}: {} deaths",
            simulation.reported_deaths
        );
        assert_eq!(simulation.reported_deaths, 0);
    }
}

/// Nodes, random seed, periods of the partition, and periods within which both sides must agree
/// after it heals.
const PARTITIONS: [(usize, u64, u32, u32); 5] =
    [(60, 1, 60, 10), (60, 2, 60, 10), (60, 3, 600, 10), (20, 4, 60, 10), (330, 5, 100, 10)];

/// Guards against two sides of a partition that stay apart after it has healed.
#[test]
fn healed_partition_converges() {
    for (count, seed, partition_periods, limit) in PARTITIONS {
        let mut simulation = converged(count, seed);
        simulation.partition = Some(1);
        simulation.run(partition_periods);
        let previous: u64 = simulation.sync_bytes.iter().sum();
        let isolated = (1..count).step_by(DOMAINS).len();
        assert_eq!(
            simulation.nodes_seeing(1, Status::Dead),
            count - isolated,
            "the partition was not detected"
        );
        assert_eq!(
            simulation.nodes_seeing(0, Status::Dead),
            isolated,
            "the partition was not detected"
        );
        simulation.partition = None;
        let converged_after = simulation.run_until(limit, Simulation::views_agree);
        simulation.run(20);
        let exchanged = (simulation.sync_bytes.iter().sum::<u64>() - previous) / count as u64;
        println!(
            "{count} nodes, partition of {partition_periods} periods: all views agree \
             {converged_after} periods after it heals, with {exchanged} bytes of full exchanges per node"
        );
    }
}

/// Guards against messages per node that grow with the cluster or exceed the byte limit at the
/// design size.
#[test]
fn bytes_per_node_are_constant() {
    let mut lossless_means = Vec::new();
    for count in [5, 20, 60, 120, 330] {
        let mut simulation = converged(count, 7);
        // Waits until the updates from the simultaneous start are no longer sent, which takes
        // longest at 330 nodes.
        simulation.run(count as u32 * 3 / 4);
        for loss in [0.0, 0.1] {
            simulation.loss = loss;
            simulation.run(10);
            let (datagrams, syncs) =
                (simulation.datagram_bytes.clone(), simulation.sync_bytes.clone());
            simulation.run(AVERAGING_PERIODS);
            let datagrams = bytes_per_period(&simulation.datagram_bytes, &datagrams);
            let syncs = bytes_per_period(&simulation.sync_bytes, &syncs);
            let mean = datagrams.iter().sum::<u64>() / count as u64;
            let sync_mean = syncs.iter().sum::<u64>() / count as u64;
            let highest = datagrams.iter().zip(&syncs).map(|(a, b)| a + b).max().unwrap();
            println!(
                "{count} nodes, loss {loss}: {mean} datagram bytes and {sync_mean} exchange bytes \
                 sent per node and period, highest {highest}, largest datagram {}",
                simulation.largest_datagram
            );
            assert!(highest <= MAX_BYTES_PER_PERIOD, "{highest} bytes");
            if loss == 0.0 {
                lossless_means.push(mean);
            }
        }
    }
    let (lowest, highest) =
        (lossless_means.iter().min().unwrap(), lossless_means.iter().max().unwrap());
    assert!(highest * 4 <= lowest * 5, "{lossless_means:?} grows with the cluster");
}

/// Guards against a planned stop that some node doesn't learn of, or that is taken for a failure
/// while the node still runs.
#[test]
fn planned_stop_is_gossiped() {
    let mut simulation = converged(60, 8);
    simulation.loss = 0.1;
    simulation.leave(5);
    let known_after =
        simulation.run_until(12, |simulation| simulation.nodes_seeing(5, Status::Leaving) == 60);
    println!("60 nodes, 10% loss: all nodes know of a planned stop after {known_after} periods");
    simulation.run(100);
    assert_eq!((simulation.nodes_seeing(5, Status::Leaving), simulation.reported_deaths), (60, 0));
}

/// Guards against a dead node that stays dead in other views after its process was replaced.
#[test]
fn restarted_member_rejoins() {
    let mut simulation = converged(60, 9);
    simulation.down[33] = true;
    simulation.run_until(20, |simulation| simulation.nodes_seeing(33, Status::Dead) == 59);
    simulation.restart(33, 1_700_000_060_000);
    simulation.run_until(10, Simulation::views_agree);
    // A process whose clock is behind has a lower incarnation and must refute the death of its
    // predecessor.
    simulation.down[33] = true;
    simulation.run_until(20, |simulation| simulation.nodes_seeing(33, Status::Dead) == 59);
    simulation.restart(33, 1_600_000_000_000);
    simulation.run_until(10, Simulation::views_agree);
}

/// Guards against the loss of a whole failure domain at the design size that is not detected within
/// 60 periods; prints the bytes sent per node and second.
#[test]
fn lost_domain_is_detected() {
    let mut simulation = converged(330, 10);
    let previous: u64 = simulation.datagram_bytes.iter().sum();
    for index in (1..330).step_by(DOMAINS) {
        simulation.down[index] = true;
    }
    let lost: Vec<usize> = (1..330).step_by(DOMAINS).collect();
    let detected_after = simulation.run_until(60, |simulation| {
        lost.iter().all(|&index| simulation.nodes_seeing(index, Status::Dead) == 330 - lost.len())
    });
    let bytes = simulation.datagram_bytes.iter().sum::<u64>() - previous;
    let rate = bytes / (330 - lost.len()) as u64 / u64::from(detected_after.max(1));
    println!(
        "330 nodes: loss of {} detected in {detected_after} periods at {rate} bytes/s",
        lost.len()
    );
}
