//! Usage: pomelolink move SERVICE --from VERSION --to VERSION --within SECONDS [--name NAME]
//!
//! Declares a traffic move with a deadline. `describe move/NAME` shows its progress.

use argh::FromArgs;
use pomelolink::operator::edit::ABSENT_VERSION;
use serde_json::json;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Move the traffic of a service to another version within a deadline.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "move")]
pub struct Arguments {
    #[argh(positional)]
    /// service whose traffic moves
    service: String,
    #[argh(option, arg_name = "VERSION")]
    /// current version
    from: String,
    #[argh(option, arg_name = "VERSION")]
    /// new version
    to: String,
    #[argh(option, arg_name = "SECONDS")]
    /// seconds from acceptance to the deadline
    within: u64,
    #[argh(option)]
    /// name of the move; the default is SERVICE-to-VERSION
    name: Option<String>,
    #[argh(option, arg_name = "ID")]
    /// operation id of an earlier attempt with an unknown outcome
    operation: Option<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let Arguments { service, from, to, within, name, operation } = arguments;
    let name = name.unwrap_or_else(|| format!("{service}-to-{to}"));
    let operation = util::operation_id(operation);
    let client = config.client()?;
    // An existing move with this name is a conflict: its outcome may be that of an earlier move.
    let body = json!({
        "operation": operation,
        "resources": [{
            "kind": "move",
            "name": name,
            "spec": { "service": service, "from": from, "to": to, "within_s": within },
            "resource_version": ABSENT_VERSION,
            "file": "command line",
        }],
    });
    let response = client.send(&Call::post("/v1/apply", &body)).await;
    let response = response.map_err(|error| util::add_operation_hint(error, &operation))?;
    util::print_changes(&response, config.json)
}
