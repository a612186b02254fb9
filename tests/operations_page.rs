//! Guards against fields, defaults and bounds that are missing or wrong in `docs/OPERATIONS.md`.

use std::collections::BTreeSet;

use pomelolink::{config, resource};
use serde_json::{Map, Value, json};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");
const SETTINGS_SOURCE: &str = include_str!("../src/config.rs");
const DECLARATIONS_SOURCE: &str = include_str!("../src/resource.rs");
const EXAMPLE: &str = include_str!("../deploy/example/settings.json");
/// Calls in the source that read a field; the field name is their first string argument.
const READER_CALLS: [&str; 11] = [
    "address(",
    "read_millis(reader,",
    ".parsed(",
    ".text(",
    ".texts(",
    ".optional_text(",
    ".number(",
    ".flag(",
    ".choice(",
    ".object(",
    ".objects(",
];

/// Returns the cells of the table rows in one section, without backticks and the header row.
fn rows(section: &str) -> Vec<Vec<String>> {
    let start = PAGE.find(section).expect("the section exists");
    let text = &PAGE[start + section.len()..];
    let text = &text[..text.find("\n## ").unwrap_or(text.len())];
    let rows = text.lines().filter(|line| line.starts_with("| ") && line.contains('`'));
    rows.map(|line| {
        let cells = line.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    })
    .collect()
}

/// Returns the names of the fields that a source file reads.
fn field_names(source: &str) -> BTreeSet<String> {
    let flat: String = source.chars().filter(|symbol| !symbol.is_whitespace()).collect();
    let mut names = BTreeSet::new();
    for call in READER_CALLS {
        for (at, _) in flat.match_indices(&format!("{call}\"")) {
            let rest = &flat[at + call.len() + 1..];
            names.extend(rest.split('"').next().map(str::to_owned));
        }
    }
    names
}

/// Parses a cell such as `1 to 100`; returns `None` for other cells.
fn parse_bounds(cell: &str) -> Option<(i64, i64)> {
    let (low, high) = cell.split_once(" to ")?;
    Some((low.parse().ok()?, high.parse().ok()?))
}

/// Parses the example settings with one number changed.
fn parse_with_number(field: &str, value: i64) -> Result<config::Settings, String> {
    let (group, name) = field.split_once('.').expect("a number is in a group");
    let changed = json!({ name: value }).to_string();
    let end = EXAMPLE.rfind('}').expect("the example is an object");
    let text = format!("{} \"{group}\": {changed} }}", &EXAMPLE[..end]);
    config::Settings::parse("settings.json", &text).map_err(|mistakes| format!("{mistakes:?}"))
}

#[test]
fn settings_fields_are_complete() {
    let rows = rows("## 2. Settings");
    let listed = rows.iter().filter_map(|row| row[0].rsplit('.').next().map(str::to_owned));
    assert_eq!(listed.collect::<BTreeSet<_>>(), field_names(SETTINGS_SOURCE));
}

#[test]
fn settings_defaults_and_bounds_hold() {
    let defaults = config::Settings::parse("settings.json", EXAMPLE).expect("the example is valid");
    let mut checked = 0;
    for row in rows("## 2. Settings") {
        let Some((low, high)) = parse_bounds(&row[3]) else { continue };
        let field = &row[0];
        let default =
            parse_with_number(field, row[2].parse().expect("a default")).expect("a valid default");
        assert_eq!(
            (&default.limits, &default.timing),
            (&defaults.limits, &defaults.timing),
            "{field}"
        );
        for (value, is_valid) in [(low - 1, false), (low, true), (high, true), (high + 1, false)] {
            let found = parse_with_number(field, value);
            assert_eq!(found.is_ok(), is_valid, "{field} = {value}: {found:?}");
        }
        checked += 1;
    }
    // The groups `limits` and `timing` have 14 numbers in total.
    assert_eq!(checked, 14);
}

#[test]
fn declaration_fields_are_complete() {
    let listed = rows("## 3. Declarations").into_iter().map(|row| row[1].clone());
    assert_eq!(listed.collect::<BTreeSet<_>>(), field_names(DECLARATIONS_SOURCE));
}

/// Returns the required fields of a declaration of the given kind.
fn minimal_declaration(kind: &str) -> Map<String, Value> {
    let fields = match kind {
        "workspace" => json!({}),
        "pool" => json!({ "class": "gpu" }),
        "service" => json!({ "protocol": "model", "version": "v1" }),
        "version" => json!({ "service": "s", "pool": "p" }),
        _ => json!({ "service": "s", "from": "v1", "to": "v2", "within_s": 60 }),
    };
    let mut fields = fields.as_object().cloned().unwrap_or_default();
    fields.insert("kind".to_owned(), kind.into());
    fields.insert("name".to_owned(), "x".into());
    fields
}

fn parse(fields: &Map<String, Value>) -> Option<Vec<resource::Declaration>> {
    resource::parse("x.json", &Value::from(fields.clone()).to_string()).ok()
}

#[test]
fn declaration_defaults_and_bounds_hold() {
    let mut checked = 0;
    for row in rows("## 3. Declarations") {
        let Some((low, high)) = parse_bounds(&row[4]) else { continue };
        let (kind, field) = (&row[0], &row[1]);
        let mut fields = minimal_declaration(kind);
        if row[3] != "-" {
            let defaults = parse(&fields).expect("valid without the field");
            fields.insert(field.clone(), row[3].parse::<i64>().expect("a default").into());
            assert_eq!(parse(&fields), Some(defaults), "{kind} {field}");
        }
        for (value, is_valid) in [(low - 1, false), (low, true), (high, true), (high + 1, false)] {
            fields.insert(field.clone(), value.into());
            assert_eq!(parse(&fields).is_some(), is_valid, "{kind} {field} = {value}");
        }
        checked += 1;
    }
    assert_eq!(checked, 7);
}

#[test]
fn usage_error_exit_code() {
    for args in [&[][..], &["--unknown", "settings.json"][..], &["--check", "/missing.json"][..]] {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_pomelolinkd"));
        let output = { program }.args(args).output().expect("the daemon starts");
        assert_eq!(output.status.code(), Some(2), "{args:?}: {output:?}");
    }
}
