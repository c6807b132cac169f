//! RequestKind tenants cost a gateway: decoding a version of the configuration, preparing it for
//! lookup, looking a key up, and telling and reporting usage.

use crate::usage;
use gateway::duty::usage::message::Message;
use gateway::duty::usage::request_log::RequestLog;
use gateway::fleet::Fleet;
use gateway::routes::RouteTable;
use platform::usage::{TenantCount, UsageReport};
use platform::{ApiKey, Config};
use serde::Serialize;
use standin::fixture;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Keys of a tenant.
const KEYS_PER_TENANT: usize = 2;
/// Lookups that are timed.
const LOOKUPS: usize = 1_000_000;
/// Tenants of the answer about usage that is measured.
const ANSWER_TENANTS: usize = 100;
/// Versions that are put in force one after the other.
const RELOADS: u32 = 20;

/// RequestKind was measured.
#[derive(Debug, Clone, Serialize)]
pub struct Measured {
    /// Tenants.
    pub tenants: usize,
    /// Keys of all of them.
    pub keys: usize,
    /// Bytes of the configuration as the store gives it.
    pub config_bytes: usize,
    /// Time to decode a version.
    pub decode_ms: f64,
    /// Time to prepare a version for lookup, in which one tenant has changed.
    pub prepare_ms: f64,
    /// Time of a lookup, from the key as it was sent to its tenant.
    pub lookup_ns: f64,
    /// Memory that one version takes.
    pub memory_mb: f64,
    /// Bytes of an answer about usage without any request, and with one for each of so many
    /// tenants.
    pub answer_bytes: [usize; 2],
    /// Tenants of that answer.
    pub answer_tenants: usize,
    /// Bytes of a report of usage for each tenant that it tells of.
    pub report_bytes_each: f64,
}

/// Measures with so many tenants.
pub fn run(tenants: usize) -> serde_json::Result<Measured> {
    let text = configuration(1, tenants, 0);
    let config_bytes = text.len();
    let first = RouteTable::new(Config::parse(text.as_bytes())?, &mut Fleet::default(), None);
    // All are kept, so that what one takes shows.
    let mut tables = vec![first];
    let before = resident_mb();
    let (mut decode, mut prepare) = (Duration::ZERO, Duration::ZERO);
    for n in 1..=RELOADS {
        let text = configuration(u64::from(n) + 1, tenants, n as usize);
        let since = Instant::now();
        let config = Config::parse(text.as_bytes())?;
        decode += since.elapsed();
        let since = Instant::now();
        let table = RouteTable::new(config, &mut Fleet::default(), tables.last());
        prepare += since.elapsed();
        tables.push(table);
    }
    let memory_mb = (resident_mb() - before) / f64::from(RELOADS);
    let keys: Vec<String> = (0..LOOKUPS)
        .map(|_| key(fastrand::usize(..tenants), 1, 0))
        .collect();
    let tenant_table = tables.last().and_then(RouteTable::tenants);
    let since = Instant::now();
    for key in &keys {
        let found = tenant_table.and_then(|t| t.holder(ApiKey::new(key.as_bytes())));
        black_box(found);
    }
    let lookup = since.elapsed();
    let each_ms = |d: Duration| d.as_secs_f64() * 1000.0 / f64::from(RELOADS);
    Ok(Measured {
        tenants,
        keys: tenants * KEYS_PER_TENANT,
        config_bytes,
        decode_ms: each_ms(decode),
        prepare_ms: each_ms(prepare),
        lookup_ns: lookup.as_secs_f64() * 1e9 / LOOKUPS as f64,
        memory_mb,
        answer_bytes: [answer_bytes(0), answer_bytes(ANSWER_TENANTS)],
        answer_tenants: ANSWER_TENANTS,
        report_bytes_each: report_bytes_each(tenants),
    })
}

/// Bytes of an answer with one request for each of so many tenants.
fn answer_bytes(tenants: usize) -> usize {
    let now = Instant::now();
    let mut log = RequestLog::new(u32::MAX, || 1_800_000_000_000);
    for n in 0..tenants {
        log.record(now, tenant_name(n).into());
    }
    let answer = log.read_from(0, 0, u32::MAX, now + Duration::from_millis(500));
    wire::encode_compact(&Message::Told(answer)).len()
}

fn report_bytes_each(tenants: usize) -> f64 {
    let counts: Vec<TenantCount> = (0..tenants)
        .map(|n| TenantCount {
            tenant: tenant_name(n),
            requests: 1,
        })
        .collect();
    UsageReport::new(0, &counts).body.len() as f64 / tenants as f64
}

fn tenant_name(n: usize) -> String {
    format!("tenant-{n}")
}

/// A configuration in which the first key of one tenant differs from that of the first
/// version.
fn configuration(version: u64, tenants: usize, changed: usize) -> String {
    let tenant = |n: usize| {
        let epoch = if n == changed { version } else { 0 };
        fixture::tenant(&tenant_name(n), &[key(n, 0, epoch), key(n, 1, 0)])
    };
    let config = fixture::config(version, &fixture::routes());
    let config = fixture::with_tenants(config, (0..tenants).map(tenant).collect());
    config.to_string()
}

fn key(tenant: usize, n: usize, epoch: u64) -> String {
    format!("{tenant:08}{n:04}{epoch:08}")
}

/// Resident memory of this process.
fn resident_mb() -> f64 {
    let own = usage::read(std::process::id());
    own.map_or(0.0, |u| u.resident as f64 / f64::from(1 << 20))
}
