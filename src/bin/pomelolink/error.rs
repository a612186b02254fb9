//! The errors of the tool and their exit codes.

use std::fmt;
use std::process::ExitCode;

use pomelolink::document::Mistake;
use serde_json::{Value, json};

use crate::util;

#[derive(Debug)]
pub enum Error {
    Usage(String),
    Failed(String),
    /// Mistakes that the tool found itself.
    Mistakes(Vec<Mistake>),
    /// Rules that a replay broke; the report itself has been written.
    Violated(Vec<String>),
    /// Answer of a server with its HTTP status.
    Refused(u16, Value),
    /// No server could be connected to, so nothing was sent.
    Unreachable(String),
    /// A request was sent but not answered.
    Unanswered(String),
}

impl Error {
    fn code(&self) -> u8 {
        match self {
            Error::Failed(_) | Error::Mistakes(_) | Error::Violated(_) => 1,
            Error::Usage(_) => 2,
            Error::Refused(409, _) => 3,
            Error::Refused(..) => 1,
            Error::Unreachable(_) | Error::Unanswered(_) => 4,
        }
    }
}

impl Error {
    /// Tells how much an attempt leaves open. An attempt that may have had an effect must not be
    /// hidden by a later one that had none.
    pub fn doubt(&self) -> u8 {
        match self {
            Error::Refused(_, body) if body["error"]["run"] == "unknown" => 3,
            Error::Unanswered(_) => 2,
            Error::Unreachable(_) => 0,
            _ => 1,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(text)
            | Error::Failed(text)
            | Error::Unreachable(text)
            | Error::Unanswered(text) => f.write_str(text),
            Error::Violated(rules) => write!(f, "violated: {}", rules.join("; ")),
            Error::Mistakes(mistakes) => {
                for mistake in mistakes {
                    writeln!(f, "{mistake}")?;
                }
                let noun = if mistakes.len() == 1 { "mistake" } else { "mistakes" };
                write!(f, "{} {noun}; nothing was applied", mistakes.len())
            }
            Error::Refused(status, body) => {
                for mistake in util::items(body, "mistakes") {
                    let (file, message) =
                        (util::text(mistake, "file"), util::text(mistake, "message"));
                    write!(f, "{file}:{}: ", mistake["line"])?;
                    let field = util::text(mistake, "field");
                    if !field.is_empty() {
                        write!(f, "{field}: ")?;
                    }
                    writeln!(f, "{message}")?;
                }
                for conflict in util::items(body, "conflicts") {
                    let id = util::id(conflict);
                    match &conflict["current"] {
                        Value::Null => writeln!(f, "{id} does not exist any more")?,
                        current => writeln!(f, "{id} is now:\n{current:#}")?,
                    }
                }
                let kind = body["error"]["kind"].as_str().unwrap_or("error");
                let message = body["error"]["message"].as_str().unwrap_or("no explanation");
                write!(f, "{kind} ({status}): {message}")
            }
        }
    }
}

/// Reports an error; programs get it on standard output as JSON.
pub fn finish(error: &Error, json: bool) -> ExitCode {
    let code = error.code();
    // A replay has written its violations as a part of its report.
    if json && !matches!(error, Error::Violated(_)) {
        let mut body = match error {
            Error::Refused(_, body) if body.is_object() => body.clone(),
            other => json!({ "error": { "message": other.to_string() } }),
        };
        body["exit_code"] = code.into();
        // The exit code still tells the result when nobody reads the output.
        let _ = util::print(&body.to_string());
    }
    eprintln!("pomelolink: {error}");
    ExitCode::from(code)
}

/// Ends the program after help or a usage error.
pub fn finish_early(early: &argh::EarlyExit) -> ExitCode {
    match early.status {
        Ok(()) => {
            let _ = util::print(early.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("pomelolink: {}", early.output.trim_end());
            ExitCode::from(2)
        }
    }
}
