//! Processor time and memory of a process.

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
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    let resident = line.split_whitespace().nth(1)?.parse::<u64>().ok()? * 1024;
    Some(Usage {
        cpu: cpu_time(pid)?,
        resident,
    })
}

/// Reads the processor time of a process from its clock, which unlike /proc doesn't count in ticks;
/// `None` if it has exited.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let mut clock = 0;
    // SAFETY: `clock` is valid for writes.
    if unsafe { libc::clock_getcpuclockid(pid as libc::pid_t, &mut clock) } != 0 {
        return None;
    }
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `time` is valid for writes.
    if unsafe { libc::clock_gettime(clock, &mut time) } != 0 {
        return None;
    }
    Some(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
}
