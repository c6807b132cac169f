//! Continuous batching of the fake engine.

use super::BYTES_PER_TOKEN;
use super::cache::PrefixCache;
use crate::answer::token_of;
use crate::fault::FaultInjector;
use bytes::Bytes;
use engine::protocol::{Choice, Chunk, CompletionBody, Load, Usage};
use hyper::Response;
use net::{Body, BodySender, stream};
use std::collections::VecDeque;
use std::time::{Duration, Instant};
use wire::prefix;
use xxhash_rust::xxh3::xxh3_64;

/// Chunks buffered for a slow reader before its request pauses.
const CHUNK_BUFFER: usize = 256;

#[derive(Debug)]
struct Seq {
    id: String,
    prompt_hash: u64,
    prefixes: Vec<u64>,
    prefill_left: u32,
    next_index: u32,
    max_tokens: u32,
    priority: u32,
    out: BodySender,
}

/// The waiting and running requests of one engine.
#[derive(Debug)]
pub struct Batch {
    capacity: usize,
    lag: Duration,
    waiting: Vec<Seq>,
    running: Vec<Seq>,
    reports: VecDeque<(Instant, Load)>,
    aborted: u64,
}

impl Batch {
    /// Creates a batch that runs up to `capacity` requests and whose load reports are `lag` old.
    pub fn new(capacity: usize, lag: Duration) -> Self {
        Self {
            capacity,
            lag,
            waiting: Vec::new(),
            running: Vec::new(),
            reports: VecDeque::new(),
            aborted: 0,
        }
    }

    /// Returns whether no request waits or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns the number of requests whose reader is still connected.
    pub fn open_requests(&self) -> usize {
        self.waiting
            .iter()
            .chain(&self.running)
            .filter(|s| !s.out.is_closed())
            .count()
    }

    /// Queues a request and returns the answer that streams its tokens.
    pub fn add(&mut self, body: CompletionBody, cache: &PrefixCache) -> Response<Body> {
        let (out, answer) = stream(CHUNK_BUFFER);
        let prefixes = prefix::hashes(body.prompt.as_bytes());
        let cold = body.prompt.len() - cache.cached(&prefixes);
        let seq = Seq {
            prompt_hash: xxh3_64(body.prompt.as_bytes()),
            prefixes,
            prefill_left: (cold / BYTES_PER_TOKEN).max(1) as u32 + body.resume_from,
            next_index: body.resume_from,
            max_tokens: body.max_tokens,
            priority: body.priority,
            id: body.request_id,
            out,
        };
        let at = self.waiting.partition_point(|s| s.priority <= seq.priority);
        self.waiting.insert(at, seq);
        Response::new(answer)
    }

    /// Cancels a request.
    pub fn cancel(&mut self, id: &str) {
        self.waiting.retain(|s| s.id != id);
        self.running.retain(|s| s.id != id);
    }

    /// Aborts all requests, as a change or a crash does. Returns how many had a connected reader.
    pub fn abort(&mut self) -> u64 {
        let open = |seqs: &[Seq]| seqs.iter().filter(|s| !s.out.is_closed()).count() as u64;
        let aborted = open(&self.waiting) + open(&self.running);
        self.waiting.clear();
        self.running.clear();
        self.aborted += aborted;
        aborted
    }

    /// Runs one step: processes prompt tokens up to the budget `prefill`, then emits one token
    /// for each request whose prompt is complete.
    pub fn step(&mut self, prefill: u32, cache: &mut PrefixCache, injector: &FaultInjector) {
        self.record_load();
        self.waiting.retain(|s| !s.out.is_closed());
        self.running.retain(|s| !s.out.is_closed());
        while self.running.len() < self.capacity && !self.waiting.is_empty() {
            self.running.push(self.waiting.remove(0));
        }
        self.prefill(prefill, cache);
        self.decode(injector);
    }

    fn prefill(&mut self, mut budget: u32, cache: &mut PrefixCache) {
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|i| self.running[*i].priority);
        for i in order {
            let seq = &mut self.running[i];
            if seq.prefill_left == 0 {
                continue;
            }
            let part = seq.prefill_left.min(budget);
            seq.prefill_left -= part;
            budget -= part;
            if seq.prefill_left == 0 {
                cache.add(&seq.prefixes);
            }
        }
    }

    fn decode(&mut self, injector: &FaultInjector) {
        let other = self
            .running
            .first()
            .map(|s| s.id.clone())
            .unwrap_or_default();
        let mut i = 0;
        while i < self.running.len() {
            match emit(&mut self.running[i], injector, &other) {
                Emitted::More => i += 1,
                Emitted::Last => self.running.swap_remove(i).out.try_finish(),
                Emitted::Broken => drop(self.running.swap_remove(i)),
            }
        }
    }

    fn record_load(&mut self) {
        let now = Instant::now();
        let prefill = |s: &Seq| u64::from(s.prefill_left);
        let load = Load {
            waiting: self.waiting.len() as u32,
            running: self.running.len() as u32,
            prefill_tokens: self.waiting.iter().chain(&self.running).map(prefill).sum(),
        };
        self.reports.push_back((now, load));
        while self.reports.len() > 1 && now - self.reports[1].0 >= self.lag {
            self.reports.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago.
    pub fn report(&self) -> Load {
        self.reports
            .front()
            .map_or_else(Load::default, |(_, load)| *load)
    }
}

enum Emitted {
    More,
    Last,
    Broken,
}

fn emit(seq: &mut Seq, injector: &FaultInjector, other: &str) -> Emitted {
    if seq.prefill_left > 0 {
        return Emitted::More;
    }
    if seq.next_index > 0 && injector.consume(|f| &mut f.break_streams) {
        return Emitted::Broken;
    }
    let last = seq.next_index + 1 >= seq.max_tokens;
    let crossed = other != seq.id && injector.consume(|f| &mut f.cross_chunks);
    let chunk = Chunk {
        id: if crossed {
            other.to_owned()
        } else {
            seq.id.clone()
        },
        choices: vec![Choice {
            text: token_of(seq.prompt_hash, seq.next_index),
            finish_reason: last.then(|| "length".to_owned()),
        }],
        usage: Usage {
            completion_tokens: seq.next_index + 1,
        },
    };
    let mut text = serde_json::to_string(&chunk).expect("chunks always encode");
    text = format!("data: {text}\n\n");
    let doubled = injector.consume(|f| &mut f.double_chunks);
    if doubled || (last && injector.consume(|f| &mut f.double_last)) {
        text = text.repeat(2);
    }
    if last {
        text.push_str("data: [DONE]\n\n");
    }
    match seq.out.try_send(Bytes::from(text)) {
        Ok(true) => seq.next_index += 1,
        // The reader's buffer is full: the next step emits the same token again.
        Ok(false) => return Emitted::More,
        Err(_) => return Emitted::Broken,
    }
    if last { Emitted::Last } else { Emitted::More }
}
