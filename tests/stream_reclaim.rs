//! Guards against streams that are lost or damaged when endpoint VMs and entry VMs are reclaimed.

mod callers;
mod common;

use std::time::Duration;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

const ENGINE: [&str; 6] = ["--gap-ms", "12", "--batch", "128", "--slots", "512"];

async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Guards against lost, repeated, reordered or damaged tokens when one engine and then a whole
/// failure domain (engines and entry VMs) are reclaimed, and against requests that are sent to an
/// engine more than 2 s after its notice.
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
        "requests were sent to the engine 2 s after its notice"
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
    let outcomes = load.finish().await?;
    assert_eq!(outcomes.len(), 1_400);
    callers::print("reclaim of a failure domain", &outcomes);
    callers::print_hand_overs(&fleet);
    for name in ["entry-1", "entry-5"] {
        assert!(fleet.log(name).contains("handed over"), "{name} handed nothing over");
    }
    assert!(outcomes.iter().any(|outcome| outcome.resumes > 0), "no stream was resumed");
    assert_eq!(
        outcomes.iter().map(|outcome| outcome.resent).sum::<usize>(),
        0,
        "a request was interrupted"
    );
    Ok(())
}

/// Guards against a stream that is lost because the VM that took it over is reclaimed as well, or
/// because a second notice for the same VM shortens its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn second_notice_repeats_hand_over() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 5, 3, &ENGINE, 30_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 80, 80, 420, false);
    pause(1_000).await;
    callers::reclaim(&fleet, "entry-1", 60_000).await?;
    pause(700).await;
    callers::reclaim(&fleet, "entry-1", 4_000).await?;
    pause(900).await;
    // The VMs of the peers that receive streams of entry-1 are reclaimed as well.
    for vm in ["entry-2", "entry-3"] {
        callers::reclaim(&fleet, vm, 3_000).await?;
    }
    pause(3_000).await;
    for index in [0, 1, 2] {
        fleet.entries[index].process.kill();
    }
    let outcomes = load.finish().await?;
    callers::print("second notice", &outcomes);
    callers::print_hand_overs(&fleet);
    assert_eq!(outcomes.len(), 80);
    for name in ["entry-1", "entry-2", "entry-3"] {
        assert!(fleet.log(name).contains("handed over"), "{name} handed nothing over");
    }
    assert!(outcomes.iter().any(|outcome| outcome.resumes > 1), "no stream was handed over twice");
    Ok(())
}

/// Guards against streams that are lost because an entry VM dies before its hand-over is complete.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_during_reclaim() -> Result {
    let dir = tempfile::tempdir()?;
    let mut fleet = callers::start(&dir, 4, 3, &ENGINE, 30_000).await?;
    let load = callers::Load::start(&callers::Balancer::new(&fleet), 120, 240, 200, false);
    pause(1_000).await;
    callers::reclaim(&fleet, "entry-2", 5_000).await?;
    pause(800).await;
    fleet.entries[1].process.kill();
    let outcomes = load.finish().await?;
    callers::print("kill during reclaim", &outcomes);
    assert_eq!(outcomes.len(), 240);
    assert!(
        outcomes.iter().any(|outcome| outcome.resumes > 0),
        "no stream was interrupted by the kill"
    );
    Ok(())
}

/// Guards against a reclaim after which engines recompute tokens whose state the leaving engine had
/// time to export; prints the recomputed tokens with and without time for the export.
#[tokio::test(flavor = "multi_thread")]
async fn transferred_state_saves_tokens() -> Result {
    let mut recomputed = Vec::new();
    for notice_ms in [6_000, 400] {
        let dir = tempfile::tempdir()?;
        let fleet = callers::start(&dir, 2, 3, &ENGINE, 30_000).await?;
        let load = callers::Load::start(&callers::Balancer::new(&fleet), 60, 60, 150, false);
        pause(1_200).await;
        callers::reclaim(&fleet, "engines-0", notice_ms).await?;
        let outcomes = load.finish().await?;
        assert_eq!(outcomes.len(), 60);
        let mut tokens = 0;
        for endpoint in &fleet.endpoints[1..3] {
            tokens += callers::counter(endpoint.vm.address, "recomputed_tokens").await?;
        }
        let mut states = 0;
        for entry in &fleet.entries {
            states += callers::metric(entry.operators, "pomelolink_moved_states_total").await?;
        }
        println!(
            "notice of {notice_ms} ms: {states} states transferred, {tokens} tokens recomputed"
        );
        recomputed.push((states, tokens));
    }
    let [(states, with), (_, without)] = recomputed[..] else { return Err("two runs".into()) };
    println!("recomputed with the export / without: {with} / {without}");
    assert!(states > 0 && without > 0, "no state was transferred, or no token was recomputed");
    assert!(with * 4 < without, "the exported state was not used");
    Ok(())
}
