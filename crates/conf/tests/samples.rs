//! Tests that the samples in the repository are valid, and that all errors in invalid ones are
//! reported with their positions.

use conf::{Doc, Limits, Settings};
use std::fs;
use std::path::PathBuf;

fn sample(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../samples")
        .join(name);
    fs::read_to_string(path).unwrap()
}

#[test]
fn sample_documents_have_the_expected_services_upstreams_and_zones() {
    let cases = [
        ("sleutelbos/taalmodel-dossier.yaml", 9, "gent-zaal-a"),
        ("sleutelbos/ledenportaal.yaml", 4, "brussel-noord"),
        ("blue-mahoe/blend-llm.yaml", 8, "halfway-tree"),
        ("blue-mahoe/shop-api.yaml", 4, "papine"),
    ];
    for (name, upstreams, zone) in cases {
        let doc = Doc::parse(&sample(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(name.contains(&doc.service));
        assert_eq!(doc.upstreams.len(), upstreams, "{name}");
        assert!(doc.upstreams.iter().any(|u| u.zone == zone), "{name}");
    }
}

#[test]
fn sample_settings_are_valid_and_state_the_defaults() {
    let entry = Settings::parse(&sample("entry.yaml")).unwrap();
    assert_eq!(entry.limits, Limits::default());
    let agent = Settings::parse(&sample("agent.yaml")).unwrap();
    assert_eq!(agent.upstream.unwrap().name, "dossier-1");
}

#[test]
fn all_errors_in_a_document_are_reported_together_with_their_positions() {
    let text = sample("sleutelbos/ledenportaal.yaml")
        .replace("share: 30%", "share: 30")
        .replace("drain_bound: 30s", "drain_bound: 30")
        .replace("urgency: 2", "urgncy: 2")
        .replace("queue: 32, running: 16", "queue: 32, running: 0");
    let errors = Doc::parse(&text).unwrap_err();
    let line_of = |part: &str| 1 + text.lines().position(|l| l.contains(part)).unwrap();
    let at = |part: &str| errors.all().iter().any(|f| f.line == line_of(part));
    assert!(at("share: 30"), "{errors}");
    assert!(at("drain_bound: 30"), "{errors}");
    assert!(at("urgncy: 2"), "{errors}");
    assert!(at("running: 0"), "{errors}");
    assert!(
        errors
            .all()
            .iter()
            .any(|f| f.message.contains("unknown field `urgncy`")),
        "{errors}"
    );
    let urgency = errors
        .all()
        .iter()
        .find(|f| f.message.contains("unknown field"))
        .unwrap();
    assert_eq!(urgency.column, 5);
}

#[test]
fn invalid_combinations_of_fields_are_rejected() {
    let portal = sample("sleutelbos/ledenportaal.yaml");
    let model = sample("sleutelbos/taalmodel-dossier.yaml");
    let cases = [
        (portal.replace("share: 50%", "share: 60%"), "add up to 120%"),
        (
            portal.replace("kind: plain", "kind: plain\ncalm: 0.5"),
            "neither `calm` nor",
        ),
        (
            portal.replace("kind: plain", "kind: engine"),
            "needs the field `model`",
        ),
        (
            portal.replace("name: notice", "name: lookup"),
            "duplicate class `lookup`",
        ),
        (
            portal.replace("127.11.0.22:7000", "127.11.0.21:7000"),
            "two upstreams name the agent",
        ),
        (
            portal.replace("portaal-2,", "portaal-1,"),
            "duplicate upstream `portaal-1`",
        ),
        (
            model.replacen("idempotent: true", "idempotent: false", 1),
            "calls are idempotent",
        ),
        (
            model.replace("version: 1}", "version: 1, adapters: [nl, nl]}"),
            "duplicate adapter",
        ),
        (
            model.replace("calm: 0.8", "calm: 1.8"),
            "a number from 0 to 1",
        ),
        (
            model.replace("urgency: 3", "urgency: 30"),
            "urgency goes from 0 to 9",
        ),
    ];
    for (text, want) in cases {
        let errors = Doc::parse(&text).unwrap_err();
        assert!(
            errors.all().iter().any(|f| f.message.contains(want)),
            "{want}: {errors}"
        );
    }
}

#[test]
fn anchors_tags_and_invalid_yaml_give_errors_and_no_panic() {
    for text in [
        "a: &x 1\nb: *x\n",
        "a: !!str 1\n",
        "a: [1\n",
        "- a\n",
        "",
        "\u{0}",
        "a: {b: {c",
    ] {
        assert!(Doc::parse(text).is_err(), "{text:?}");
    }
}
