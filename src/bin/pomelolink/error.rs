//! Errors of the tool and their exit codes.

use std::fmt;
use std::process::ExitCode;

use pomelolink::document::Mistake;
use serde_json::{Value, json};

use crate::util;

#[derive(Debug)]
pub enum Error {
    Usage(String),
    Failed(String),
    /// Mistakes that the tool found in the files, before it sent a request.
    Mistakes(Vec<Mistake>),
    /// Rules that a replay violated; its report is already written.
    Violations(Vec<String>),
    /// HTTP status and JSON body of an error response.
    Refused(u16, Value),
    /// No connection could be established, so the request was not sent.
    Unreachable(String),
    /// The request was sent, but no complete response was received.
    NoResponse(String),
}

impl Error {
    fn exit_code(&self) -> u8 {
        match self {
            Error::Failed(_) | Error::Mistakes(_) | Error::Violations(_) => 1,
            Error::Usage(_) => 2,
            Error::Refused(409, _) => 3,
            Error::Refused(..) => 1,
            Error::Unreachable(_) | Error::NoResponse(_) => 4,
        }
    }
}

impl Error {
    /// Returns how uncertain the outcome of the request is; higher is less certain. The error of an
    /// attempt that may have taken effect takes precedence over that of a later attempt without
    /// effect.
    pub fn uncertainty(&self) -> u8 {
        match self {
            Error::Refused(_, body) if body["error"]["run"] == "unknown" => 3,
            Error::NoResponse(_) => 2,
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
            | Error::NoResponse(text) => f.write_str(text),
            Error::Violations(violations) => write!(f, "violated: {}", violations.join("; ")),
            Error::Mistakes(mistakes) => {
                for mistake in mistakes {
                    writeln!(f, "{mistake}")?;
                }
                let noun = if mistakes.len() == 1 { "mistake" } else { "mistakes" };
                write!(f, "{} {noun}; nothing was applied", mistakes.len())
            }
            Error::Refused(status, body) => {
                for mistake in util::array_items(body, "mistakes") {
                    let (file, message) =
                        (util::str_field(mistake, "file"), util::str_field(mistake, "message"));
                    write!(f, "{file}:{}: ", mistake["line"])?;
                    let field = util::str_field(mistake, "field");
                    if !field.is_empty() {
                        write!(f, "{field}: ")?;
                    }
                    writeln!(f, "{message}")?;
                }
                for conflict in util::array_items(body, "conflicts") {
                    let id = util::resource_id(conflict);
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

/// Prints an error to standard error, and with `--json` also to standard output as JSON; returns
/// the exit code.
pub fn report(error: &Error, json: bool) -> ExitCode {
    let exit_code = error.exit_code();
    // The report of a replay, already written, contains its violations.
    if json && !matches!(error, Error::Violations(_)) {
        let mut body = match error {
            Error::Refused(_, body) if body.is_object() => body.clone(),
            other => json!({ "error": { "message": other.to_string() } }),
        };
        body["exit_code"] = exit_code.into();
        // A failed write is ignored, since the exit code still reports the result.
        let _ = util::print_line(&body.to_string());
    }
    eprintln!("pomelolink: {error}");
    ExitCode::from(exit_code)
}

/// Prints the help text or a usage error and returns the exit code.
pub fn report_early_exit(early: &argh::EarlyExit) -> ExitCode {
    match early.status {
        Ok(()) => {
            let _ = util::print_line(early.output.trim_end());
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("pomelolink: {}", early.output.trim_end());
            ExitCode::from(2)
        }
    }
}
