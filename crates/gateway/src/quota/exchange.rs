//! Exchanges shares and grants with other hosts in datagrams.

use super::message::{self, Message};
use super::refusals::QuotaRefusal;
use super::{Answer, Quotas, limit, lock};
use crate::StartError;
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::HostSettings;
use quota::lending::collect_pause;
use quota::{Collect, TenantId};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// Minimum CPU share, in cores, of a host that is preferred as grantor, and the highest place of
/// such a host.
const MIN_PREFERRED_CPU_SHARE: f64 = 0.25;
const MAX_PREFERRED_PLACE: u32 = 4;
/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 4 << 10;
/// Interval between checks whether the list of peers has been read from the store.
const MEMBERSHIP_CHECK_EVERY: Duration = Duration::from_millis(20);
/// Time without an answer after which another grantor is searched for in a zone.
const GRANTOR_TTL: Duration = Duration::from_secs(2);
/// Time without any limit in force after which hosts search their grantor anew.
const RESUME_AFTER: Duration = Duration::from_secs(2);
/// Number of times the release of shares is sent, as datagrams may be lost.
const RELEASE_SENDS: usize = 2;

/// The grantor of another zone, if known.
#[derive(Debug, Clone, Copy)]
struct ZoneGrantor {
    zone: u32,
    ip: Option<IpAddr>,
    answered_at: Option<Instant>,
    /// Number of hosts asked since the last answer.
    attempts: usize,
}

/// Binds the port for quotas, and starts to receive datagrams and to collect shares.
pub fn start(gateway: &Arc<Gateway>) -> Result<(), StartError> {
    let host = gateway.host();
    let addr = SocketAddr::new(host.ip, host.quota_port);
    let bind_error = |e| StartError::Bind(addr, e);
    let socket = std::net::UdpSocket::bind(addr).map_err(bind_error)?;
    socket.set_nonblocking(true).map_err(bind_error)?;
    let socket = Arc::new(UdpSocket::from_std(socket).map_err(bind_error)?);
    // Set only here, so it never fails.
    let _ = gateway.quotas.socket.set(socket.clone());
    let (tx, rx) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(receive(gateway.clone(), socket, tx));
    tokio::spawn(collect(gateway.clone(), rx));
    Ok(())
}

fn cpu_millicores(host: &HostSettings) -> u32 {
    (host.cpu_share * 1000.0) as u32
}

/// Whether any tenant has a quota or any upstream names a limit, so that hosts lend their shares.
fn is_limit_in_force(gateway: &Gateway) -> bool {
    gateway.fleet().has_limits() || has_quotas_configured(gateway)
}

fn has_quotas_configured(gateway: &Gateway) -> bool {
    let routes = gateway.routes();
    let tenants = routes.as_ref().and_then(|table| table.tenants());
    tenants.is_some_and(|tenants| tenants.has_quotas())
}

/// A peer, and the grantor of its zone according to it.
type GrantorReply = (IpAddr, Option<IpAddr>);

async fn receive(
    gateway: Arc<Gateway>,
    socket: Arc<UdpSocket>,
    grantor_replies: tokio::sync::mpsc::UnboundedSender<GrantorReply>,
) {
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
        let from = from.ip();
        match message {
            Message::Collect(collect) if gateway.peers().knows(from) => {
                answer_collect(&gateway, from, &collect);
            }
            Message::Lend(lend) if gateway.peers().knows(from) => {
                let now = monotonic::now();
                let mut lending = gateway.quotas.lending();
                lending.receive_share(from, lend.round, lend.share, now);
            }
            Message::Seek => answer_seek(&gateway, from),
            Message::Grantor { ip } => {
                // The receiver is dropped only when this process exits.
                let _ = grantor_replies.send((from, ip));
            }
            Message::Spend(spend) if gateway.peers().knows(from) => {
                answer_spend(&gateway, from, spend);
            }
            Message::Granted { number } => gateway.quotas.complete(number, Answer::Granted),
            Message::Refused(refused) => {
                let refusal = QuotaRefusal {
                    grantor: from,
                    at: monotonic::now(),
                    wait: Duration::from_millis(refused.wait_ms.into()),
                    left: refused.left,
                    share: refused.share,
                };
                let answer = Answer::Refused(refusal);
                gateway.quotas.complete(refused.number, answer);
            }
            Message::UnknownTenant { number } => {
                gateway.quotas.complete(number, Answer::UnknownTenant);
            }
            Message::Refund { number } => {
                let now = monotonic::now();
                gateway.quotas.lending().pool.refund(from, number, now);
            }
            Message::SpendRequest(query) if gateway.peers().knows(from) => {
                let answer = super::upstream::spend(&gateway, from, query);
                gateway
                    .quotas
                    .send(from, gateway.host().quota_port, &answer);
            }
            // Ignores hosts that aren't known as peers.
            Message::Collect(_)
            | Message::Lend(_)
            | Message::Spend(_)
            | Message::SpendRequest(_) => {}
        }
    }
}

