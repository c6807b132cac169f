//! Autoscaling orders for services whose number of upstreams the system chooses.
//!
//! [`Demand`] performs no I/O. It observes occupancy: the number of requests that run in an
//! availability zone compared to the slots of an upstream. Upstreams are added as soon as they
//! are needed, as each takes a while to start. They are removed only if fewer would have served
//! the peak of a long window, so that periodic load doesn't start and stop them.

use super::{STORE_TIMEOUT, take_lease};
use crate::fleet::{Fleet, ServiceKey};
use crate::follow::StoreClient;
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use platform::cloud::{Cloud, LeaseRef, ScaleOrder};
use platform::{Duty, Scaling};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval between samples of the demand.
const SAMPLE_EVERY: Duration = Duration::from_millis(250);
/// Fraction of the slots to be used at the peak. The rest serves additional load while a new
/// upstream starts.
const TARGET_UTILIZATION: f64 = 0.6;
/// Minimum length of the window over which the peak is taken, and its length in multiples of an
/// upstream's start time.
const MIN_PEAK_WINDOW: Duration = Duration::from_secs(30);
const PEAK_WINDOW_STARTS: u32 = 5;
/// Time after an order, in addition to an upstream's start time, during which the same zone gets
/// no further order.
const ORDER_COOLDOWN: Duration = Duration::from_secs(3);
/// Timeout for an answer to an order.
const CALL_TIMEOUT: Duration = STORE_TIMEOUT;

/// Observed occupancy of a service in an availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneOccupancy {
    /// Requests that are running or waiting.
    pub running: u32,
    /// Upstreams that accept requests.
    pub upstreams: u32,
    /// Slots of one upstream.
    pub slots: u32,
}

/// Demand for a service in an availability zone.
#[derive(Debug)]
pub struct Demand {
    /// Maximum number of concurrent requests in the current half of the window and in the
    /// previous half.
    peaks: [u32; 2],
    half_started_at: Instant,
}

impl Demand {
    /// Demand without any samples.
    pub fn new(now: Instant) -> Self {
        Self {
            peaks: [0; 2],
            half_started_at: now,
        }
    }

    /// Adds a sample of the current occupancy.
    pub fn sample(&mut self, occupancy: ZoneOccupancy, bounds: Scaling, now: Instant) {
        if now.saturating_duration_since(self.half_started_at) >= peak_window(bounds) / 2 {
            self.peaks = [0, self.peaks[0]];
            self.half_started_at = now;
        }
        self.peaks[0] = self.peaks[0].max(occupancy.running);
    }

    /// Number of upstreams that the zone should have, if it differs from the current one.
    pub fn desired_upstreams(&self, occupancy: ZoneOccupancy, bounds: Scaling) -> Option<u32> {
        let peak = self.peaks[0].max(self.peaks[1]).max(occupancy.running);
        let target = f64::from(occupancy.slots.max(1)) * TARGET_UTILIZATION;
        let needed = (f64::from(peak) / target).ceil() as u32;
        let needed = needed.clamp(bounds.least, bounds.most);
        match needed.cmp(&occupancy.upstreams) {
            std::cmp::Ordering::Greater => Some(needed),
            // Removes one at a time, so that a wrong decision shows before the next.
            std::cmp::Ordering::Less => Some(needed.max(occupancy.upstreams - 1)),
            std::cmp::Ordering::Equal => None,
        }
    }

    /// Whether the demand has been observed long enough to remove upstreams.
    pub fn may_scale_down(&self, since: Instant, bounds: Scaling, now: Instant) -> bool {
        now.saturating_duration_since(since) >= peak_window(bounds)
    }
}

fn peak_window(bounds: Scaling) -> Duration {
    MIN_PEAK_WINDOW.max(bounds.start * PEAK_WINDOW_STARTS)
}

/// A service in a zone whose demand is observed.
#[derive(Debug)]
struct ScaledZone {
    service: ServiceKey,
    zone: String,
    demand: Demand,
    since: Instant,
    cooldown_until: Instant,
}

