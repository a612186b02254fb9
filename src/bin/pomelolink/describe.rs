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
        return util::print(&found.to_string());
    }
    util::print(&format!("{id}: {}", get::state(&found)))?;
    util::print(&format!("generation: {}", found["generation"]))?;
    util::print(&format!("resource version: {}", found["resource_version"]))?;
    util::print(&format!("revision: {}", found["revision"]))?;
    for condition in util::items(&found["status"], "conditions") {
        let since = condition["time_ms"].as_u64();
        let since = since.map_or_else(String::new, |time| format!(" since {}", util::time(time)));
        let (kind, reason) = (util::text(condition, "type"), util::text(condition, "reason"));
        util::print(&format!("condition: {kind}{since}: {reason}"))?;
    }
    if let Some(accepted) = found["status"]["accepted_ms"].as_u64() {
        util::print(&format!("accepted: {}", util::time(accepted)))?;
    }
    util::print(&format!("spec: {:#}", found["spec"]))
}
