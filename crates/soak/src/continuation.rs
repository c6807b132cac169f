//! Checks that streams whose connection broke can be continued after hosts have restarted.
//!
//! The share of continued streams that go on must be at least half the share of new streams that
//! begin, which the same clients send at the same moment to the same gateways. The bound also
//! applies separately to streams whose gateway processes have all been replaced since they began,
//! as otherwise streams that a running process knows could conceal the loss of the others. Streams
//! that were older than [`MIN_AGE`] when all gateways were killed at the same moment are compared
//! separately for the same reason.
//!
//! The bound doesn't apply to streams
//!
//! - whose clients don't name the attempt that began them;
//! - whose deadline has passed, after which their records expire;
//! - of a version with fewer than two serving upstreams;
//! - that were younger than [`MIN_AGE`] when all gateways were killed at the same moment. Their
//!   records may not have been stored yet, and no process could pass them on.

use std::time::{Duration, Instant};

/// Time after the registration of an upstream until all gateways use it.
const REGISTRATION_DELAY: Duration = Duration::from_secs(2);
/// Minimum time left to a stream that is counted. With less, its deadline could pass in transit.
const MIN_TIME_LEFT: Duration = Duration::from_secs(1);
/// Minimum age of a stream that must outlast a kill of all gateways.
pub const MIN_AGE: Duration = Duration::from_secs(1);
/// Share of such streams that should go on, relative to new ones. Unlike half of it, a smaller share
/// is reported but isn't a violation.
pub const KILLED_SHARE_AIM: f64 = 0.9;
/// Number of upstreams of a version that must serve.
const MIN_UPSTREAMS: usize = 2;
/// Minimum number of streams for a comparison of shares.
const MIN_STREAMS: usize = 8;
/// Maximum number of streams that are printed.
const MAX_PRINTED: usize = 40;

/// Outcome of a request to continue or begin a stream, over all tries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// Its answer began.
    Began,
    /// It was rejected for these reasons, in order and each once, or got no answer.
    Failed(Vec<String>),
}

/// A stream that its client continued, and a new stream that the client began beside it.
#[derive(Debug, Clone)]
pub struct Continuation {
    /// Id of the request that began the stream.
    pub id: String,
    /// Version of the upstream that began it.
    pub version: String,
    /// When it was sent.
    pub begun: Instant,
    /// Its deadline.
    pub deadline: Instant,
    /// Whether the client named the attempt that began it.
    pub is_named: bool,
    /// When the client first tried to continue it.
    pub from: Instant,
    /// When the last try to continue it was sent.
    pub to: Instant,
    /// Outcome of the tries to continue it.
    pub rest: Outcome,
    /// Outcome of the new stream.
    pub new: Outcome,
}

/// Lifetime of a gateway process.
#[derive(Debug, Clone)]
pub struct ProcessRun {
    /// Number of the gateway.
    pub gateway: usize,
    /// When it was started.
    pub from: Instant,
    /// When a new process replaced it, if one has.
    pub until: Option<Instant>,
}

/// Time for which an upstream is registered.
#[derive(Debug, Clone)]
pub struct UpstreamRun {
    /// Its id.
    pub id: String,
    /// Version of its software.
    pub version: &'static str,
    /// When it was registered.
    pub from: Instant,
    /// When its registration was removed, if it was.
    pub until: Option<Instant>,
}

/// Lifetimes of gateway processes and upstreams.
#[derive(Debug, Clone, Default)]
pub struct Lifetimes {
    /// Processes of gateways.
    pub processes: Vec<ProcessRun>,
    /// Upstreams that may serve the streams.
    pub upstreams: Vec<UpstreamRun>,
    /// When all gateways were killed at the same moment.
    pub all_killed: Vec<Instant>,
}

impl Lifetimes {
    /// Records the start of a gateway's process, and the end of its former one.
    pub fn start_process(&mut self, gateway: usize, now: Instant) {
        let mut processes = self.processes.iter_mut();
        if let Some(former) = processes.find(|p| p.gateway == gateway && p.until.is_none()) {
            former.until = Some(now);
        }
        self.processes.push(ProcessRun {
            gateway,
            from: now,
            until: None,
        });
    }

    /// Records that an upstream was registered.
    pub fn add_upstream(&mut self, id: &str, version: &'static str, now: Instant) {
        self.upstreams.push(UpstreamRun {
            id: id.to_owned(),
            version,
            from: now,
            until: None,
        });
    }

    /// Records that an upstream's registration was removed.
    pub fn remove_upstream(&mut self, id: &str, now: Instant) {
        let mut upstreams = self.upstreams.iter_mut();
        if let Some(upstream) = upstreams.find(|u| u.id == id && u.until.is_none()) {
            upstream.until = Some(now);
        }
    }

    /// Returns whether no process that ran at `begun` still runs at `at`.
    fn are_all_replaced(&self, begun: Instant, at: Instant) -> bool {
        let ran_then = |p: &&ProcessRun| p.from <= begun && p.until.is_none_or(|u| u > begun);
        let mut processes = self.processes.iter().filter(ran_then);
        processes.all(|p| p.until.is_some_and(|u| u <= at))
    }

