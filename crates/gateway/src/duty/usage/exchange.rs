//! Polls other processes for the requests that started there, and answers such polls, in
//! datagrams on a separate port.
//!
//! Lost queries and answers are repeated by the next poll; duplicate answers have no effect, as
//! requests are numbered.

use super::ledger::Position;
use super::message::{Message, Query, QueryAnswer, READS_COMPLETE};
use super::{Collector, Usage, is_collector, is_enabled, read_log, time_of_day_ms};
use crate::StartError;
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Minimum interval between polls of one process. If a process is killed, its requests since the
/// last poll are lost, on average those of half this interval.
const POLL_EVERY: Duration = Duration::from_millis(250);
/// Additional interval per polled process, which limits a collector to a hundred polls per
/// second, and the maximum interval.
const POLL_EVERY_PER_PEER: Duration = Duration::from_millis(10);
const MAX_POLL_PAUSE: Duration = Duration::from_millis(2500);
/// Time without an answer after which a process is polled less often.
const SILENT_AFTER: Duration = Duration::from_secs(3);
const POLL_SILENT_EVERY: Duration = Duration::from_secs(1);
/// Maximum time to wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Validity of an estimate of the time of day.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(3);
/// Interval between removals of requests that are too old to be reported.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Maximum size of a datagram.
const MAX_DATAGRAM: usize = 16 << 10;
/// Maximum number of collectors that are remembered.
const MAX_COLLECTORS: usize = 8;
/// Maximum number of senders whose ignored polls are logged.
const MAX_IGNORED_LOGGED: usize = 64;
/// A query that hasn't been answered.
#[derive(Debug, Clone, Copy)]
struct OpenQuery {
    ip: IpAddr,
    number: u32,
    at: Instant,
}

/// Estimate of the time of day from a host's answer.
#[derive(Debug, Clone, Copy)]
struct TimeEstimate {
    ip: IpAddr,
    base_ms: i64,
    at: Instant,
}

/// Open queries of this process, and the estimates of the time of day from the answers.
#[derive(Debug, Default)]
pub struct Queries {
    number: u32,
    open: Vec<OpenQuery>,
    estimates: Vec<TimeEstimate>,
}

impl Queries {
    fn open_query(&mut self, ip: IpAddr, now: Instant) -> u32 {
        self.open
            .retain(|q| now.saturating_duration_since(q.at) < ANSWER_TIMEOUT);
        self.number = self.number.wrapping_add(1) | READS_COMPLETE;
        let number = self.number;
        self.open.push(OpenQuery {
            ip,
            number,
            at: now,
        });
        number
    }

    /// Closes the query that an answer belongs to, and returns the time at which it was sent.
    fn close_query(&mut self, ip: IpAddr, number: u32) -> Option<Instant> {
        let at = self
            .open
            .iter()
            .position(|q| q.ip == ip && q.number == number)?;
        Some(self.open.remove(at).at)
    }

    fn add_estimate(&mut self, ip: IpAddr, base_ms: i64, at: Instant) {
        self.estimates.retain(|e| e.ip != ip);
        self.estimates.push(TimeEstimate { ip, base_ms, at });
    }

    fn estimates(&mut self, now: Instant) -> Vec<i64> {
        self.estimates
            .retain(|e| now.saturating_duration_since(e.at) < ESTIMATE_LIFETIME);
        self.estimates.iter().map(|e| e.base_ms).collect()
    }
}

/// The socket for usage messages, and the queries sent over it.
#[derive(Debug)]
pub struct Exchange {
    socket: UdpSocket,
    queries: Mutex<Queries>,
}

/// Binds the port for usage messages, and starts to receive and to poll.
pub fn start(gateway: &Arc<Gateway>) -> Result<(), StartError> {
    let host = gateway.host();
    let addr = SocketAddr::new(host.ip, host.usage_port);
    let bad = |e| StartError::Bind(addr, e);
    let socket = std::net::UdpSocket::bind(addr).map_err(bad)?;
    socket.set_nonblocking(true).map_err(bad)?;
    let exchange = Arc::new(Exchange {
        socket: UdpSocket::from_std(socket).map_err(bad)?,
        queries: Mutex::default(),
    });
    tokio::spawn(receive(gateway.clone(), exchange.clone()));
    tokio::spawn(poll_peers(gateway.clone(), exchange));
    Ok(())
}

