//! Runs a soak. The last line is one JSON object with a count for each promise;
//! the exit code isn't 0 if one was broken.

use argh::FromArgs;
use bench::procs::build_binary;
use serde::Serialize;
use soak::client::{self, History, Pace, Phase, Slow};
use soak::cut::{Record, is_cut};
use soak::judge::{Asked, End, Ran, Verdict, is_foreign, judge, own, sorted};
use soak::keys::{Key, LAST_TENANT, TENANTS, judge_usage, reported_last};
use soak::scene::{DEADLY, Scene, Upstream};
use soak::schedule::{self, Schedule};
use soak::{deadly, fault, stops};
use standin::ReceivedRequest;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Longest time after the last fault until all gateways serve.
const RECOVERY: Duration = Duration::from_secs(12);
/// Time with requests after the last fault, whose usage must be right.
const LAST_PHASE: Duration = Duration::from_secs(3);
/// Longest wait for its reports: their due time.
const REPORTS: Duration = Duration::from_secs(13);
/// Longest wait for requests that are under way at the end.
const LAST_REQUESTS: Duration = Duration::from_secs(7);

/// Random faults over gateways that run as processes, by a seed.
#[derive(Debug, FromArgs)]
struct Args {
    /// seed of the faults and of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// time with faults, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// clients
    #[argh(option, default = "12")]
    clients: u32,
    /// clients beside them whose answers take up to seconds
    #[argh(option, default = "12")]
    slow: u32,
    /// longest time that the answers of these clients take, in milliseconds; with a second try
    /// after the gateway's patience the default is within the deadline
    #[argh(option, default = "2500")]
    longest_ms: u64,
    /// one in so many of them takes up to that, the others a moment
    #[argh(option, default = "1")]
    one_in: u64,
    /// planned stops in series that overlap, in place of faults of all kinds
    #[argh(switch)]
    stops: bool,
    /// file with the faults, as a run writes it beside its logs, in place of those of the seed
    #[argh(option)]
    schedule: Option<PathBuf>,
    /// third byte of the addresses, so that several soaks can run side by side
    #[argh(option, default = "1")]
    net: u8,
}

#[derive(Debug, Serialize)]
struct Summary {
    seed: u64,
    seconds: u64,
    requests: usize,
    served: usize,
    runs: usize,
    faults: usize,
    deadly: usize,
    leaves: usize,
    stops: usize,
    /// Requests that a planned stop alone had, and that came after its signal.
    in_stops: usize,
    #[serde(flatten)]
    verdict: Verdict,
}

