//! Usage: pomelolink timeline [--move NAME] [--request ID] [--service NAME] [--workspace NAME]
//!                            [--since 10m]
//!
//! Merges the recent events of the given servers and the stored batches of all nodes in time order.
//! Missing events are shown as gaps.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use futures_util::{StreamExt, stream};
use pomelolink::timeline::{self, Entry, Event, Subject};
use serde::Deserialize;

use crate::client::{Call, Client};
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Maximum number of batches read; the newest ones take precedence.
const MAX_BATCHES: usize = 4_096;
/// Maximum number of batches read concurrently.
const MAX_CONCURRENT_READS: usize = 8;

/// Show the events of all nodes in time order.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "timeline")]
pub struct Arguments {
    #[argh(option, long = "move", arg_name = "NAME")]
    /// only events of this move
    move_name: Option<String>,
    #[argh(option, arg_name = "ID")]
    /// only events of this request
    request: Option<String>,
    #[argh(option, arg_name = "NAME")]
    /// only events of this service
    service: Option<String>,
    #[argh(option, arg_name = "NAME")]
    /// only events of this workspace
    workspace: Option<String>,
    #[argh(
        option,
        arg_name = "DURATION",
        default = "Duration::from_secs(600)",
        from_str_fn(util::parse_duration)
    )]
    /// how far to look back, for instance 90s, 10m (the default) or 2h
    since: Duration,
}

/// Represents the response with the buffered events of a server.
#[derive(Debug, Deserialize)]
struct Recent {
    dropped: u64,
    events: Vec<Event>,
}

/// Represents the response with the keys of the stored batches.
#[derive(Debug, Deserialize)]
struct Batches {
    batches: Vec<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let since_ms = util::unix_ms_ago(arguments.since);
    let mut notes = Vec::new();
    let mut events = read_recent(&client, since_ms, &mut notes).await?;
    events.extend(read_batches(&client, since_ms, &mut notes).await);
    let name = |name: Option<String>| name.map(Into::into);
    let filter = Subject {
        request: name(arguments.request),
        move_name: name(arguments.move_name),
        service: name(arguments.service),
        workspace: name(arguments.workspace),
    };
    for entry in timeline::merge(events) {
        let is_shown = match &entry {
            Entry::Event(event) => {
                event.stamp.wall_ms >= since_ms && event.subject.matches(&filter)
            }
            // A missing event may match the filter.
            Entry::Gap(gap) => gap.before.wall_ms >= since_ms,
        };
        if is_shown && config.json {
            util::print_line(&serde_json::to_string(&entry).unwrap_or_default())?;
        } else if is_shown {
            util::print_line(&format_entry(&entry))?;
        }
    }
    for note in notes {
        eprintln!("pomelolink: {note}");
    }
    Ok(())
}

/// Reads the buffered events of all given servers; fails only if none of them responds.
async fn read_recent(
    client: &Client,
    since_ms: u64,
    notes: &mut Vec<String>,
) -> Result<Vec<Event>, Error> {
    let call = Call::get(format!("/v1/timeline?since_ms={since_ms}"));
    let mut events = Vec::new();
    let mut failed = Vec::new();
    for &server in &client.servers {
        match read_server(client, server, &call).await {
            Ok(recent) => {
                events.extend(recent.events);
                if recent.dropped > 0 {
                    let dropped = recent.dropped;
                    notes.push(format!("{server} lost {dropped} events since its start"));
                }
            }
            Err(error) => {
                notes.push(format!("latest events of a server are missing: {error}"));
                failed.push(error);
            }
        }
    }
    match failed.pop() {
        Some(error) if failed.len() + 1 == client.servers.len() => Err(error),
        _ => Ok(events),
    }
}

async fn read_server(client: &Client, server: SocketAddr, call: &Call) -> Result<Recent, Error> {
    let body = client.send_to(server, call).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Error::Failed(format!("{server}: the events are malformed: {error}")))
}

/// Reads the batches of all nodes and adds a note for each one that can't be read.
async fn read_batches(client: &Client, since_ms: u64, notes: &mut Vec<String>) -> Vec<Event> {
    let call = Call::get(format!("/v1/timeline/batches?since_ms={since_ms}"));
    let listed = client.send_raw(&call).await.and_then(|body| {
        serde_json::from_slice::<Batches>(&body)
            .map_err(|error| Error::Failed(format!("the list of batches is malformed: {error}")))
    });
    let mut keys = match listed {
        Ok(listed) => listed.batches,
        Err(error) => {
            notes.push(format!("events of other nodes and older ones are missing: {error}"));
            return Vec::new();
        }
    };
    if keys.len() > MAX_BATCHES {
        notes.push(format!("only the newest {MAX_BATCHES} of {} batches were read", keys.len()));
        keys.sort_by_key(|key| key.rsplit('/').next().map(str::to_owned));
        keys.drain(..keys.len() - MAX_BATCHES);
    }
    let reads = keys.into_iter().map(|key| async move {
        let path = key.strip_prefix(timeline::OBJECT_PREFIX).unwrap_or(&key);
        let call = Call::get(format!("/v1/timeline/batches/{path}"));
        (client.send_raw(&call).await, key)
    });
    let mut reads = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
    let mut events = Vec::new();
    while let Some((result, key)) = reads.next().await {
        match result {
            Ok(body) => {
                let (found, malformed) = timeline::parse_lines(&body);
                events.extend(found);
                if malformed > 0 {
                    notes.push(format!("{key}: {malformed} malformed lines"));
                }
            }
            Err(error) => notes.push(format!("{key}: {error}")),
        }
    }
    events
}

fn format_entry(entry: &Entry) -> String {
    match entry {
        Entry::Event(event) => {
            let stamp = event.stamp;
            let mut line = format!(
                "{}+{} {} {}: {}",
                util::format_time(stamp.wall_ms),
                stamp.logical,
                event.node,
                event.part,
                event.text
            );
            let subject = &event.subject;
            let names = [
                ("request", &subject.request),
                ("move", &subject.move_name),
                ("service", &subject.service),
                ("workspace", &subject.workspace),
            ];
            for (name, value) in names {
                line.extend(value.iter().map(|value| format!(" {name}={value}")));
            }
            line.extend(event.numbers.iter().map(|(name, number)| format!(" {name}={number}")));
            line
        }
        Entry::Gap(gap) => {
            let missing = gap.missing.map_or_else(
                || "an unknown number of events, the node did not stop cleanly".to_owned(),
                |missing| format!("{missing} events"),
            );
            let after = util::format_time(gap.after.wall_ms);
            let before = util::format_time(gap.before.wall_ms);
            format!("{before} {} GAP: missing {missing} after {after}", gap.node)
        }
    }
}
