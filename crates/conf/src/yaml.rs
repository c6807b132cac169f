//! A strict parser for YAML nodes with positions.
//!
//! Each parse function adds an error and returns `None` if the node is invalid. The caller
//! continues, so that all errors are found in one pass.

use crate::error::ParseErrors;
use marked_yaml::types::MarkedMappingNode;
use marked_yaml::{LoadError, Marker, Node};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: usize = 256 * 1024;

/// Maximum duration in a file.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);

/// A function that parses one node.
pub type Parse<T> = fn(&Node, &mut ParseErrors) -> Option<T>;

/// Parses a file and its top-level node with `read`.
pub fn load<T>(
    text: &str,
    read: impl FnOnce(&Node, &mut ParseErrors) -> Option<T>,
) -> Result<T, ParseErrors> {
    let mut errors = ParseErrors::default();
    if text.len() > MAX_FILE_BYTES {
        errors.add(
            (1, 1),
            format!(
                "file is {} bytes, the limit is {MAX_FILE_BYTES}",
                text.len()
            ),
        );
        return errors.into_result(None);
    }
    let options = marked_yaml::LoaderOptions::default().error_on_duplicate_keys(true);
    let value = match marked_yaml::parse_yaml_with_options(0, text, options) {
        Ok(node) => read(&node, &mut errors),
        Err(e) => {
            add_load_error(&e, &mut errors);
            None
        }
    };
    errors.into_result(value)
}

fn add_load_error(e: &LoadError, errors: &mut ParseErrors) {
    let position = |m: &Marker| (m.line(), m.column());
    match e {
        LoadError::TopLevelMustBeMapping(m) | LoadError::TopLevelMustBeSequence(m) => {
            errors.add(position(m), "expected fields at the top level");
        }
        LoadError::UnexpectedAnchor(m) => errors.add(position(m), "anchors are not supported"),
        LoadError::MappingKeyMustBeScalar(m) => {
            errors.add(position(m), "field names must be scalars");
        }
        LoadError::UnexpectedTag(m) => errors.add(position(m), "tags are not supported"),
        LoadError::ScanError(m, e) => errors.add(position(m), format!("invalid YAML: {e}")),
        LoadError::DuplicateKey(d) => {
            let at = d.key.span().start().map_or((1, 1), position);
            errors.add(at, format!("duplicate field `{}`", d.key.as_str()));
        }
    }
}

/// Returns the line and column where a node begins.
pub fn position(node: &Node) -> (usize, usize) {
    node.span()
        .start()
        .map_or((1, 1), |m| (m.line(), m.column()))
}

/// The fields of a mapping, each of which is read at most once.
pub struct Fields<'a> {
    node: &'a MarkedMappingNode,
    position: (usize, usize),
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Opens a mapping. Adds an error if the node is something else.
    pub fn open(node: &'a Node, errors: &mut ParseErrors) -> Option<Self> {
        let Some(map) = node.as_mapping() else {
            errors.add(position(node), "expected fields (`name: value`)");
            return None;
        };
        Some(Self {
            node: map,
            position: position(node),
            known: Vec::new(),
        })
    }

    /// Returns the position of the mapping.
    pub fn position(&self) -> (usize, usize) {
        self.position
    }

    /// Returns the position of a field's value, or of the mapping if the field is missing.
    pub fn position_of(&self, key: &str) -> (usize, usize) {
        self.node.get_node(key).map_or(self.position, position)
    }

    /// Reads a required field.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        parse: Parse<T>,
        errors: &mut ParseErrors,
    ) -> Option<T> {
        self.known.push(key);
        let Some(node) = self.node.get_node(key) else {
            errors.add(self.position, format!("field `{key}` is missing"));
            return None;
        };
        parse(node, errors)
    }

    /// Reads an optional field. Returns `None` if it is missing, and also adds an error if it is
    /// invalid.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        parse: Parse<T>,
        errors: &mut ParseErrors,
    ) -> Option<T> {
        self.known.push(key);
        parse(self.node.get_node(key)?, errors)
    }

    /// Adds an error for each field that wasn't read.
    pub fn reject_unknown(self, errors: &mut ParseErrors) {
        for key in self.node.keys() {
            if self.known.iter().any(|t| *t == key.as_str()) {
                continue;
            }
            let at = key
                .span()
                .start()
                .map_or(self.position, |m| (m.line(), m.column()));
            let known = self.known.join(", ");
            errors.add(
                at,
                format!("unknown field `{}` (known: {known})", key.as_str()),
            );
        }
    }
}

