//! Formats a report as a table.

use crate::report::{Counts, Report};
use std::fmt;

/// Maximum number of tenants shown per class. `--json` shows all.
const MAX_TENANTS: usize = 12;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "service {}", self.service)?;
        writeln!(
            f,
            "{:<34} {:>8} {:>8} {:>8} {:>8} {:>8}  {:>18}  reasons",
            "class / tenant",
            "requests",
            "served",
            "delayed",
            "refused",
            "unknown",
            "wait ms 50/95/99"
        )?;
        for c in &self.classes {
            row(f, &c.class, &c.all)?;
            let mut tenants: Vec<_> = c.tenants.iter().collect();
            tenants.sort_by_key(|t| std::cmp::Reverse(t.counts.requests));
            for t in tenants.iter().take(MAX_TENANTS) {
                row(f, &format!("  {}", t.tenant), &t.counts)?;
            }
            if let Some(rest) = tenants.len().checked_sub(MAX_TENANTS).filter(|n| *n > 0) {
                writeln!(f, "  and {rest} more tenants (--json shows all)")?;
            }
        }
        row(f, "all", &self.all)?;
        writeln!(
            f,
            "attempts at agents: {}, recorded by agents only: {}",
            self.tries, self.agent_only
        )?;
        for g in self.gaps.iter().filter(|g| g.has_lost_records()) {
            let (process, missing) = (&g.process, &g.missing);
            writeln!(
                f,
                "gap: {process}: missing batches {missing:?}, records dropped {}",
                g.dropped
            )?;
        }
        let not_ended = self.gaps.iter().filter(|g| !g.ended).count();
        if not_ended > 0 {
            writeln!(
                f,
                "{not_ended} processes haven't ended with a last batch: they are still running or \
                 were killed, and their newest records may be missing (--json names them)"
            )?;
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, c: &Counts) -> fmt::Result {
    let waits = format!("{}/{}/{}", c.wait_ms.p50, c.wait_ms.p95, c.wait_ms.p99);
    let reasons: Vec<String> = c.reasons.iter().map(|(r, n)| format!("{r} {n}")).collect();
    writeln!(
        f,
        "{name:<34} {:>8} {:>8} {:>8} {:>8} {:>8}  {waits:>18}  {}",
        c.requests,
        c.served,
        c.delayed,
        c.refused,
        c.unknown,
        reasons.join(", ")
    )
}
