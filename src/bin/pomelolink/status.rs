//! Usage: pomelolink status
//!
//! Shows the state of each given server, with its view of the members, leases and moves.

use argh::FromArgs;
use serde_json::{Value, json};

use crate::client::Call;
use crate::config::Config;
use crate::error::Error;
use crate::util;

/// Show the state of each server.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Arguments {}

pub async fn run(config: &Config, _arguments: Arguments) -> Result<(), Error> {
    let client = config.client()?;
    let call = Call::get("/v1/status");
    let mut is_reached = false;
    let mut reports = Vec::new();
    let mut last_error = None;
    for &server in &client.servers {
        let result = client.send_to(server, &call).await.and_then(|body| {
            serde_json::from_slice::<Value>(&body)
                .map_err(|error| Error::Failed(format!("{server}: not JSON: {error}")))
        });
        match result {
            Ok(report) => {
                is_reached = true;
                if !config.json {
                    print_status(&report)?;
                }
                reports.push(json!({ "server": server, "status": report }));
            }
            Err(error) => {
                if !config.json {
                    util::print_line(&format!("{server}: {error}"))?;
                }
                reports.push(json!({ "server": server, "error": error.to_string() }));
                last_error = Some(error);
            }
        }
    }
    if config.json && is_reached {
        util::print_line(&Value::from(reports).to_string())?;
    }
    match last_error {
        Some(error) if !is_reached => Err(error),
        _ => Ok(()),
    }
}

/// Titles of the columns of the member table, with the JSON field of each column.
const MEMBER_COLUMNS: [(&str, &str); 5] = [
    ("MEMBER", "node"),
    ("STATUS", "status"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("REGION", "region"),
    ("ADDRESS", "address"),
];

fn print_members(report: &Value) -> Result<(), Error> {
    let mut members = util::array_items(report, "members").peekable();
    if members.peek().is_none() {
        return Ok(());
    }
    let mut rows = vec![MEMBER_COLUMNS.map(|(title, _)| title)];
    rows.extend(
        members.map(|member| MEMBER_COLUMNS.map(|(_, field)| util::str_field(member, field))),
    );
    for row in &rows {
        let mut line = String::from(" ");
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
            line.push(' ');
            line.push_str(&format!("{cell:width$}"));
        }
        util::print_line(line.trim_end())?;
    }
    Ok(())
}

fn print_status(report: &Value) -> Result<(), Error> {
    let ready = match report["reason"].as_str() {
        None => "ready".to_owned(),
        Some(reason) => format!("not ready: {reason}"),
    };
    util::print_line(&format!(
        "{} in {}: revision {}, {ready}",
        util::str_field(report, "node"),
        util::str_field(report, "failure_domain"),
        report["revision"]
    ))?;
    print_members(report)?;
    for lease in util::array_items(report, "leases") {
        // Only the holder knows the remaining time; other nodes only see that the row changes.
        let remaining = match lease["left_ms"].as_u64() {
            Some(ms) => format!(", {}.{} s left", ms / 1_000, ms % 1_000 / 100),
            None => String::new(),
        };
        util::print_line(&format!(
            "  lease {}/{}: held by {}, fence {}{remaining}",
            util::str_field(lease, "duty"),
            util::str_field(lease, "failure_domain"),
            match lease["holder"].as_str() {
                Some("") | None => "nobody",
                Some(holder) => holder,
            },
            lease["fence"]
        ))?;
    }
    for shift in util::array_items(report, "moves") {
        let share = shift["share_permille"].as_u64().unwrap_or(0);
        util::print_line(&format!(
            "  move {}: {} {} -> {} {} at {}.{}%, deadline {}: {}",
            util::str_field(shift, "name"),
            util::str_field(shift, "service"),
            util::str_field(shift, "from"),
            util::str_field(shift, "to"),
            util::str_field(shift, "phase"),
            share / 10,
            share % 10,
            util::format_time(shift["deadline_ms"].as_u64().unwrap_or(0)),
            util::str_field(shift, "reason")
        ))?;
    }
    Ok(())
}
