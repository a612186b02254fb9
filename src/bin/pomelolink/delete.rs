//! Usage: pomelolink delete KIND/NAME [--expect VERSION]
//!
//! Deletes a resource. For a move in progress, the first delete reverts it and a second one removes
//! it.

use argh::FromArgs;
use http::Method;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Delete a resource, or revert a move in progress.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct Arguments {
    #[argh(positional, arg_name = "KIND/NAME")]
    /// kind and name
    selection: Vec<String>,
    #[argh(option, arg_name = "VERSION")]
    /// resource version that must not have changed
    expect: Option<u64>,
    #[argh(option, arg_name = "ID")]
    /// operation id of an earlier attempt with an unknown outcome
    operation: Option<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let id = util::parse_id(&arguments.selection)?;
    let client = config.client()?;
    let operation = util::operation_id(arguments.operation);
    let mut call = Call::get(format!("/v1/resources/{id}"));
    call.method = Method::DELETE;
    call.headers.push(("idempotency-key", operation.clone()));
    if let Some(version) = arguments.expect {
        call.headers.push(("if-match", version.to_string()));
    }
    let response = client.send(&call).await;
    let response = response.map_err(|error| util::add_operation_hint(error, &operation))?;
    util::print_changes(&response, config.json)
}
