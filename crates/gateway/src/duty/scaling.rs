//! Orders for the number of upstreams, for services whose number is ours to choose.
//!
//! Nothing in [`Demand`] talks to anybody. What is observed is occupancy: how many requests
//! run in an availability zone against the slots of an upstream. More are ordered as soon
//! as they are needed, as each takes a while to start; fewer only when the busiest moment
//! of a long span would have been served by fewer, so that a wave doesn't start and stop
//! them.

use super::{STORE_TIMEOUT, take_lease};
use crate::fleet::{Fleet, ServiceKey};
use crate::follow::Client;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::cloud::{Cloud, LeaseRef, ScaleOrder};
use platform::{Duty, Scaling};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two looks at the demand.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// Part of the slots that the busiest moment is to take: the rest is for what comes while
/// a new upstream starts.
const SLOTS_AIM: f64 = 0.6;
/// Span whose busiest moment counts, at least, and in times that an upstream takes to start.
const SPAN: Duration = Duration::from_secs(30);
const SPAN_STARTS: u32 = 5;
/// Time after an order in which the same zone gets no other, besides the start of an
/// upstream.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest wait for an answer to an order.
const CALL_TIMEOUT: Duration = STORE_TIMEOUT;

/// What is observed of a service in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneUse {
    /// Requests that run or wait there.
    pub running: u32,
    /// Upstreams that take requests.
    pub upstreams: u32,
    /// Slots of one of them.
    pub slots: u32,
}

/// The demand of a service in an availability zone.
#[derive(Debug)]
pub struct Demand {
    /// The most that ran at once in this half of the span, and in the one before.
    peaks: [u32; 2],
    half_since: Instant,
}

impl Demand {
    /// No demand has been seen.
    pub fn new(now: Instant) -> Self {
        Self {
            peaks: [0; 2],
            half_since: now,
        }
    }

    /// Notes what runs now.
    pub fn sample(&mut self, seen: ZoneUse, bounds: Scaling, now: Instant) {
        if now.saturating_duration_since(self.half_since) >= span(bounds) / 2 {
            self.peaks = [0, self.peaks[0]];
            self.half_since = now;
        }
        self.peaks[0] = self.peaks[0].max(seen.running);
    }

    /// How many upstreams the zone should have, if that isn't what it has.
    pub fn wanted(&self, seen: ZoneUse, bounds: Scaling) -> Option<u32> {
        let peak = self.peaks[0].max(self.peaks[1]).max(seen.running);
        let aim = f64::from(seen.slots.max(1)) * SLOTS_AIM;
        let needed = (f64::from(peak) / aim).ceil() as u32;
        let needed = needed.clamp(bounds.least, bounds.most);
        match needed.cmp(&seen.upstreams) {
            std::cmp::Ordering::Greater => Some(needed),
            // One at a time, so that what was misjudged is seen before the next.
            std::cmp::Ordering::Less => Some(needed.max(seen.upstreams - 1)),
            std::cmp::Ordering::Equal => None,
        }
    }

    /// Whether the demand was watched long enough to order fewer upstreams.
    pub fn is_settled(&self, since: Instant, bounds: Scaling, now: Instant) -> bool {
        now.saturating_duration_since(since) >= span(bounds)
    }
}

fn span(bounds: Scaling) -> Duration {
    SPAN.max(bounds.start * SPAN_STARTS)
}

/// A service in a zone that is watched.
#[derive(Debug)]
struct Watched {
    service: ServiceKey,
    zone: String,
    demand: Demand,
    since: Instant,
    rests_until: Instant,
}

/// Watches all services whose number is ours to choose, and orders upstreams, until the
/// process ends.
pub async fn follow(gateway: Arc<Gateway>) {
    let mut client = Client::new(&gateway);
    let mut all: Vec<Watched> = Vec::new();
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        let has_duty = gateway
            .host()
            .cloud
            .as_ref()
            .is_some_and(|c| c.is_scaling_enabled);
        if !has_duty {
            continue;
        }
        let now = Instant::now();
        let orders = look(&gateway, &mut all, now);
        if gateway.rank() != 0 || !gateway.is_ready() {
            continue;
        }
        for (at, order, bounds) in orders {
            if now < all[at].rests_until {
                continue;
            }
            let pause = match give(&gateway, &mut client, &order).await {
                Ok(()) => SETTLE + bounds.start,
                Err(pause) => pause,
            };
            all[at].rests_until = Instant::now() + pause;
        }
    }
}

/// Takes the demand of all services in all zones; gives the orders that it calls for, with
/// the place of what they are for.
fn look(
    gateway: &Gateway,
    all: &mut Vec<Watched>,
    now: Instant,
) -> Vec<(usize, ScaleOrder, Scaling)> {
    let fleet = gateway.fleet();
    let mut orders = Vec::new();
    for (service, bounds) in fleet.scaled_services() {
        for (zone, seen) in zones(&fleet, service) {
            let found = all
                .iter()
                .position(|w| w.service == service && w.zone == zone);
            let at = found.unwrap_or_else(|| {
                all.push(Watched {
                    service,
                    zone: zone.clone(),
                    demand: Demand::new(now),
                    since: now,
                    rests_until: now,
                });
                all.len() - 1
            });
            let watched = &mut all[at];
            watched.demand.sample(seen, bounds, now);
            let Some(upstreams) = watched.demand.wanted(seen, bounds) else {
                continue;
            };
            let is_fewer = upstreams < seen.upstreams;
            if is_fewer && !watched.demand.is_settled(watched.since, bounds, now) {
                continue;
            }
            let service = fleet.info(service).name.clone();
            let order = ScaleOrder {
                service,
                zone,
                upstreams,
            };
            orders.push((at, order, bounds));
        }
    }
    orders
}

/// The zones in which a service has upstreams, with their use.
fn zones(fleet: &Fleet, service: ServiceKey) -> Vec<(String, ZoneUse)> {
    let mut out: Vec<(String, ZoneUse)> = Vec::new();
    for (_, upstream) in fleet.iter().filter(|(_, u)| u.service == service) {
        let instance = &upstream.instance;
        let at = out.binary_search_by(|(zone, _)| zone.as_str().cmp(&instance.zone));
        let at = at.unwrap_or_else(|at| {
            let none = ZoneUse {
                running: 0,
                upstreams: 0,
                slots: instance.slots,
            };
            out.insert(at, (instance.zone.clone(), none));
            at
        });
        let seen = &mut out[at].1;
        seen.running += upstream.all_running();
        seen.upstreams += u32::from(upstream.is_open());
    }
    out
}

/// Gives an order under the lease; else the time until the next try.
async fn give(
    gateway: &Arc<Gateway>,
    client: &mut Client,
    order: &ScaleOrder,
) -> Result<(), Duration> {
    let held = take_lease(gateway, client, Duty::Scaling).await?;
    let host = gateway.host();
    let addr = host.cloud.as_ref().map(|c| c.addr).ok_or(SETTLE)?;
    let under = LeaseRef {
        host: &host.name,
        token: held.token,
    };
    if !held.is_valid(Instant::now()) {
        return Err(SETTLE);
    }
    let cloud = Cloud::new(addr, &gateway.store_bytes);
    let answer = cloud.scale(under, order, CALL_TIMEOUT).await;
    emit(&Event::UpstreamsOrdered {
        service: &order.service,
        zone: &order.zone,
        upstreams: order.upstreams,
        token: held.token,
        outcome: answer.text(),
    });
    Ok(())
}