/// Observes all services whose number of upstreams the system chooses, and sends orders, until
/// the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(&gateway);
    let mut zones: Vec<ScaledZone> = Vec::new();
    loop {
        tokio::time::sleep(SAMPLE_EVERY).await;
        let has_duty = gateway
            .host()
            .cloud
            .as_ref()
            .is_some_and(|c| c.is_scaling_enabled);
        if !has_duty {
            continue;
        }
        let now = monotonic::now();
        let orders = plan_orders(&gateway, &mut zones, now);
        if gateway.rank() != 0 || !gateway.is_ready() {
            continue;
        }
        for (index, order, bounds) in orders {
            if now < zones[index].cooldown_until {
                continue;
            }
            let pause = match send_order(&gateway, &mut client, &order).await {
                Ok(()) => ORDER_COOLDOWN + bounds.start,
                Err(pause) => pause,
            };
            zones[index].cooldown_until = monotonic::now() + pause;
        }
    }
}

/// Samples the demand of all services in all zones. Returns the orders that it requires, each
/// with the index of its zone in `zones`.
fn plan_orders(
    gateway: &Gateway,
    zones: &mut Vec<ScaledZone>,
    now: Instant,
) -> Vec<(usize, ScaleOrder, Scaling)> {
    let fleet = gateway.fleet();
    let mut orders = Vec::new();
    for (service, bounds) in fleet.scaled_services() {
        for (zone, occupancy) in occupancy_by_zone(&fleet, service) {
            let found = zones
                .iter()
                .position(|w| w.service == service && w.zone == zone);
            let index = found.unwrap_or_else(|| {
                zones.push(ScaledZone {
                    service,
                    zone: zone.clone(),
                    demand: Demand::new(now),
                    since: now,
                    cooldown_until: now,
                });
                zones.len() - 1
            });
            let scaled = &mut zones[index];
            scaled.demand.sample(occupancy, bounds, now);
            let Some(upstreams) = scaled.demand.desired_upstreams(occupancy, bounds) else {
                continue;
            };
            let is_fewer = upstreams < occupancy.upstreams;
            if is_fewer && !scaled.demand.may_scale_down(scaled.since, bounds, now) {
                continue;
            }
            let service = fleet.info(service).name.clone();
            let order = ScaleOrder {
                service,
                zone,
                upstreams,
            };
            orders.push((index, order, bounds));
        }
    }
    orders
}

/// The zones in which a service has upstreams, with their occupancy.
fn occupancy_by_zone(fleet: &Fleet, service: ServiceKey) -> Vec<(String, ZoneOccupancy)> {
    let mut out: Vec<(String, ZoneOccupancy)> = Vec::new();
    for (_, upstream) in fleet.iter().filter(|(_, u)| u.service == service) {
        let instance = &upstream.instance;
        let index = out.binary_search_by(|(zone, _)| zone.as_str().cmp(&instance.zone));
        let index = index.unwrap_or_else(|index| {
            let none = ZoneOccupancy {
                running: 0,
                upstreams: 0,
                slots: instance.slots,
            };
            out.insert(index, (instance.zone.clone(), none));
            index
        });
        let occupancy = &mut out[index].1;
        occupancy.running += upstream.all_running();
        occupancy.upstreams += u32::from(upstream.is_open());
    }
    out
}

/// Sends an order under the lease; on failure, returns the time until the next attempt.
async fn send_order(
    gateway: &Arc<Gateway>,
    client: &mut StoreClient,
    order: &ScaleOrder,
) -> Result<(), Duration> {
    let held = take_lease(gateway, client, Duty::Scaling).await?;
    let host = gateway.host();
    let addr = host.cloud.as_ref().map(|c| c.addr).ok_or(ORDER_COOLDOWN)?;
    let under = LeaseRef {
        host: &host.name,
        token: held.token,
    };
    if !held.is_valid(monotonic::now()) {
        return Err(ORDER_COOLDOWN);
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