async fn receive(gateway: Arc<Gateway>, exchange: Arc<Exchange>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut ignored = Vec::new();
    loop {
        // An error here means that an earlier datagram was sent to a closed port.
        let Ok((len, from)) = exchange.socket.recv_from(&mut buf).await else {
            continue;
        };
        let now = monotonic::now();
        match wire::decode::<Message>(&buf[..len]) {
            // Other senders must not learn the tenants' names or report windows as done.
            Some(Message::Ask(query)) if gateway.peers().knows(from.ip()) => {
                let answer = answer_query(&gateway, from.ip(), query, now);
                // Collectors hold requests of others.
                gateway.usage.collection().record_held(from.ip(), true);
                send(&exchange.socket, from, &Message::Told(answer));
            }
            Some(Message::Told(answer)) => {
                handle_answer(&gateway, &exchange, from.ip(), answer, now);
            }
            Some(Message::AskHeld) if gateway.peers().knows(from.ip()) => {
                let own = gateway.usage.own_log(&gateway);
                let held = gateway.usage.ledger().other_logs(own);
                send(&exchange.socket, from, &Message::Held(held as u32));
            }
            Some(Message::Held(held)) => {
                gateway.usage.collection().record_held(from.ip(), held > 0);
            }
            Some(Message::Ask(_) | Message::AskHeld) => log_ignored(&mut ignored, from.ip()),
            // Anyone can send invalid datagrams; peers of another version are logged by the
            // exchange of loads.
            None => {}
        }
    }
}

/// Logs an ignored poll, unless one of the same sender was logged before. `ignored` is sorted.
fn log_ignored(ignored: &mut Vec<IpAddr>, from: IpAddr) {
    let Err(at) = ignored.binary_search(&from) else {
        return;
    };
    if ignored.len() < MAX_IGNORED_LOGGED {
        ignored.insert(at, from);
        let peer = from.to_string();
        emit(&Event::UsagePollIgnored { peer });
    }
}

/// NB: a datagram that can't be sent now counts as lost, and is queried again.
pub(super) fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let _ = socket.try_send_to(&wire::encode_compact(message), to);
}

/// Answers a collector's query.
fn answer_query(gateway: &Gateway, ip: IpAddr, query: Query, now: Instant) -> QueryAnswer {
    let usage = &gateway.usage;
    usage.set_done_window(query.done);
    let mut answer = read_log(gateway, query.start, query.from, query.number, now);
    let reads_complete = query.number & READS_COMPLETE != 0;
    if !reads_complete {
        answer.complete_ms_ago = None;
    }
    let mut polls = usage.polls();
    polls.last_at = now;
    polls.collectors.retain(|c| c.ip != ip);
    polls.collectors.push(Collector {
        ip,
        polled_at: now,
        next_needed: answer.from,
        start: answer.start,
        reads_complete,
    });
    if polls.collectors.len() > MAX_COLLECTORS {
        polls.collectors.remove(0);
    }
    answer
}

/// Handles an answer, or the last message of a process that exits.
fn handle_answer(
    gateway: &Gateway,
    exchange: &Exchange,
    ip: IpAddr,
    mut answer: QueryAnswer,
    now: Instant,
) {
    let is_known = gateway.peers().knows(ip);
    let mut queries = exchange.queries();
    // An answer that waited while this process was paused is queried again, as the time at which
    // it was made is unknown.
    let has_waited = gateway.may_have_waited(now);
    let is_timely = |at: &Instant| {
        let took = now.saturating_duration_since(*at);
        took < ANSWER_TIMEOUT && !has_waited
    };
    let asked_at = queries.close_query(ip, answer.number).filter(is_timely);
    let is_last = answer.number == 0 && is_known;
    let at = match asked_at {
        // The answer was made at some time between the query and now.
        Some(asked_at) => asked_at + now.saturating_duration_since(asked_at) / 2,
        None if is_last => {
            // Its requests don't come again, but its process may have sent others since.
            if has_waited {
                answer.complete_ms_ago = None;
            }
            now
        }
        None => return,
    };
    let base_ms = gateway
        .usage
        .clock()
        .estimate_base(answer.time_of_day_ms, at);
    queries.add_estimate(ip, base_ms, now);
    if is_last {
        gateway.usage.ledger().add_last(ip, &answer, at);
    } else if gateway.usage.ledger().add(ip, &answer, at) {
        poll_peer(gateway, exchange, &mut queries, ip, now);
    }
}

impl Exchange {
    fn queries(&self) -> std::sync::MutexGuard<'_, Queries> {
        self.queries.lock().expect("no panic while locked")
    }
}

