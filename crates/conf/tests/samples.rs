//! The samples in the repository are valid, and samples with faults are refused
//! with all faults at their places.

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
fn sample_documents_have_the_users_services_workers_and_zones() {
    let cases = [
        ("sleutelbos/taalmodel-dossier.yaml", 9, "gent-zaal-a"),
        ("sleutelbos/ledenportaal.yaml", 4, "brussel-noord"),
        ("blue-mahoe/blend-llm.yaml", 8, "halfway-tree"),
        ("blue-mahoe/shop-api.yaml", 4, "papine"),
    ];
    for (name, workers, zone) in cases {
        let doc = Doc::parse(&sample(name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert!(name.contains(&doc.service));
        assert_eq!(doc.upstreams.len(), workers, "{name}");
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
fn all_faults_of_a_document_come_at_once_with_their_places() {
    let text = sample("sleutelbos/ledenportaal.yaml")
        .replace("share: 30%", "share: 30")
        .replace("drain_bound: 30s", "drain_bound: 30")
        .replace("urgency: 2", "urgncy: 2")
        .replace("queue: 32, running: 16", "queue: 32, running: 0");
    let faults = Doc::parse(&text).unwrap_err();
    let line_of = |part: &str| 1 + text.lines().position(|l| l.contains(part)).unwrap();
    let at = |part: &str| faults.all().iter().any(|f| f.line == line_of(part));
    assert!(at("share: 30"), "{faults}");
    assert!(at("drain_bound: 30"), "{faults}");
    assert!(at("urgncy: 2"), "{faults}");
    assert!(at("running: 0"), "{faults}");
    assert!(
        faults
            .all()
            .iter()
            .any(|f| f.what.contains("unknown field `urgncy`")),
        "{faults}"
    );
    let urgency = faults
        .all()
        .iter()
        .find(|f| f.what.contains("unknown field"))
        .unwrap();
    assert_eq!(urgency.column, 5);
}

#[test]
fn combinations_that_cannot_be_are_refused() {
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
            "stands twice",
        ),
        (
            portal.replace("127.11.0.22:7000", "127.11.0.21:7000"),
            "two upstreams name the agent",
        ),
        (
            portal.replace("portaal-2,", "portaal-1,"),
            "upstream `portaal-1` stands twice",
        ),
        (
            model.replacen("idempotent: true", "idempotent: false", 1),
            "calls are idempotent",
        ),
        (
            model.replace("version: 1}", "version: 1, adapters: [nl, nl]}"),
            "an adapter stands twice",
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
        let faults = Doc::parse(&text).unwrap_err();
        assert!(
            faults.all().iter().any(|f| f.what.contains(want)),
            "{want}: {faults}"
        );
    }
}

#[test]
fn anchors_tags_and_broken_yaml_are_faults_and_not_panics() {
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
