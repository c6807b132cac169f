//! Requests that crash the worker that runs them, and come again to any gateway.

use crate::cut::Trouble;
use crate::keys::Key;
use crate::scene::{DEADLY, Scene};
use resilience::Fingerprint;
use resilience::crashes::BLOCK_THRESHOLD;
use standin::fixture::{HOST, request};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The key that they bear.
const KEY: Key = Key::Own(0);
/// Times that one comes.
const TIMES: usize = 10;
/// Longest pause between two times, in milliseconds.
const MAX_PAUSE_MS: u64 = 400;
/// Longest time over which one comes, and time after which all workers are back.
const LASTS: Duration = Duration::from_secs(6);
const BACK: Duration = Duration::from_secs(2);
/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the third end from which on few more sends are allowed, and room for a busy
/// machine.
const SETTLED: Duration = Duration::from_millis(3500);
/// Sends that are allowed then.
const MORE: usize = 3;

/// A request that crashes workers.
#[derive(Debug, Clone)]
pub struct Deadly {
    path: &'static str,
    body: String,
}

/// Lets a new one come several times, beside whatever else happens.
pub fn begin(scene: &mut Scene, rng: &mut fastrand::Rng) {
    let body = format!("{DEADLY} {}", scene.deadly.len());
    let path = ["/safe/0", "/twice/0"][rng.usize(..2)];
    let gateways = addresses(scene);
    let deadly = Deadly { path, body };
    scene.deadly.push(deadly.clone());
    // What workers break off as they crash no gateway can end.
    let from = Instant::now();
    scene.record.troubles.push(Trouble {
        gateway: None,
        from,
        until: Some(from + LASTS + BACK),
    });
    let mut rng = rng.fork();
    tokio::spawn(async move {
        let sent = async {
            for n in 0..TIMES {
                let to = gateways[rng.usize(..gateways.len())];
                send(to, &deadly, n).await;
                tokio::time::sleep(Duration::from_millis(rng.u64(..MAX_PAUSE_MS))).await;
            }
        };
        // What is still on its way then is cancelled.
        let _ = tokio::time::timeout(LASTS, sent).await;
    });
}

/// Once all is calm: those whose ends the store keeps come again, to all gateways; gives how
/// many reached workers too often. Where the store took no write before all that knew were
/// killed, nobody can know.
pub async fn sent_again(scene: &Scene) -> usize {
    tokio::time::sleep(SETTLED).await;
    let mut bad = 0;
    for deadly in scene.deadly.iter().filter(|d| is_kept(scene, d)) {
        let before = scene.reached(&deadly.body);
        for (n, to) in addresses(scene).into_iter().cycle().take(TIMES).enumerate() {
            send(to, deadly, TIMES + n).await;
        }
        let more = scene.reached(&deadly.body) - before;
        if more > MORE {
            let body = &deadly.body;
            println!("{body} reached workers {before} times, and {more} times more");
            bad += 1;
        }
    }
    bad
}

/// Whether the store keeps so many ends that it isn't to be sent.
fn is_kept(scene: &Scene, deadly: &Deadly) -> bool {
    let Deadly { path, body } = deadly;
    let tenant = KEY.tenant();
    let parts = ["POST", HOST, path, &tenant, body];
    let work = Fingerprint::of(parts.map(str::as_bytes));
    let rows = scene.store.keys("crashes");
    let ends = rows
        .iter()
        .filter(|key| key.starts_with(&format!("{work}/end/")));
    ends.count() >= BLOCK_THRESHOLD
}

fn addresses(scene: &Scene) -> Vec<SocketAddr> {
    scene.gateways.iter().map(|g| g.callers).collect()
}

/// Sends one; what it is answered doesn't matter.
async fn send(to: SocketAddr, deadly: &Deadly, n: usize) {
    let Deadly { path, body } = deadly;
    let id = format!("{}-{n}", body.replace(' ', "-"));
    let more = format!("connection: close\r\n{}", KEY.header());
    let text = request("POST", path, &id, &more, body);
    let asked = async {
        let mut tcp = TcpStream::connect(to).await?;
        tcp.write_all(text.as_bytes()).await?;
        let mut answer = Vec::new();
        tcp.read_to_end(&mut answer).await
    };
    // Nobody may listen just now; it comes again.
    let _ = tokio::time::timeout(TIMEOUT, asked).await;
}
