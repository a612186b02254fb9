//! Usage: pomelolink replay TRACE
//!
//! Checks a trace file of JSON lines.

use argh::FromArgs;
use serde_json::{Value, json};

use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Check a trace file.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct Arguments {
    #[argh(positional, arg_name = "TRACE")]
    /// file with one JSON record per line
    trace: String,
}

pub fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let path = arguments.trace;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| Error::Failed(format!("{path}: cannot be read: {error}")))?;
    let records = replay(&path, &text)?;
    if config.json {
        let report = json!({ "trace": path, "records": records, "replayed": false });
        return util::print(&report.to_string());
    }
    util::print(&format!("{path}: {records} records are well-formed; decisions are not replayed"))
}

/// Checks that each line is a JSON object; gives the number of records.
fn replay(path: &str, text: &str) -> Result<usize, Error> {
    let mut records = 0;
    for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        let value: Value = serde_json::from_str(line)
            .map_err(|error| Error::Failed(format!("{path}:{}: {error}", index + 1)))?;
        if !value.is_object() {
            return Err(Error::Failed(format!("{path}:{}: expected an object", index + 1)));
        }
        records += 1;
    }
    if records == 0 {
        return Err(Error::Failed(format!("{path}: holds no records")));
    }
    Ok(records)
}
