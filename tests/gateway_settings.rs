//! Settings of the gateway: every mistake is named, and the example is proper.

use pomelolink::gateway::settings::Settings;

const EXAMPLE: &str = include_str!("../deploy/example/gateway.json");

/// Guards against an example that doesn't work.
#[test]
fn example_is_proper() {
    let settings = Settings::parse("gateway.json", EXAMPLE).expect("no mistakes");
    assert!(settings.duties.usage && settings.duties.capacity && settings.first_start);
    assert_eq!(settings.bounds.key_age().as_millis(), 4_250);
}

/// Guards against a start with settings that aren't what was meant.
#[test]
fn mistakes_are_named() {
    let cases = [
        ("\"grace_s\": 8", "\"grace_s\": \"long\"", "grace_s"),
        ("\"127.0.0.1:7510\"", "\"nowhere\"", "store"),
        ("\"node\": \"edge-a-1\"", "\"node\": \"\"", "node"),
        ("\"lease_ms\"", "\"leas_ms\"", "leas_ms"),
        ("\"127.0.0.1:7511\"", "\"\"", "duties"),
    ];
    for (proper, wrong, field) in cases {
        assert!(EXAMPLE.contains(proper), "{proper}");
        let text = EXAMPLE.replace(proper, wrong);
        let mistakes = Settings::parse("gateway.json", &text).expect_err(wrong);
        let named = mistakes.iter().any(|mistake| mistake.to_string().contains(field));
        assert!(named, "{wrong}: {mistakes:?}");
    }
}
