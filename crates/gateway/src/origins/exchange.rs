//! Copies the origins of streams to other hosts, and asks these for them, in datagrams.

use super::checkpoint;
use super::message::{Message, RawCopy, RawRecord, RawStatus, RawStream};
use super::{AskedHost, FoundOrigin, Replies, Reply};
use crate::StartError;
use crate::follow::registry::last_known_running;
use crate::monotonic;
use crate::state::Gateway;
use origins::{
    CONFIRM_TIMEOUT, DueSends, HostLocation, HostStart, HostStatus, Lookup, OriginRecord,
    ReplicatedBy, Search, SearchState, StreamId,
};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Maximum number of origins in a datagram; each takes up to 64 bytes.
pub(super) const MAX_ORIGINS_PER_DATAGRAM: usize = 16;
/// Maximum interval between checks for copies and probes that are due.
const CHECK_EVERY: Duration = Duration::from_millis(200);
/// Number of times that each host is notified when this process stops, as datagrams may be lost,
/// and the pause between notifications.
const STOP_NOTIFICATIONS: usize = 3;
const STOP_NOTIFICATION_PAUSE: Duration = Duration::from_millis(100);
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
    tokio::spawn(renew_copies(gateway.clone()));
    tokio::spawn(announce_stop(gateway.clone()));
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
    let now = monotonic::now();
    match message {
        Message::Copy(stream, record) => {
            let record = record.decode(now);
            if let Some(record) = record.filter(|r| can_accept_record(gateway, r, false)) {
                let mut replicas = origins.replicas();
                replicas.record(stream.into(), record, None, ReplicatedBy::ThisHost, now);
                drop(replicas);
                send(gateway, from, &Message::Copied(stream));
            }
        }
        // This version doesn't send `Copy`.
        Message::Copied(_) => {}
        Message::Find(stream) => {
            let found = origins.replicas().find(stream.into(), now);
            let answer = match found {
                Lookup::Known(record) => known_answer(gateway, from, stream, &record),
                Lookup::Uncertain | Lookup::Unknown => unknown_answer(gateway, from, stream),
            };
            send(gateway, from, &answer);
        }
        Message::Found(stream, record) => {
            if let Some(record) = record.decode(now) {
                let is_verified = false;
                origins.reply(stream.into(), from, Reply::Found(record, is_verified));
            }
        }
        Message::Known(status, copy) => {
            origins.replicas().record_heard(from, status.into(), now);
            if let Some(record) = copy.record.decode(now) {
                let reply = Reply::Found(record, copy.is_verified);
                origins.reply(copy.stream.into(), from, reply);
            }
        }
        Message::NotFound(stream) => origins.reply(stream.into(), from, Reply::NotFound),
        Message::Keep(status, copies) => {
            let streams = record_copies(gateway, from, status, &copies, now);
            send(gateway, from, &Message::Kept(own_status(gateway), streams));
        }
        Message::Kept(status, streams) => {
            let holder = host_start(from, status);
            let mut replicas = origins.replicas();
            replicas.record_heard(from, status.into(), now);
            for stream in streams {
                replicas.confirm(stream.into(), holder);
            }
        }
        Message::Probe(status) => {
            origins.replicas().record_heard(from, status.into(), now);
            send(gateway, from, &Message::Status(own_status(gateway)));
        }
        Message::Status(status) => origins.replicas().record_heard(from, status.into(), now),
        Message::Report(status, copies, ended) => {
            origins.replicas().record_heard(from, status.into(), now);
            let streams = checkpoint::record_report(gateway, &copies, &ended, now);
            if !copies.is_empty() {
                send(
                    gateway,
                    from,
                    &Message::Reported(own_status(gateway), streams),
                );
            }
        }
        Message::Reported(status, streams) => {
            origins.replicas().record_heard(from, status.into(), now);
            checkpoint::record_confirmation(gateway, from, status, streams);
        }
        Message::Unknown(status, stream) => {
            origins.replicas().record_heard(from, status.into(), now);
            origins.reply(stream.into(), from, Reply::NotFound);
        }
    }
}

