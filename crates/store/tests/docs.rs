//! Tests that only valid and newer documents come into force.

use proptest::prelude::*;
use store::Documents;
use store::docs::OfferResult;
use wire::DocText;

fn text(service: &str, queue: u64) -> String {
    format!(
        "service: {service}\nkind: plain\nshare: 50%\ndrain_bound: 1s\n\
         tenants: {{queue: {queue}, running: 1}}\nclasses:\n- {{name: c, urgency: 0, deadline: 1s, \
         idempotent: true, share: 50%, starvation_bound: 1s, queue: 1}}\nupstreams: []\n"
    )
}

fn offer(service: &str, version: u64) -> DocText {
    DocText {
        service: service.into(),
        version,
        text: text(service, version),
    }
}

#[test]
fn invalid_documents_and_those_of_other_services_change_nothing() {
    let documents = Documents::new(&["s".into()]);
    assert_eq!(documents.offer(&offer("s", 3)), OfferResult::Accepted);
    let broken = DocText {
        text: "nonsense".into(),
        ..offer("s", 9)
    };
    assert_eq!(documents.offer(&broken), OfferResult::Invalid);
    let other = DocText {
        text: text("t", 9),
        ..offer("s", 9)
    };
    assert_eq!(documents.offer(&other), OfferResult::Invalid);
    assert_eq!(documents.offer(&offer("t", 1)), OfferResult::Invalid);
    assert_eq!(documents.version("s"), 3);
}

#[test]
fn a_version_known_from_a_peer_is_reported_as_newer_until_it_is_in_force() {
    let documents = Documents::new(&["s".into()]);
    assert_eq!(documents.newer_version("s"), None);
    documents.note_version("s", 4);
    documents.note_version("s", 2);
    assert_eq!(documents.newer_version("s"), Some(4));
    assert_eq!(documents.offer(&offer("s", 3)), OfferResult::Accepted);
    assert_eq!(documents.newer_version("s"), Some(4));
    assert_eq!(documents.offer(&offer("s", 4)), OfferResult::Accepted);
    assert_eq!(documents.newer_version("s"), None);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), ..ProptestConfig::default() })]

    /// Compared with a simple model: the highest version offered is in force.
    #[test]
    fn in_force_is_the_highest_version_offered(offers in prop::collection::vec((0usize..2, 1u64..20), 0..40)) {
        let names = ["a", "b"];
        let documents = Documents::new(&names.map(String::from));
        let mut highest = [0, 0];
        for (at, version) in offers {
            let taken = documents.offer(&offer(names[at], version));
            prop_assert_eq!(taken == OfferResult::Accepted, version > highest[at]);
            highest[at] = highest[at].max(version);
            for (name, highest) in names.iter().zip(highest) {
                prop_assert_eq!(documents.version(name), highest);
                if let Some(d) = documents.get(name) {
                    prop_assert_eq!(u64::from(d.doc.tenants.queue), highest);
                }
            }
        }
    }
}
