//! Validation of the gateway settings, and of the example file in `deploy/example`.

use pomelolink::gateway::settings::Settings;

const EXAMPLE: &str = include_str!("../deploy/example/gateway.json");

/// Guards against an example file that the gateway rejects.
#[test]
fn example_is_valid() {
    let settings = Settings::parse("gateway.json", EXAMPLE).expect("no mistakes");
    assert!(settings.duties.usage && settings.duties.capacity && settings.first_start);
    assert_eq!(settings.bounds.max_key_age().as_millis(), 4_250);
}

/// Guards against faulty settings that are accepted, or rejected without naming the field.
#[test]
fn mistakes_name_the_field() {
    let cases = [
        ("\"grace_s\": 8", "\"grace_s\": \"long\"", "grace_s"),
        ("\"127.0.0.1:7510\"", "\"nowhere\"", "store"),
        ("\"node\": \"edge-a-1\"", "\"node\": \"\"", "node"),
        ("\"lease_ms\"", "\"leas_ms\"", "leas_ms"),
        ("\"bounds\":", "\"memory_mb\": 1, \"bounds\":", "memory_mb"),
        ("\"bounds\":", "\"file_descriptors\": \"few\", \"bounds\":", "file_descriptors"),
        ("\"127.0.0.1:7511\"", "\"\"", "duties"),
    ];
    for (valid, faulty, field) in cases {
        assert!(EXAMPLE.contains(valid), "{valid}");
        let text = EXAMPLE.replace(valid, faulty);
        let mistakes = Settings::parse("gateway.json", &text).expect_err(faulty);
        let is_named = mistakes.iter().any(|mistake| mistake.to_string().contains(field));
        assert!(is_named, "{faulty}: {mistakes:?}");
    }
}
