//! Tree of the processes of an availability zone.
//!
//! The processes are sorted by address, which gives the same order on all processes that know the
//! same peers, and form a tree in that order. Each reports to one before it, so there are no
//! cycles. The first process of each zone is its root and exchanges datagrams with the other roots.

/// Number of children of a process. With four, the busiest process sends and receives five times as
/// much as a leaf, and fifty processes have three levels.
const FANOUT: usize = 4;

/// Positions of the ancestors of a process, the nearest first.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let next = |at: &usize| Some(at.checked_sub(1)? / FANOUT);
    std::iter::successors(next(&position), next)
}

/// Positions of the usual children of a process.
pub fn children(position: usize) -> std::ops::RangeInclusive<usize> {
    position * FANOUT + 1..=position * FANOUT + FANOUT
}

/// Position of the parent of a process: its nearest live ancestor, or else the first live process
/// before it. `None` for a root.
pub fn parent(position: usize, is_live: impl Fn(usize) -> bool) -> Option<usize> {
    let preferred = ancestors(position).find(|at| is_live(*at));
    preferred.or_else(|| (0..position).find(|at| is_live(*at)))
}
