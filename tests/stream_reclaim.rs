//! Guards against streams that are lost or damaged when endpoints and entry VMs are reclaimed.

mod callers;
mod common;

use std::time::Duration;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

const ENGINE: [&str; 6] = ["--gap-ms", "12", "--batch", "128", "--slots", "512"];

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against a lost, repeated, mixed-up or damaged token when one engine and then a whole
/// failure domain (engines and an entry VM) are reclaimed, and against new work for an engine
/// later than 2 s after its notice.
#[tokio::test(flavor = "multi_thread")]
async fn reclaims_lose_no_stream() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 5, 6, &ENGINE, 30_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 160, 1_400, 110, false);
    pause(1_000).await;
    let engine = fleet.endpoints[1].vm.clone();
    callers::reclaim(&fleet, &engine.id, 4_000).await?;
    pause(2_000).await;
    let allowed = callers::counter(engine.address, "requests").await?;
    pause(1_900).await;
    assert_eq!(
        callers::counter(engine.address, "requests").await?,
        allowed,
        "new work 2 s after the notice"
    );
    fleet.endpoints[1].process.kill();

    // Engines 0 and 4 and entry VMs 0 and 4 are the failure domain dk-a.
    for vm in ["engines-0", "engines-4", "entry-1", "entry-5"] {
        callers::reclaim(&fleet, vm, 5_000).await?;
    }
    pause(5_000).await;
    for index in [0, 4] {
        fleet.endpoints[index].process.kill();
        fleet.entries[index].process.kill();
    }
    let seen = load.finish().await?;
    assert_eq!(seen.len(), 1_400);
    callers::print("reclaim wave", &seen);
    callers::print_hand_overs(&fleet);
    assert!(seen.iter().any(|one| one.resumes > 0), "no stream was handed over");
    assert_eq!(seen.iter().map(|one| one.resent).sum::<usize>(), 0, "a request was cut");
    Ok(())
}
