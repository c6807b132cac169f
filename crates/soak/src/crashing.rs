//! Requests that crash each worker that runs them, and that clients repeat at any gateway.

use crate::cluster::{CRASHING_BODY, Cluster};
use crate::disruption::Disruption;
use crate::keys::Key;
use resilience::Fingerprint;
use resilience::crashes::BLOCK_THRESHOLD;
use standin::fixture::{HOST, request};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The API key of these requests.
pub(crate) const CRASH_KEY: Key = Key::Permanent(0);
/// How many times a request is sent.
const REPEATS: usize = 10;
/// Longest pause between two sends, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;
/// Longest time over which a request is sent repeatedly.
const MAX_SERIES_TIME: Duration = Duration::from_secs(6);
/// Time after which all crashed workers are back.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the third crash from which on only [`MAX_LATER_SENDS`] are allowed, with a margin
/// for a busy machine.
const SETTLE_TIME: Duration = Duration::from_millis(3500);
/// Number of times that a request may still reach workers after that.
const MAX_LATER_SENDS: usize = 3;

/// A request that crashes workers.
#[derive(Debug, Clone)]
pub struct CrashingRequest {
    path: &'static str,
    body: String,
}

/// Starts sending a new crashing request repeatedly, concurrently with other faults.
pub fn begin(cluster: &mut Cluster, rng: &mut fastrand::Rng) {
    let body = format!("{CRASHING_BODY} {}", cluster.crashing_requests.len());
    let path = ["/safe/0", "/twice/0"][rng.usize(..2)];
    let gateways = addresses(cluster);
    let crashing = CrashingRequest { path, body };
    cluster.crashing_requests.push(crashing.clone());
    // Answers that crashing workers abort are no fault of the gateways.
    let from = Instant::now();
    cluster.timeline.disruptions.push(Disruption {
        gateway: None,
        from,
        until: Some(from + MAX_SERIES_TIME + RESTART_TIME),
    });
    let mut rng = rng.fork();
    tokio::spawn(async move {
        let sent = async {
            for n in 0..REPEATS {
                let to = gateways[rng.usize(..gateways.len())];
                send(to, &crashing, n).await;
                tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_PAUSE_MS))).await;
            }
        };
        // Sends that are still in progress then are cancelled.
        let _ = tokio::time::timeout(MAX_SERIES_TIME, sent).await;
    });
}

/// Sends the requests whose crashes the store has recorded to all gateways again. Returns how many
/// of them reached workers too often. Call this after the faults have ended. Other requests are
/// left out: if all gateways that knew of their crashes were killed while the store accepted no
/// writes, the crashes are unknown.
pub async fn sent_again(cluster: &Cluster) -> usize {
    tokio::time::sleep(SETTLE_TIME).await;
    let mut bad = 0;
    for crashing in cluster
        .crashing_requests
        .iter()
        .filter(|d| has_enough_crashes(cluster, d))
    {
        let before = cluster.times_received(&crashing.body);
        for (n, to) in addresses(cluster)
            .into_iter()
            .cycle()
            .take(REPEATS)
            .enumerate()
        {
            send(to, crashing, REPEATS + n).await;
        }
        let more = cluster.times_received(&crashing.body) - before;
        if more > MAX_LATER_SENDS {
            let body = &crashing.body;
            println!("{body} reached workers {before} times, and {more} times more");
            bad += 1;
        }
    }
    bad
}

/// Returns whether the store has recorded enough crashes for the request to be blocked.
fn has_enough_crashes(cluster: &Cluster, crashing: &CrashingRequest) -> bool {
    let CrashingRequest { path, body } = crashing;
    let tenant = CRASH_KEY.tenant();
    let parts = ["POST", HOST, path, &tenant, body];
    let work = Fingerprint::of(parts.map(str::as_bytes));
    let rows = cluster.store.keys("crashes");
    let ends = rows
        .iter()
        .filter(|key| key.starts_with(&format!("{work}/end/")));
    ends.count() >= BLOCK_THRESHOLD
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.gateways.iter().map(|g| g.client_addr).collect()
}

/// Sends a request and ignores the answer.
async fn send(to: SocketAddr, crashing: &CrashingRequest, n: usize) {
    let CrashingRequest { path, body } = crashing;
    let id = format!("{}-{n}", body.replace(' ', "-"));
    let extra_headers = format!("connection: close\r\n{}", CRASH_KEY.header());
    let text = request("POST", path, &id, &extra_headers, body);
    let exchange = async {
        let mut tcp = TcpStream::connect(to).await?;
        tcp.write_all(text.as_bytes()).await?;
        let mut answer = Vec::new();
        tcp.read_to_end(&mut answer).await
    };
    // The gateway may not be listening now. The request is sent again later.
    let _ = tokio::time::timeout(TIMEOUT, exchange).await;
}
