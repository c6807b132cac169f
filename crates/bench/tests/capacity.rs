//! Checks that the capacity page agrees with the committed slopes.

use bench::capacity::{replace_rows, rows, value};
use bench::slopes::{Slopes, fit};
use std::fs;
use std::path::PathBuf;

fn doc(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).unwrap()
}

#[test]
fn every_row_of_the_page_matches_the_slopes() {
    let slopes: Slopes = serde_json::from_str(&doc("slopes.json")).unwrap();
    let rows = rows(&doc("CAPACITY.md")).expect("the page contains a valid block");
    assert!(!rows.is_empty());
    for row in rows {
        let value = value(&row, &slopes).unwrap_or_else(|| panic!("{}: unknown term", row.name));
        let near = (value - row.value).abs() <= 1e-6 * value.abs().max(1.0);
        assert!(near, "{}: page {} and slopes {value}", row.name, row.value);
    }
}

#[test]
fn rows_over_their_limit_are_named_on_the_page() {
    let page = doc("CAPACITY.md");
    for row in rows(&page).unwrap() {
        let over = row.limit.is_some_and(|l| row.value > l);
        let told = page.contains(&format!("Over its limit: {}", row.name));
        assert_eq!(over, told, "{}", row.name);
    }
}

#[test]
fn a_manually_changed_row_is_detected() {
    let slopes: Slopes = serde_json::from_str(&doc("slopes.json")).unwrap();
    let page = doc("CAPACITY.md");
    let mut changed = rows(&page).unwrap();
    changed[0].value = changed[0].value * 2.0 + 1.0;
    let page = replace_rows(&page, &changed).unwrap();
    let read = rows(&page).unwrap();
    assert!((value(&read[0], &slopes).unwrap() - read[0].value).abs() > 0.5);
}

#[test]
fn collinear_points_are_fitted_exactly() {
    let line = fit(vec![(1.0, 5.0), (2.0, 7.0), (8.0, 19.0)]);
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!((line.fit - 1.0).abs() < 1e-9);
    let flat = fit(vec![(1.0, 4.0), (2.0, 4.0)]);
    assert!(flat.slope.abs() < 1e-9);
}
