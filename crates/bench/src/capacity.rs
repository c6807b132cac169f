//! Computes the figures of the capacity page from the measured slopes.

use crate::slopes::Slopes;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::{fs, io};

/// Delimiters of the machine-readable block in docs/CAPACITY.md.
const BLOCK_BEGIN: &str = "```json capacity\n";
const BLOCK_END: &str = "\n```";

/// One term of a row: a measured figure times a factor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Term {
    /// `variable.figure.slope`, `variable.figure.intercept`, or `constant`.
    pub of: String,
    /// Factor by which the figure is multiplied.
    pub times: f64,
    /// Origin of the factor.
    pub why: String,
}

/// A row of the page: the amount of one resource needed at the target size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Description of the resource and of what uses it.
    pub name: String,
    /// Terms whose sum is the value.
    pub terms: Vec<Term>,
    /// Sum of the terms.
    pub value: f64,
    /// Upper limit of the value, if there is one.
    pub limit: Option<f64>,
}

/// Parses the rows of a page; `None` if the block is missing or invalid.
pub fn rows(page: &str) -> Option<Vec<Row>> {
    let (_, rest) = page.split_once(BLOCK_BEGIN)?;
    let (block, _) = rest.split_once(BLOCK_END)?;
    serde_json::from_str(block).ok()
}

/// Returns the page with its rows replaced; `None` if it has no block.
pub fn replace_rows(page: &str, rows: &[Row]) -> Option<String> {
    let (head, rest) = page.split_once(BLOCK_BEGIN)?;
    let (_, tail) = rest.split_once(BLOCK_END)?;
    let lines: Option<Vec<String>> = rows.iter().map(|r| serde_json::to_string(r).ok()).collect();
    let block = format!("[\n{}\n]", lines?.join(",\n"));
    Some(format!("{head}{BLOCK_BEGIN}{block}{BLOCK_END}{tail}"))
}

/// Computes the value of a row; `None` if a term refers to a figure that was not measured.
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

/// Formats the rows as a Markdown table.
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

/// Recomputes the rows of the committed page from the committed slopes and prints them as a
/// table.
pub fn update_page() -> io::Result<()> {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let slopes: Slopes = serde_json::from_str(&fs::read_to_string(docs.join("slopes.json"))?)?;
    let page = fs::read_to_string(docs.join("CAPACITY.md"))?;
    let unreadable = || io::Error::other("docs/CAPACITY.md has no valid block of rows");
    let mut rows = rows(&page).ok_or_else(unreadable)?;
    for row in &mut rows {
        let unknown = || {
            io::Error::other(format!(
                "{}: a term refers to a figure that was not measured",
                row.name
            ))
        };
        row.value = value(row, &slopes).ok_or_else(unknown)?;
    }
    let renewed = replace_rows(&page, &rows).ok_or_else(unreadable)?;
    fs::write(docs.join("CAPACITY.md"), renewed)?;
    println!("{}", table(&rows));
    Ok(())
}
