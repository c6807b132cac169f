//! Clients with streams of some seconds. They continue those that break off, or whose connection
//! they close themselves, and begin a new stream beside each at the same gateways.

use crate::checker::{ReceivedStream, RequestEnd, RequestKind};
use crate::client::{
    Answer, Client, DEADLINE_GRACE, MAX_PAUSE_MS, OpenConnection, Phase, Sent, last_event,
    whole_events,
};
use crate::continuation::{Continuation, Outcome};
use crate::keys::Key;
use standin::fixture::{request, take_up_request, with_deadline, without_first_attempt};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Duration of a stream, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 2000..7000;
/// Deadline of a stream, from its start.
const DEADLINE: Duration = Duration::from_secs(30);
/// Duration of a new stream beside a continued one, in milliseconds.
const NEW_DURATION_MS: u64 = 20;
/// Longest pause of a client that continues a stream at once, in milliseconds.
const MAX_SHORT_PAUSE_MS: u64 = 120;
/// One in so many streams is continued at once.
const SHORT_PAUSE_ONE_IN: u32 = 4;
/// Longest pause of a client that continues a stream later, in milliseconds. All processes may have
/// been replaced by then.
const MAX_LONG_PAUSE_MS: u64 = 12_000;
/// One in so many streams isn't broken off by its client.
const KEPT_ONE_IN: u32 = 4;
/// One in so many clients doesn't name the attempt that began the stream.
const UNNAMED_ONE_IN: u32 = 10;
/// Number of gateways that a client tries before it gives up.
const MAX_TRIES: usize = 12;
/// Pause between two tries, in milliseconds. All tries take longer than a process takes to stop.
const TRY_PAUSE_MS: std::ops::Range<u64> = 400..1200;

/// The streams that clients have continued.
pub type Continued = Arc<Mutex<Vec<Continuation>>>;

/// A gateway to try, and the pause before that.
#[derive(Debug, Clone, Copy)]
struct Try {
    pause_ms: u64,
    gateway: usize,
}

impl Try {
    fn draw(n: usize, gateways: usize, rng: &mut fastrand::Rng) -> Self {
        let pause_ms = rng.u64(TRY_PAUSE_MS);
        Self {
            pause_ms: match n {
                0 => 0,
                _ => pause_ms,
            },
            gateway: rng.usize(..gateways),
        }
    }
}

/// Idle connections of a client.
#[derive(Default)]
struct Connections(Vec<OpenConnection>);

impl Connections {
    /// Removes a connection to a gateway, even if its process is stopping.
    fn take(&mut self, gateway: usize) -> Option<OpenConnection> {
        let at = self.0.iter().position(|c| c.gateway == gateway)?;
        Some(self.0.swap_remove(at))
    }
}

/// A stream that a client receives.
struct Received {
    first: Sent,
    begun: Instant,
    deadline: Instant,
    version: Option<String>,
    stream: ReceivedStream,
}

/// A client with long streams.
#[derive(Debug)]
pub struct StreamClient {
    /// Sends the requests.
    pub client: Client,
    /// Records the streams that it continues.
    pub continued: Continued,
    /// Phase of the soak. The client stops at the end of the faults.
    pub phase: watch::Receiver<Phase>,
}

