//! Guards against a stream that only the entry VM which accepted it can resume.

mod common;

use standin::client;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

/// Guards against a resume at another entry VM that fails or that loses or repeats tokens.
#[tokio::test(flavor = "multi_thread")]
async fn resume_at_other_entry() -> Result {
    let dir = tempfile::tempdir()?;
    let fleet = common::start(&dir, 2, 2, &[]).await?;
    fleet.joined().await?;
    let bearer = common::bearer();
    let headers = [("authorization", bearer.as_str())];
    let body = common::chat("plan for a wardrobe", 60, true);
    let entry = fleet.entries[0].callers;
    let mut stream =
        client::open(entry, "POST", "/v1/chat/completions", &headers, body.clone()).await?;
    let mut text = String::new();
    while common::events(&text).ids.len() < 5 {
        let data = stream.next().await?.ok_or("the stream ended early")?;
        text.push_str(&String::from_utf8_lossy(&data));
    }
    drop(stream);
    let received = common::events(&text);
    let last = received.ids.last().cloned().unwrap_or_default();
    let other = fleet.entries[1].callers;
    let resumed =
        common::send(other, "POST", "/v1/chat/completions", &[("last-event-id", &last)], "")
            .await?;
    assert_eq!(resumed.status, 200, "{}\n{}", resumed.text(), fleet.log("entry-2"));
    let remainder = common::events(&resumed.text());
    assert!(remainder.done, "{}", resumed.text());
    let repeated = common::send(entry, "POST", "/v1/chat/completions", &[], &body).await?;
    assert_eq!(received.content + &remainder.content, common::events(&repeated.text()).content);
    assert_eq!(received.ids.len() + remainder.ids.len(), 61);
    Ok(())
}
