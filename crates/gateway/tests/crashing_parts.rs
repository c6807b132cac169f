//! Tests that prompts with a part that crashes every engine are blocked, whatever else they hold,
//! and that other prompts are served.
//!
//! Guards against this failure: prompts that had one part in common, and were else no two alike,
//! crashed 29 engines of a service with eight. Crashes were counted by the whole request, so each
//! prompt was a new one, and hosts sent such prompts on. While engines were down, most of the sound
//! prompts of the route were rejected.

#[expect(dead_code, reason = "each test file uses some of them")]
mod common;

use common::crashing::{CRASHING_PART, DETECTION_TIME, System};
use common::{status, wait_for};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of sends by all hosts together from 3 s after the fifth crash on.
const MAX_LATER_SENDS: u64 = 3;
/// Number of crashes after which that time begins, and of prompts sent to reach it.
const CRASHES: u64 = 5;
const MAX_EARLY_SENDS: usize = 40;
const LATER_PROMPTS: usize = 24;
/// Parts that sound prompts have too.
const FIRST: u64 = 0xa1;
const OTHER: u64 = 0xa2;
const PATH: &str = "/prompt/";

/// Prompts with the crashing part, and sound ones beside them.
struct Scenario {
    system: System,
    /// Paths of the prompts, in turn.
    paths: &'static [&'static str],
    /// Parts of the crashing prompt with this number, except its own last one.
    crashing: fn(u64) -> Vec<u64>,
    /// Parts of sound prompts, except their own last one. Empty if none are sent before the time
    /// from which crashing prompts are limited.
    sound_before: Vec<u64>,
    sound_after: Vec<u64>,
    next: usize,
}

impl Scenario {
    async fn start(crashing: fn(u64) -> Vec<u64>) -> Self {
        Self {
            system: System::start_engines(3, 1, 12).await,
            paths: &[PATH],
            crashing,
            sound_before: vec![FIRST, OTHER],
            sound_after: vec![FIRST, OTHER],
            next: 0,
        }
    }

    fn next(&mut self) -> (&'static str, usize) {
        self.next += 1;
        (self.paths[self.next % self.paths.len()], self.next)
    }

    async fn send_crashing(&mut self) -> String {
        let (path, id) = self.next();
        let mut parts = (self.crashing)(id as u64);
        parts.push(0x10_0000 + id as u64);
        self.system.exchange_prompt(path, id, &parts).await
    }

    async fn send_sound(&mut self, parts: &[u64]) -> u16 {
        let (path, id) = self.next();
        let parts = [parts, &[0x20_0000 + id as u64]].concat();
        self.system.send_prompt(path, id, &parts).await
    }

    /// Sends crashing prompts until five engines have crashed or the prompts are blocked, and waits
    /// until all hosts know.
    async fn crash_engines(&mut self) {
        let mut sent = 0;
        while self.system.crash_count() < CRASHES && sent < MAX_EARLY_SENDS {
            self.send_crashing().await;
            sent += 1;
            let sound = self.sound_before.clone();
            if !sound.is_empty() {
                self.send_sound(&sound).await;
            }
        }
        assert!(self.system.crash_count() >= 3);
        tokio::time::sleep(DETECTION_TIME).await;
    }

    /// Sends more crashing prompts with sound ones between them, and checks that hardly any of the
    /// former reach an engine and that the latter are served.
    async fn assert_blocked(&mut self) {
        let before = self.system.crashing_prompts_received();
        let sound = self.sound_after.clone();
        let mut served = BTreeMap::<u16, usize>::new();
        for _ in 0..LATER_PROMPTS {
            self.send_crashing().await;
            *served.entry(self.send_sound(&sound).await).or_default() += 1;
        }
        let later = self.system.crashing_prompts_received() - before;
        assert!(later <= MAX_LATER_SENDS, "{later} more sends");
        assert!(
            served.get(&200) >= Some(&(LATER_PROMPTS - 1)),
            "sound prompts got {served:?}"
        );
    }
}

