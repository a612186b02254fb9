//! Usage: pomelolink explain ID FILE...
//!
//! Shows the history of a request, reconstructed from the logs of all processes. Needs no server.

use argh::FromArgs;
use pomelolink::explain::{self, History, Log};
use serde_json::{Value, json};

use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Show the history of a request, reconstructed from log files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Arguments {
    #[argh(positional, arg_name = "ID")]
    /// id of the request
    id: String,
    #[argh(positional, arg_name = "FILE")]
    /// log files, one per process
    files: Vec<String>,
}

pub fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let Arguments { id, files } = arguments;
    if files.is_empty() {
        return Err(Error::Usage("specify at least one log file".to_owned()));
    }
    let logs = files.iter().map(|file| read_log(file)).collect::<Result<Vec<Log>, Error>>()?;
    let history = explain::reconstruct(&id, &logs).ok_or_else(|| {
        Error::Failed(format!("none of the {} logs has a line about request {id}", logs.len()))
    })?;
    if config.json {
        util::print_line(&to_json(&history).to_string())
    } else {
        print_history(&history)
    }
}

fn read_log(file: &str) -> Result<Log, Error> {
    let bytes = std::fs::read(file).map_err(|error| Error::Failed(format!("{file}: {error}")))?;
    Ok(Log::read(file, &bytes))
}

fn print_history(history: &History) -> Result<(), Error> {
    let first_time = history.steps.iter().find(|step| !step.is_context).map(|step| step.line.time);
    for step in &history.steps {
        let elapsed_ms = first_time
            .map_or(0, |first_time| step.line.time.duration_since(first_time).as_millis());
        let mark = if step.is_context { "  " } else { "* " };
        let seconds = elapsed_ms as f64 / 1_000.0;
        util::print_line(&format!("{seconds:+9.3} s  {}  {mark}{}", step.process, step.line.text))?;
    }
    for note in &history.notes {
        util::print_line(&format!("note: {note}"))?;
    }
    util::print_line(&format!("outcome: {}", history.outcome))
}

fn to_json(history: &History) -> Value {
    let steps = history.steps.iter().map(|step| {
        json!({
            "time": step.line.time.to_string(),
            "process": step.process,
            "context": step.is_context,
            "text": step.line.text,
        })
    });
    json!({
        "steps": steps.collect::<Vec<_>>(),
        "outcome": history.outcome,
        "notes": history.notes,
    })
}
