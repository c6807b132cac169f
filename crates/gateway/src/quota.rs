//! Enforces the quotas of tenants and the limits of upstreams over all hosts.
//!
//! Each host has a share of every limit and lends it to its zone's grantor, which admits the
//! requests of the hosts that lend to it (see [`quota`]). The cost of a request is taken from
//! its host's own pool, or else from the zone's grantor, or else from the grantors of other
//! zones. Hosts exchange datagrams on a dedicated port. See `docs/design/quotas.md`.

mod exchange;
pub mod message;
pub mod refusals;
mod upstream;

pub use exchange::{release_shares, start};
pub use upstream::{acquire_request, request_limit};

use crate::monotonic;
use crate::state::Gateway;
use message::{Message, Spend, SpendRequest};
use platform::{Position, Quota};
use quota::lending::Zone;
use quota::{Cost, Lending, Limit, LimitKey, TenantId};
use refusals::{QuotaRefusal, RefusalCache};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// Timeout for a grantor's answer; a round trip between zones takes about 5 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Time for which a grantor that didn't answer isn't asked.
const SILENT_BACKOFF: Duration = Duration::from_millis(500);

/// State of quotas in this process.
#[derive(Debug)]
pub struct Quotas {
    lending: Mutex<Lending>,
    zone: Mutex<Zone>,
    refusals: Mutex<RefusalCache>,
    /// Queries without an answer, sorted by number.
    pending: Mutex<Vec<(u64, oneshot::Sender<Answer>)>>,
    remote_grantors: Mutex<RemoteGrantors>,
    number: AtomicU64,
    /// Whether this host wasn't in the store before this process started.
    is_new_host: AtomicBool,
    /// Position of the list of processes in which this process found its row.
    listed_at: Mutex<Option<Position>>,
    socket: OnceLock<Arc<UdpSocket>>,
}

/// Known grantors of other zones, and grantors that didn't answer.
#[derive(Debug, Default)]
struct RemoteGrantors {
    grantors: Vec<IpAddr>,
    /// Grantors of any zone that didn't answer, and when they may be asked again.
    silent: Vec<(IpAddr, Instant)>,
}

/// A grantor's answer.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Granted,
    Refused(QuotaRefusal),
    UnknownTenant,
}

/// Units granted to a request. They are refunded on drop unless the grant is committed.
#[derive(Debug)]
pub struct Grant {
    gateway: Arc<Gateway>,
    /// The grantor; `None` for this host's own pool.
    grantor: Option<IpAddr>,
    /// Number of the query.
    number: u64,
    is_committed: bool,
}

/// Why a request was granted no units.
#[derive(Debug, Clone, Copy)]
pub enum AcquireError {
    /// No grantor that answered has enough units.
    OverQuota(QuotaRefusal),
    /// No grantor answered, and this host has no share.
    Unavailable,
}

/// Number of grantors that may fail to answer before a request stops asking; further queries could
/// overload the remaining grantors.
const MAX_SILENT_GRANTORS: u32 = 2;

impl Quotas {
    /// Initial state of a process on the given host.
    pub fn new(ip: IpAddr) -> Self {
        let now = monotonic::now();
        Self {
            lending: Mutex::new(Lending::new(ip, fastrand::u64(..), now)),
            zone: Mutex::new(Zone { hosts: 1, place: 0 }),
            refusals: Mutex::default(),
            pending: Mutex::default(),
            remote_grantors: Mutex::default(),
            number: AtomicU64::new(fastrand::u64(..)),
            is_new_host: AtomicBool::new(false),
            listed_at: Mutex::default(),
            socket: OnceLock::new(),
        }
    }

    /// Sets whether this host wasn't in the store before this process started.
    pub fn set_new_host(&self, is_new_host: bool) {
        self.is_new_host.store(is_new_host, Ordering::Relaxed);
    }

    /// Sets the position of the list of processes in which this process found its row.
    pub fn set_listed_at(&self, position: Position) {
        *lock(&self.listed_at) = Some(position);
    }

