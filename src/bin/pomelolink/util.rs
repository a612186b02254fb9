//! Input, output and declaration helpers shared by several commands.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use pomelolink::document::Mistake;
use pomelolink::operator::view;
use pomelolink::resource::{self, Declaration, Id};
use serde_json::{Value, json};

use crate::error::Error;

/// Writes a line to standard output; fails if standard output is closed, for instance by `| head`.
pub fn print_line(line: &str) -> Result<(), Error> {
    writeln!(std::io::stdout(), "{line}")
        .map_err(|error| Error::Failed(format!("cannot write the output: {error}")))
}

/// Returns the items of an array field, or no items if the field is not an array.
pub fn array_items<'a>(value: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    value[name].as_array().into_iter().flatten()
}

/// Returns the value of a string field, or an empty string if the field is not a string.
pub fn str_field<'a>(value: &'a Value, name: &str) -> &'a str {
    value[name].as_str().unwrap_or("")
}

/// Returns `KIND/NAME` of a resource in a response.
pub fn resource_id(value: &Value) -> String {
    format!("{}/{}", str_field(value, "kind"), str_field(value, "name"))
}

/// Parses a resource id given as `KIND NAME` or `KIND/NAME`.
pub fn parse_id(arguments: &[String]) -> Result<Id, Error> {
    let joined = arguments.join("/");
    let parsed = joined.split_once('/').and_then(|(kind, name)| {
        let kind = kind.parse().ok()?;
        resource::is_name(name).then(|| Id::new(kind, name))
    });
    parsed.ok_or_else(|| {
        let kinds = resource::Kind::ALL.map(resource::Kind::as_str).join(", ");
        Error::Usage(format!("expected KIND/NAME, found \"{joined}\"; kinds are {kinds}"))
    })
}

/// Parses a duration: a number with an optional unit `s`, `m` or `h`; the default is seconds.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let units = [('s', 1), ('m', 60), ('h', 3_600)];
    let unit = units.into_iter().find(|(unit, _)| text.ends_with(*unit));
    let (number, seconds) = match unit {
        Some((unit, seconds)) => (text.trim_end_matches(unit), seconds),
        None => (text, 1),
    };
    let number = number.parse::<u64>().ok().and_then(|number| number.checked_mul(seconds));
    let seconds = number.ok_or_else(|| "expected a duration such as 90, 90s, 10m or 2h".to_owned());
    seconds.map(Duration::from_secs)
}

/// Returns the time that was `ago` before now, in milliseconds since the Unix epoch.
pub fn unix_ms_ago(ago: Duration) -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.saturating_sub(ago).as_millis()).unwrap_or(u64::MAX)
}

/// Formats a time in milliseconds since the Unix epoch as UTC.
pub fn format_time(wall_ms: u64) -> String {
    let millis = i64::try_from(wall_ms).ok();
    let time = millis.and_then(|millis| jiff::Timestamp::from_millisecond(millis).ok());
    time.map_or_else(|| format!("{wall_ms} ms"), |time| format!("{time:.3}"))
}

/// Returns the given operation id, or a random one. The id makes a retry of a request idempotent.
pub fn operation_id(given: Option<String>) -> String {
    given.unwrap_or_else(|| format!("cli-{:032x}", rand::random::<u128>()))
}

/// Reads the declarations in the given files and in the `.json` files of the given directories.
///
/// # Errors
///
/// Returns `Error::Mistakes` with all mistakes of all files.
pub fn read_declarations(paths: &[String]) -> Result<Vec<Declaration>, Error> {
    let mut declared = Vec::new();
    let mut mistakes = Vec::new();
    for path in paths {
        for file in list_files(Path::new(path), &mut mistakes) {
            let name = file.display().to_string();
            let parsed = match std::fs::read_to_string(&file) {
                Ok(text) => resource::parse(&name, &text),
                Err(error) => Err(vec![unreadable_file(&name, &error)]),
            };
            match parsed {
                Ok(found) => declared.extend(found),
                Err(found) => mistakes.extend(found),
            }
        }
    }
    if mistakes.is_empty() { Ok(declared) } else { Err(Error::Mistakes(mistakes)) }
}

fn list_files(path: &Path, mistakes: &mut Vec<Mistake>) -> Vec<PathBuf> {
    if !path.is_dir() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    match entries {
        Ok(entries) => {
            let files = entries.into_iter().map(|entry| entry.path());
            let mut files: Vec<PathBuf> = files
                .filter(|file| file.extension().is_some_and(|extension| extension == "json"))
                .collect();
            files.sort();
            files
        }
        Err(error) => {
            mistakes.push(unreadable_file(&path.display().to_string(), &error));
            Vec::new()
        }
    }
}

fn unreadable_file(file: &str, error: &std::io::Error) -> Mistake {
    let message = format!("cannot be read: {error}");
    Mistake { file: file.into(), line: 1, field: String::new(), message }
}

/// Converts declarations to JSON for `/v1/apply`, with the expected versions and with the file and
/// line of each declaration, which the server includes in the mistakes it reports.
pub fn encode_declarations(declared: &[Declaration], expected: &[(Id, u64)]) -> Vec<Value> {
    let encode = |found: &Declaration| {
        let version = expected.iter().find(|(id, _)| *id == found.id).map(|(_, version)| version);
        json!({
            "kind": found.id.kind,
            "name": found.id.name,
            "spec": view::spec_json(&found.spec),
            "resource_version": version,
            "file": found.file,
            "line": found.line,
        })
    };
    declared.iter().map(encode).collect()
}

/// Prints the changes and the revision in a response.
pub fn print_changes(response: &Value, json: bool) -> Result<(), Error> {
    if json {
        return print_line(&response.to_string());
    }
    for change in array_items(response, "changes") {
        print_line(&format!("{} {}", resource_id(change), str_field(change, "action")))?;
    }
    let unchanged = array_items(response, "changes").next().is_none();
    let note = if unchanged { " (no change)" } else { "" };
    print_line(&format!("revision {}{note}", response["revision"]))
}

/// Adds to an error of unknown outcome how to retry the request without applying it twice.
pub fn add_operation_hint(error: Error, operation: &str) -> Error {
    let hint = format!("`--operation {operation}` repeats the request without applying it twice");
    match error {
        Error::NoResponse(reason) => Error::NoResponse(format!("{reason}; {hint}")),
        Error::Refused(status, mut body) if body["error"]["run"] == "unknown" => {
            let message = format!("{}; {hint}", str_field(&body["error"], "message"));
            body["error"]["message"] = message.into();
            body["operation"] = operation.into();
            Error::Refused(status, body)
        }
        other => other,
    }
}
