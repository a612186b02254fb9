//! Usage: pomelolink apply -f PATH [-f PATH ...] [--expect KIND/NAME=VERSION ...]
//!
//! Applies all declarations of the files in one revision, or none of them. Applying unchanged
//! declarations again changes nothing. With `--expect`, the command fails if a resource no longer
//! has the given version.

use argh::FromArgs;
use pomelolink::resource::Id;
use serde_json::json;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Apply the declarations of files, all or none.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Arguments {
    #[argh(option, short = 'f', long = "file", arg_name = "PATH")]
    /// file or directory of declarations; may be repeated
    files: Vec<String>,
    #[argh(option, arg_name = "KIND/NAME=VERSION", from_str_fn(parse_expected))]
    /// resource version that must not have changed, 0 for a new resource; may be repeated
    expect: Vec<(Id, u64)>,
    #[argh(option, arg_name = "ID")]
    /// operation id of an earlier attempt with an unknown outcome
    operation: Option<String>,
}

fn parse_expected(text: &str) -> Result<(Id, u64), String> {
    let parsed = text.split_once('=').and_then(|(id, version)| {
        Some((util::parse_id(&[id.to_owned()]).ok()?, version.parse().ok()?))
    });
    parsed.ok_or_else(|| format!("expected KIND/NAME=VERSION, found \"{text}\""))
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    if arguments.files.is_empty() {
        return Err(Error::Usage("specify at least one file with -f".to_owned()));
    }
    let client = config.client()?;
    let declared = util::read_declarations(&arguments.files)?;
    let operation = util::operation_id(arguments.operation);
    let body = json!({
        "operation": operation,
        "resources": util::encode_declarations(&declared, &arguments.expect),
    });
    let response = client.send(&Call::post("/v1/apply", &body)).await;
    let response = response.map_err(|error| util::add_operation_hint(error, &operation))?;
    util::print_changes(&response, config.json)
}