/// Records received copies and returns the streams to confirm. A copy whose upstream may have
/// restarted before the stream began is neither recorded nor confirmed, so the sender resends it.
fn record_copies(
    gateway: &Gateway,
    from: IpAddr,
    status: RawStatus,
    copies: &[RawCopy],
    now: Instant,
) -> Vec<RawStream> {
    let holder = host_start(from, status);
    gateway
        .origins
        .replicas()
        .record_heard(from, status.into(), now);
    let mut recorded = Vec::with_capacity(copies.len());
    for copy in copies {
        let Some(record) = copy.record.decode(now) else {
            continue;
        };
        if !can_accept_record(gateway, &record, copy.is_verified) {
            continue;
        }
        let (holder, replicated_by) = (Some(holder), ReplicatedBy::ThisHost);
        let mut replicas = gateway.origins.replicas();
        replicas.record(copy.stream.into(), record, holder, replicated_by, now);
        recorded.push(copy.stream);
    }
    recorded
}

pub(super) fn host_start(ip: IpAddr, status: RawStatus) -> HostStart {
    let HostStatus { start, .. } = status.into();
    HostStart { ip, start }
}

/// Whether a record from another host can be accepted. Its upstream may have restarted at another
/// version before the stream began. A record is safe if its sender has verified the upstream's
/// start, if that start is still registered, or if this process has known all upstreams since the
/// stream began, as it then makes the origin uncertain when the start is replaced.
pub(super) fn can_accept_record(
    gateway: &Gateway,
    record: &OriginRecord,
    is_verified: bool,
) -> bool {
    let now = monotonic::now();
    let age = now.saturating_duration_since(record.began_at);
    is_verified
        || gateway.registry_coverage().covers(age, now)
        || gateway.fleet().has_start(record.origin.upstream)
}

/// Answer to `Find` for a known stream. Only processes that have sent a status can decode
/// `Message::Known`.
fn known_answer(
    gateway: &Gateway,
    to: IpAddr,
    stream: RawStream,
    record: &OriginRecord,
) -> Message {
    let now = monotonic::now();
    let has_status = gateway.origins.replicas().status(to).is_some();
    match has_status {
        true => Message::Known(
            own_status(gateway),
            encode_copy(gateway, stream, record, now),
        ),
        false => Message::Found(stream, RawRecord::encode(record, now)),
    }
}

fn encode_copy(
    gateway: &Gateway,
    stream: RawStream,
    record: &OriginRecord,
    now: Instant,
) -> RawCopy {
    RawCopy {
        stream,
        record: RawRecord::encode(record, now),
        is_verified: record.began_at < last_known_running(gateway),
    }
}

/// Answer to `Find` for an unknown stream. Only processes that have sent a status can decode
/// `Message::Unknown`.
fn unknown_answer(gateway: &Gateway, to: IpAddr, stream: RawStream) -> Message {
    match gateway.origins.replicas().status(to) {
        Some(_) => Message::Unknown(own_status(gateway), stream),
        None => Message::NotFound(stream),
    }
}

pub(super) fn own_status(gateway: &Gateway) -> RawStatus {
    let origins = &gateway.origins;
    let status = HostStatus {
        start: origins.start,
        is_stopping: gateway.stop.is_stopped(),
        running_for: monotonic::elapsed(origins.started_at),
    };
    status.into()
}

pub(super) fn send(gateway: &Gateway, to: IpAddr, message: &Message) {
    if let Some(socket) = gateway.origins.socket.get() {
        let buf = wire::encode_compact(message);
        // A lost datagram is sent again.
        let _ = socket.try_send_to(&buf, SocketAddr::new(to, gateway.host().origin_port));
    }
}

/// Updates the list of other hosts that can hold copies.
pub(super) fn update_members(gateway: &Gateway) {
    let locations = gateway.peers().locations();
    let members = locations.iter().map(|host| HostLocation {
        ip: host.ip,
        zone: host.zone,
    });
    gateway.origins.replicas().set_members(members.collect());
}

/// Sends the first round of copies of a new origin.
pub(super) fn send_first_copies(gateway: &Gateway, stream: StreamId, record: OriginRecord) {
    update_members(gateway);
    let targets = gateway
        .origins
        .replicas()
        .due_copies_of(stream, monotonic::now());
    for ip in targets {
        send_copies(gateway, ip, &[(stream, record)]);
    }
    // Wakes the task that resends unconfirmed copies.
    gateway.origins.changed.notify_one();
}

