//! Guards `docs/PROOFS.md` against names of tests that do not exist.

use std::path::Path;

/// Guards against a test that was renamed or removed but is still named in the page.
#[test]
fn named_tests_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = include_str!("../docs/PROOFS.md");
    let names: Vec<(&str, &str)> = page
        .split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|code| code.split_once("::"))
        .filter(|(file, test)| !test.contains("::") && *file != "file")
        .collect();
    assert!(names.len() > 30, "the page names too few tests: {names:?}");
    for (file, test) in names {
        let text = std::fs::read_to_string(root.join("tests").join(format!("{file}.rs")));
        let found = text.is_ok_and(|text| text.contains(&format!("fn {test}(")));
        assert!(found, "there is no test {file}::{test}");
    }
}
