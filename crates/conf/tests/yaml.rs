//! Tests of the YAML parser: units, duplicate fields, size limit.

use conf::yaml::{load, parse_duration};
use std::time::Duration;

#[test]
fn durations_need_a_unit_and_are_bounded() {
    assert_eq!(parse_duration("200ms"), Some(Duration::from_millis(200)));
    assert_eq!(parse_duration("2s"), Some(Duration::from_secs(2)));
    assert_eq!(parse_duration("5m"), Some(Duration::from_secs(300)));
    assert_eq!(parse_duration("2"), None);
    assert_eq!(parse_duration("-2s"), None);
    assert_eq!(parse_duration("99999999999999999999s"), None);
    assert_eq!(parse_duration("9999h"), None);
}

#[test]
fn a_duplicate_field_is_an_error() {
    let e = load("a: 1\na: 2\n", |_, _| Some(())).unwrap_err();
    assert_eq!(e.all()[0].line, 2);
}

#[test]
fn a_file_over_the_size_limit_is_rejected_before_parsing() {
    let e = load(&"#".repeat(10 << 20), |_, _| Some(())).unwrap_err();
    assert!(e.all()[0].message.contains("limit"));
}
