//! Usage: pomelolink diff -f PATH [-f PATH ...]
//!
//! Shows what `apply` would change, and every mistake that would make it fail, without applying
//! anything.

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
        return Err(Error::Usage("specify at least one file with -f".to_owned()));
    }
    let client = config.client()?;
    let declared = util::read_declarations(&arguments.files)?;
    let resources = util::encode_declarations(&declared, &[]);
    let body = json!({ "dry_run": true, "resources": resources });
    let response = client.send(&Call::post("/v1/apply", &body)).await?;
    if config.json {
        return util::print_line(&response.to_string());
    }
    for change in util::array_items(&response, "changes") {
        util::print_line(&format!(
            "{} {}",
            util::resource_id(change),
            util::str_field(change, "action")
        ))?;
        for field in util::array_items(change, "fields") {
            let line = match (&field["old"], &field["new"]) {
                (Value::Null, new) => format!("  + {}: {new}", util::str_field(field, "field")),
                (old, Value::Null) => format!("  - {}: {old}", util::str_field(field, "field")),
                (old, new) => format!("  ~ {}: {old} -> {new}", util::str_field(field, "field")),
            };
            util::print_line(&line)?;
        }
    }
    if util::array_items(&response, "changes").next().is_none() {
        util::print_line(&format!("no difference from revision {}", response["revision"]))?;
    }
    Ok(())
}
