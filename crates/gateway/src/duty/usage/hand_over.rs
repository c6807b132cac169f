//! Hands over the requests of a process that exits, and what it holds of others.

use super::exchange::{add_own_requests, send};
use super::message::{Message, StoredLogs};
use super::{Collector, decisions, read_log, time_of_day_ms, transfer};
use crate::duty::STORE_TIMEOUT;
use crate::follow::StoreClient;
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::store::unconfirmed::MAX_UNCONFIRMED_ROWS;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::task::JoinSet;

/// Time since a collector's last poll for which an exiting process sends it its last requests: the
/// longest interval between polls, and some lost ones.
const COLLECTOR_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of other processes that receive the last requests if no collector polls any more.
const SUBSTITUTES: usize = 2;
/// Number of times that the last requests are sent before a process exits, and the pause between
/// them.
const FINAL_SENDS: u32 = 3;
const FINAL_SEND_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of requests per row of the store, about 20 KB with short tenant names.
const MAX_REQUESTS_PER_ROW: usize = 1000;

/// Sends the requests of this process that collectors may lack to recent collectors, or to other
/// processes if no collector confirms them, or else writes them to the store. A collector also
/// sends what it holds of other processes. Returns the number of requests that are likely to be
/// lost.
pub async fn send_remaining(gateway: &Arc<Gateway>) -> u64 {
    let now = monotonic::now();
    let collectors: Vec<Collector> = {
        let polls = gateway.usage.polls();
        let recent = polls
            .collectors
            .iter()
            .filter(|c| now.saturating_duration_since(c.polled_at) < COLLECTOR_TIMEOUT);
        recent.copied().collect()
    };
    let announced = decisions::hand_over(gateway);
    let (mut sent, ()) = tokio::join!(send_last(gateway, &collectors), announced);
    add_own_requests(gateway, monotonic::now());
    // Datagrams aren't acknowledged, and the process that polled from an address may have exited
    // or been replaced by one that holds no requests.
    let to: Vec<IpAddr> = collectors.iter().map(|c| c.ip).collect();
    let mut received = send_held(gateway, to.clone()).await;
    if received.is_empty() {
        let mut others = substitutes(gateway, now);
        others.retain(|ip| !to.contains(ip));
        received = send_held(gateway, others).await;
    }
    let is_received = !received.is_empty();
    sent.extend(received);
    emit(&Event::UsageHandedOver { receivers: sent });
    match is_received || store(gateway).await {
        true => 0,
        false => unreported(gateway, now),
    }
}

/// Writes the requests of windows whose report isn't done to the store, for the case that no other
/// process confirmed them. Returns whether that succeeded.
async fn store(gateway: &Arc<Gateway>) -> bool {
    let now = monotonic::now();
    let usage = &gateway.usage;
    let from = first_unreported(gateway);
    let groups = {
        let ledger = usage.ledger();
        ledger.held_in_groups(from, MAX_REQUESTS_PER_ROW, now)
    };
    if groups.is_empty() {
        return true;
    }
    let agreed_ms = usage.clock().unix_ms(now);
    let unix_ms = agreed_ms.unwrap_or_else(time_of_day_ms);
    let rows = groups.into_iter().take(MAX_UNCONFIRMED_ROWS);
    let rows: Vec<Vec<u8>> = rows
        .map(|logs| wire::encode_compact(&StoredLogs { unix_ms, logs }))
        .collect();
    let (ip, start) = usage.own_log(gateway);
    let mut client = StoreClient::new(gateway);
    let written = client
        .store()
        .write_unconfirmed(ip, start, &rows, STORE_TIMEOUT);
    match written.await {
        Ok(()) => true,
        Err(e) => {
            emit(&Event::UsageNotSent {
                peer: "store".into(),
                why: e.to_string(),
            });
            false
        }
    }
}

/// Start of the first window whose report isn't done, if it is known.
fn first_unreported(gateway: &Gateway) -> Option<Instant> {
    let usage = &gateway.usage;
    let length = gateway.host().cloud.as_ref()?.usage?.window;
    let next = usage.done_window().checked_add(1)?;
    let unix_ms = next.checked_mul(length.as_millis() as u64)?;
    usage.clock().instant(i64::try_from(unix_ms).ok()?)
}

/// Live processes that may become collectors, as the first ones do.
fn substitutes(gateway: &Gateway, now: Instant) -> Vec<IpAddr> {
    let peers = gateway.peers();
    let live = peers.live(now).map(|(peer, _)| peer.ip);
    live.take(SUBSTITUTES).collect()
}

/// Sends collectors the requests that they don't have yet. The messages are repeated, as no
/// collector may query again. Returns the collectors, each with the number of requests.
async fn send_last(gateway: &Arc<Gateway>, collectors: &[Collector]) -> Vec<(String, u64)> {
    let host = gateway.host();
    let mut sent = Vec::new();
    let Ok(socket) = UdpSocket::bind(SocketAddr::new(host.ip, 0)).await else {
        return sent;
    };
    for _ in 0..FINAL_SENDS {
        sent.clear();
        for collector in collectors {
            let to = SocketAddr::new(collector.ip, host.usage_port);
            let (mut next, mut requests) = (collector.next_needed, 0);
            loop {
                let mut answer = read_log(gateway, collector.start, next, 0, monotonic::now());
                if !collector.reads_complete {
                    answer.complete_ms_ago = None;
                }
                requests += answer.begun.len() as u64;
                next = answer.from + answer.begun.len() as u64;
                let is_last = next >= answer.next || answer.begun.is_empty();
                send(&socket, to, &Message::Told(answer));
                if is_last {
                    break;
                }
            }
            sent.push((collector.ip.to_string(), requests));
        }
        tokio::time::sleep(FINAL_SEND_PAUSE).await;
    }
    sent
}

/// Sends processes what this one holds of all processes. Returns those that confirmed it, each with
/// the number of requests that it didn't have.
async fn send_held(gateway: &Arc<Gateway>, to: Vec<IpAddr>) -> Vec<(String, u64)> {
    let calls = to.into_iter().map(|ip| {
        let gateway = gateway.clone();
        async move { (ip, transfer::send_held(&gateway, ip).await) }
    });
    let results = calls.collect::<JoinSet<_>>().join_all().await;
    let received = results.into_iter().filter_map(|(ip, result)| match result {
        Ok(requests) => Some((ip.to_string(), requests)),
        Err(why) => {
            emit(&Event::UsageNotSent {
                peer: ip.to_string(),
                why,
            });
            None
        }
    });
    received.collect()
}

/// Requests of this process that started in windows whose report isn't done.
fn unreported(gateway: &Gateway, now: Instant) -> u64 {
    let begins = first_unreported(gateway);
    let mut request_log = gateway.usage.request_log();
    request_log.expire(now);
    request_log.count_since(begins)
}
