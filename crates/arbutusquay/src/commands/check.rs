//! `check`: prints all errors of a document.

use super::{print_errors, read};
use crate::exit::Exit;
use conf::{Doc, Kind};
use std::path::Path;

/// Checks a document.
pub fn run(path: &Path) -> Exit {
    let text = match read(path) {
        Ok(text) => text,
        Err(exit) => return exit,
    };
    match Doc::parse(&text) {
        Ok(doc) => {
            let kind = match &doc.kind {
                Kind::Engine(m) => format!("engine, model {}@{}", m.name, m.version),
                Kind::Plain => "plain".to_owned(),
            };
            let (class_count, upstream_count) = (doc.classes.len(), doc.upstreams.len());
            println!(
                "{}: valid ({kind}, {class_count} classes, {upstream_count} upstreams)",
                doc.service
            );
            Exit::Done
        }
        Err(errors) => {
            print_errors(path, &errors);
            Exit::Usage
        }
    }
}
