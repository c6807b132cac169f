//! Asks other processes for the requests that began there, and answers such questions, in
//! datagrams on a port of their own.
//!
//! A question or an answer that is lost is asked for again; an answer that comes twice
//! tells nothing new, as requests are numbered.

use super::ledger::Position;
use super::message::{Ask, Message, Told};
use super::{Collector, Usage, is_collector, is_wanted, time_of_day_ms};
use crate::StartError;
use crate::state::Gateway;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Shortest time between two questions to one process: what a process that is killed
/// hadn't told is lost, half of this time of its requests on average.
const ASK_EVERY: Duration = Duration::from_millis(250);
/// Time added for each process that is asked, so that a collector asks at most a hundred
/// a second; and the longest time in all.
const ASK_EVERY_PER_PEER: Duration = Duration::from_millis(10);
const ASK_AT_LEAST: Duration = Duration::from_millis(2500);
/// A process that hasn't answered for so long is asked the less often.
const SILENT: Duration = Duration::from_secs(3);
const ASK_SILENT_EVERY: Duration = Duration::from_secs(1);
/// Longest time for which an answer is waited for.
const ANSWER_WITHIN: Duration = Duration::from_secs(2);
/// Beliefs about the time of day count for so long.
const BELIEF_LASTS: Duration = Duration::from_secs(3);
/// Largest datagram.
const MAX_DATAGRAM: usize = 16 << 10;
/// Collectors that are remembered.
const MAX_COLLECTORS: usize = 8;
/// How often and with what pause the last requests are told before a process ends.
const LAST_TOLD: u32 = 3;
const LAST_PAUSE: Duration = Duration::from_millis(20);

/// A question that waits for its answer.
#[derive(Debug, Clone, Copy)]
struct Asked {
    ip: IpAddr,
    number: u32,
    at: Instant,
}

/// What a host said its time of day was.
#[derive(Debug, Clone, Copy)]
struct Belief {
    ip: IpAddr,
    base_ms: i64,
    at: Instant,
}

/// The questions of this process that are open, and what the answers told of time.
#[derive(Debug, Default)]
pub struct Questions {
    number: u32,
    open: Vec<Asked>,
    beliefs: Vec<Belief>,
}

impl Questions {
    fn ask(&mut self, ip: IpAddr, now: Instant) -> u32 {
        self.open
            .retain(|q| now.saturating_duration_since(q.at) < ANSWER_WITHIN);
        self.number = self.number.wrapping_add(1).max(1);
        let number = self.number;
        self.open.push(Asked {
            ip,
            number,
            at: now,
        });
        number
    }

    /// When the question was asked that an answer belongs to.
    fn answered(&mut self, ip: IpAddr, number: u32) -> Option<Instant> {
        let at = self
            .open
            .iter()
            .position(|q| q.ip == ip && q.number == number)?;
        Some(self.open.remove(at).at)
    }

    fn believe(&mut self, ip: IpAddr, base_ms: i64, at: Instant) {
        self.beliefs.retain(|b| b.ip != ip);
        self.beliefs.push(Belief { ip, base_ms, at });
    }

    fn beliefs(&mut self, now: Instant) -> Vec<i64> {
        self.beliefs
            .retain(|b| now.saturating_duration_since(b.at) < BELIEF_LASTS);
        self.beliefs.iter().map(|b| b.base_ms).collect()
    }
}

/// The socket for usage, and the questions asked over it.
#[derive(Debug)]
pub struct Exchange {
    socket: UdpSocket,
    questions: Mutex<Questions>,
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
        questions: Mutex::default(),
    });
    tokio::spawn(hear(gateway.clone(), exchange.clone()));
    tokio::spawn(ask(gateway.clone(), exchange));
    Ok(())
}

async fn hear(gateway: Arc<Gateway>, exchange: Arc<Exchange>) {
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
            Some(Message::Told(told)) => take(&gateway, &exchange, from.ip(), &told, now),
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
    usage.set_done(ask.done);
    let told = {
        let mut begun = usage.begun();
        begun.forget(now);
        begun.since(ask.start, ask.from, ask.number, now)
    };
    let mut asked = usage.asked();
    asked.at = now;
    asked.by.retain(|c| c.ip != ip);
    asked.by.push(Collector {
        ip,
        asked_at: now,
        lacks_from: told.from,
        start: told.start,
    });
    if asked.by.len() > MAX_COLLECTORS {
        asked.by.remove(0);
    }
    told
}

