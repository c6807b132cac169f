//! `show`: prints the document of a service.

use super::apply::VERSION_PREFIX;
use super::{platform, report_unreachable};
use crate::args::ShowArgs;
use crate::exit::Exit;
use store::Table;
use store::rows::doc_key;

/// Prints a document with its version.
pub async fn run(args: &ShowArgs) -> Exit {
    let table = match platform(&args.settings) {
        Ok(table) => table,
        Err(exit) => return exit,
    };
    match table.read(vec![doc_key(&args.service)]).await {
        Ok(rows) => match rows.first() {
            Some(row) => {
                print!("{VERSION_PREFIX}{}\n{}", row.version, row.value);
                Exit::Done
            }
            None => {
                eprintln!("{}: no document", args.service);
                Exit::Refused
            }
        },
        Err(e) => report_unreachable(&e),
    }
}
