//! Usage: pomelolink describe KIND/NAME
//!
//! Shows everything about one resource.

use argh::FromArgs;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::{get, util};

/// Show everything about one resource.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "describe")]
pub struct Arguments {
    #[argh(positional, arg_name = "KIND/NAME")]
    /// kind and name
    selection: Vec<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let id = util::parse_id(&arguments.selection)?;
    let client = config.client()?;
    let found = client.send(&Call::get(format!("/v1/resources/{id}"))).await?;
    if config.json {
        return util::print_line(&found.to_string());
    }
    util::print_line(&format!("{id}: {}", get::summarize_state(&found)))?;
    util::print_line(&format!("generation: {}", found["generation"]))?;
    util::print_line(&format!("resource version: {}", found["resource_version"]))?;
    util::print_line(&format!("revision: {}", found["revision"]))?;
    for condition in util::array_items(&found["status"], "conditions") {
        let since = condition["time_ms"].as_u64();
        let since =
            since.map_or_else(String::new, |time| format!(" since {}", util::format_time(time)));
        let (kind, reason) =
            (util::str_field(condition, "type"), util::str_field(condition, "reason"));
        util::print_line(&format!("condition: {kind}{since}: {reason}"))?;
    }
    if let Some(accepted) = found["status"]["accepted_ms"].as_u64() {
        util::print_line(&format!("accepted: {}", util::format_time(accepted)))?;
    }
    util::print_line(&format!("spec: {:#}", found["spec"]))
}