    fn lending(&self) -> MutexGuard<'_, Lending> {
        lock(&self.lending)
    }

    fn zone(&self) -> Zone {
        *lock(&self.zone)
    }

    fn next_number(&self) -> u64 {
        self.number.fetch_add(1, Ordering::Relaxed)
    }

    /// Grantors to ask, in order: the zone's own, then those of other zones. `number` selects the
    /// first of those, to spread load.
    fn grantors_to_ask(&self, number: u64, now: Instant) -> Vec<IpAddr> {
        let own = self.lending().grantor(self.zone(), now);
        let mut remote = lock(&self.remote_grantors);
        remote.silent.retain(|(_, until)| *until > now);
        let mut out: Vec<IpAddr> = own.into_iter().collect();
        let remote_count = remote.grantors.len().max(1);
        let rotated = remote.grantors.iter().cycle();
        let rotated = rotated
            .skip(number as usize % remote_count)
            .take(remote.grantors.len());
        out.extend(rotated.filter(|ip| Some(**ip) != own));
        out.retain(|ip| !remote.silent.iter().any(|(silent, _)| silent == ip));
        out
    }

    fn mark_silent(&self, ip: IpAddr, now: Instant) {
        let mut remote = lock(&self.remote_grantors);
        remote.silent.retain(|(silent, _)| *silent != ip);
        remote.silent.push((ip, now + SILENT_BACKOFF));
    }

    fn complete(&self, number: u64, answer: Answer) {
        let mut pending = lock(&self.pending);
        if let Ok(at) = pending.binary_search_by_key(&number, |(n, _)| *n) {
            let (_, tx) = pending.remove(at);
            // The receiver is dropped if the query has just timed out.
            let _ = tx.send(answer);
        }
    }

    fn register(&self, number: u64) -> oneshot::Receiver<Answer> {
        let (tx, rx) = oneshot::channel();
        let mut pending = lock(&self.pending);
        let at = pending.partition_point(|(n, _)| *n < number);
        pending.insert(at, (number, tx));
        rx
    }

    fn unregister(&self, number: u64) {
        lock(&self.pending).retain(|(n, _)| *n != number);
    }

    /// Sends a datagram without waiting; one that can't be sent immediately is dropped.
    fn send(&self, to: IpAddr, port: u16, message: &Message) {
        if let Some(socket) = self.socket.get() {
            let buf = wire::encode_compact(message);
            let _ = socket.try_send_to(&buf, SocketAddr::new(to, port));
        }
    }
}

/// The limit that hosts enforce for a quota.
fn limit(gateway: &Gateway, quota: Quota) -> Limit {
    let bounds = gateway.host().quota;
    Limit::for_window(
        quota.rate,
        quota.burst,
        bounds.window,
        bounds.overage,
        bounds.slack,
    )
}

/// A request for units, and the query by which other hosts are asked for them.
#[derive(Debug, Clone, Copy)]
struct Request {
    key: LimitKey,
    limit: Limit,
    cost: Cost,
    query: Query,
}

/// What a grantor is asked for.
#[derive(Debug, Clone, Copy)]
enum Query {
    /// Units of a tenant's quota.
    Tenant { id: TenantId, units: u32 },
    /// A request within an upstream's limit.
    Upstream {
        tag: u32,
        rate: u32,
        reserve_percent: u8,
    },
}

impl Query {
    fn message(self, number: u64) -> Message {
        match self {
            Self::Tenant { id, units } => Message::Spend(Spend {
                number,
                tenant: id.0,
                cost: units,
            }),
            Self::Upstream {
                tag,
                rate,
                reserve_percent,
            } => Message::SpendRequest(SpendRequest {
                number,
                upstream: tag,
                rate,
                reserve_percent,
            }),
        }
    }
}

/// Takes a request's cost from its tenant's quota.
pub async fn acquire(
    gateway: &Arc<Gateway>,
    tenant: TenantId,
    quota: Quota,
    cost: u32,
) -> Result<Grant, AcquireError> {
    let quotas = &gateway.quotas;
    let cached = lock(&quotas.refusals).get(tenant, cost, monotonic::now());
    if let Some(refusal) = cached {
        return Err(AcquireError::OverQuota(refusal));
    }
    let request = Request {
        key: tenant.into(),
        limit: limit(gateway, quota),
        cost: f64::from(cost).into(),
        query: Query::Tenant {
            id: tenant,
            units: cost,
        },
    };
    let acquired = acquire_units(gateway, &request).await;
    if let Err(AcquireError::OverQuota(refusal)) = acquired {
        lock(&quotas.refusals).insert(tenant, cost, refusal);
    }
    acquired
}