fn poll_peer(
    gateway: &Gateway,
    exchange: &Exchange,
    queries: &mut Queries,
    ip: IpAddr,
    now: Instant,
) {
    let Position { start, next } = gateway.usage.ledger().position(ip);
    let query = Query {
        number: queries.open_query(ip, now),
        start,
        from: next,
        done: gateway.usage.done_window(),
    };
    let to = SocketAddr::new(ip, gateway.host().usage_port);
    send(&exchange.socket, to, &Message::Ask(query));
}

/// Polls all processes while this one is a collector, until it ends.
async fn poll_peers(gateway: Arc<Gateway>, exchange: Arc<Exchange>) {
    let mut silent_polled_at = monotonic::now();
    let mut was_collecting = false;
    let mut expired_at = monotonic::now();
    loop {
        let peers = gateway.peers().addresses();
        let pause = POLL_EVERY.max(POLL_EVERY_PER_PEER * peers.len() as u32);
        let pause = pause.min(MAX_POLL_PAUSE);
        tokio::time::sleep(pause).await;
        let now = monotonic::now();
        if now.saturating_duration_since(expired_at) >= EXPIRE_EVERY {
            expired_at = now;
            expire(&gateway.usage, now);
        }
        let is_collecting = is_enabled(&gateway) && is_collector(&gateway, now);
        if is_collecting != was_collecting {
            was_collecting = is_collecting;
            log_collecting(&gateway, is_collecting, now);
        }
        if !is_collecting {
            gateway.usage.collection().clear();
            continue;
        }
        let may_poll_silent = now.saturating_duration_since(silent_polled_at) >= POLL_SILENT_EVERY;
        if may_poll_silent {
            silent_polled_at = now;
        }
        let held_unknown = {
            let mut collection = gateway.usage.collection();
            collection.record_poll(&peers, pause, now);
            collection.held_unknown(now)
        };
        let port = gateway.host().usage_port;
        for ip in held_unknown {
            let to = SocketAddr::new(ip, port);
            send(&exchange.socket, to, &Message::AskHeld);
        }
        let mut queries = exchange.queries();
        add_own_requests(&gateway, now);
        let base_ms = gateway.usage.clock().estimate_base(time_of_day_ms(), now);
        queries.add_estimate(gateway.host().ip, base_ms, now);
        for ip in peers {
            let last_received_at = gateway.usage.ledger().last_received_at(ip);
            let is_silent =
                last_received_at.is_none_or(|at| now.saturating_duration_since(at) > SILENT_AFTER);
            if !is_silent || may_poll_silent {
                poll_peer(&gateway, &exchange, &mut queries, ip, now);
            }
        }
        let estimates = queries.estimates(now);
        gateway.usage.clock().add_round(estimates, now);
    }
}

fn log_collecting(gateway: &Gateway, collecting: bool, now: Instant) {
    let last_at = gateway.usage.polls().last_at;
    emit(&Event::UsageCollecting {
        collecting,
        rank: gateway.rank(),
        unpolled_ms: now.saturating_duration_since(last_at).as_millis() as u64,
    });
}

/// Drops requests that are too old to be reported, and logs those that are in no report.
fn expire(usage: &Usage, now: Instant) {
    let overdue = {
        let mut request_log = usage.request_log();
        request_log.expire(now);
        request_log.take_overdue()
    };
    if overdue > 0 {
        emit(&Event::UsageUnanswered { requests: overdue });
    }
    let mut ledger = usage.ledger();
    for lost in ledger.take_lost() {
        let reasons = [
            (
                lost.missed,
                "they were dropped before a collector queried them",
            ),
            (
                lost.late - lost.late_after_complete,
                "they became known after their window was decided",
            ),
            (
                lost.late_after_complete,
                "they became known after their window was decided, and their process had said that \
                 its requests were complete",
            ),
        ];
        for (requests, why) in reasons.into_iter().filter(|(requests, _)| *requests > 0) {
            let peer = lost.ip.to_string();
            emit(&Event::UsageLost {
                peer,
                requests,
                why,
            });
        }
    }
    ledger.expire(now);
}

/// Adds this process's own requests to the ledger like any other's.
pub(super) fn add_own_requests(gateway: &Gateway, now: Instant) {
    let usage = &gateway.usage;
    let ip = gateway.host().ip;
    loop {
        let Position { start, next } = usage.ledger().position(ip);
        let answer = read_log(gateway, start, next, 0, now);
        if !usage.ledger().add(ip, &answer, now) {
            break;
        }
    }
}
