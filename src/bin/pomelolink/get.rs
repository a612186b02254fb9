//! Usage: pomelolink get [KIND | KIND/NAME]
//!
//! Lists resources with their generation, resource version and state.

use argh::FromArgs;
use serde_json::Value;

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// List resources.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Arguments {
    #[argh(positional, arg_name = "KIND[/NAME]")]
    /// kind, or kind and name; all resources without it
    selection: Vec<String>,
}

pub async fn run(config: &Config, arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let path = match arguments.selection.join("/") {
        all if all.is_empty() => "/v1/resources".to_owned(),
        kind if kind.parse::<pomelolink::resource::Kind>().is_ok() => {
            format!("/v1/resources/{kind}")
        }
        _ => {
            let id = util::parse_id(&arguments.selection)?;
            format!("/v1/resources/{id}")
        }
    };
    let response = client.send(&Call::get(path)).await?;
    if config.json {
        return util::print_line(&response.to_string());
    }
    let listed: Vec<&Value> = match response["resources"].as_array() {
        Some(resources) => resources.iter().collect(),
        None => vec![&response],
    };
    util::print_line(&row("RESOURCE", "GENERATION", "VERSION", "STATE"))?;
    for found in listed {
        let version = match &found["resource_version"] {
            Value::Null => "-".to_owned(),
            version => version.to_string(),
        };
        let generation = found["generation"].to_string();
        util::print_line(&row(
            &util::resource_id(found),
            &generation,
            &version,
            &summarize_state(found),
        ))?;
    }
    if util::str_field(&response, "source") == "node" {
        eprintln!("pomelolink: the platform is not reachable; shown as in effect on the node");
    }
    Ok(())
}

fn row(resource: &str, generation: &str, version: &str, state: &str) -> String {
    format!("{resource:<40} {generation:>10} {version:>10}  {state}")
}

/// Returns the status of a resource in one line.
pub fn summarize_state(found: &Value) -> String {
    let status = &found["status"];
    let condition = &status["conditions"][0];
    let mut text = util::str_field(condition, "type").to_owned();
    if let Some(share) = status["share_permille"].as_u64() {
        text = format!(
            "{text} {}.{}%: {}",
            share / 10,
            share % 10,
            util::str_field(condition, "reason")
        );
    }
    if let Some(serving) = status["serving"].as_str() {
        text = format!("{text}, serving {serving}");
    }
    text
}