impl StreamClient {
    /// Receives streams one after the other until the end of the faults.
    pub async fn run(self, seed: u64) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut connections = Connections::default();
        let mut has_failed = false;
        for n in 0u64.. {
            let pause_ms = match has_failed {
                true => rng.u64(TRY_PAUSE_MS),
                false => rng.u64(..MAX_PAUSE_MS),
            };
            self.pause(pause_ms).await;
            if self.is_over() {
                return;
            }
            let stream = self.receive(n, &mut connections, &mut rng).await;
            has_failed = stream.events.is_empty();
            if let Some(streams) = &self.client.streams {
                streams.lock().expect("no panic while locked").push(stream);
            }
        }
    }

    fn is_over(&self) -> bool {
        *self.phase.borrow() != Phase::Faults
    }

    /// Waits for the end of the faults.
    async fn over(&self) {
        let mut phase = self.phase.clone();
        // Without a sender the soak is over, too.
        let _ = phase.wait_for(|phase| *phase != Phase::Faults).await;
    }

    /// Waits for some time, or for the end of the faults.
    async fn pause(&self, ms: u64) {
        let _ = tokio::time::timeout(Duration::from_millis(ms), self.over()).await;
    }

    /// Begins a stream and continues it until it is complete or its deadline has passed.
    async fn receive(
        &self,
        n: u64,
        connections: &mut Connections,
        rng: &mut fastrand::Rng,
    ) -> ReceivedStream {
        let id = format!("s{}-{n}", self.client.name);
        let begun = Instant::now();
        let duration_ms = rng.u64(DURATION_MS);
        let first = self.new_stream(&id, duration_ms);
        let gateway = rng.usize(..self.client.gateways.len());
        let closes = draw_close(duration_ms, rng);
        let answer = self
            .exchange(connections, gateway, &first, closes, DEADLINE)
            .await;
        let events = whole_events(&answer.part);
        let mut received = Received {
            version: version(&events),
            begun,
            deadline: begun + DEADLINE,
            stream: ReceivedStream {
                id,
                events,
                tries: 1,
                is_whole: matches!(answer.end, RequestEnd::Whole(200, _)),
            },
            first,
        };
        while !received.stream.is_whole && !self.is_over() {
            let Some(after) = last_event(&received.stream.events) else {
                break;
            };
            let max_pause_ms = match rng.u32(..SHORT_PAUSE_ONE_IN) {
                0 => MAX_SHORT_PAUSE_MS,
                _ => MAX_LONG_PAUSE_MS,
            };
            self.pause(rng.u64(..max_pause_ms)).await;
            if self.is_over() || !self.resume(&mut received, after, connections, rng).await {
                break;
            }
        }
        received.stream
    }

    /// Continues a stream after an event, and begins a new one beside it at the same gateways.
    /// Returns whether the stream went on.
    async fn resume(
        &self,
        received: &mut Received,
        after: u64,
        connections: &mut Connections,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let gateways = self.client.gateways.len();
        let tries: Vec<Try> = (0..MAX_TRIES)
            .map(|n| Try::draw(n, gateways, rng))
            .collect();
        let is_named = rng.u32(..UNNAMED_ONE_IN) > 0;
        let from = Instant::now();
        let number = received.stream.tries;
        let new_id = format!("{}-new-{number}", received.stream.id);
        // Half of the open connections are for the new stream.
        let half = connections.0.len() / 2;
        let mut new_connections = Connections(connections.0.split_off(half));
        let begin = self.begin_new_stream(&new_id, &tries, &mut new_connections);
        let resume = self.try_resume(received, after, is_named, &tries, connections);
        let (new, (rest, to)) = tokio::join!(begin, resume);
        connections.0.append(&mut new_connections.0);
        let goes_on = rest == Outcome::Began;
        // The end of the faults cuts tries short. The outcome is then unknown if no new stream has
        // begun either.
        let is_known = goes_on || new == Outcome::Began || !self.is_over();
        if let Some(version) = received.version.clone().filter(|_| is_known) {
            let continuation = Continuation {
                id: received.stream.id.clone(),
                version,
                begun: received.begun,
                deadline: received.deadline,
                is_named,
                from,
                to,
                rest,
                new,
            };
            let mut continued = self.continued.lock().expect("no panic while locked");
            continued.push(continuation);
        }
        goes_on
    }

    /// Tries to continue a stream until it goes on. Also returns when the last try was sent.
    async fn try_resume(
        &self,
        received: &mut Received,
        after: u64,
        is_named: bool,
        tries: &[Try],
        connections: &mut Connections,
    ) -> (Outcome, Instant) {
        let mut reasons = Vec::new();
        let mut at = Instant::now();
        for attempt in tries {
            self.pause(attempt.pause_ms).await;
            at = Instant::now();
            let left = received.deadline.saturating_duration_since(at);
            if left.is_zero() || self.is_over() {
                break;
            }
            let first_id = &received.stream.id;
            let id = format!("{first_id}-{}", received.stream.tries);
            let text = take_up_request(&received.first.text, first_id, &id, after);
            let text = match is_named {
                true => text,
                false => without_first_attempt(&text, first_id),
            };
            let sent = Sent {
                id,
                kind: RequestKind::Rest { after },
                text: with_deadline(&text, left),
                key: received.first.key,
                deadline: left,
            };
            let answer = self
                .exchange(connections, attempt.gateway, &sent, None, left)
                .await;
            received.stream.tries += 1;
            if answer.status == Some(200) {
                received.stream.events += &whole_events(&answer.part);
                received.stream.is_whole = matches!(answer.end, RequestEnd::Whole(200, _));
                return (Outcome::Began, at);
            }
            reasons.push(failure_of(&answer));
        }
        reasons.dedup();
        (Outcome::Failed(reasons), at)
    }

    /// Tries to begin a short stream until it begins.
    async fn begin_new_stream(
        &self,
        id: &str,
        tries: &[Try],
        connections: &mut Connections,
    ) -> Outcome {
        let mut reasons = Vec::new();
        for (n, attempt) in tries.iter().enumerate() {
            self.pause(attempt.pause_ms).await;
            if self.is_over() {
                break;
            }
            let sent = self.new_stream(&format!("{id}-{n}"), NEW_DURATION_MS);
            let answer = self
                .exchange(connections, attempt.gateway, &sent, None, DEADLINE)
                .await;
            if answer.status == Some(200) {
                return Outcome::Began;
            }
            reasons.push(failure_of(&answer));
        }
        reasons.dedup();
        Outcome::Failed(reasons)
    }

    fn new_stream(&self, id: &str, duration_ms: u64) -> Sent {
        let key = Key::Permanent(self.client.name as usize % crate::keys::TENANTS);
        let path = format!("/resumable/{duration_ms}");
        let text = request("POST", &path, id, &key.header(), "x");
        Sent {
            id: id.to_owned(),
            kind: RequestKind::Resumable,
            text: with_deadline(&text, DEADLINE),
            key,
            deadline: DEADLINE,
        }
    }

    /// Sends a request on an idle connection to a gateway, or on a new one. The client closes the
    /// connection after the time `closes`, and at the end of the faults.
    async fn exchange(
        &self,
        connections: &mut Connections,
        gateway: usize,
        sent: &Sent,
        closes: Option<Duration>,
        longest: Duration,
    ) -> Answer {
        let mut connection = connections.take(gateway);
        let longest = closes.unwrap_or(longest + DEADLINE_GRACE);
        let closing = async {
            let _ = tokio::time::timeout(longest, self.over()).await;
        };
        let answer = self
            .client
            .exchange(&mut connection, gateway, sent, closing)
            .await;
        connections.0.extend(connection);
        answer
    }
}

/// Draws after which time of a stream its client closes the connection, if it does.
fn draw_close(duration_ms: u64, rng: &mut fastrand::Rng) -> Option<Duration> {
    let after = Duration::from_millis(rng.u64(duration_ms / 4..duration_ms));
    (rng.u32(..KEPT_ONE_IN) > 0).then_some(after)
}

/// Version of the upstream that wrote events.
fn version(events: &str) -> Option<String> {
    let mut lines = events.lines().filter_map(|l| l.strip_prefix("data: by "));
    lines.next().map(str::to_owned)
}

/// Status and reason of a rejection, for the output.
fn failure_of(answer: &Answer) -> String {
    match (answer.status, &answer.end) {
        (Some(status), RequestEnd::Whole(_, body)) => {
            let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
            let reason = body["error"].as_str().unwrap_or("no reason");
            format!("{status} {reason}")
        }
        (Some(status), _) => format!("{status} cut"),
        (None, _) => "no answer".to_owned(),
    }
}
