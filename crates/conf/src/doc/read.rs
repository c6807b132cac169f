//! Reading a document, and the checks that go over several fields.

use super::{Class, Doc, Kind, MAX_URGENCY, Model, Route, TenantLimits, Upstream};
use crate::fault::Faults;
use crate::yaml::{self, Fields};
use marked_yaml::Node;
use std::net::SocketAddr;
use std::time::Duration;

/// Most classes in one document.
const MAX_CLASSES: usize = 32;
/// Most upstreams in one document.
const MAX_UPSTREAMS: usize = 1024;
/// Sum of the classes' shares may pass 1 by this, for rounding.
const SHARE_SLACK: f64 = 1e-9;

/// Reads a document's fields and checks how they go together.
pub fn doc(node: &Node, cx: &mut Faults) -> Option<Doc> {
    let mut f = Fields::open(node, cx)?;
    let service = f.need("service", yaml::name, cx);
    let kind = f.need("kind", kind_word, cx);
    let model = f.may("model", model, cx);
    let share = f.need("share", yaml::share, cx);
    let calm = f.may("calm", yaml::weight, cx);
    let fencing = f.may("fencing", yaml::flag, cx);
    let drain_bound = f.need("drain_bound", yaml::duration, cx);
    let classes = f.need("classes", |n, cx| yaml::list(n, cx, class), cx);
    let tenants = f.need("tenants", tenant_limits, cx);
    let upstreams = f.need("upstreams", |n, cx| yaml::list(n, cx, upstream), cx);
    let kind = match (kind, model) {
        (Some(KindWord::Engine), Some(m)) => Some(Kind::Engine(m)),
        (Some(KindWord::Engine), None) => {
            cx.add(f.place(), "kind `engine` needs the field `model`");
            None
        }
        (Some(KindWord::Plain), Some(_)) => {
            cx.add(f.place_of("model"), "kind `plain` takes no field `model`");
            None
        }
        (Some(KindWord::Plain), None) => Some(Kind::Plain),
        (None, _) => None,
    };
    if let (Some(kind), Some(classes)) = (&kind, &classes) {
        check_classes(kind, classes, f.place_of("classes"), cx);
        if *kind == Kind::Plain && (calm.is_some() || fencing.is_some()) {
            cx.add(
                f.place(),
                "kind `plain` takes neither `calm` nor `fencing`: it has no roles",
            );
        }
    }
    let upstreams = upstreams.map(|list| sort_upstreams(list, f.place_of("upstreams"), cx));
    f.close(cx);
    Some(Doc {
        service: service?,
        kind: kind?,
        share: share?,
        calm: calm.unwrap_or(0.5),
        fencing: fencing.unwrap_or(false),
        drain_bound: drain_bound?,
        classes: classes?,
        tenants: tenants?,
        upstreams: upstreams?,
    })
}

enum KindWord {
    Engine,
    Plain,
}

fn kind_word(node: &Node, cx: &mut Faults) -> Option<KindWord> {
    match node.as_scalar().map(|s| s.as_str()) {
        Some("engine") => Some(KindWord::Engine),
        Some("plain") => Some(KindWord::Plain),
        _ => {
            cx.add(yaml::place(node), "expected `engine` or `plain`");
            None
        }
    }
}

fn model(node: &Node, cx: &mut Faults) -> Option<Model> {
    let mut f = Fields::open(node, cx)?;
    let name = f.need("name", yaml::name, cx);
    let version = f.need("version", yaml::count, cx);
    let adapters = f.may("adapters", |n, cx| yaml::list(n, cx, yaml::name), cx);
    let at = f.place_of("adapters");
    f.close(cx);
    let mut adapters = adapters.unwrap_or_default();
    adapters.sort_unstable();
    if adapters.windows(2).any(|pair| pair[0] == pair[1]) {
        cx.add(at, "an adapter stands twice");
    }
    Some(Model {
        name: name?,
        version: version?,
        adapters,
    })
}

fn class(node: &Node, cx: &mut Faults) -> Option<Class> {
    let mut f = Fields::open(node, cx)?;
    let name = f.need("name", yaml::name, cx);
    let urgency = f.need("urgency", yaml::count, cx);
    let deadline = f.need("deadline", yaml::duration, cx);
    let idempotent = f.need("idempotent", yaml::flag, cx);
    let share = f.need("share", yaml::share, cx);
    let starvation_bound = f.need("starvation_bound", yaml::duration, cx);
    let queue = f.need("queue", yaml::count, cx);
    let routes = f.may("routes", |n, cx| yaml::list(n, cx, route), cx);
    if urgency.is_some_and(|u| u > MAX_URGENCY) {
        cx.add(
            f.place_of("urgency"),
            format!("urgency goes from 0 to {MAX_URGENCY}"),
        );
    }
    if deadline == Some(Duration::ZERO) {
        cx.add(f.place_of("deadline"), "a deadline of 0 can't be met");
    }
    if queue == Some(0) {
        cx.add(f.place_of("queue"), "a queue of 0 serves nothing");
    }
    f.close(cx);
    Some(Class {
        name: name?,
        urgency: urgency?,
        deadline: deadline?,
        idempotent: idempotent?,
        share: share?,
        starvation_bound: starvation_bound?,
        queue: queue?,
        routes: routes.unwrap_or_default(),
    })
}

