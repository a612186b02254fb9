//! Usage: pomelolink diff -f PATH [-f PATH ...]
//!
//! Shows what `apply` would change, and every mistake it would refuse, without applying anything.

use argh::FromArgs;
use serde_json::{Value, json};

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Show what applying files would change.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct Arguments {
    #[argh(option, short = 'f', long = "file", arg_name = "PATH")]
    /// file or directory of declarations; may be repeated
    files: Vec<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    if arguments.files.is_empty() {
        return Err(Error::Usage("name at least one file with -f".to_owned()));
    }
    let client = config.client()?;
    let declared = util::read_declarations(&arguments.files)?;
    let resources = util::encode_declarations(&declared, &[]);
    let body = json!({ "dry_run": true, "resources": resources });
    let answer = client.send(&Call::post("/v1/apply", &body)).await?;
    if config.json {
        return util::print(&answer.to_string());
    }
    for change in util::items(&answer, "changes") {
        util::print(&format!("{} {}", util::id(change), util::text(change, "action")))?;
        for field in util::items(change, "fields") {
            let line = match (&field["old"], &field["new"]) {
                (Value::Null, new) => format!("  + {}: {new}", util::text(field, "field")),
                (old, Value::Null) => format!("  - {}: {old}", util::text(field, "field")),
                (old, new) => format!("  ~ {}: {old} -> {new}", util::text(field, "field")),
            };
            util::print(&line)?;
        }
    }
    if util::items(&answer, "changes").next().is_none() {
        util::print(&format!("no difference from revision {}", answer["revision"]))?;
    }
    Ok(())
}