fn main() -> std::io::Result<ExitCode> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Runtime::new()?;
    let summary = runtime.block_on(run(&args))?;
    println!("{}", serde_json::to_string(&summary)?);
    Ok(match summary.verdict.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

async fn run(args: &Args) -> std::io::Result<Summary> {
    let binary = build_binary().await?;
    let dir = std::env::temp_dir().join(format!("soak-{}-{}", std::process::id(), args.seed));
    std::fs::create_dir_all(&dir)?;
    println!("settings and logs: {}", dir.display());
    let mut scene = Scene::start(args.net, &binary, &dir).await?;
    scene.all_serve(RECOVERY).await;
    let history = History::default();
    let stop = watch::Sender::new(Phase::Faults);
    let addresses: Vec<_> = scene.gateways.iter().map(|g| g.callers).collect();
    let slow = Slow {
        longest_ms: args.longest_ms,
        one_in: args.one_in,
    };
    let clients: Vec<_> = (0..args.clients + args.slow)
        .map(|n| {
            let pace = match n < args.clients {
                true => Pace::Quick,
                false => Pace::Slow(slow),
            };
            let seed = args.seed.wrapping_mul(1000) + u64::from(n);
            let (to, history) = (addresses.clone(), history.clone());
            tokio::spawn(client::run(n, pace, to, history, stop.subscribe(), seed))
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let done = match args.stops {
        true => stops::run(&mut scene, args.seed, until).await?,
        false => {
            let schedule = match &args.schedule {
                Some(path) => Schedule::read(path)?,
                None => Schedule::drawn(args.seed),
            };
            fault::run(&mut scene, schedule, until).await?
        }
    };
    schedule::write(&dir.join("schedule.jsonl"), &done.steps)?;
    fault::calm(&mut scene).await?;
    let recovered = fault::recover(&mut scene, RECOVERY).await?;
    stop.send_replace(Phase::Last);
    tokio::time::sleep(LAST_PHASE).await;
    stop.send_replace(Phase::Over);
    for client in clients {
        // A client that hangs is ended with the runtime; its last request is open.
        let _ = tokio::time::timeout(LAST_REQUESTS, client).await;
    }
    let sent_again = deadly::sent_again(&scene).await;
    let asked = history.lock().expect("no panic while locked").clone();
    for asked in asked.iter().filter(|a| is_foreign(a)) {
        println!("not its own body: {asked:?}");
    }
    let all = scene.upstreams.iter().chain(&scene.engines);
    let ran = runs(all.chain(&scene.gone));
    let mut verdict = judge(&asked, &ran, &done.left, &scene.record, &scene.keys);
    let last = last_requests(&ran);
    wait_reported(&scene, last).await;
    let of_usage = judge_usage(&scene.cloud.calls(), last);
    verdict.reported_twice = of_usage.reported_twice;
    verdict.badly_fenced = of_usage.badly_fenced;
    verdict.usage_off = of_usage.usage_off;
    verdict.keys_logged = keys_logged(&dir)?;
    verdict.sent_again = sent_again;
    verdict.not_recovered = usize::from(!recovered);
    let is_served = |a: &&Asked| matches!(a.end, End::Whole(200, _));
    Ok(Summary {
        seed: args.seed,
        seconds: args.seconds,
        requests: asked.len(),
        served: asked.iter().filter(is_served).count(),
        runs: ran.len(),
        faults: done.faults,
        deadly: scene.deadly.len(),
        leaves: done.left.len(),
        stops: scene.record.stops.len(),
        in_stops: in_stops(&asked, &ran, &scene.record),
        verdict,
    })
}

/// Requests of the last tenant that ran, each once.
fn last_requests(ran: &[Ran]) -> usize {
    let last = ran
        .iter()
        .filter(|r| r.tenant.as_deref() == Some(LAST_TENANT));
    let mut ids: Vec<&str> = last.map(|r| r.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}

/// Waits until so many requests of the last tenant are reported, at most for a time.
async fn wait_reported(scene: &Scene, last: usize) {
    let until = Instant::now() + REPORTS;
    while Instant::now() < until && reported_last(&scene.cloud.calls()) < last as u64 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Logs of processes in a folder in which some key stands.
fn keys_logged(dir: &Path) -> std::io::Result<usize> {
    let keys = (0..TENANTS).flat_map(|n| [Key::Own(n), Key::Second(n)]);
    let texts: Vec<String> = keys.chain([Key::Last]).map(Key::text).collect();
    let mut found = 0;
    for entry in std::fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "log") {
            let log = std::fs::read_to_string(&path)?;
            found += usize::from(texts.iter().any(|key| log.contains(key)));
        }
    }
    Ok(found)
}

/// Counts requests that came to a process under a planned stop alone; prints what was
/// cut, with the times since the signal at which it was sent and ended.
fn in_stops(asked: &[Asked], ran: &[Ran], record: &Record) -> usize {
    let runs = sorted(ran);
    let mut count = 0;
    for asked in asked {
        let own = own(&runs, &asked.id);
        let (Some(stop), Some(sent)) = (record.stop_of(asked, own), asked.way.sent) else {
            continue;
        };
        count += usize::from(sent > stop.signal);
        if is_cut(asked, own) {
            let sent = sent.saturating_duration_since(stop.signal);
            let ended = asked.way.ended.duration_since(stop.signal);
            let (id, end, to) = (&asked.id, &asked.end, stop.gateway);
            println!("cut by a stop of {to}: {id}, sent {sent:?}, ended {ended:?}: {end:?}");
        }
    }
    count
}

/// What workers saw, but for the soak's own probes, what crashes workers, and what gateways
/// ask engines.
fn runs<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Vec<Ran> {
    let seen = upstreams.flat_map(|u| u.worker.requests());
    let is_asked = |s: &ReceivedRequest| !matches!(s.path.as_str(), "/report" | "/order");
    let ran = seen.filter(|s| s.ran && is_asked(s)).map(|s| Ran {
        id: s.id().to_owned(),
        resumed_after: s.resume_after(),
        by_script: s.is_scripted,
        tenant: s.header("tenant").map(str::to_owned),
        shows_key: s.header("key").is_some(),
    });
    let is_own = |r: &Ran| r.id == "probe" || r.id.starts_with(DEADLY);
    ran.filter(|r| !is_own(r)).collect()
}
