//! Collects the records of the stand-ins into a history.

use crate::check::{History, ObservedRun};
use crate::site::{Site, UpstreamStandin};

/// Adds the records of a site's stand-ins to a history.
pub fn read_standins(site: &Site, h: &mut History) {
    h.rows = site.table.history().written;
    for w in &site.workers {
        let name = &w.upstream.name;
        match &w.standin {
            UpstreamStandin::Engine(e) => {
                let seen = e.history();
                h.orders
                    .extend(seen.orders.into_iter().map(|o| (name.clone(), o)));
                for r in seen.runs {
                    let request = r.id.split_once('-').map_or("", |(id, _)| id).to_owned();
                    h.runs.push(ObservedRun {
                        upstream: name.clone(),
                        service: w.service.clone(),
                        request,
                        key: String::new(),
                        idempotent: true,
                        at_ms: r.at_ms,
                    });
                }
            }
            UpstreamStandin::Plain(p) => {
                let doc = site.docs.iter().find(|d| d.service == w.service);
                for r in p.history() {
                    let (method, path) = r.call.split_once(' ').unwrap_or(("", ""));
                    let class = doc.and_then(|d| Some(d.class(d.class_by_route(method, path)?)));
                    h.runs.push(ObservedRun {
                        upstream: name.clone(),
                        service: w.service.clone(),
                        request: r.request,
                        key: r.key,
                        idempotent: class.is_none_or(|c| c.idempotent),
                        at_ms: r.at_ms,
                    });
                }
            }
        }
    }
}