    /// Counts the upstreams of a version that serve all the time.
    fn serving(&self, version: &str, from: Instant, to: Instant) -> usize {
        let serves = |u: &&UpstreamRun| {
            u.version == version
                && u.from + REGISTRATION_DELAY <= from
                && u.until.is_none_or(|u| u > to)
        };
        self.upstreams.iter().filter(serves).count()
    }

    /// Returns when all gateways were killed for the first time since a stream began, if they were.
    fn all_killed_since(&self, stream: &Continuation) -> Option<Instant> {
        let is_between = |at: &&Instant| stream.begun <= **at && **at <= stream.to;
        self.all_killed.iter().filter(is_between).min().copied()
    }

    /// Returns why the bound doesn't apply to a stream, if it doesn't.
    fn exclusion(&self, stream: &Continuation) -> Option<Exclusion> {
        let is_just_begun = |killed: Instant| killed.duration_since(stream.begun) < MIN_AGE;
        if !stream.is_named {
            Some(Exclusion::Unnamed)
        } else if stream.to + MIN_TIME_LEFT > stream.deadline {
            Some(Exclusion::PastDeadline)
        } else if self.serving(&stream.version, stream.from, stream.to) < MIN_UPSTREAMS {
            Some(Exclusion::FewUpstreams)
        } else if self.all_killed_since(stream).is_some_and(is_just_begun) {
            Some(Exclusion::JustBegun)
        } else {
            None
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Exclusion {
    Unnamed,
    PastDeadline,
    FewUpstreams,
    JustBegun,
}

/// Numbers of streams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Count {
    /// Streams that clients continued.
    pub continued: usize,
    /// Those that went on.
    pub went_on: usize,
    /// New streams that began beside them.
    pub began: usize,
}

impl Count {
    fn add(&mut self, stream: &Continuation) {
        self.continued += 1;
        self.went_on += usize::from(stream.rest == Outcome::Began);
        self.began += usize::from(stream.new == Outcome::Began);
    }

    /// Returns the number of streams that went on per new stream that began, unless there are too
    /// few for a comparison.
    pub fn share(&self) -> Option<f64> {
        (self.began >= MIN_STREAMS).then(|| self.went_on as f64 / self.began as f64)
    }

    /// Returns the number of streams that didn't go on if it is too large, else 0.
    fn lost(&self) -> usize {
        // There are as many new streams as continued ones, so numbers compare like shares.
        let is_too_large = self.continued >= MIN_STREAMS && self.went_on * 2 < self.began;
        match is_too_large {
            true => self.continued - self.went_on,
            false => 0,
        }
    }
}

/// Streams that clients continued.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Continuations {
    /// Streams that the bound applies to, without those of `killed`.
    pub counted: Count,
    /// Those whose gateway processes had all been replaced by the last try to continue them.
    pub replaced: Count,
    /// Streams that were older than [`MIN_AGE`] when all gateways were killed at the same moment.
    pub killed: Count,
    /// Streams whose clients don't name the attempt that began them.
    pub unnamed: usize,
    /// Streams whose deadline had passed.
    pub past_deadline: usize,
    /// Streams of a version with too few upstreams.
    pub few_upstreams: usize,
    /// Streams that were younger than that.
    pub just_begun: usize,
}

impl Continuations {
    /// Counts streams, and prints those that were lost.
    pub fn count(streams: &[Continuation], lifetimes: &Lifetimes) -> Self {
        let mut out = Self::default();
        let mut lost = 0;
        for stream in streams {
            match lifetimes.exclusion(stream) {
                Some(Exclusion::Unnamed) => out.unnamed += 1,
                Some(Exclusion::PastDeadline) => out.past_deadline += 1,
                Some(Exclusion::FewUpstreams) => out.few_upstreams += 1,
                Some(Exclusion::JustBegun) => out.just_begun += 1,
                None => {
                    let are_replaced = lifetimes.are_all_replaced(stream.begun, stream.to);
                    let killed = lifetimes.all_killed_since(stream);
                    if killed.is_some() {
                        out.killed.add(stream);
                    } else {
                        out.counted.add(stream);
                        if are_replaced {
                            out.replaced.add(stream);
                        }
                    }
                    if stream.rest != Outcome::Began && lost < MAX_PRINTED {
                        lost += 1;
                        print_lost(stream, killed, are_replaced);
                    }
                }
            }
        }
        out
    }

    /// Returns the number of streams that didn't go on if fewer went on than the bound requires,
    /// else 0.
    pub fn lost(&self) -> usize {
        let counts = [self.counted, self.replaced, self.killed];
        counts.iter().map(Count::lost).max().unwrap_or_default()
    }
}

fn print_lost(stream: &Continuation, killed: Option<Instant>, are_replaced: bool) {
    let Continuation {
        id,
        version,
        rest,
        new,
        ..
    } = stream;
    let age = stream.to.duration_since(stream.begun);
    let processes = match killed {
        Some(at) => format!("all processes killed {:?} after it", at - stream.begun),
        None if are_replaced => "all processes replaced since".to_owned(),
        None => "a process of its start still runs".to_owned(),
    };
    println!(
        "stream not continued: {id} of {version}, {age:?} after its start ({processes}): {rest:?}, \
         new stream: {new:?}"
    );
}
