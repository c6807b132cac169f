//! Runs a soak test. The last line of output is a JSON object with a count of violations for
//! each guarantee. The exit code isn't 0 if any was violated.

use argh::FromArgs;
use bench::procs::build_binary;
use serde::Serialize;
use soak::checker::{
    ClientRequest, RequestEnd, Verdict, WorkerRun, check_history, count_mixed_versions,
    has_foreign_body, runs_of, sort_by_id,
};
use soak::client::{self, Client, History, Pace, Phase, Slow, Slowdown, Streams};
use soak::cluster::{
    CRASHING_BODY, Cluster, GATEWAYS, LONG_STREAM_WORKERS_COUNT, Setup, Upstream, WORKERS_COUNT,
};
use soak::continuation::{Continuations, KILLED_SHARE_AIM};
use soak::disruption::{StopCounts, Timeline, is_aborted};
use soak::fault::FaultSet;
use soak::keys::{Key, LAST_TENANT, TENANTS, check_usage, reported_requests};
use soak::parts::{CrashingParts, PartChecks};
use soak::restarts::{self, SeriesSet};
use soak::schedule::{self, Schedule};
use soak::streams::{Continued, StreamClient};
use soak::{crashing, fault, statements, stops};
use standin::ReceivedRequest;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time within which all gateways must serve after the last fault.
const RECOVERY_BOUND: Duration = Duration::from_secs(12);
/// Longest wait for processes that were told to stop, longer than their grace period.
const STOP_BOUND: Duration = Duration::from_secs(10);
/// Time after the last restart in which clients may continue the streams that it broke.
const CONTINUATION_TIME: Duration = Duration::from_secs(10);
/// Length of the last phase, which has no faults. The usage of its requests must be reported
/// correctly.
const LAST_PHASE_TIME: Duration = Duration::from_secs(3);
/// Longest wait for the reports about the last phase: the time within which they are due.
const REPORT_BOUND: Duration = Duration::from_secs(13);
/// Longest wait for requests in progress at the end, longer than their deadlines.
const LAST_REQUESTS_BOUND: Duration = Duration::from_secs(20);