fn answer_collect(gateway: &Gateway, from: IpAddr, asked: &message::Collect) {
    let quotas = &gateway.quotas;
    let host = gateway.host();
    let now = monotonic::now();
    let collect = Collect {
        round: asked.round,
        lease: Duration::from_millis(asked.lease_ms.into()),
    };
    // The host with the largest CPU share has precedence, as a grantor receives queries from its
    // whole zone. Ties go to the last host, which has the least load in the peers' tree.
    let has_precedence = (asked.cpu, from) > (cpu_millicores(&host), host.ip);
    let share = quotas
        .lending()
        .answer_collect(from, collect, has_precedence, now);
    lock(&quotas.remote_grantors)
        .grantors
        .clone_from(&asked.grantors);
    if let Some(share) = share {
        let lend = message::Lend {
            round: asked.round,
            share,
        };
        quotas.send(from, host.quota_port, &Message::Lend(lend));
    }
}

fn answer_seek(gateway: &Gateway, from: IpAddr) {
    let quotas = &gateway.quotas;
    let host = gateway.host();
    let ip = {
        let lending = quotas.lending();
        match lending.is_grantor() {
            true => Some(host.ip),
            false => lending.grantor(quotas.zone(), monotonic::now()),
        }
    };
    quotas.send(from, host.quota_port, &Message::Grantor { ip });
}

fn answer_spend(gateway: &Gateway, from: IpAddr, spend: message::Spend) {
    let quotas = &gateway.quotas;
    let tenant = TenantId(spend.tenant);
    let number = spend.number;
    let routes = gateway.routes();
    let tenants = routes.as_ref().and_then(|table| table.tenants());
    let answer = match tenants.and_then(|t| t.by_id(tenant)).map(|t| t.quota) {
        None => Message::UnknownTenant { number },
        // The tenant has no quota in this host's configuration.
        Some(None) => Message::Granted { number },
        Some(Some(quota)) => {
            let now = monotonic::now();
            let limit = limit(gateway, quota);
            let mut lending = quotas.lending();
            let share = lending.pool.share(now);
            let cost = f64::from(spend.cost);
            match lending.pool.spend(from, number, tenant, limit, cost, now) {
                Ok(()) => Message::Granted { number },
                Err(refused) => Message::Refused(message::Refused {
                    number,
                    wait_ms: refused.wait.as_millis() as u32,
                    left: refused.left,
                    share,
                }),
            }
        }
    };
    quotas.send(from, gateway.host().quota_port, &answer);
}

/// Maintains this host's share, and collects the shares of its zone while this host is the
/// zone's grantor, until the process exits.
async fn collect(
    gateway: Arc<Gateway>,
    mut grantor_replies: tokio::sync::mpsc::UnboundedReceiver<GrantorReply>,
) {
    let mut zone_grantors: Vec<ZoneGrantor> = Vec::new();
    let mut active_at = monotonic::now();
    loop {
        let pause = match gateway.peers().is_membership_known() {
            true => collect_pause(gateway.quotas.zone().hosts),
            false => MEMBERSHIP_CHECK_EVERY,
        };
        tokio::time::sleep(pause).await;
        while let Ok((from, ip)) = grantor_replies.try_recv() {
            let zone = gateway.peers().zone_of(from);
            record_grantor(&mut zone_grantors, zone, ip, monotonic::now());
        }
        if !is_limit_in_force(&gateway) {
            continue;
        }
        let now = monotonic::now();
        if gateway.stop.is_stopped() {
            // A stopping host still serves, and the grantor of its share may be stopping as well.
            gateway.quotas.lending().reclaim_share(now);
            continue;
        }
        if now.saturating_duration_since(active_at) >= RESUME_AFTER {
            gateway.quotas.lending().resume(now);
        }
        active_at = now;
        if !update_zone(&gateway) {
            continue;
        }
        begin_round(&gateway, &mut zone_grantors);
    }
}

