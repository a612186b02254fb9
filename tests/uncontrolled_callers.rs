//! Crowds of uncontrolled callers against a daemon with the memory of the smallest VM.

mod common;
mod crowd;

use std::time::Duration;

use crowd::Kind;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

/// Attempts of the ordinary caller, which may be told to retry.
const ATTEMPTS: usize = 100;

/// Connects a crowd to a daemon; checks what it holds and that an ordinary caller is served meanwhile.
async fn meet(kind: Kind, callers: usize, memory_kb: u64, descriptors: usize) -> Result {
    let dir = tempfile::tempdir()?;
    let mut programs = common::programs();
    programs.daemon = crowd::limited(&programs.daemon[0], memory_kb, descriptors);
    let fleet = common::start_programs(programs, &dir, 1, 1, &[]).await?;
    let entry = &fleet.entries[0];

    let bearer = common::bearer();
    let head =
        format!("POST /booking/x HTTP/1.1\r\nhost: localhost\r\nauthorization: {bearer}\r\n");
    let address = entry.callers;
    let crowd = move || crowd::connect(address, &head, kind, callers);
    let crowd = tokio::task::spawn_blocking(crowd).await?;
    crowd::settle(entry.process.id());
    crowd::check(entry.process.id(), memory_kb, descriptors);
    // Chats have an endpoint of their own, which the crowd doesn't fill.
    let body = common::chat("plan for a wardrobe", 5, false);
    let mut last = None;
    for _ in 0..ATTEMPTS {
        let answer = common::send(address, "POST", "/v1/chat/completions", &[], &body).await;
        if answer.as_ref().is_ok_and(|answer| answer.status == 200) {
            crowd::check(entry.process.id(), memory_kb, descriptors);
            drop(crowd);
            return Ok(());
        }
        last = Some(answer);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("no ordinary request was served: {last:?}");
}

/// Guards against bodies of legal size that exceed the memory together.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_large_bodies() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::Large, crowd::CALLERS, crowd::MEMORY_KB, crowd::DESCRIPTORS).await
}

/// Guards against chunked bodies of legal size that exceed the memory together.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_large_chunks() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::LargeChunks, crowd::CALLERS, crowd::MEMORY_KB, crowd::DESCRIPTORS).await
}

/// Guards against memory that grows with the number of chunks instead of their bytes.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_tiny_chunks() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::TinyChunks(100_000), crowd::CALLERS, crowd::QUARTER_KB, crowd::DESCRIPTORS).await
}

/// Guards against bodies that are kept although their announced length exceeds the limit.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_announced_excess() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::AnnouncedExcess(64 << 20), crowd::CALLERS, crowd::MEMORY_KB, crowd::DESCRIPTORS)
        .await
}

/// Guards against bodies without a length that are kept beyond the limit, or up to it all at once.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_sent_excess() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::SentExcess(64 << 20), crowd::CALLERS, crowd::MEMORY_KB, crowd::DESCRIPTORS).await
}

/// Guards against silent connections that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_silent_crowd() -> Result {
    let _alone = crowd::alone().await;
    meet(Kind::Silent, 300, crowd::MEMORY_KB, crowd::FEW_DESCRIPTORS).await
}
