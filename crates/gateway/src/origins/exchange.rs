//! Copies the origins of streams to other hosts, and asks these for them, in datagrams.

use super::message::{Message, RawRecord};
use super::{Replies, Reply};
use crate::StartError;
use crate::state::Gateway;
use origins::{HostLocation, Lookup, OriginRecord, Replication, Search, StreamId, host_order};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 512;
/// Time without a confirmation after which a copy is sent again.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(40);
/// Time without an answer after which hosts are asked again; a round trip between zones takes
/// about 5 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Binds the port for origins and starts to receive datagrams.
pub fn start(gateway: &Arc<Gateway>) -> Result<(), StartError> {
    let host = gateway.host();
    let addr = SocketAddr::new(host.ip, host.origin_port);
    let bind_error = |e| StartError::Bind(addr, e);
    let socket = std::net::UdpSocket::bind(addr).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(bind_error)?);
    // Set only here, so it never fails.
    let _ = gateway.origins.socket.set(socket.clone());
    tokio::spawn(receive(gateway.clone(), socket));
    Ok(())
}

async fn receive(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error here means that an earlier datagram was sent to a closed port.
        let Ok((len, from)) = socket.recv_from(&mut buf).await else {
            continue;
        };
        let Some(message) = wire::decode::<Message>(&buf[..len]) else {
            // Peers of another version are logged by the exchange of load.
            continue;
        };
        if gateway.peers().knows(from.ip()) {
            handle(&gateway, from.ip(), message);
        }
    }
}

fn handle(gateway: &Gateway, from: IpAddr, message: Message) {
    let origins = &gateway.origins;
    let now = Instant::now();
    match message {
        Message::Copy(stream, record) => {
            if let Some(record) = record.decode(now) {
                origins.table().record(stream.into(), record, now);
            }
            send(gateway, from, &Message::Copied(stream));
        }
        Message::Copied(stream) => origins.reply(stream.into(), from, Reply::Confirmed),
        Message::Find(stream) => {
            let found = origins.table().find(stream.into(), now);
            let answer = match found {
                Lookup::Known(record) => Message::Found(stream, RawRecord::encode(&record, now)),
                Lookup::Uncertain | Lookup::Unknown => Message::NotFound(stream),
            };
            send(gateway, from, &answer);
        }
        Message::Found(stream, record) => {
            if let Some(record) = record.decode(now) {
                origins.reply(stream.into(), from, Reply::Found(record));
            }
        }
        Message::NotFound(stream) => origins.reply(stream.into(), from, Reply::NotFound),
    }
}

fn send(gateway: &Gateway, to: IpAddr, message: &Message) {
    if let Some(socket) = gateway.origins.socket.get() {
        let buf = wire::encode_compact(message);
        // A lost datagram is sent again.
        let _ = socket.try_send_to(&buf, SocketAddr::new(to, gateway.host().origin_port));
    }
}

/// The other hosts in the order in which they keep the origin of a stream.
fn other_hosts(gateway: &Gateway, stream: StreamId) -> Vec<IpAddr> {
    let own = gateway.location();
    let mut hosts = gateway.peers().locations();
    hosts.push(own);
    let hosts: Vec<HostLocation> = hosts
        .iter()
        .map(|host| HostLocation {
            ip: host.ip,
            zone: host.zone,
        })
        .collect();
    let mut order = host_order(stream, &hosts);
    order.retain(|ip| *ip != own.ip);
    order
}

/// Sends copies of an origin to other hosts, and repeats them in the background until they are
/// confirmed.
pub(super) fn replicate(gateway: &Arc<Gateway>, stream: StreamId, record: OriginRecord) {
    let mut replication = Replication::new(other_hosts(gateway, stream));
    let first = replication.next_round();
    if first.is_empty() {
        return;
    }
    let mut replies = gateway.origins.expect_replies(stream);
    send_copies(gateway, stream, &record, &first);
    let gateway = gateway.clone();
    tokio::spawn(async move {
        loop {
            let confirmed = collect_confirmations(&mut replication, &mut replies);
            // On timeout, copies are sent again.
            let _ = tokio::time::timeout(CONFIRM_TIMEOUT, confirmed).await;
            let next = replication.next_round();
            if next.is_empty() {
                break;
            }
            send_copies(&gateway, stream, &record, &next);
        }
        if !replication.is_complete() {
            gateway.metrics.count_stream_origin("copy_unconfirmed");
        }
    });
}

async fn collect_confirmations(replication: &mut Replication, replies: &mut Replies) {
    while !replication.is_complete() {
        match replies.recv().await {
            Some((from, Reply::Confirmed)) => replication.confirm(from),
            Some((_, Reply::Found(_) | Reply::NotFound)) => {}
            None => return,
        }
    }
}

fn send_copies(gateway: &Gateway, stream: StreamId, record: &OriginRecord, to: &[IpAddr]) {
    let message = Message::Copy(stream.into(), RawRecord::encode(record, Instant::now()));
    for ip in to {
        send(gateway, *ip, &message);
    }
}

/// Asks other hosts for the origin of a stream. Returns it with the host that knew it.
pub(super) async fn search(
    gateway: &Arc<Gateway>,
    stream: StreamId,
) -> Option<(OriginRecord, IpAddr)> {
    let mut search = Search::new(other_hosts(gateway, stream));
    let mut replies = gateway.origins.expect_replies(stream);
    loop {
        let next = search.next_round();
        if next.is_empty() {
            return None;
        }
        for ip in next {
            send(gateway, ip, &Message::Find(stream.into()));
        }
        let answers = collect_answers(&mut search, &mut replies);
        if let Ok(Some(found)) = tokio::time::timeout(ANSWER_TIMEOUT, answers).await {
            return Some(found);
        }
    }
}

/// Waits for the origin, or until all hosts that were asked have answered without it.
async fn collect_answers(
    search: &mut Search,
    replies: &mut Replies,
) -> Option<(OriginRecord, IpAddr)> {
    while search.state() == origins::SearchState::Waiting {
        match replies.recv().await? {
            (from, Reply::Found(record)) => return Some((record, from)),
            (from, Reply::NotFound) => search.record_unaware(from),
            (_, Reply::Confirmed) => {}
        }
    }
    None
}
