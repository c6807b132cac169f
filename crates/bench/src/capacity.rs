//! The capacity page's figures, worked out from measured slopes.

use crate::slopes::Slopes;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::{fs, io};

/// Marks of the machine-readable part of docs/CAPACITY.md.
const BLOCK_BEGIN: &str = "```json capacity\n";
const BLOCK_END: &str = "\n```";

/// One term of a row: a measured figure times a number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// `variable.figure.slope`, `variable.figure.intercept`, or `constant`.
    pub of: String,
    /// The number.
    pub times: f64,
    /// Where the number comes from.
    pub why: String,
}

/// A row: what something costs at the target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// RequestKind costs what.
    pub name: String,
    /// The terms, to be added.
    pub terms: Vec<Term>,
    /// Their sum.
    pub value: f64,
    /// RequestKind is allowed, if anything is said.
    pub limit: Option<f64>,
}

/// Reads the rows from the page; none if they can't be read.
pub fn rows(page: &str) -> Option<Vec<Row>> {
    let (_, rest) = page.split_once(BLOCK_BEGIN)?;
    let (block, _) = rest.split_once(BLOCK_END)?;
    serde_json::from_str(block).ok()
}

/// Puts rows into the page.
pub fn replace_rows(page: &str, rows: &[Row]) -> Option<String> {
    let (head, rest) = page.split_once(BLOCK_BEGIN)?;
    let (_, tail) = rest.split_once(BLOCK_END)?;
    let lines: Option<Vec<String>> = rows.iter().map(|r| serde_json::to_string(r).ok()).collect();
    let block = format!("[\n{}\n]", lines?.join(",\n"));
    Some(format!("{head}{BLOCK_BEGIN}{block}{BLOCK_END}{tail}"))
}

/// Works a row's value out; none if a term names what wasn't measured.
pub fn value(row: &Row, slopes: &Slopes) -> Option<f64> {
    row.terms
        .iter()
        .map(|t| Some(figure(&t.of, slopes)? * t.times))
        .sum()
}

fn figure(of: &str, slopes: &Slopes) -> Option<f64> {
    if of == "constant" {
        return Some(1.0);
    }
    let mut parts = of.split('.');
    let line = slopes.get(parts.next()?)?.get(parts.next()?)?;
    match parts.next()? {
        "slope" => Some(line.slope),
        "intercept" => Some(line.intercept),
        _ => None,
    }
}

/// The rows as a table for people.
pub fn table(rows: &[Row]) -> String {
    let mut out = String::from("| what | value | limit | terms |\n| --- | ---: | ---: | --- |\n");
    for r in rows {
        let limit = r.limit.map_or("-".to_owned(), |l| format!("{l}"));
        let term = |t: &Term| format!("{} x {} ({})", t.of, t.times, t.why);
        let terms: Vec<String> = r.terms.iter().map(term).collect();
        let value = if r.value.abs() < 10.0 {
            format!("{:.3}", r.value)
        } else {
            format!("{:.0}", r.value)
        };
        out.push_str(&format!(
            "| {} | {value} | {limit} | {} |\n",
            r.name,
            terms.join(" + ")
        ));
    }
    out
}

/// Works the committed page's rows out anew from the committed slopes, and
/// prints them as a table.
pub fn update_page() -> io::Result<()> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let slopes: Slopes = serde_json::from_str(&fs::read_to_string(docs.join("slopes.json"))?)?;
    let page = fs::read_to_string(docs.join("CAPACITY.md"))?;
    let unreadable = || io::Error::other("docs/CAPACITY.md has no readable block of rows");
    let mut rows = rows(&page).ok_or_else(unreadable)?;
    for row in &mut rows {
        let unknown = || io::Error::other(format!("{}: a term wasn't measured", row.name));
        row.value = value(row, &slopes).ok_or_else(unknown)?;
    }
    let renewed = replace_rows(&page, &rows).ok_or_else(unreadable)?;
    fs::write(docs.join("CAPACITY.md"), renewed)?;
    println!("{}", table(&rows));
    Ok(())
}