/// Renews copies, probes the hosts that hold them, and reports open streams, until the process
/// ends.
async fn renew_copies(gateway: Arc<Gateway>) {
    loop {
        update_members(&gateway);
        let DueSends { copies, probes } = gateway.origins.replicas().due(monotonic::now());
        for (ip, copies) in copies {
            for batch in copies.chunks(MAX_ORIGINS_PER_DATAGRAM) {
                send_copies(&gateway, ip, batch);
            }
        }
        for ip in probes {
            send(&gateway, ip, &Message::Probe(own_status(&gateway)));
        }
        checkpoint::send_reports(&gateway);
        let has_missing = gateway
            .origins
            .replicas()
            .has_missing_copies(monotonic::now());
        match has_missing {
            true => tokio::time::sleep(CONFIRM_TIMEOUT).await,
            false => {
                let changed = gateway.origins.changed.notified();
                // On timeout, probes may be due.
                let _ = tokio::time::timeout(CHECK_EVERY, changed).await;
            }
        }
    }
}

/// Notifies all hosts that answer datagrams that this process is stopping. Others learn it from its
/// next datagram.
async fn announce_stop(gateway: Arc<Gateway>) {
    gateway.wait_for_stop().await;
    for _ in 0..STOP_NOTIFICATIONS {
        let hosts = gateway.origins.replicas().answering_hosts();
        for ip in hosts {
            send(&gateway, ip, &Message::Status(own_status(&gateway)));
        }
        tokio::time::sleep(STOP_NOTIFICATION_PAUSE).await;
    }
}

fn send_copies(gateway: &Gateway, to: IpAddr, copies: &[(StreamId, OriginRecord)]) {
    let message = Message::Keep(own_status(gateway), encode_copies(gateway, copies));
    send(gateway, to, &message);
}

pub(super) fn encode_copies(
    gateway: &Gateway,
    copies: &[(StreamId, OriginRecord)],
) -> Vec<RawCopy> {
    let now = monotonic::now();
    let encode = |(stream, record): &(StreamId, OriginRecord)| {
        encode_copy(gateway, (*stream).into(), record, now)
    };
    copies.iter().map(encode).collect()
}

/// Asks other hosts for the origin of a stream. Returns it with the host that knew it, or all hosts
/// that were asked if none did.
pub(super) async fn search(
    gateway: &Arc<Gateway>,
    stream: StreamId,
) -> Result<FoundOrigin, Vec<AskedHost>> {
    update_members(gateway);
    let mut search = gateway.origins.replicas().search(stream);
    let mut replies = gateway.origins.expect_replies(stream);
    loop {
        let next = search.next_round();
        if next.is_empty() {
            return Err(asked_hosts(gateway, &search));
        }
        for ip in next {
            // Sends this host's status, which `Message::Known` requires.
            if gateway.origins.replicas().status(ip).is_none() {
                send(gateway, ip, &Message::Probe(own_status(gateway)));
            }
            send(gateway, ip, &Message::Find(stream.into()));
        }
        let answers = collect_answers(&mut search, &mut replies);
        if let Ok(Some(found)) = tokio::time::timeout(ANSWER_TIMEOUT, answers).await {
            return Ok(found);
        }
    }
}

/// Waits for the origin, or until all hosts that were asked have answered without it.
async fn collect_answers(search: &mut Search, replies: &mut Replies) -> Option<FoundOrigin> {
    while search.state() == SearchState::Waiting {
        match replies.recv().await? {
            (from, Reply::Found(record, is_verified)) => {
                return Some(FoundOrigin {
                    record,
                    from,
                    is_verified,
                });
            }
            (from, Reply::NotFound) => search.record_unaware(from),
        }
    }
    None
}

fn asked_hosts(gateway: &Gateway, search: &Search) -> Vec<AskedHost> {
    let replicas = gateway.origins.replicas();
    let now = monotonic::now();
    let asked = search.asked().iter().map(|ip| AskedHost {
        ip: *ip,
        has_answered: search.is_unaware(*ip),
        running_for: replicas.status(*ip).map(|(status, at)| {
            let age = now.saturating_duration_since(at);
            status.running_for + age
        }),
    });
    asked.collect()
}