/// Takes an answer, or what a process tells before it ends.
fn take(gateway: &Gateway, exchange: &Exchange, ip: IpAddr, told: &Told, now: Instant) {
    let is_known = gateway.peers().knows(ip);
    let mut questions = exchange.questions();
    // One that waited while this process stood still is asked for again: nobody knows when
    // it was made.
    let is_timely = |at: &Instant| {
        let took = now.saturating_duration_since(*at);
        took < ANSWER_WITHIN && !gateway.may_have_waited(now)
    };
    let asked_at = questions.answered(ip, told.number).filter(is_timely);
    let is_last = told.number == 0 && is_known;
    let at = match asked_at {
        // The answer was made between the question and now.
        Some(asked_at) => asked_at + now.saturating_duration_since(asked_at) / 2,
        None if is_last => now,
        None => return,
    };
    let base_ms = gateway.usage.clock().belief(told.time_of_day_ms, at);
    questions.believe(ip, base_ms, now);
    if gateway.usage.ledger().take(ip, told, at) && !is_last {
        ask_one(gateway, exchange, &mut questions, ip, now);
    }
}

impl Exchange {
    fn questions(&self) -> std::sync::MutexGuard<'_, Questions> {
        self.questions.lock().expect("no panic while locked")
    }
}

fn ask_one(
    gateway: &Gateway,
    exchange: &Exchange,
    questions: &mut Questions,
    ip: IpAddr,
    now: Instant,
) {
    let Position { start, next } = gateway.usage.ledger().position(ip);
    let ask = Ask {
        number: questions.ask(ip, now),
        start,
        from: next,
        done: gateway.usage.done(),
    };
    let to = SocketAddr::new(ip, gateway.host().usage_port);
    send(&exchange.socket, to, &Message::Ask(ask));
}

/// Asks all processes while this one collects, until it ends.
async fn ask(gateway: Arc<Gateway>, exchange: Arc<Exchange>) {
    let mut asked_silent_at = Instant::now();
    loop {
        let peers = gateway.peers().addresses();
        let pause = ASK_EVERY.max(ASK_EVERY_PER_PEER * peers.len() as u32);
        tokio::time::sleep(pause.min(ASK_AT_LEAST)).await;
        let now = Instant::now();
        if !is_wanted(&gateway) || !is_collector(&gateway, now) {
            gateway.usage.begun().forget(now);
            continue;
        }
        let may_ask_silent = now.saturating_duration_since(asked_silent_at) >= ASK_SILENT_EVERY;
        if may_ask_silent {
            asked_silent_at = now;
        }
        let mut questions = exchange.questions();
        take_own(&gateway, &mut questions, now);
        for ip in peers {
            let heard_at = gateway.usage.ledger().heard_at(ip);
            let is_silent = heard_at.is_none_or(|at| now.saturating_duration_since(at) > SILENT);
            if !is_silent || may_ask_silent {
                ask_one(&gateway, &exchange, &mut questions, ip, now);
            }
        }
        let beliefs = questions.beliefs(now);
        gateway.usage.clock().round(beliefs, now);
    }
}

/// Takes this process's own requests, as any other's.
fn take_own(gateway: &Gateway, questions: &mut Questions, now: Instant) {
    let usage = &gateway.usage;
    let ip = gateway.host().ip;
    loop {
        let Position { start, next } = usage.ledger().position(ip);
        let told = {
            let mut begun = usage.begun();
            begun.forget(now);
            begun.since(start, next, 0, now)
        };
        if !usage.ledger().take(ip, &told, now) {
            break;
        }
    }
    let base_ms = usage.clock().belief(time_of_day_ms(), now);
    questions.believe(ip, base_ms, now);
}

/// Tells the collectors of late what they lack, a few times over, as nobody asks again.
/// Gives how many requests no collector has asked for.
pub async fn tell_last(gateway: &Arc<Gateway>) -> u64 {
    let host = gateway.host();
    let now = Instant::now();
    let Ok(socket) = UdpSocket::bind(SocketAddr::new(host.ip, 0)).await else {
        return unreported(gateway, now);
    };
    let collectors: Vec<Collector> = {
        let asked = gateway.usage.asked();
        let of_late = asked
            .by
            .iter()
            .filter(|c| now.saturating_duration_since(c.asked_at) < SILENT);
        of_late.copied().collect()
    };
    for _ in 0..LAST_TOLD {
        for collector in &collectors {
            let begun = gateway.usage.begun();
            let told = begun.since(collector.start, collector.lacks_from, 0, Instant::now());
            let to = SocketAddr::new(collector.ip, host.usage_port);
            send(&socket, to, &Message::Told(told));
        }
        tokio::time::sleep(LAST_PAUSE).await;
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
        let next = usage.done().checked_add(1)?;
        let unix_ms = next.checked_mul(length.as_millis() as u64)?;
        usage.clock().instant(i64::try_from(unix_ms).ok()?)
    });
    let mut begun = usage.begun();
    begun.forget(now);
    begun.kept_since(begins)
}
