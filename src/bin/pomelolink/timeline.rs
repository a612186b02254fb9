//! Usage: pomelolink timeline [--move NAME] [--request ID] [--service NAME] [--workspace NAME]
//!                            [--since 10m]
//!
//! Merges the events of the given servers and the batches of all nodes into one ordered story.
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

/// Most batches read; the newest ones are preferred.
const BATCHES: usize = 4_096;
/// Batches read at the same time.
const PARALLEL: usize = 8;

/// Show what happened, in order, on all nodes.
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

#[derive(Debug, Deserialize)]
struct Live {
    dropped: u64,
    events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
struct Batches {
    batches: Vec<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let since_ms = util::ms_ago(arguments.since);
    let mut notes = Vec::new();
    let mut events = read_live(&client, since_ms, &mut notes).await?;
    events.extend(read_batches(&client, since_ms, &mut notes).await);
    let name = |name: Option<String>| name.map(Into::into);
    let wanted = Subject {
        request: name(arguments.request),
        move_name: name(arguments.move_name),
        service: name(arguments.service),
        workspace: name(arguments.workspace),
    };
    for entry in timeline::merge(events) {
        let shown = match &entry {
            Entry::Event(event) => {
                event.stamp.wall_ms >= since_ms && event.subject.matches(&wanted)
            }
            // A missing event may be one of the wanted ones.
            Entry::Gap(gap) => gap.before.wall_ms >= since_ms,
        };
        if shown && config.json {
            util::print(&serde_json::to_string(&entry).unwrap_or_default())?;
        } else if shown {
            util::print(&line(&entry))?;
        }
    }
    for note in notes {
        eprintln!("pomelolink: {note}");
    }
    Ok(())
}

/// Reads the rings of all given servers; fails only when none of them answers.
async fn read_live(
    client: &Client,
    since_ms: u64,
    notes: &mut Vec<String>,
) -> Result<Vec<Event>, Error> {
    let call = Call::get(format!("/v1/timeline?since_ms={since_ms}"));
    let mut events = Vec::new();
    let mut failed = Vec::new();
    for &server in &client.servers {
        match read_ring(client, server, &call).await {
            Ok(live) => {
                events.extend(live.events);
                if live.dropped > 0 {
                    let dropped = live.dropped;
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

async fn read_ring(client: &Client, server: SocketAddr, call: &Call) -> Result<Live, Error> {
    let body = client.send_to(server, call).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Error::Failed(format!("{server}: the events do not parse: {error}")))
}

/// Reads the batches of all nodes as far as the object store answers.
async fn read_batches(client: &Client, since_ms: u64, notes: &mut Vec<String>) -> Vec<Event> {
    let call = Call::get(format!("/v1/timeline/batches?since_ms={since_ms}"));
    let listed = client.send_raw(&call).await.and_then(|body| {
        serde_json::from_slice::<Batches>(&body)
            .map_err(|error| Error::Failed(format!("the list does not parse: {error}")))
    });
    let mut keys = match listed {
        Ok(listed) => listed.batches,
        Err(error) => {
            notes.push(format!("events of other nodes and older ones are missing: {error}"));
            return Vec::new();
        }
    };
    if keys.len() > BATCHES {
        notes.push(format!("only the newest {BATCHES} of {} batches were read", keys.len()));
        keys.sort_by_key(|key| key.rsplit('/').next().map(str::to_owned));
        keys.drain(..keys.len() - BATCHES);
    }
    let reads = keys.into_iter().map(|key| async move {
        let path = key.strip_prefix(timeline::OBJECT_PREFIX).unwrap_or(&key);
        let call = Call::get(format!("/v1/timeline/batches/{path}"));
        (client.send_raw(&call).await, key)
    });
    let mut reads = stream::iter(reads).buffer_unordered(PARALLEL);
    let mut events = Vec::new();
    while let Some((result, key)) = reads.next().await {
        match result {
            Ok(body) => {
                let (found, broken) = timeline::parse_lines(&body);
                events.extend(found);
                if broken > 0 {
                    notes.push(format!("{key}: {broken} lines do not parse"));
                }
            }
            Err(error) => notes.push(format!("{key}: {error}")),
        }
    }
    events
}

fn line(entry: &Entry) -> String {
    match entry {
        Entry::Event(event) => {
            let stamp = event.stamp;
            let mut line = format!(
                "{}+{} {} {}: {}",
                util::time(stamp.wall_ms),
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
                || "an unknown number of events, the node stopped without notice".to_owned(),
                |missing| format!("{missing} events"),
            );
            let after = util::time(gap.after.wall_ms);
            let before = util::time(gap.before.wall_ms);
            format!("{before} {} GAP: missing {missing} after {after}", gap.node)
        }
    }
}
