//! Parses documents and validates fields that depend on each other.

use super::{Class, Doc, Kind, MAX_URGENCY, Model, Route, TenantLimits, Upstream};
use crate::error::ParseErrors;
use crate::yaml::{self, Fields};
use marked_yaml::Node;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of classes in a document.
const MAX_CLASSES: usize = 32;
/// Maximum number of upstreams in a document.
const MAX_UPSTREAMS: usize = 1024;
/// Tolerance for rounding errors in the check that the classes' shares add up to at most 1.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Parses and validates a document.
pub fn doc(node: &Node, errors: &mut ParseErrors) -> Option<Doc> {
    let mut f = Fields::open(node, errors)?;
    let service = f.required("service", yaml::name, errors);
    let kind = f.required("kind", kind_name, errors);
    let model = f.optional("model", model, errors);
    let share = f.required("share", yaml::share, errors);
    let calm = f.optional("calm", yaml::weight, errors);
    let fencing = f.optional("fencing", yaml::flag, errors);
    let drain_bound = f.required("drain_bound", yaml::duration, errors);
    let classes = f.required("classes", |n, errors| yaml::list(n, errors, class), errors);
    let tenants = f.required("tenants", tenant_limits, errors);
    let upstreams = f.required(
        "upstreams",
        |n, errors| yaml::list(n, errors, upstream),
        errors,
    );
    let kind = match (kind, model) {
        (Some(KindName::Engine), Some(m)) => Some(Kind::Engine(m)),
        (Some(KindName::Engine), None) => {
            errors.add(f.position(), "kind `engine` needs the field `model`");
            None
        }
        (Some(KindName::Plain), Some(_)) => {
            errors.add(f.position_of("model"), "kind `plain` has no field `model`");
            None
        }
        (Some(KindName::Plain), None) => Some(Kind::Plain),
        (None, _) => None,
    };
    if let (Some(kind), Some(classes)) = (&kind, &classes) {
        check_classes(kind, classes, f.position_of("classes"), errors);
        if *kind == Kind::Plain && (calm.is_some() || fencing.is_some()) {
            errors.add(
                f.position(),
                "kind `plain` has neither `calm` nor `fencing`, since it has no roles",
            );
        }
    }
    let upstreams = upstreams.map(|list| sort_upstreams(list, f.position_of("upstreams"), errors));
    f.reject_unknown(errors);
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

enum KindName {
    Engine,
    Plain,
}

fn kind_name(node: &Node, errors: &mut ParseErrors) -> Option<KindName> {
    match node.as_scalar().map(|s| s.as_str()) {
        Some("engine") => Some(KindName::Engine),
        Some("plain") => Some(KindName::Plain),
        _ => {
            errors.add(yaml::position(node), "expected `engine` or `plain`");
            None
        }
    }
}

fn model(node: &Node, errors: &mut ParseErrors) -> Option<Model> {
    let mut f = Fields::open(node, errors)?;
    let name = f.required("name", yaml::name, errors);
    let version = f.required("version", yaml::count, errors);
    let adapters = f.optional(
        "adapters",
        |n, errors| yaml::list(n, errors, yaml::name),
        errors,
    );
    let at = f.position_of("adapters");
    f.reject_unknown(errors);
    let mut adapters = adapters.unwrap_or_default();
    adapters.sort_unstable();
    if adapters.windows(2).any(|pair| pair[0] == pair[1]) {
        errors.add(at, "duplicate adapter");
    }
    Some(Model {
        name: name?,
        version: version?,
        adapters,
    })
}

fn class(node: &Node, errors: &mut ParseErrors) -> Option<Class> {
    let mut f = Fields::open(node, errors)?;
    let name = f.required("name", yaml::name, errors);
    let urgency = f.required("urgency", yaml::count, errors);
    let deadline = f.required("deadline", yaml::duration, errors);
    let idempotent = f.required("idempotent", yaml::flag, errors);
    let share = f.required("share", yaml::share, errors);
    let starvation_bound = f.required("starvation_bound", yaml::duration, errors);
    let queue = f.required("queue", yaml::count, errors);
    let routes = f.optional("routes", |n, errors| yaml::list(n, errors, route), errors);
    if urgency.is_some_and(|u| u > MAX_URGENCY) {
        errors.add(
            f.position_of("urgency"),
            format!("urgency goes from 0 to {MAX_URGENCY}"),
        );
    }
    if deadline == Some(Duration::ZERO) {
        errors.add(f.position_of("deadline"), "`deadline` must be over 0");
    }
    if queue == Some(0) {
        errors.add(f.position_of("queue"), "`queue` must be over 0");
    }
    f.reject_unknown(errors);
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

fn route(node: &Node, errors: &mut ParseErrors) -> Option<Route> {
    let text = yaml::text(node, errors)?;
    let fits = |m: &str, p: &str| m.bytes().all(|b| b.is_ascii_uppercase()) && p.starts_with('/');
    match text.split_once(' ') {
        Some((m, p)) if !m.is_empty() && fits(m, p) => Some(Route {
            method: m.to_owned(),
            path: p.to_owned(),
        }),
        _ => {
            errors.add(
                yaml::position(node),
                "expected a method and a path, such as `POST /notices`",
            );
            None
        }
    }
}

fn tenant_limits(node: &Node, errors: &mut ParseErrors) -> Option<TenantLimits> {
    let mut f = Fields::open(node, errors)?;
    let queue = f.required("queue", yaml::count, errors);
    let running = f.required("running", yaml::count, errors);
    if running == Some(0) {
        errors.add(f.position_of("running"), "`running` must be over 0");
    }
    f.reject_unknown(errors);
    Some(TenantLimits {
        queue: queue?,
        running: running?,
    })
}

fn upstream(node: &Node, errors: &mut ParseErrors) -> Option<Upstream> {
    let mut f = Fields::open(node, errors)?;
    let name = f.required("name", yaml::name, errors);
    let host = f.required("host", yaml::name, errors);
    let zone = f.required("zone", yaml::name, errors);
    let agent = f.required("agent", yaml::address, errors);
    let slots = f.required("slots", yaml::count, errors);
    if slots == Some(0) {
        errors.add(f.position_of("slots"), "`slots` must be over 0");
    }
    f.reject_unknown(errors);
    Some(Upstream {
        name: name?,
        host: host?,
        zone: zone?,
        agent: agent?,
        slots: slots?,
    })
}

fn check_classes(kind: &Kind, classes: &[Class], at: (usize, usize), errors: &mut ParseErrors) {
    if classes.is_empty() || classes.len() > MAX_CLASSES {
        errors.add(at, format!("a document has 1 to {MAX_CLASSES} classes"));
    }
    let sum: f64 = classes.iter().map(|c| c.share).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        errors.add(
            at,
            format!(
                "the classes' shares add up to {:.0}%, over 100%",
                sum * 100.0
            ),
        );
    }
    for (i, c) in classes.iter().enumerate() {
        if classes[..i].iter().any(|o| o.name == c.name) {
            errors.add(at, format!("duplicate class `{}`", c.name));
        }
        let engine = matches!(kind, Kind::Engine(_));
        if engine && !c.idempotent {
            let why = "a model engine's calls are idempotent; only a plain service's may not be";
            errors.add(at, format!("class `{}`: {why}", c.name));
        }
        if engine && !c.routes.is_empty() {
            errors.add(
                at,
                format!("class `{}`: kind `engine` has no field `routes`", c.name),
            );
        }
        for r in &c.routes {
            let taken = |o: &Class| o.routes.contains(r);
            if classes[..i].iter().any(taken) {
                errors.add(
                    at,
                    format!("route `{} {}` is in two classes", r.method, r.path),
                );
            }
        }
    }
}

fn sort_upstreams(
    mut list: Vec<Upstream>,
    at: (usize, usize),
    errors: &mut ParseErrors,
) -> Vec<Upstream> {
    if list.len() > MAX_UPSTREAMS {
        errors.add(
            at,
            format!("a document has at most {MAX_UPSTREAMS} upstreams"),
        );
    }
    list.sort_by(|a, b| a.name.cmp(&b.name));
    for pair in list.windows(2) {
        if pair[0].name == pair[1].name {
            errors.add(at, format!("duplicate upstream `{}`", pair[0].name));
        }
    }
    let mut agents: Vec<SocketAddr> = list.iter().map(|u| u.agent).collect();
    agents.sort_unstable();
    for pair in agents.windows(2) {
        if pair[0] == pair[1] {
            errors.add(at, format!("two upstreams name the agent {}", pair[0]));
        }
    }
    list
}
