//! Who reports to whom among many processes.
//!
//! The processes of an availability zone stand in the order of their addresses, the
//! same for all that know the same, and form a tree in that order: each reports to
//! one before it, so there are no circles. The first of each zone, its root, tells
//! the other roots.

/// Processes that report to one. With four, the busiest process sends and takes five
/// times what one without any does, and fifty processes are three levels deep.
const FANOUT: usize = 4;

/// Positions on the way from one to the root, the nearest first.
pub fn ancestors(position: usize) -> impl Iterator<Item = usize> {
    let next = |at: &usize| Some(at.checked_sub(1)? / FANOUT);
    std::iter::successors(next(&position), next)
}

/// Positions of those that usually report to one.
pub fn children(position: usize) -> std::ops::RangeInclusive<usize> {
    position * FANOUT + 1..=position * FANOUT + FANOUT
}

/// The process that one at a position reports to, of those that are alive: the
/// nearest on the way to the root, or else the first of all. None for a root.
pub fn parent(position: usize, is_live: impl Fn(usize) -> bool) -> Option<usize> {
    let preferred = ancestors(position).find(|at| is_live(*at));
    preferred.or_else(|| (0..position).find(|at| is_live(*at)))
}