/// Updates the state of the zone, and returns whether this host is its grantor.
fn update_zone(gateway: &Gateway) -> bool {
    let quotas = &gateway.quotas;
    let now = monotonic::now();
    let listed_at = *lock(&quotas.listed_at);
    let (hosts, mut zone) = {
        let peers = gateway.peers();
        // All other hosts include this one when they compute their shares.
        if listed_at.is_some_and(|position| peers.have_read_members(position, now)) {
            quotas.set_new_host(false);
        }
        let own = gateway.location();
        let hosts = peers
            .is_membership_known()
            .then(|| peers.process_count(now) + 1);
        (hosts, peers.own_zone(own))
    };
    zone.place = match gateway.host().cpu_share >= MIN_PREFERRED_CPU_SHARE {
        true => zone.place.min(MAX_PREFERRED_PLACE),
        false => zone.place.saturating_add(MAX_PREFERRED_PLACE + 1),
    };
    *lock(&quotas.zone) = zone;
    let is_new_host = quotas
        .is_new_host
        .load(std::sync::atomic::Ordering::Relaxed);
    let mut lending = quotas.lending();
    if let Some(hosts) = hosts {
        lending.set_host_count(hosts, is_new_host, now);
    }
    let was_grantor = lending.is_grantor();
    lending.tick(zone, now);
    let is_grantor = lending.is_grantor();
    let share = lending.pool.share(now);
    drop(lending);
    if is_grantor != was_grantor {
        emit(&Event::QuotaGrantor {
            hosts: zone.hosts,
            share,
        });
    }
    is_grantor
}

fn begin_round(gateway: &Gateway, zone_grantors: &mut Vec<ZoneGrantor>) {
    let quotas = &gateway.quotas;
    let host = gateway.host();
    let now = monotonic::now();
    let own = gateway.location();
    let (peers, zones) = {
        let peers = gateway.peers();
        (peers.zone_hosts(own), peers.hosts_by_zone(own))
    };
    for (zone, hosts) in &zones {
        let known = zone_grantors.iter().position(|e| e.zone == *zone);
        let at = known.unwrap_or_else(|| {
            zone_grantors.push(ZoneGrantor {
                zone: *zone,
                ip: None,
                answered_at: None,
                attempts: 0,
            });
            zone_grantors.len() - 1
        });
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < GRANTOR_TTL;
        let entry = &mut zone_grantors[at];
        if !entry.answered_at.is_some_and(is_fresh) {
            entry.ip = None;
        }
        let to = entry.ip.or_else(|| {
            entry.attempts += 1;
            // Starts with the last host of the zone.
            hosts.iter().rev().cycle().nth(entry.attempts - 1).copied()
        });
        if let Some(to) = to {
            quotas.send(to, host.quota_port, &Message::Seek);
        }
    }
    zone_grantors.retain(|e| zones.iter().any(|(zone, _)| *zone == e.zone));
    let grantors: Vec<IpAddr> = zone_grantors.iter().filter_map(|e| e.ip).collect();
    lock(&quotas.remote_grantors).grantors.clone_from(&grantors);
    let round = quotas.lending().begin_round(quotas.zone().hosts, now);
    let collect = Message::Collect(message::Collect {
        round: round.round,
        lease_ms: round.lease.as_millis() as u32,
        cpu: cpu_millicores(&host),
        grantors,
    });
    for ip in peers {
        quotas.send(ip, host.quota_port, &collect);
    }
}

fn record_grantor(zone_grantors: &mut [ZoneGrantor], zone: u32, ip: Option<IpAddr>, now: Instant) {
    if let Some(entry) = zone_grantors.iter_mut().find(|e| e.zone == zone)
        && ip.is_some()
    {
        entry.ip = ip;
        entry.answered_at = Some(now);
        entry.attempts = 0;
    }
}

/// Returns the collected shares to their hosts before this process stops.
pub fn release_shares(gateway: &Gateway) {
    let quotas: &Quotas = &gateway.quotas;
    let collect = {
        let mut lending = quotas.lending();
        if !lending.is_grantor() {
            return;
        }
        lending.stop_collecting(monotonic::now())
    };
    let grantors = lock(&quotas.remote_grantors).grantors.clone();
    let message = Message::Collect(message::Collect {
        round: collect.round,
        lease_ms: 0,
        cpu: 0,
        grantors,
    });
    let peers = gateway.peers().zone_hosts(gateway.location());
    let port = gateway.host().quota_port;
    for _ in 0..RELEASE_SENDS {
        for ip in &peers {
            quotas.send(*ip, port, &message);
        }
    }
}
