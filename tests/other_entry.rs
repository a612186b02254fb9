//! Guards against a stream that only the entry VM which accepted it can go on with.

mod common;

use standin::client;

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

/// Guards against a resume at another entry VM that loses, repeats or refuses tokens.
#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_at_other_entry() -> Result {
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
    let seen = common::events(&text);
    let last = seen.ids.last().cloned().unwrap_or_default();
    let other = fleet.entries[1].callers;
    let resumed =
        common::send(other, "POST", "/v1/chat/completions", &[("last-event-id", &last)], "")
            .await?;
    assert_eq!(resumed.status, 200, "{}\n{}", resumed.text(), fleet.log("entry-2"));
    let rest = common::events(&resumed.text());
    assert!(rest.done, "{}", resumed.text());
    let again = common::send(entry, "POST", "/v1/chat/completions", &[], &body).await?;
    assert_eq!(seen.content + &rest.content, common::events(&again.text()).content);
    assert_eq!(seen.ids.len() + rest.ids.len(), 61);
    Ok(())
}
