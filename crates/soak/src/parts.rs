//! Prompts that share a part which crashes each engine, and sound prompts with the same first part.

use crate::cluster::{CRASHING_PROMPT, Cluster};
use crate::crashing::CRASH_KEY;
use crate::disruption::Disruption;
use resilience::crashes::BLOCK_THRESHOLD;
use standin::fixture::{prompt_headers, request};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Part of the prompts that crash engines, and the first part of all prompts.
const CRASHING_PART: u64 = 0xdead;
const FIRST_PART: u64 = 0xa1;
/// Longest pause between two prompts, in milliseconds, and how many of them are sound.
const MAX_PAUSE_MS: u64 = 120;
const SOUND_OF_TEN: u64 = 7;
/// Time after which all engines are back.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Time after the last crash from which only [`MAX_LATER_SENDS`] are allowed, with a margin for a
/// busy machine.
const SETTLE_TIME: Duration = Duration::from_millis(3500);
const MAX_LATER_SENDS: usize = 3;
/// Number of prompts of each kind that are sent then.
const LATER_PROMPTS: u64 = 24;
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Prompts that are sent beside the faults.
#[derive(Debug)]
pub struct CrashingParts {
    gateways: Vec<SocketAddr>,
}

/// What became of prompts after the faults.
#[derive(Debug, Default)]
pub struct PartChecks {
    /// Crashes of engines.
    pub crashes: u64,
    /// Whether the store had recorded enough crashes for the part to be blocked.
    pub is_recorded: bool,
    /// Whether prompts with the part still reached engines.
    pub sent_again: bool,
    /// Sound prompts that were rejected because of a part.
    pub held_wrongly: usize,
}

impl CrashingParts {
    /// Starts sending prompts to random gateways until a time.
    pub fn begin(cluster: &mut Cluster, seed: u64, until: Instant) -> Self {
        let gateways: Vec<_> = cluster.gateways.iter().map(|g| g.client_addr).collect();
        // Answers that crashing engines abort are no fault of the gateways.
        cluster.timeline.disruptions.push(Disruption {
            gateway: None,
            from: Instant::now(),
            until: Some(until + RESTART_TIME),
        });
        let addresses = gateways.clone();
        let mut rng = fastrand::Rng::with_seed(seed);
        tokio::spawn(async move {
            for n in 0.. {
                if Instant::now() >= until {
                    return;
                }
                let is_sound = rng.u64(..10) < SOUND_OF_TEN;
                let to = addresses[rng.usize(..addresses.len())];
                tokio::spawn(async move { send(to, n, is_sound).await });
                tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_PAUSE_MS))).await;
            }
        });
        Self { gateways }
    }

    /// Sends more prompts to all gateways. Call this after the faults have ended. The part is left
    /// out if its crashes aren't recorded, as all gateways that knew of them may have been killed.
    pub async fn check(&self, cluster: &Cluster) -> PartChecks {
        tokio::time::sleep(SETTLE_TIME).await;
        let crashes = cluster.engines.iter().map(|e| e.worker.crashes()).sum();
        let mut checks = PartChecks {
            crashes,
            is_recorded: is_recorded(cluster),
            ..PartChecks::default()
        };
        let before = times_received(cluster);
        for n in 0..LATER_PROMPTS {
            let to = self.gateways[n as usize % self.gateways.len()];
            let n = u64::from(u32::MAX) + n;
            if checks.is_recorded {
                send(to, n, false).await;
            }
            let answer = send(to, n, true).await;
            checks.held_wrongly += usize::from(answer.contains("part_crash"));
        }
        let more = times_received(cluster) - before;
        if more > MAX_LATER_SENDS {
            println!("prompts with the part reached engines {before} times, and {more} times more");
            checks.sent_again = true;
        }
        checks
    }
}

/// Whether the store has recorded enough crashes for the part to be blocked.
fn is_recorded(cluster: &Cluster) -> bool {
    let rows = cluster.store.keys("crashes");
    let is_of_part = |key: &&String| {
        let text = cluster.store.text("crashes", key).unwrap_or_default();
        let row: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
        let parts = row["parts"].as_array();
        parts.is_some_and(|parts| parts.contains(&CRASHING_PART.into()))
    };
    rows.iter().filter(is_of_part).count() >= BLOCK_THRESHOLD
}

fn times_received(cluster: &Cluster) -> usize {
    let seen = cluster.engines.iter().flat_map(|e| e.worker.requests());
    let is_crashing = |body: &[u8]| String::from_utf8_lossy(body).contains(CRASHING_PROMPT);
    seen.filter(|s| is_crashing(&s.body)).count()
}

/// Sends a prompt that is like no other, and returns what came of the answer.
async fn send(to: SocketAddr, n: u64, is_sound: bool) -> String {
    let own = (1 << 40) + n;
    let (parts, body) = match is_sound {
        true => (vec![FIRST_PART, own], format!("probe of part {n}")),
        false => (
            vec![FIRST_PART, CRASHING_PART, own],
            format!("{CRASHING_PROMPT} {n}"),
        ),
    };
    // The checks of clients' requests leave these ids out.
    let id = format!("deadly-part-{n}-{is_sound}");
    let key = CRASH_KEY.header();
    let headers = format!("connection: close\r\n{}{key}", prompt_headers(&parts));
    let text = request("POST", "/prompt/0", &id, &headers, &body);
    let mut answer = Vec::new();
    let exchange = async {
        let mut tcp = TcpStream::connect(to).await?;
        tcp.write_all(text.as_bytes()).await?;
        tcp.read_to_end(&mut answer).await
    };
    // The gateway may not be listening now.
    let _ = tokio::time::timeout(TIMEOUT, exchange).await;
    String::from_utf8_lossy(&answer).into_owned()
}