#[tokio::test]
async fn a_part_in_the_middle_is_blocked_while_sound_prompts_are_served() {
    let mut scenario = Scenario::start(|_| vec![FIRST, CRASHING_PART, OTHER]).await;
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_part_is_blocked_that_no_sound_prompt_was_answered_beside() {
    let mut scenario = Scenario::start(|_| vec![FIRST, CRASHING_PART, OTHER]).await;
    scenario.sound_before = Vec::new();
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_part_among_parts_that_are_new_each_time_is_blocked() {
    let mut scenario = Scenario::start(|n| vec![FIRST, 0x300 + n, CRASHING_PART, 0x500 + n]).await;
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_part_after_different_first_parts_is_blocked_on_all_routes() {
    let mut scenario = Scenario::start(|n| vec![0x700 + n % 3, CRASHING_PART]).await;
    scenario.paths = &["/prompt/", "/prompt-again/"];
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_first_part_is_blocked() {
    let mut scenario = Scenario::start(|_| vec![CRASHING_PART, OTHER]).await;
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_part_is_blocked_on_a_route_with_several_attempts() {
    let mut scenario = Scenario::start(|_| vec![FIRST, CRASHING_PART, OTHER]).await;
    scenario.paths = &["/prompt-again/"];
    scenario.crash_engines().await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn hosts_that_start_after_all_were_killed_block_the_part() {
    let mut scenario = Scenario::start(|_| vec![FIRST, CRASHING_PART, OTHER]).await;
    scenario.crash_engines().await;
    scenario.system.hosts.clear();
    for _ in 0..3 {
        scenario.system.add_host(7012).await;
    }
    tokio::time::sleep(DETECTION_TIME).await;
    scenario.assert_blocked().await;
}

#[tokio::test]
async fn a_confirmed_part_is_rejected_for_good_with_a_reason_of_its_own() {
    let mut scenario = Scenario::start(|_| vec![FIRST, CRASHING_PART, OTHER]).await;
    scenario.crash_engines().await;
    for _ in 0..12 {
        scenario.send_crashing().await;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    for host in 0..3 {
        let answer = scenario.send_crashing().await;
        assert_eq!(status(&answer), 400, "{host}: {answer}");
        assert!(answer.contains("\"part_crashes_upstreams\""), "{answer}");
        assert!(answer.contains("\"not_run\""), "{answer}");
        assert!(!answer.to_ascii_lowercase().contains("retry-after"));
    }
}

/// Each of ten engines is crashed by a request of its own, while sound prompts share parts with
/// them: none of the parts is the cause.
#[tokio::test]
async fn parts_that_are_shared_by_crashing_requests_are_not_blocked() {
    let system = System::start_engines(3, 1, 12).await;
    for id in 0..10 {
        let crashing = [FIRST, OTHER, 0x40_0000 + id as u64];
        let headers = standin::fixture::prompt_headers(&crashing);
        let body = format!("{}-own-{id}", common::crashing::CRASH_MARKER);
        system.exchange_with(PATH, id, &headers, &body).await;
        let sound = [FIRST, OTHER, 0x41_0000 + id as u64];
        system.send_prompt(PATH, id + 1, &sound).await;
    }
    assert!(system.crash_count() >= 8);
    wait_for("engines to be back", || async {
        system
            .send_prompt(PATH, 0, &[FIRST, OTHER, 0x42_0000])
            .await
            == 200
    })
    .await;
    for id in 0..60 {
        let sound = [FIRST, OTHER, 0x43_0000 + id as u64];
        assert_eq!(system.send_prompt(PATH, id, &sound).await, 200, "{id}");
    }
}

/// Long streams with another part run wherever an engine crashes, and end with it. Guards against
/// their part being at exactly the same crashes as the cause, so that neither is blocked.
#[tokio::test]
async fn a_part_is_blocked_although_long_streams_end_with_each_engine() {
    const LONG: u64 = 0xa3;
    let system = Arc::new(System::start_engines(1, 0, 1).await);
    system.set_default_act(&standin::Action::ServeFor(40));
    let send = |path: &'static str, part: u64, id: usize| {
        let (system, parts) = (system.clone(), [part, 0x20_0000 + id as u64]);
        tokio::spawn(async move { system.exchange_prompt(path, id, &parts).await })
    };
    for id in 0..3 {
        send("/prompt/3900", LONG, 10 + id);
        tokio::time::sleep(Duration::from_millis(1400)).await;
        send("/prompt/0", CRASHING_PART, id).await.unwrap();
        tokio::time::sleep(Duration::from_millis(700)).await;
    }
    assert_eq!(system.crash_count(), 3);
    // The first one is a trial.
    send("/prompt/0", CRASHING_PART, 4).await.unwrap();
    tokio::time::sleep(Duration::from_millis(700)).await;
    let answer = send("/prompt/0", CRASHING_PART, 5).await.unwrap();
    assert!(answer.contains("part_crash"), "{answer}");
}

/// Eight engines that are down for 2 s after each crash, and more crashing prompts than they can
/// bear. Guards against sound prompts being rejected with the crashing ones, as the parts that all
/// prompts of the route share are at each crash.
#[tokio::test]
async fn sound_prompts_go_on_while_engines_crash_in_a_row() {
    let (latency, downtime) = (Duration::from_millis(120), Duration::from_secs(2));
    let system = System::start_slow_engines(3, 1, 8, latency, downtime).await;
    let mut load = Load {
        system: Arc::new(system),
        next: 0,
    };
    let before = load.run_for(Duration::from_secs(2), false).await;
    let since = Instant::now();
    while load.system.crash_count() < CRASHES && since.elapsed() < Duration::from_secs(3) {
        load.run_for(Duration::from_millis(100), true).await;
    }
    load.run_for(DETECTION_TIME, true).await;
    let received = load.system.crashing_prompts_received();
    load.run_for(DETECTION_TIME, true).await;
    let after = load.run_for(Duration::from_secs(4), true).await;
    let later = load.system.crashing_prompts_received() - received;
    assert!(later <= MAX_LATER_SENDS, "{later} more sends");
    assert!(before > 0.9, "{before} of the sound prompts were served");
    assert!(
        after >= before / 2.0,
        "{after} of the sound prompts were served, {before} before"
    );
}

/// A steady rate of prompts to all hosts.
struct Load {
    system: Arc<System>,
    next: usize,
}

impl Load {
    /// Sends prompts for a while, with the crashing part in one of ten if `has_crashing` is set.
    /// Returns the share of the sound ones whose answers have begun.
    async fn run_for(&mut self, time: Duration, has_crashing: bool) -> f64 {
        const PAUSE: Duration = Duration::from_millis(25);
        const CRASHING_EVERY: usize = 10;
        let (until, mut sound) = (Instant::now() + time, Vec::new());
        while Instant::now() < until {
            self.next += 1;
            let (system, id) = (self.system.clone(), self.next);
            let own = 0x10_0000 + id as u64;
            if has_crashing && id.is_multiple_of(CRASHING_EVERY) {
                let parts = [FIRST, CRASHING_PART, OTHER, own];
                tokio::spawn(async move { system.send_prompt(PATH, id, &parts).await });
            } else {
                let parts = [FIRST, OTHER, own];
                let call = async move { system.send_prompt(PATH, id, &parts).await };
                sound.push(tokio::spawn(call));
            }
            tokio::time::sleep(PAUSE).await;
        }
        let (sent, mut begun) = (sound.len(), 0);
        for call in sound {
            begun += usize::from(call.await.unwrap() == 200);
        }
        begun as f64 / sent as f64
    }
}
