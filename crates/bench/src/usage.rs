//! Processor time and memory of a process, read from /proc.

use std::fs;
use std::time::Duration;

/// Resources used by a process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Usage {
    /// Processor time in user and system mode.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub resident: u64,
}

/// Reads the usage of a process; `None` if it has exited.
pub fn read(pid: u32) -> Option<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in parentheses may contain spaces, so fields are counted after it.
    let rest = stat.rsplit_once(')')?.1;
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or(0))
        .collect();
    let ticks = fields.get(11)? + fields.get(12)?;
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let resident = line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024;
    Some(Usage {
        cpu: Duration::from_secs_f64(ticks as f64 / ticks_per_second()),
        resident,
    })
}

fn ticks_per_second() -> f64 {
    // SAFETY: sysconf takes a plain number and has no side effects.
    let ticks = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
    ticks.max(1) as f64
}