/// Runs gateway processes under random faults that a seed determines.
#[derive(Debug, FromArgs)]
struct Args {
    /// seed of the faults and the load
    #[argh(option, default = "1")]
    seed: u64,
    /// duration of the faults, in seconds
    #[argh(option, default = "20")]
    seconds: u64,
    /// number of clients with quick requests
    #[argh(option, default = "12")]
    clients: u32,
    /// number of clients with slow requests
    #[argh(option, default = "12")]
    slow: u32,
    /// longest duration of a slow request, in milliseconds; with the default, a second attempt
    /// after the gateway's timeout still ends within the deadline
    #[argh(option, default = "2500")]
    longest_ms: u64,
    /// one in so many slow requests takes up to that; the others take a moment
    #[argh(option, default = "1")]
    one_in: u64,
    /// make only series of overlapping planned stops, instead of faults of all kinds
    #[argh(switch)]
    stops: bool,
    /// also draw faults of streams, with workers of two versions and clients that take up
    /// streams; seeds then draw other faults; with --stops, make series of overlapping restarts
    /// and kills instead, under which long streams must go on
    #[argh(switch)]
    streams: bool,
    /// with --stops and --streams, make mostly series in which all processes are killed at the same
    /// moment, once or twice
    #[argh(switch)]
    kills: bool,
    /// with --stops, let streams of the slow clients slow down after some seconds until they take
    /// longer than a stop, with longer deadlines and timeouts; some series stop all processes at
    /// once
    #[argh(switch)]
    slowdown: bool,
    /// with --slowdown, also let plain answers slow down
    #[argh(switch)]
    slow_plain: bool,
    /// number of clients with long streams, with --stops and --streams
    #[argh(option, default = "160")]
    stream_clients: u32,
    /// number of gateways, 20 at most
    #[argh(option, default = "GATEWAYS")]
    gateways: u8,
    /// number of workers at the start, instead of 4, or 24 with --stops and --streams
    #[argh(option)]
    workers: Option<u8>,
    /// number of engines, instead of 2, or 6 with --parts
    #[argh(option)]
    engines: Option<u8>,
    /// share of one core that each gateway process has, above 0 and at most 1; it is paused and
    /// resumed in turns, which excuses no violation
    #[argh(option)]
    cpu_share: Option<f64>,
    /// also send prompts that share a part which crashes engines
    #[argh(switch)]
    parts: bool,
    /// file with the faults to replay, as each run writes it beside its logs, instead of random
    /// faults
    #[argh(option)]
    schedule: Option<PathBuf>,
    /// third byte of the addresses, so that several soaks can run concurrently
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
    /// Crashes of engines under prompts with the crashing part.
    part_crashes: u64,
    /// Whether the store had recorded enough of them at the end, so that the part was checked.
    part_blocked: bool,
    leaves: usize,
    stops: usize,
    /// Requests that were sent to a stopping process after its signal and met no other
    /// disruption.
    in_stops: usize,
    /// Numbers of requests to stopping processes, by when they were sent and how they ended.
    stop_counts: StopCounts,
    /// Streams that their clients took up after they broke off.
    taken_up: usize,
    /// Those of them that got their last event.
    resumed: usize,
    /// Long streams that clients continued and that the bound applies to.
    continued: usize,
    /// Those of them that went on.
    went_on: usize,
    /// New streams that began beside them.
    began: usize,
    /// Streams whose gateway processes had all been replaced, among those.
    replaced_continued: usize,
    /// Those of them that went on.
    replaced_went_on: usize,
    /// New streams that began beside them.
    replaced_began: usize,
    /// Streams that were older than a second when all gateways were killed at the same moment.
    killed_continued: usize,
    /// Those of them that went on.
    killed_went_on: usize,
    /// New streams that began beside them.
    killed_began: usize,
    /// Number of those that went on per new stream, if there are enough.
    killed_share: Option<f64>,
    /// Whether that is less than [`KILLED_SHARE_AIM`].
    is_killed_share_below_aim: bool,
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
    let has_long_streams = args.stops && args.streams;
    let setup = Setup {
        gateways: args.gateways,
        workers: args.workers.unwrap_or(match has_long_streams {
            true => LONG_STREAM_WORKERS_COUNT,
            false => WORKERS_COUNT,
        }),
        engines: args.engines,
        has_versions: args.streams,
        has_parts: args.parts,
        has_long_streams,
        has_slowdown: args.slowdown,
        cpu_share: args.cpu_share,
    };
    let mut cluster = Cluster::start_with(args.net, &binary, &dir, setup).await?;
    cluster.all_serve(RECOVERY_BOUND).await;
    let history = History::default();
    let streams = Streams::default();
    let phase = watch::Sender::new(Phase::Faults);
    let addresses: Vec<_> = cluster.gateways.iter().map(|g| g.client_addr).collect();
    let slow_pace = match args.slowdown {
        true => Pace::Slowdown(Slowdown {
            started: Instant::now(),
            slows_plain: args.slow_plain,
        }),
        false => Pace::Slow(Slow {
            longest_ms: args.longest_ms,
            one_in: args.one_in,
        }),
    };
    let mut clients: Vec<_> = (0..args.clients + args.slow)
        .map(|n| {
            let pace = match n < args.clients {
                true => Pace::Quick,
                false => slow_pace,
            };
            let seed = args.seed.wrapping_mul(1000) + u64::from(n);
            let client = Client {
                name: n,
                pace,
                gateways: addresses.clone(),
                history: history.clone(),
                streams: args.streams.then(|| streams.clone()),
            };
            tokio::spawn(client::run(client, phase.subscribe(), seed))
        })
        .collect();
    let continued = Continued::default();
    if has_long_streams {
        let names = (0..args.stream_clients).map(|n| args.clients + args.slow + n);
        clients.extend(names.map(|name| {
            let client = StreamClient {
                client: Client {
                    name,
                    pace: Pace::Quick,
                    gateways: addresses.clone(),
                    history: history.clone(),
                    streams: Some(streams.clone()),
                },
                continued: continued.clone(),
                phase: phase.subscribe(),
            };
            tokio::spawn(client.run(args.seed.wrapping_mul(1000) + u64::from(name)))
        }));
    }
    let until = Instant::now() + Duration::from_secs(args.seconds);
    let crashing_parts = args
        .parts
        .then(|| CrashingParts::begin(&mut cluster, args.seed, until));
    let done = match (args.stops, args.streams) {
        (true, true) => {
            let set = match args.kills {
                true => SeriesSet::Kills,
                false => SeriesSet::Stops,
            };
            restarts::run(&mut cluster, set, args.seed, until).await?
        }
        (true, false) => stops::run(&mut cluster, args.seed, until).await?,
        (false, _) => {
            let schedule = match &args.schedule {
                Some(path) => Schedule::read(path)?,
                None => Schedule::from_seed(fault_set(args), args.seed),
            };
            fault::run(&mut cluster, schedule, until).await?
        }
    };
    schedule::write(&dir.join("schedule.jsonl"), &done.steps)?;
    fault::clear_faults(&mut cluster).await?;
    let mut recovered = fault::recover(&mut cluster, RECOVERY_BOUND).await?;
    // If all of them were still stopping, nobody would be left to report the last phase.
    fault::finish_stops(&mut cluster, STOP_BOUND).await?;
    recovered &= fault::recover(&mut cluster, RECOVERY_BOUND).await?;
    if has_long_streams {
        tokio::time::sleep(CONTINUATION_TIME).await;
    }
    phase.send_replace(Phase::Last);
    tokio::time::sleep(LAST_PHASE_TIME).await;
    phase.send_replace(Phase::Over);
    for client in clients {
        // A client that hangs is dropped with the runtime, without its last request.
        let _ = tokio::time::timeout(LAST_REQUESTS_BOUND, client).await;
    }
    let sent_again = crashing::sent_again(&cluster).await;
    let part_checks = match &crashing_parts {
        Some(parts) => parts.check(&cluster).await,
        None => PartChecks::default(),
    };
    let requests = history.lock().expect("no panic while locked").clone();
    for request in requests.iter().filter(|a| has_foreign_body(a)) {
        println!("answer with another request's body: {request:?}");
    }
    let all = cluster.upstreams.iter().chain(&cluster.engines);
    let runs = worker_runs(all.chain(&cluster.removed_upstreams));
    let mut verdict = check_history(
        &requests,
        &runs,
        &done.departures,
        &cluster.timeline,
        &cluster.keys,
    );
    let all = cluster.upstreams.iter().chain(&cluster.removed_upstreams);
    let ignored = statements::check(all, &requests, &cluster.timeline);
    verdict.sent_to_leaving = ignored.sent_to_leaving;
    verdict.sent_in_pause = ignored.sent_in_pause;
    verdict.over_limit = ignored.over_limit;
    let last = count_last_tenant(&runs);
    wait_for_reports(&cluster, last).await;
    let usage_violations = check_usage(&cluster.cloud.calls(), last);
    verdict.reported_twice = usage_violations.reported_twice;
    verdict.badly_fenced = usage_violations.badly_fenced;
    verdict.usage_off = usage_violations.usage_off;
    verdict.keys_logged = keys_logged(&dir)?;
    verdict.sent_again = sent_again + usize::from(part_checks.sent_again);
    verdict.held_wrongly += part_checks.held_wrongly;
    let streams = streams.lock().expect("no panic while locked").clone();
    verdict.mixed_versions = count_mixed_versions(&streams);
    let continued = continued.lock().expect("no panic while locked").clone();
    let continuations = Continuations::count(&continued, &cluster.lifetimes);
    if has_long_streams {
        println!("{continuations:?}");
    }
    verdict.streams_lost = continuations.lost();
    let killed_share = continuations.killed.share();
    verdict.not_recovered = usize::from(!recovered);
    let is_served = |a: &&ClientRequest| matches!(a.end, RequestEnd::Whole(200, _));
    Ok(Summary {
        seed: args.seed,
        seconds: args.seconds,
        requests: requests.len(),
        served: requests.iter().filter(is_served).count(),
        runs: runs.len(),
        faults: done.faults,
        deadly: cluster.crashing_requests.len(),
        part_crashes: part_checks.crashes,
        part_blocked: part_checks.is_recorded,
        leaves: done.departures.len(),
        stops: cluster.timeline.stops.len(),
        in_stops: in_stops(&requests, &runs, &cluster.timeline),
        stop_counts: StopCounts::count(&requests, &sort_by_id(&runs), &cluster.timeline),
        taken_up: streams.iter().filter(|s| s.tries > 1).count(),
        resumed: streams.iter().filter(|s| s.tries > 1 && s.is_whole).count(),
        continued: continuations.counted.continued,
        went_on: continuations.counted.went_on,
        began: continuations.counted.began,
        replaced_continued: continuations.replaced.continued,
        replaced_went_on: continuations.replaced.went_on,
        replaced_began: continuations.replaced.began,
        killed_continued: continuations.killed.continued,
        killed_went_on: continuations.killed.went_on,
        killed_began: continuations.killed.began,
        killed_share,
        is_killed_share_below_aim: killed_share.is_some_and(|share| share < KILLED_SHARE_AIM),
        verdict,
    })
}

