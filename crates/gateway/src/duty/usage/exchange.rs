//! Asks other processes for the requests that began there, and answers such questions, in
//! datagrams on a port of their own.
//!
//! A question or an answer that is lost is asked for again; an answer that comes twice
//! tells nothing new, as requests are numbered.

use super::ledger::Position;
use super::message::{Ask, Message, Told};
use super::{Collector, Usage, is_collector, is_enabled, time_of_day_ms};
use crate::StartError;
use crate::state::Gateway;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Shortest time between two questions to one process: what a process that is killed
/// hadn't told is lost, half of this time of its requests on average.
const POLL_EVERY: Duration = Duration::from_millis(250);
/// Time added for each process that is asked, so that a collector asks at most a hundred
/// a second; and the longest time in all.
const POLL_EVERY_PER_PEER: Duration = Duration::from_millis(10);
const MAX_POLL_PAUSE: Duration = Duration::from_millis(2500);
/// A process that hasn't answered for so long is asked the less often.
const SILENT_AFTER: Duration = Duration::from_secs(3);
const POLL_SILENT_EVERY: Duration = Duration::from_secs(1);
/// Longest time for which an answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Beliefs about the time of day count for so long.
const ESTIMATE_LIFETIME: Duration = Duration::from_secs(3);
/// Largest datagram.
const MAX_DATAGRAM: usize = 16 << 10;
/// Collectors that are remembered.
const MAX_COLLECTORS: usize = 8;
/// How often and with what pause the last requests are told before a process ends.
const FINAL_SENDS: u32 = 3;
const FINAL_SEND_PAUSE: Duration = Duration::from_millis(20);

/// A question that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct OpenQuery {
    ip: IpAddr,
    number: u32,
    at: Instant,
}

/// What a host said its time of day was.
#[derive(Debug, Clone, Copy)]
struct TimeEstimate {
    ip: IpAddr,
    base_ms: i64,
    at: Instant,
}

/// The questions of this process that are open, and what the answers told of time.
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
        self.number = self.number.wrapping_add(1).max(1);
        let number = self.number;
        self.open.push(OpenQuery {
            ip,
            number,
            at: now,
        });
        number
    }

    /// When the question was asked that an answer belongs to.
    fn close_query(&mut self, ip: IpAddr, number: u32) -> Option<Instant> {
        let at = self
            .open
            .iter()
            .position(|q| q.ip == ip && q.number == number)?;
        Some(self.open.remove(at).at)
    }

    fn add_estimate(&mut self, ip: IpAddr, base_ms: i64, at: Instant) {
        self.estimates.retain(|b| b.ip != ip);
        self.estimates.push(TimeEstimate { ip, base_ms, at });
    }

    fn estimates(&mut self, now: Instant) -> Vec<i64> {
        self.estimates
            .retain(|b| now.saturating_duration_since(b.at) < ESTIMATE_LIFETIME);
        self.estimates.iter().map(|b| b.base_ms).collect()
    }
}

/// The socket for usage, and the questions asked over it.
#[derive(Debug)]
pub struct Exchange {
    socket: UdpSocket,
    queries: Mutex<Queries>,
}

/// Binds the port for usage; starts to hear and to ask.
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
    loop {
        // An error here means that an earlier datagram met a closed port.
        let Ok((len, from)) = exchange.socket.recv_from(&mut buf).await else {
            continue;
        };
        let now = Instant::now();
        match wire::decode::<Message>(&buf[..len]) {
            // Others may not know what tenants there are, nor say which windows are through.
            Some(Message::Ask(ask)) if gateway.peers().knows(from.ip()) => {
                let told = answer(&gateway.usage, from.ip(), ask, now);
                send(&exchange.socket, from, &Message::Told(told));
            }
            Some(Message::Told(told)) => handle_told(&gateway, &exchange, from.ip(), &told, now),
            // Any sender may send anything; peers of another version are logged by the
            // exchange of loads.
            Some(Message::Ask(_)) | None => {}
        }
    }
}

/// NB: a datagram that can't be sent now is as good as lost, and is asked for again.
fn send(socket: &UdpSocket, to: SocketAddr, message: &Message) {
    let _ = socket.try_send_to(&wire::encode_compact(message), to);
}

/// Answers a collector.
fn answer(usage: &Usage, ip: IpAddr, ask: Ask, now: Instant) -> Told {
    usage.set_done_window(ask.done);
    let told = {
        let mut request_log = usage.request_log();
        request_log.expire(now);
        request_log.read_from(ask.start, ask.from, ask.number, now)
    };
    let mut polls = usage.polls();
    polls.last_at = now;
    polls.collectors.retain(|c| c.ip != ip);
    polls.collectors.push(Collector {
        ip,
        polled_at: now,
        next_needed: told.from,
        start: told.start,
    });
    if polls.collectors.len() > MAX_COLLECTORS {
        polls.collectors.remove(0);
    }
    told
}

