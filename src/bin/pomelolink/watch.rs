//! Usage: pomelolink watch [--since REVISION] [--limit COUNT]
//!
//! Shows each revision as it takes effect on a server, until it is interrupted.

use std::time::Duration;

use argh::FromArgs;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Longest silence of a stream; a server ends it earlier, so silence means a dead connection.
const SILENCE: Duration = Duration::from_secs(30);
/// Pause between two streams; a server that ends each at once must not be called in a tight loop.
const PAUSE: Duration = Duration::from_millis(200);

/// Show revisions as they take effect.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Arguments {
    #[argh(option, default = "0")]
    /// revision that is already known; 0 shows the whole configuration first
    since: u64,
    #[argh(option, arg_name = "COUNT")]
    /// number of revisions after which to end
    limit: Option<u64>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let mut progress = Progress { since: arguments.since, left: arguments.limit };
    while progress.left != Some(0) {
        let call = Call::get(format!("/v1/watch?since={}", progress.since));
        follow(client.stream(&call).await?, &mut progress, config.json).await?;
        tokio::time::sleep(PAUSE).await;
    }
    Ok(())
}

struct Progress {
    since: u64,
    left: Option<u64>,
}

/// Shows the lines of one stream; returns when the stream ends and another one is needed.
async fn follow(mut body: Incoming, progress: &mut Progress, json: bool) -> Result<(), Error> {
    let mut text = Vec::new();
    while progress.left != Some(0) {
        let Ok(Some(Ok(frame))) = tokio::time::timeout(SILENCE, body.frame()).await else { break };
        text.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        while let Some(end) = text.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = text.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line)
                .map_err(|error| Error::Failed(format!("a line is not JSON: {error}")))?;
            show(&line, json)?;
            progress.since = line["revision"].as_u64().unwrap_or(progress.since);
            progress.left = progress.left.map(|left| left.saturating_sub(1));
            if progress.left == Some(0) {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn show(line: &Value, json: bool) -> Result<(), Error> {
    if json {
        return util::print(&line.to_string());
    }
    let note = if line["complete"] == true { " (whole configuration)" } else { "" };
    util::print(&format!("revision {}{note}", line["revision"]))?;
    for change in util::items(line, "changes") {
        let state = crate::get::state(&change["resource"]);
        util::print(&format!("  {} {} {state}", util::id(change), util::text(change, "action")))?;
    }
    Ok(())
}
