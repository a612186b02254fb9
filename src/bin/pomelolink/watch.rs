//! Usage: pomelolink watch [--since REVISION] [--limit COUNT]
//!
//! Shows each revision as it takes effect on a server, until interrupted.

use std::time::Duration;

use argh::FromArgs;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Time without data after which a stream is closed. A server ends an idle stream earlier, so a
/// longer silence indicates a dead connection.
const MAX_IDLE: Duration = Duration::from_secs(30);
/// Delay between two streams, so that a server that ends each stream at once is not called in a
/// tight loop.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// Show revisions as they take effect.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "watch")]
pub struct Arguments {
    #[argh(option, default = "0")]
    /// revision that is already known; 0 shows the whole configuration first
    since: u64,
    #[argh(option, arg_name = "COUNT")]
    /// number of revisions to show before the command ends
    limit: Option<u64>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let mut progress = Progress { since: arguments.since, remaining: arguments.limit };
    while progress.remaining != Some(0) {
        let call = Call::get(format!("/v1/watch?since={}", progress.since));
        print_stream(client.stream(&call).await?, &mut progress, config.json).await?;
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
    Ok(())
}

/// Tracks the last revision shown and the number still to be shown, if limited.
struct Progress {
    since: u64,
    remaining: Option<u64>,
}

/// Prints the lines of one stream; returns when the stream ends, is idle too long, or the limit is
/// reached.
async fn print_stream(
    mut body: Incoming,
    progress: &mut Progress,
    json: bool,
) -> Result<(), Error> {
    let mut received = Vec::new();
    while progress.remaining != Some(0) {
        let Ok(Some(Ok(frame))) = tokio::time::timeout(MAX_IDLE, body.frame()).await else { break };
        received.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
        while let Some(end) = received.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = received.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line)
                .map_err(|error| Error::Failed(format!("a line is not JSON: {error}")))?;
            print_revision(&line, json)?;
            progress.since = line["revision"].as_u64().unwrap_or(progress.since);
            progress.remaining = progress.remaining.map(|remaining| remaining.saturating_sub(1));
            if progress.remaining == Some(0) {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn print_revision(line: &Value, json: bool) -> Result<(), Error> {
    if json {
        return util::print_line(&line.to_string());
    }
    let note = if line["complete"] == true { " (whole configuration)" } else { "" };
    util::print_line(&format!("revision {}{note}", line["revision"]))?;
    for change in util::array_items(line, "changes") {
        let state = crate::get::summarize_state(&change["resource"]);
        util::print_line(&format!(
            "  {} {} {state}",
            util::resource_id(change),
            util::str_field(change, "action")
        ))?;
    }
    Ok(())
}