/// Takes an answer, or what a process tells before it ends.
fn handle_told(gateway: &Gateway, exchange: &Exchange, ip: IpAddr, told: &Told, now: Instant) {
    let is_known = gateway.peers().knows(ip);
    let mut queries = exchange.queries();
    // One that waited while this process stood still is asked for again: nobody knows when
    // it was made.
    let is_timely = |at: &Instant| {
        let took = now.saturating_duration_since(*at);
        took < ANSWER_TIMEOUT && !gateway.may_have_waited(now)
    };
    let asked_at = queries.close_query(ip, told.number).filter(is_timely);
    let is_last = told.number == 0 && is_known;
    let at = match asked_at {
        // The answer was made between the question and now.
        Some(asked_at) => asked_at + now.saturating_duration_since(asked_at) / 2,
        None if is_last => now,
        None => return,
    };
    let base_ms = gateway.usage.clock().estimate_base(told.time_of_day_ms, at);
    queries.add_estimate(ip, base_ms, now);
    if gateway.usage.ledger().add(ip, told, at) && !is_last {
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
    let ask = Ask {
        number: queries.open_query(ip, now),
        start,
        from: next,
        done: gateway.usage.done_window(),
    };
    let to = SocketAddr::new(ip, gateway.host().usage_port);
    send(&exchange.socket, to, &Message::Ask(ask));
}

/// Asks all processes while this one collects, until it ends.
async fn poll_peers(gateway: Arc<Gateway>, exchange: Arc<Exchange>) {
    let mut silent_polled_at = Instant::now();
    loop {
        let peers = gateway.peers().addresses();
        let pause = POLL_EVERY.max(POLL_EVERY_PER_PEER * peers.len() as u32);
        tokio::time::sleep(pause.min(MAX_POLL_PAUSE)).await;
        let now = Instant::now();
        if !is_enabled(&gateway) || !is_collector(&gateway, now) {
            gateway.usage.request_log().expire(now);
            continue;
        }
        let may_poll_silent = now.saturating_duration_since(silent_polled_at) >= POLL_SILENT_EVERY;
        if may_poll_silent {
            silent_polled_at = now;
        }
        let mut queries = exchange.queries();
        add_own_requests(&gateway, &mut queries, now);
        for ip in peers {
            let last_heard_at = gateway.usage.ledger().last_heard_at(ip);
            let is_silent =
                last_heard_at.is_none_or(|at| now.saturating_duration_since(at) > SILENT_AFTER);
            if !is_silent || may_poll_silent {
                poll_peer(&gateway, &exchange, &mut queries, ip, now);
            }
        }
        let estimates = queries.estimates(now);
        gateway.usage.clock().add_round(estimates, now);
    }
}

/// Takes this process's own requests, as any other's.
fn add_own_requests(gateway: &Gateway, queries: &mut Queries, now: Instant) {
    let usage = &gateway.usage;
    let ip = gateway.host().ip;
    loop {
        let Position { start, next } = usage.ledger().position(ip);
        let told = {
            let mut request_log = usage.request_log();
            request_log.expire(now);
            request_log.read_from(start, next, 0, now)
        };
        if !usage.ledger().add(ip, &told, now) {
            break;
        }
    }
    let base_ms = usage.clock().estimate_base(time_of_day_ms(), now);
    queries.add_estimate(ip, base_ms, now);
}

/// Tells the collectors of late what they lack, a few times over, as nobody asks again.
/// Gives how many requests no collector has asked for.
pub async fn send_remaining(gateway: &Arc<Gateway>) -> u64 {
    let host = gateway.host();
    let now = Instant::now();
    let Ok(socket) = UdpSocket::bind(SocketAddr::new(host.ip, 0)).await else {
        return unreported(gateway, now);
    };
    let collectors: Vec<Collector> = {
        let polls = gateway.usage.polls();
        let recent = polls
            .collectors
            .iter()
            .filter(|c| now.saturating_duration_since(c.polled_at) < SILENT_AFTER);
        recent.copied().collect()
    };
    for _ in 0..FINAL_SENDS {
        for collector in &collectors {
            let request_log = gateway.usage.request_log();
            let told =
                request_log.read_from(collector.start, collector.next_needed, 0, Instant::now());
            let to = SocketAddr::new(collector.ip, host.usage_port);
            send(&socket, to, &Message::Told(told));
        }
        tokio::time::sleep(FINAL_SEND_PAUSE).await;
    }
    match collectors.is_empty() {
        true => unreported(gateway, now),
        false => 0,
    }
}

/// Requests of this process that began in windows whose report isn't through.
fn unreported(gateway: &Gateway, now: Instant) -> u64 {
    let host = gateway.host();
    let length = host.cloud.as_ref().and_then(|c| c.usage).map(|u| u.window);
    let usage = &gateway.usage;
    let begins = length.and_then(|length| {
        let next = usage.done_window().checked_add(1)?;
        let unix_ms = next.checked_mul(length.as_millis() as u64)?;
        usage.clock().instant(i64::try_from(unix_ms).ok()?)
    });
    let mut request_log = usage.request_log();
    request_log.expire(now);
    request_log.count_since(begins)
}
