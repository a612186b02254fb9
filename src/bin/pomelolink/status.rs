//! Usage: pomelolink status
//!
//! Shows the state of each given server and of the moves it knows.

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
    let mut reached = false;
    let mut reports = Vec::new();
    let mut last = None;
    for &server in &client.servers {
        let result = client.send_to(server, &call).await.and_then(|body| {
            serde_json::from_slice::<Value>(&body)
                .map_err(|error| Error::Failed(format!("{server}: not JSON: {error}")))
        });
        match result {
            Ok(report) => {
                reached = true;
                if !config.json {
                    show(&report)?;
                }
                reports.push(json!({ "server": server, "status": report }));
            }
            Err(error) => {
                if !config.json {
                    util::print(&format!("{server}: {error}"))?;
                }
                reports.push(json!({ "server": server, "error": error.to_string() }));
                last = Some(error);
            }
        }
    }
    if config.json && reached {
        util::print(&Value::from(reports).to_string())?;
    }
    match last {
        Some(error) if !reached => Err(error),
        _ => Ok(()),
    }
}

/// Columns of the members with the fields that they come from.
const MEMBER_COLUMNS: [(&str, &str); 5] = [
    ("MEMBER", "node"),
    ("STATUS", "status"),
    ("FAILURE DOMAIN", "failure_domain"),
    ("REGION", "region"),
    ("ADDRESS", "address"),
];

fn show_members(report: &Value) -> Result<(), Error> {
    let mut members = util::items(report, "members").peekable();
    if members.peek().is_none() {
        return Ok(());
    }
    let mut rows = vec![MEMBER_COLUMNS.map(|(title, _)| title)];
    rows.extend(members.map(|member| MEMBER_COLUMNS.map(|(_, field)| util::text(member, field))));
    for row in &rows {
        let mut line = String::from(" ");
        for (column, cell) in row.iter().enumerate() {
            let width = rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
            line.push(' ');
            line.push_str(&format!("{cell:width$}"));
        }
        util::print(line.trim_end())?;
    }
    Ok(())
}

fn show(report: &Value) -> Result<(), Error> {
    let ready = match report["reason"].as_str() {
        None => "ready".to_owned(),
        Some(reason) => format!("not ready: {reason}"),
    };
    util::print(&format!(
        "{} in {}: revision {}, {ready}",
        util::text(report, "node"),
        util::text(report, "failure_domain"),
        report["revision"]
    ))?;
    show_members(report)?;
    for lease in util::items(report, "leases") {
        // Only the holder knows the time left; the others see that the row changes.
        let left = match lease["left_ms"].as_u64() {
            Some(left) => format!(", {}.{} s left", left / 1_000, left % 1_000 / 100),
            None => String::new(),
        };
        util::print(&format!(
            "  lease {}/{}: held by {}, fence {}{left}",
            util::text(lease, "duty"),
            util::text(lease, "failure_domain"),
            match lease["holder"].as_str() {
                Some("") | None => "nobody",
                Some(holder) => holder,
            },
            lease["fence"]
        ))?;
    }
    for shift in util::items(report, "moves") {
        let share = shift["share_permille"].as_u64().unwrap_or(0);
        util::print(&format!(
            "  move {}: {} {} -> {} {} at {}.{}%, deadline {}: {}",
            util::text(shift, "name"),
            util::text(shift, "service"),
            util::text(shift, "from"),
            util::text(shift, "to"),
            util::text(shift, "phase"),
            share / 10,
            share % 10,
            util::time(shift["deadline_ms"].as_u64().unwrap_or(0)),
            util::text(shift, "reason")
        ))?;
    }
    Ok(())
}