fn route(node: &Node, cx: &mut Faults) -> Option<Route> {
    let text = yaml::text(node, cx)?;
    let fits = |m: &str, p: &str| m.bytes().all(|b| b.is_ascii_uppercase()) && p.starts_with('/');
    match text.split_once(' ') {
        Some((m, p)) if !m.is_empty() && fits(m, p) => Some(Route {
            method: m.to_owned(),
            path: p.to_owned(),
        }),
        _ => {
            cx.add(
                yaml::place(node),
                "expected a method and a path, such as `POST /notices`",
            );
            None
        }
    }
}

fn tenant_limits(node: &Node, cx: &mut Faults) -> Option<TenantLimits> {
    let mut f = Fields::open(node, cx)?;
    let queue = f.need("queue", yaml::count, cx);
    let running = f.need("running", yaml::count, cx);
    if running == Some(0) {
        cx.add(f.place_of("running"), "a limit of 0 serves no tenant");
    }
    f.close(cx);
    Some(TenantLimits {
        queue: queue?,
        running: running?,
    })
}

fn upstream(node: &Node, cx: &mut Faults) -> Option<Upstream> {
    let mut f = Fields::open(node, cx)?;
    let name = f.need("name", yaml::name, cx);
    let host = f.need("host", yaml::name, cx);
    let zone = f.need("zone", yaml::name, cx);
    let agent = f.need("agent", yaml::address, cx);
    let slots = f.need("slots", yaml::count, cx);
    if slots == Some(0) {
        cx.add(
            f.place_of("slots"),
            "an upstream with no slots serves nothing",
        );
    }
    f.close(cx);
    Some(Upstream {
        name: name?,
        host: host?,
        zone: zone?,
        agent: agent?,
        slots: slots?,
    })
}

fn check_classes(kind: &Kind, classes: &[Class], at: (usize, usize), cx: &mut Faults) {
    if classes.is_empty() || classes.len() > MAX_CLASSES {
        cx.add(at, format!("a document has 1 to {MAX_CLASSES} classes"));
    }
    let sum: f64 = classes.iter().map(|c| c.share).sum();
    if sum > 1.0 + SHARE_SLACK {
        cx.add(
            at,
            format!(
                "the classes' shares add up to {:.0}%, over 100%",
                sum * 100.0
            ),
        );
    }
    for (i, c) in classes.iter().enumerate() {
        if classes[..i].iter().any(|o| o.name == c.name) {
            cx.add(at, format!("class `{}` stands twice", c.name));
        }
        let engine = matches!(kind, Kind::Engine(_));
        if engine && !c.idempotent {
            let why = "a model engine's calls are idempotent; only a plain service's may not be";
            cx.add(at, format!("class `{}`: {why}", c.name));
        }
        if engine && !c.routes.is_empty() {
            cx.add(
                at,
                format!("class `{}`: kind `engine` takes no `routes`", c.name),
            );
        }
        for r in &c.routes {
            let taken = |o: &Class| o.routes.contains(r);
            if classes[..i].iter().any(taken) {
                cx.add(
                    at,
                    format!("route `{} {}` stands in two classes", r.method, r.path),
                );
            }
        }
    }
}

fn sort_upstreams(mut list: Vec<Upstream>, at: (usize, usize), cx: &mut Faults) -> Vec<Upstream> {
    if list.len() > MAX_UPSTREAMS {
        cx.add(
            at,
            format!("a document has at most {MAX_UPSTREAMS} upstreams"),
        );
    }
    list.sort_by(|a, b| a.name.cmp(&b.name));
    for pair in list.windows(2) {
        if pair[0].name == pair[1].name {
            cx.add(at, format!("upstream `{}` stands twice", pair[0].name));
        }
    }
    let mut agents: Vec<SocketAddr> = list.iter().map(|u| u.agent).collect();
    agents.sort_unstable();
    for pair in agents.windows(2) {
        if pair[0] == pair[1] {
            cx.add(at, format!("two upstreams name the agent {}", pair[0]));
        }
    }
    list
}
