//! Measures the cost of tenants in a gateway: decoding and preparing a configuration, looking up
//! API keys, and exchanging and reporting usage.

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

/// API keys per tenant.
const KEYS_PER_TENANT: usize = 2;
/// Number of timed lookups.
const LOOKUPS: usize = 1_000_000;
/// Tenants in the measured usage message.
const ANSWER_TENANTS: usize = 100;
/// Configuration versions that are loaded one after another.
const RELOADS: u32 = 20;

/// Results of the measurement.
#[derive(Debug, Clone, Serialize)]
pub struct Measured {
    /// Number of tenants.
    pub tenants: usize,
    /// Number of API keys of all tenants.
    pub keys: usize,
    /// Size of the configuration in the store, in bytes.
    pub config_bytes: usize,
    /// Time to decode a version.
    pub decode_ms: f64,
    /// Time to prepare a version for lookups if one tenant has changed.
    pub prepare_ms: f64,
    /// Time of a lookup, from the key as sent to its tenant.
    pub lookup_ns: f64,
    /// Memory used per version.
    pub memory_mb: f64,
    /// Size in bytes of a usage message without requests, and of one with a request for each of
    /// `answer_tenants` tenants.
    pub answer_bytes: [usize; 2],
    /// Tenants in the second usage message.
    pub answer_tenants: usize,
    /// Size of a usage report per tenant, in bytes.
    pub report_bytes_each: f64,
}

/// Runs the measurement with a number of tenants.
pub fn run(tenants: usize) -> serde_json::Result<Measured> {
    let text = configuration(1, tenants, 0);
    let config_bytes = text.len();
    let first = RouteTable::new(Config::parse(text.as_bytes())?, &mut Fleet::default(), None);
    // All versions are kept, so that the growth in memory shows the size of one.
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

/// Size of a usage message with one request for each tenant.
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
    UsageReport::new(0, 0, &counts).body.len() as f64 / tenants as f64
}

fn tenant_name(n: usize) -> String {
    format!("tenant-{n}")
}

/// Configuration in which the first key of tenant `changed` differs from its key in the first
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
