//! Tests the initial load of a host that starts in a large fleet: from a peer, or from the store if
//! no peer answers.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod common;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use common::crashing::System;
use common::{TestGateway, address, exchange, host, request, start_on, status, wait_for};
use standin::Store;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Rows per page.
const PAGE_ROWS: usize = 100;
/// More rows than fit on a page, so that a starting host asks its peers.
const PROCESSES: usize = 120;
const PEER_PORT: u16 = 7002;

/// Writes the rows of [`PROCESSES`] processes, all with the same address.
fn write_rows(system: &System, ip: Ipv4Addr) {
    system.store.set_page_rows(PAGE_ROWS);
    for n in 0..PROCESSES {
        let value = STANDARD.encode(format!("{ip} zone-a"));
        system
            .store
            .put_raw("processes", &format!("edge-{n:03}"), &value);
    }
}

fn own_ip(gateway: &TestGateway) -> Ipv4Addr {
    match gateway.host.ip {
        IpAddr::V4(ip) => ip,
        IpAddr::V6(ip) => panic!("{ip}"),
    }
}

/// Returns the number of store calls of a kind for a table, from a host's metrics.
async fn store_calls(gateway: &TestGateway, table: &str, kind: &str) -> u64 {
    let text = exchange(gateway.ready, "GET /metrics HTTP/1.1\r\nhost: x\r\n\r\n").await;
    let (table, kind) = (format!("table=\"{table}\""), format!("kind=\"{kind}\""));
    let lines = text
        .lines()
        .filter(|l| l.starts_with("arbutusquay_store_calls{"));
    let matching = lines.filter(|l| l.contains(&table) && l.contains(&kind));
    let count = |l: &str| l.rsplit(' ').next().and_then(|n| n.parse::<u64>().ok());
    matching.filter_map(count).sum()
}

async fn assert_serves(gateway: &TestGateway) {
    gateway.wait_ready(200).await;
    let res = exchange(gateway.callers, &request("GET", "/safe/", "r", "", "")).await;
    assert_eq!(status(&res), 200, "{res}");
}

#[tokio::test]
async fn a_host_that_starts_in_a_large_fleet_loads_a_snapshot_from_a_peer() {
    let mut system = System::start(1, 1).await;
    write_rows(&system, own_ip(&system.hosts[0]));
    let first = &system.hosts[0];
    wait_for("the first host's feed read", || async {
        store_calls(first, "processes", "feed").await > 1
    })
    .await;
    system.add_host(PEER_PORT).await;
    let second = &system.hosts[1];
    assert_serves(second).await;
    // With so few addresses every host is a feed reader, so it still reads the configuration
    // and the crashes. Without the snapshot it would read the whole registry, too.
    assert_eq!(store_calls(second, "registry", "read").await, 0);
    assert_eq!(store_calls(second, "processes", "read").await, 1);
    wait_for("the host's row", || async {
        system.store.has("processes", &second.host.name)
    })
    .await;
}

#[tokio::test]
async fn a_process_row_with_another_address_is_replaced() {
    let mut system = System::start(0, 1).await;
    let ip = address();
    let own = Store::start(SocketAddr::new(IpAddr::V4(ip), 7004)).unwrap();
    let host = host(ip, system.store.addr);
    let row = |ip: Ipv4Addr| STANDARD.encode(format!("{ip} zone-a"));
    let former_row = row(Ipv4Addr::LOCALHOST);
    system.store.put_raw("processes", &host.name, &former_row);
    let gateway = start_on(host, own);
    wait_for("the host's row", || async {
        system.store.raw("processes", &gateway.host.name) == Some(row(ip))
    })
    .await;
    system.hosts.push(gateway);
}

#[tokio::test]
async fn a_host_whose_peers_do_not_answer_reads_the_store() {
    let mut system = System::start(0, 1).await;
    write_rows(&system, address());
    system.add_host(PEER_PORT).await;
    let gateway = &system.hosts[0];
    assert_serves(gateway).await;
    assert!(store_calls(gateway, "registry", "read").await > 0);
}
