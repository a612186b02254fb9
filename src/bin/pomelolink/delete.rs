//! Usage: pomelolink delete KIND/NAME [--expect VERSION]
//!
//! Deletes a resource. A move in progress is reverted instead; a second delete removes it.

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
    let operation = util::operation(arguments.operation);
    let mut call = Call::get(format!("/v1/resources/{id}"));
    call.method = Method::DELETE;
    call.headers.push(("idempotency-key", operation.clone()));
    if let Some(version) = arguments.expect {
        call.headers.push(("if-match", version.to_string()));
    }
    let answer = client.send(&call).await;
    let answer = answer.map_err(|error| util::name_operation(error, &operation))?;
    util::print_changes(&answer, config.json)
}