fn fault_set(args: &Args) -> FaultSet {
    match args.streams {
        true => FaultSet::WithStreams,
        false => FaultSet::Common,
    }
}

/// Counts the distinct requests of [`LAST_TENANT`] that ran.
fn count_last_tenant(runs: &[WorkerRun]) -> usize {
    let last = runs
        .iter()
        .filter(|r| r.tenant.as_deref() == Some(LAST_TENANT));
    let mut ids: Vec<&str> = last.map(|r| r.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}

/// Waits until `last` requests of [`LAST_TENANT`] are reported, for up to [`REPORT_BOUND`].
async fn wait_for_reports(cluster: &Cluster, last: usize) {
    let until = Instant::now() + REPORT_BOUND;
    while Instant::now() < until && reported_requests(&cluster.cloud.calls()) < last as u64 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Counts the process logs in a directory that contain an API key.
fn keys_logged(dir: &Path) -> std::io::Result<usize> {
    let keys = (0..TENANTS).flat_map(|n| [Key::Permanent(n), Key::Revocable(n)]);
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

/// Counts the requests that were sent to a stopping process after its signal and met no other
/// disruption. Prints those that were cut, with the times from the signal to their start and
/// end.
fn in_stops(requests: &[ClientRequest], runs: &[WorkerRun], timeline: &Timeline) -> usize {
    let runs = sort_by_id(runs);
    let mut count = 0;
    for request in requests {
        let own_runs = runs_of(&runs, &request.id);
        let (Some(stop), Some(sent)) = (
            timeline.stop_to_blame(request, own_runs),
            request.delivery.sent,
        ) else {
            continue;
        };
        count += usize::from(sent > stop.signal);
        if is_aborted(request, own_runs) {
            let sent = sent.saturating_duration_since(stop.signal);
            let ended = request.delivery.ended.duration_since(stop.signal);
            let (id, end, to) = (&request.id, &request.end, stop.gateway);
            println!(
                "cut by a stop of gateway {to}: {id}, sent {sent:?}, ended {ended:?}: {end:?}"
            );
        }
    }
    count
}

/// Returns the requests that workers ran, without the soak's probes, the requests that crash
/// workers and the gateways' own calls to engines.
fn worker_runs<'a>(upstreams: impl Iterator<Item = &'a Upstream>) -> Vec<WorkerRun> {
    let seen = upstreams.flat_map(|u| u.worker.requests());
    let is_request = |s: &ReceivedRequest| !matches!(s.path.as_str(), "/report" | "/order");
    let runs = seen.filter(|s| s.ran && is_request(s)).map(|s| WorkerRun {
        id: s.id().to_owned(),
        resumed_after: s.resume_after(),
        by_script: s.is_scripted,
        tenant: s.header("tenant").map(str::to_owned),
        shows_key: s.header("key").is_some(),
    });
    let is_probe = |r: &WorkerRun| r.id == "probe" || r.id.starts_with(CRASHING_BODY);
    runs.filter(|r| !is_probe(r)).collect()
}
