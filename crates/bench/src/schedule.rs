//! Generates a random schedule of faults from a seed.

use fakes::Faults;
use fastrand::Rng;

/// A fault and its target. Targets are given as indices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Kills an agent and restarts it at the end.
    KillAgent(usize),
    /// Stops an agent gracefully and restarts it at the end.
    StopAgent(usize),
    /// Pauses an agent.
    PauseAgent(usize),
    /// Stalls the link between the entries and an agent.
    CutAgent(usize),
    /// Kills an entry and restarts it at the end.
    KillEntry(usize),
    /// Stops an entry gracefully and restarts it at the end.
    StopEntry(usize),
    /// Pauses an entry, possibly for longer than its lease.
    PauseEntry(usize),
    /// Reports the host of a worker as leaving; its agent is restarted when the host is back.
    LeaveHost(usize),
    /// Faults of the table service.
    Table(Faults),
    /// Faults of the object store.
    Objects(Faults),
    /// Faults of the host list.
    Hosts(Faults),
    /// Faults of an upstream.
    Upstream(usize, Faults),
    /// Lets two editors race for the document of a service.
    Edit(usize),
}

/// A fault with its start and end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Start in milliseconds after the start of the schedule.
    pub from_ms: u64,
    /// End in milliseconds after the start of the schedule.
    pub until_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Numbers of possible targets.
#[derive(Debug, Clone, Copy)]
pub struct SiteSize {
    /// Upstreams with agents.
    pub workers: usize,
    /// Entries.
    pub entries: usize,
    /// Services.
    pub services: usize,
}

/// Generates a schedule. Faults of one lane follow one another; faults of different lanes
/// overlap.
pub fn generate(seed: u64, length_ms: u64, n: SiteSize) -> Vec<ScheduledFault> {
    let lanes: [fn(&mut Rng, SiteSize) -> Fault; 6] = [agent, entry, table, other, upstream, edit];
    let mut all = Vec::new();
    for (lane, draw) in lanes.into_iter().enumerate() {
        let mut rng = Rng::with_seed(seed.wrapping_mul(31).wrapping_add(lane as u64));
        let mut at = 1_000 + rng.u64(..3_000);
        while at < length_ms {
            let fault = draw(&mut rng, n);
            let lasts = if matches!(fault, Fault::Edit(_)) {
                0
            } else {
                300 + rng.u64(..5_700)
            };
            all.push(ScheduledFault {
                from_ms: at,
                until_ms: (at + lasts).min(length_ms),
                fault,
            });
            at += lasts + 500 + rng.u64(..4_000);
        }
    }
    all.sort_by_key(|p| p.from_ms);
    all
}

fn agent(rng: &mut Rng, n: SiteSize) -> Fault {
    let at = rng.usize(..n.workers);
    match rng.u32(..5) {
        0 => Fault::KillAgent(at),
        1 => Fault::StopAgent(at),
        2 => Fault::PauseAgent(at),
        3 => Fault::CutAgent(at),
        _ => Fault::LeaveHost(at),
    }
}

fn entry(rng: &mut Rng, n: SiteSize) -> Fault {
    let at = rng.usize(..n.entries);
    match rng.u32(..3) {
        0 => Fault::KillEntry(at),
        1 => Fault::StopEntry(at),
        _ => Fault::PauseEntry(at),
    }
}

fn platform(rng: &mut Rng) -> Faults {
    let none = Faults::default();
    match rng.u32(..4) {
        0 => Faults { down: true, ..none },
        1 => Faults { hang: true, ..none },
        2 => Faults {
            lose_answers: 1 + rng.u32(..20),
            ..none
        },
        _ => Faults {
            delay_ms: 50 + rng.u64(..1_500),
            ..none
        },
    }
}

fn table(rng: &mut Rng, _: SiteSize) -> Fault {
    Fault::Table(platform(rng))
}

fn other(rng: &mut Rng, _: SiteSize) -> Fault {
    if rng.bool() {
        Fault::Objects(platform(rng))
    } else {
        Fault::Hosts(platform(rng))
    }
}

fn upstream(rng: &mut Rng, n: SiteSize) -> Fault {
    let none = Faults::default();
    let some = 1 + rng.u32(..5);
    let faults = match rng.u32(..9) {
        0 => Faults {
            break_streams: some,
            ..none
        },
        1 => Faults {
            cross_chunks: some,
            ..none
        },
        2 => Faults {
            double_chunks: some,
            ..none
        },
        3 => Faults {
            nonsense: some,
            ..none
        },
        4 => Faults {
            lose_answers: some,
            ..none
        },
        5 => Faults {
            delay_ms: 20 + rng.u64(..500),
            ..none
        },
        6 => Faults { hang: true, ..none },
        7 => Faults {
            crash_in_order: 1,
            ..none
        },
        _ => Faults { down: true, ..none },
    };
    Fault::Upstream(rng.usize(..n.workers), faults)
}

fn edit(rng: &mut Rng, n: SiteSize) -> Fault {
    Fault::Edit(rng.usize(..n.services))
}
