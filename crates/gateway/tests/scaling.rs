//! Tests how many upstreams autoscaling orders for the load of a zone.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use common::{address, config, routes, start_on, wait_for};
use gateway::duty::scaling::{Demand, ZoneOccupancy};
use platform::{CloudSettings, Scaling};
use serde_json::json;
use standin::{Action, Cloud, Store, Worker, fixture};
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

const BOUNDS: Scaling = Scaling {
    least: 2,
    most: 8,
    start: Duration::from_secs(2),
};

fn occupancy(running: u32, upstreams: u32) -> ZoneOccupancy {
    ZoneOccupancy {
        running,
        upstreams,
        slots: 10,
    }
}

#[test]
fn a_rise_in_demand_adds_upstreams_at_once_within_the_bounds() {
    let now = Instant::now();
    let mut demand = Demand::new(now);
    demand.sample(occupancy(30, 2), BOUNDS, now);
    assert_eq!(demand.desired_upstreams(occupancy(30, 2), BOUNDS), Some(5));
    demand.sample(occupancy(900, 2), BOUNDS, now);
    assert_eq!(demand.desired_upstreams(occupancy(900, 2), BOUNDS), Some(8));
    assert_eq!(
        Demand::new(now).desired_upstreams(occupancy(0, 1), BOUNDS),
        Some(2)
    );
    assert_eq!(
        Demand::new(now).desired_upstreams(occupancy(0, 2), BOUNDS),
        None
    );
}

#[test]
fn load_waves_of_seconds_start_and_stop_no_upstream() {
    let started = Instant::now();
    let mut demand = Demand::new(started);
    let mut orders = Vec::new();
    for step in 0..1200u32 {
        // Ten seconds with load and ten nearly without, for five minutes.
        let now = started + Duration::from_millis(250) * step;
        let running = if (step / 40) % 2 == 0 { 28 } else { 1 };
        demand.sample(occupancy(running, 5), BOUNDS, now);
        orders.extend(demand.desired_upstreams(occupancy(running, 5), BOUNDS));
    }
    assert_eq!(orders, Vec::<u32>::new());
}

#[test]
fn a_lasting_fall_in_demand_removes_one_upstream_at_a_time() {
    let started = Instant::now();
    let mut demand = Demand::new(started);
    demand.sample(occupancy(40, 7), BOUNDS, started);
    assert_eq!(demand.desired_upstreams(occupancy(11, 7), BOUNDS), None);
    let later = started + Duration::from_secs(60);
    for n in 0..3 {
        demand.sample(
            occupancy(11, 7),
            BOUNDS,
            later + Duration::from_secs(20) * n,
        );
    }
    assert_eq!(demand.desired_upstreams(occupancy(11, 7), BOUNDS), Some(6));
    assert_eq!(demand.desired_upstreams(occupancy(11, 3), BOUNDS), Some(2));
    assert_eq!(demand.desired_upstreams(occupancy(59, 7), BOUNDS), Some(8));
}

#[tokio::test]
async fn scaling_orders_are_sent_under_a_lease_for_the_zone_that_needs_upstreams() {
    let at = |port| SocketAddr::new(IpAddr::V4(address()), port);
    let store = Store::start(at(7003)).unwrap();
    let cloud = Cloud::start(at(7005)).unwrap();
    let worker = Worker::start(at(7100), "i-1").await.unwrap();
    worker.set_default_action(Action::Delayed(
        Duration::from_millis(400),
        Box::new(Action::Echo),
    ));
    let row = fixture::worker_row("plain", worker.addr, "ready", None);
    store.put("servers", "i-1", &row);
    let mut config = config(1, &routes());
    config["Services"][0]["Autoscale"] = json!({"Min": 1, "Max": 4, "BootS": 0.5});
    store.put("op", "config", &config);
    let mut host = common::host(address(), store.addr);
    host.cloud = Some(CloudSettings {
        addr: cloud.addr,
        usage: None,
        is_scaling_enabled: true,
    });
    let bed = start_on(host, store);
    bed.wait_ready(200).await;
    bed.exchange_many("/unsafe/", "many", "", 12).await;
    wait_for("an order", || async { !cloud.calls().is_empty() }).await;
    let call = &cloud.calls()[0];
    assert_eq!(call.path, "/scale");
    let lease = bed.store.value("leases", "scaling").unwrap();
    assert_eq!(lease["token"], json!(call.token));
    assert!(call.token > 0);
    assert_eq!(call.holder, bed.host.name);
    // Twelve concurrent requests, at 0.6 of eight slots per upstream.
    let order = json!({"Service": "plain", "Zone": "zone-a", "DesiredCount": 3});
    assert_eq!(call.body, order);
}