fn scalar<'a>(node: &'a Node, want: &str, errors: &mut ParseErrors) -> Option<&'a str> {
    let text = node.as_scalar().map(|s| s.as_str());
    if text.is_none() {
        errors.add(position(node), format!("expected {want}"));
    }
    text
}

fn from_str<T>(
    node: &Node,
    want: &str,
    errors: &mut ParseErrors,
    f: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let text = scalar(node, want, errors)?;
    let value = f(text);
    if value.is_none() {
        errors.add(position(node), format!("expected {want}, found `{text}`"));
    }
    value
}

/// Parses a text that isn't empty.
pub fn text(node: &Node, errors: &mut ParseErrors) -> Option<String> {
    from_str(node, "a non-empty text", errors, |s| {
        (!s.is_empty()).then(|| s.to_owned())
    })
}

/// Parses a name: letters, digits, `-`, `_` and `.`, at most 64 bytes.
pub fn name(node: &Node, errors: &mut ParseErrors) -> Option<String> {
    let want = "a name of letters, digits, `-`, `_`, `.` (64 at most)";
    from_str(node, want, errors, |s| is_name(s).then(|| s.to_owned()))
}

/// Whether a text is a valid name.
pub fn is_name(s: &str) -> bool {
    let fits = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !s.is_empty() && s.len() <= 64 && s.bytes().all(fits)
}

/// Parses `true` or `false`.
pub fn flag(node: &Node, errors: &mut ParseErrors) -> Option<bool> {
    from_str(node, "true or false", errors, |s| s.parse().ok())
}

/// Parses an integer that isn't negative.
pub fn count(node: &Node, errors: &mut ParseErrors) -> Option<u32> {
    from_str(node, "a whole number", errors, |s| s.parse().ok())
}

/// Parses a number from 0 to 1.
pub fn weight(node: &Node, errors: &mut ParseErrors) -> Option<f64> {
    let parse = |s: &str| s.parse().ok().filter(|v| (0.0..=1.0).contains(v));
    from_str(node, "a number from 0 to 1", errors, parse)
}

/// Parses a percentage such as `70%`, over 0% and at most 100%. Returns a fraction.
pub fn share(node: &Node, errors: &mut ParseErrors) -> Option<f64> {
    let parse = |s: &str| {
        let v: f64 = s.strip_suffix('%')?.trim_end().parse().ok()?;
        (v > 0.0 && v <= 100.0).then_some(v / 100.0)
    };
    from_str(
        node,
        "a share such as 70% (over 0%, 100% at most)",
        errors,
        parse,
    )
}

/// Parses an IP address with a port.
pub fn address(node: &Node, errors: &mut ParseErrors) -> Option<SocketAddr> {
    from_str(
        node,
        "an IP address with a port, such as 127.0.0.1:7000",
        errors,
        |s| s.parse().ok(),
    )
}

/// Parses a duration with a unit: `200ms`, `2s`, `5m`, `1h`.
pub fn duration(node: &Node, errors: &mut ParseErrors) -> Option<Duration> {
    from_str(
        node,
        "a duration with a unit, such as 200ms, 2s, 5m, 1h",
        errors,
        parse_duration,
    )
}

/// Parses a duration with a unit.
pub fn parse_duration(s: &str) -> Option<Duration> {
    let (digits, millis) = [("ms", 1), ("s", 1000), ("m", 60_000), ("h", 3_600_000)]
        .iter()
        .find_map(|(unit, ms)| Some((s.strip_suffix(unit)?, *ms)))?;
    let n: u64 = digits.trim_end().parse().ok()?;
    let d = Duration::from_millis(n.checked_mul(millis)?);
    (d <= MAX_DURATION).then_some(d)
}

/// Parses a size with a unit: `512B`, `64KiB`, `4MiB`.
pub fn size(node: &Node, errors: &mut ParseErrors) -> Option<usize> {
    from_str(
        node,
        "a size with a unit, such as 512B, 64KiB, 4MiB",
        errors,
        |s| {
            let (digits, unit) = [("KiB", 1024), ("MiB", 1024 * 1024), ("B", 1)]
                .iter()
                .find_map(|(suffix, unit)| Some((s.strip_suffix(suffix)?, *unit)))?;
            digits.trim_end().parse::<usize>().ok()?.checked_mul(unit)
        },
    )
}

/// Parses a list, with each item parsed by `parse`.
pub fn list<T>(node: &Node, errors: &mut ParseErrors, parse: Parse<T>) -> Option<Vec<T>> {
    let Some(seq) = node.as_sequence() else {
        errors.add(position(node), "expected a list");
        return None;
    };
    let items: Vec<Option<T>> = seq.iter().map(|n| parse(n, errors)).collect();
    items.into_iter().collect()
}
