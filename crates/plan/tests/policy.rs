//! Orders that the planner writes for new engines and for changed documents.

use conf::Doc;
use plan::policy::{Engine, has_changes, new_orders};
use store::rows::Desired;
use wire::{AgentState, AgentStatus, Model, Role};

const EPOCH: u64 = 5;

fn doc(version: u32) -> Doc {
    let ups: String = (0..8)
        .map(|i| {
            format!(
                "- {{name: u{i}, host: h{i}, zone: z, agent: 127.0.0.1:{}, slots: 1}}\n",
                7000 + i
            )
        })
        .collect();
    let text = format!(
        "service: s\nkind: engine\nmodel: {{name: m, version: {version}}}\nshare: 50%\n\
         drain_bound: 1s\ntenants: {{queue: 1, running: 1}}\nclasses:\n- {{name: c, urgency: 0, \
         deadline: 1s, idempotent: true, share: 50%, starvation_bound: 1s, queue: 1}}\n\
         upstreams:\n{ups}"
    );
    Doc::parse(&text).unwrap()
}

fn engine(i: usize, version: Option<u32>, ready: bool) -> Engine {
    let desired = version.map(|v| Desired {
        role: Role::Mixed,
        model: Model::plain("m", v),
        epoch: 1,
        order: 3,
        why: String::new(),
    });
    let state = if ready {
        AgentState::Ready
    } else {
        AgentState::Starting
    };
    let status = AgentStatus {
        upstream: format!("u{i}"),
        state,
        role: Role::Mixed,
        model: version.map(|v| Model::plain("m", v)),
        doc_version: 1,
        waiting: 0,
        running: 0,
        fault: None,
    };
    Engine {
        name: format!("u{i}"),
        agent: format!("127.0.0.1:{}", 7000 + i).parse().unwrap(),
        desired,
        version: 1,
        status: Some(status),
    }
}

#[test]
fn engines_without_an_order_get_one_immediately() {
    let engines: Vec<Engine> = (0..8).map(|i| engine(i, None, true)).collect();
    let got = new_orders(&doc(1), &engines, EPOCH);
    assert_eq!(got.len(), 8);
    assert!(
        got.iter()
            .all(|o| o.desired.order == 1 && o.desired.epoch == EPOCH)
    );
}

#[test]
fn unchanged_engines_get_no_orders() {
    let engines: Vec<Engine> = (0..8).map(|i| engine(i, Some(1), true)).collect();
    assert!(!has_changes(&doc(1), &engines));
    assert!(new_orders(&doc(1), &engines, EPOCH).is_empty());
}

#[test]
fn a_model_change_is_rolled_out_to_a_quarter_at_a_time() {
    let mut engines: Vec<Engine> = (0..8).map(|i| engine(i, Some(1), true)).collect();
    let got = new_orders(&doc(2), &engines, EPOCH);
    assert_eq!(got.len(), 2);
    assert!(
        got.iter()
            .all(|o| o.desired.order == 4 && o.desired.model.version == 2)
    );
    engines[0] = engine(0, Some(2), false);
    engines[1] = engine(1, Some(2), true);
    assert_eq!(
        new_orders(&doc(2), &engines, EPOCH).len(),
        1,
        "one engine is still changing"
    );
    engines[1].status = None;
    assert!(
        new_orders(&doc(2), &engines, EPOCH).is_empty(),
        "an engine with an unresponsive agent counts as changing"
    );
}

#[test]
fn an_adapter_added_to_the_document_changes_the_engines() {
    let engines: Vec<Engine> = (0..8).map(|i| engine(i, Some(1), true)).collect();
    let mut doc = doc(1);
    doc.kind = conf::Kind::Engine(conf::Model {
        name: "m".into(),
        version: 1,
        adapters: vec!["nl".into()],
    });
    assert!(has_changes(&doc, &engines));
    let got = new_orders(&doc, &engines, EPOCH);
    assert_eq!(got.len(), 2);
    assert_eq!(got[0].desired.model.to_string(), "m@1+nl");
}
