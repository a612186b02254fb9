//! Usage: pomelolink explain ID FILE...
//!
//! Shows what happened to a request, from the logs of all processes. Needs no server.

use argh::FromArgs;
use pomelolink::explain::{self, Log, Story};
use serde_json::{Value, json};

use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Show what happened to a request, from log files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Arguments {
    #[argh(positional, arg_name = "ID")]
    /// id of the request
    id: String,
    #[argh(positional, arg_name = "FILE")]
    /// logs, one file a process
    files: Vec<String>,
}

pub fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let Arguments { id, files } = arguments;
    if files.is_empty() {
        return Err(Error::Usage("name at least one log file".to_owned()));
    }
    let logs = files.iter().map(|file| read(file)).collect::<Result<Vec<Log>, Error>>()?;
    let story = explain::tell(&id, &logs).ok_or_else(|| {
        Error::Failed(format!("no line of the {} logs is about {id}", logs.len()))
    })?;
    if config.json { util::print(&to_json(&story).to_string()) } else { show(&story) }
}

fn read(file: &str) -> Result<Log, Error> {
    let bytes = std::fs::read(file).map_err(|error| Error::Failed(format!("{file}: {error}")))?;
    Ok(Log::read(file, &bytes))
}

fn show(story: &Story) -> Result<(), Error> {
    let began = story.steps.iter().find(|step| !step.is_context).map(|step| step.line.time);
    for step in &story.steps {
        let since = began.map_or(0, |began| step.line.time.duration_since(began).as_millis());
        let mark = if step.is_context { "  " } else { "* " };
        let seconds = since as f64 / 1_000.0;
        util::print(&format!("{seconds:+9.3} s  {}  {mark}{}", step.process, step.line.text))?;
    }
    for note in &story.notes {
        util::print(&format!("note: {note}"))?;
    }
    util::print(&format!("outcome: {}", story.outcome))
}

fn to_json(story: &Story) -> Value {
    let steps = story.steps.iter().map(|step| {
        json!({
            "time": step.line.time.to_string(),
            "process": step.process,
            "context": step.is_context,
            "text": step.line.text,
        })
    });
    json!({ "steps": steps.collect::<Vec<_>>(), "outcome": story.outcome, "notes": story.notes })
}
