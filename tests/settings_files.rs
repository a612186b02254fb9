//! Guards against mistakes in settings that are accepted, or reported without file, line and field.
//!
//! Each file under `tests/settings` lists its expected mistakes in comments that start with `//! `.

use std::path::Path;

use pomelolink::config;

fn check(path: &Path, text: String) -> datatest_stable::Result<()> {
    let expected: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("//! ")).collect();
    let found: Vec<String> = match config::Settings::parse("settings.json", &text) {
        Ok(_) => Vec::new(),
        Err(mistakes) => mistakes.iter().map(ToString::to_string).collect(),
    };
    if found != expected {
        let name = path.display();
        return Err(format!("{name}: expected {expected:#?}, found {found:#?}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/settings", pattern = r"\.json$" },
}