/// Takes units from this host's own pool, or else from a grantor.
async fn acquire_units(gateway: &Arc<Gateway>, request: &Request) -> Result<Grant, AcquireError> {
    let quotas = &gateway.quotas;
    let number = quotas.next_number();
    let mut best = None;
    match spend_from_own_pool(gateway, number, request) {
        Some(Answer::Granted) => return Ok(Grant::new(gateway, None, number)),
        Some(Answer::Refused(refusal)) => best = Some(refusal),
        Some(Answer::UnknownTenant) | None => {}
    }
    let mut silent_count = 0;
    for ip in quotas.grantors_to_ask(number, monotonic::now()) {
        if silent_count >= MAX_SILENT_GRANTORS {
            break;
        }
        let number = quotas.next_number();
        match ask_grantor(gateway, ip, number, request).await {
            Some(Answer::Granted) => return Ok(Grant::new(gateway, Some(ip), number)),
            Some(Answer::Refused(refusal)) if best.is_none_or(|b| refusal.wait < b.wait) => {
                best = Some(refusal);
            }
            Some(Answer::Refused(_) | Answer::UnknownTenant) => {}
            None => {
                silent_count += 1;
                quotas.mark_silent(ip, monotonic::now());
            }
        }
    }
    let refusal = best.ok_or(AcquireError::Unavailable)?;
    Err(AcquireError::OverQuota(refusal))
}

/// Takes a request's cost from this host's own pool; `None` if the pool has no share.
fn spend_from_own_pool(gateway: &Gateway, number: u64, request: &Request) -> Option<Answer> {
    let now = monotonic::now();
    let own = gateway.host().ip;
    let mut lending = gateway.quotas.lending();
    let share = lending.pool.share(now);
    if share <= 0.0 {
        return None;
    }
    let Request {
        key, limit, cost, ..
    } = *request;
    let spent = lending.pool.spend(own, number, key, limit, cost, now);
    Some(match spent {
        Ok(()) => Answer::Granted,
        Err(refused) => Answer::Refused(QuotaRefusal {
            grantor: own,
            at: now,
            wait: refused.wait,
            left: refused.left,
            share,
        }),
    })
}

/// Asks a grantor for a request's cost; `None` if it doesn't answer in time.
async fn ask_grantor(
    gateway: &Arc<Gateway>,
    ip: IpAddr,
    number: u64,
    request: &Request,
) -> Option<Answer> {
    let quotas = &gateway.quotas;
    let port = gateway.host().quota_port;
    let rx = quotas.register(number);
    // Refunds on drop if the client disconnects or the query times out.
    let mut grant = Grant::new(gateway, Some(ip), number);
    quotas.send(ip, port, &request.query.message(number));
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, rx).await;
    quotas.unregister(number);
    let answer = answer.ok().and_then(Result::ok);
    if answer.is_some() {
        grant.commit();
    }
    answer
}

impl Grant {
    fn new(gateway: &Arc<Gateway>, grantor: Option<IpAddr>, number: u64) -> Self {
        Self {
            gateway: gateway.clone(),
            grantor,
            number,
            is_committed: false,
        }
    }

    /// Prevents the refund, as the request may have run or nothing was granted.
    pub fn commit(&mut self) {
        self.is_committed = true;
    }

    /// Refunds the grant although it was committed, as nothing was sent after all.
    pub fn refund(mut self) {
        self.is_committed = false;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if self.is_committed {
            return;
        }
        let quotas = &self.gateway.quotas;
        let host = self.gateway.host();
        let number = self.number;
        match self.grantor {
            None => {
                let now = monotonic::now();
                quotas.lending().pool.refund(host.ip, number, now);
            }
            Some(ip) => {
                quotas.unregister(number);
                quotas.send(ip, host.quota_port, &Message::Refund { number });
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no panic while locked")
}
