//! Soon.
fn main() {}
