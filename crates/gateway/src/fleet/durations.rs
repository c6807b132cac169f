//! How long answers take past the estimate of their first byte, learned from whole ones.
//!
//! A process that is stopping takes a request only if its answer will end before the
//! process does. The mean doesn't help there: each answer that takes longer is cut off. So
//! the slowest of the latest answers of about the same length stands for the next one.

use std::time::Duration;

/// Answers of about one length that are kept: half a minute of them on a host that serves
/// four a second. Of those that start when they have just as long as the slowest took, one
/// in 128 takes longer.
const KEPT: usize = 128;
/// Answers from which a bound is taken, at least: of fewer the slowest tells little. Rare
/// lengths borrow those of the lengths next to them. With 32 a host that started seconds ago
/// refused twice as many in its drain, worth 0.01 of what callers were owed there.
const ENOUGH: usize = 16;
/// What is added to the slowest answer, as a share: clients' estimates of lengths are often
/// far off, and the next answer may be slower still. Where all hosts were stopped in turn
/// thrice in half a minute, none was cut off in 64 such spells; with 0.2 one in 32 spells was.
/// Twice as much cost 0.01 of what callers were owed there.
const MARGIN: f64 = 0.4;
/// Time taken for granted while too few answers were seen: a part for each, and one for each
/// token, the pace that the product promises for 95 in 100 tokens.
const START: Duration = Duration::from_secs(1);
const START_PER_TOKEN: Duration = Duration::from_millis(25);
/// Longest answers that have a class of their own: 2^16 tokens.
const MAX_CLASS: usize = 17;

/// How long answers of one service take, by their length.
#[derive(Debug, Default)]
pub struct Durations {
    /// By class of length; see [`class`].
    classes: Vec<Latest>,
}

/// The latest answers of one class.
#[derive(Debug, Default)]
struct Latest {
    all: Vec<Duration>,
    /// Where the next one goes once all places are taken.
    next: usize,
}

impl Durations {
    /// Notes a whole answer that was expected to have so many tokens, and ended so long
    /// after the estimate of its first byte.
    pub fn note(&mut self, tokens: u32, beyond: Duration) {
        let class = class(tokens);
        if self.classes.len() <= class {
            self.classes.resize_with(class + 1, Latest::default);
        }
        self.classes[class].push(beyond);
    }

    /// How long after the estimate of its first byte an answer of so many expected tokens
    /// ends at the latest, as far as is known.
    pub fn longest(&self, tokens: u32) -> Duration {
        let wanted = class(tokens);
        let mut count = 0;
        let mut slowest = Duration::ZERO;
        for (of, times) in nearest(wanted, self.classes.len()) {
            let latest = &self.classes[of];
            count += latest.all.len();
            slowest = slowest.max(latest.slowest().saturating_mul(times));
            if count >= ENOUGH {
                return slowest.mul_f64(1.0 + MARGIN);
            }
        }
        let start = START + START_PER_TOKEN.saturating_mul(tokens);
        slowest.max(start)
    }
}

/// Classes from a wanted one on to ever more distant ones, and how many times longer than
/// theirs its answers may take: each class is twice as long as the one before, and longer
/// answers take no less. Plain answers and others tell nothing of each other.
fn nearest(wanted: usize, classes: usize) -> impl Iterator<Item = (usize, u32)> {
    let own = (wanted < classes).then_some((wanted, 1));
    let steps = (1..MAX_CLASS).filter(move |_| wanted != PLAIN);
    let others = steps.flat_map(move |step| {
        let shorter = wanted.checked_sub(step).filter(|of| *of != PLAIN);
        let longer = Some(wanted + step);
        [shorter.map(|of| (of, 1 << step)), longer.map(|of| (of, 1))]
    });
    let others = others.flatten().filter(move |(of, _)| *of < classes);
    own.into_iter().chain(others)
}

impl Latest {
    fn slowest(&self) -> Duration {
        self.all.iter().max().copied().unwrap_or_default()
    }

    fn push(&mut self, beyond: Duration) {
        if self.all.len() < KEPT {
            self.all.push(beyond);
            return;
        }
        self.all[self.next] = beyond;
        self.next = (self.next + 1) % KEPT;
    }
}

/// Class of plain answers.
const PLAIN: usize = 0;

/// Class of a length: answers of one class differ by less than a factor of two. Plain
/// answers have no tokens and a class of their own.
fn class(tokens: u32) -> usize {
    let bits = u32::BITS - tokens.leading_zeros();
    (bits as usize).min(MAX_CLASS)
}
