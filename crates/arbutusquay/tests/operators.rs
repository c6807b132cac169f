//! The operator commands, and how documents come into force.

use bench::deploy::admin_addr;
use bench::scrape::document_versions;
use bench::testbed::{
    ENGINE_SERVICE, PLAIN_SERVICE, POLL_INTERVAL, WAIT_TIMEOUT, is_complete, lookup, reply, testbed,
};
use fakes::Faults;
use fakes::serve::FakeServer;
use std::path::Path;

/// Path of the binary under test.
const BINARY: &str = env!("CARGO_BIN_EXE_arbutusquay");

fn write(dir: &Path, name: &str, text: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

async fn binary(args: &[&str]) -> bench::procs::Output {
    bench::procs::run_command(Path::new(BINARY), args)
        .await
        .unwrap()
}

#[tokio::test]
async fn help_lists_every_command_and_wrong_usage_exits_with_2() {
    let help = binary(&["--help"]).await;
    assert_eq!(help.code, Some(0));
    for name in [
        "entry",
        "agent",
        "check",
        "apply",
        "show",
        "status",
        "report",
        "Exit codes",
    ] {
        assert!(help.stdout.contains(name), "{name}: {}", help.stdout);
    }
    assert_eq!(binary(&["bogus"]).await.code, Some(2));
    assert_eq!(binary(&["entry"]).await.code, Some(2));
    assert_eq!(
        binary(&["entry", "--settings", "/nowhere"]).await.code,
        Some(2)
    );
    assert_eq!(binary(&["check", "/nowhere"]).await.code, Some(2));
}

#[tokio::test]
async fn check_prints_every_fault_with_its_position() {
    let dir = std::env::temp_dir().join(format!("check-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let file = write(
        &dir,
        "d.yaml",
        "service: s\nkind: plain\nshare: 3\nwrong: 1\n",
    );
    let out = binary(&["check", &file]).await;
    assert_eq!(out.code, Some(2));
    assert!(
        out.stderr.contains("d.yaml:3:8: expected a share"),
        "{}",
        out.stderr
    );
    assert!(
        out.stderr.contains("d.yaml:4:1: unknown field `wrong`"),
        "{}",
        out.stderr
    );
    let big = write(&dir, "big.yaml", &"# filler\n".repeat(1_200_000));
    assert_eq!(binary(&["check", &big]).await.code, Some(2));
    std::fs::remove_dir_all(&dir).unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_concurrent_edits_one_is_accepted_and_the_other_gets_a_diff() {
    let bed = testbed(BINARY, 1).await;
    let shown = bed.site.command(&["show", PLAIN_SERVICE]).await.unwrap();
    assert_eq!(shown.code, Some(0));
    let edit = |deadline: &str| shown.stdout.replace("deadline: 5s", deadline);
    let a = write(bed.site.dir(), "a.yaml", &edit("deadline: 6s"));
    let b = write(bed.site.dir(), "b.yaml", &edit("deadline: 7s"));
    let (args_a, args_b) = (["apply", a.as_str()], ["apply", b.as_str()]);
    let (a, b) = tokio::join!(bed.site.command(&args_a), bed.site.command(&args_b));
    let (a, b) = (a.unwrap(), b.unwrap());
    let mut codes = [a.code.unwrap(), b.code.unwrap()];
    codes.sort_unstable();
    assert_eq!(codes, [0, 1], "{} {}", a.stderr, b.stderr);
    let (won, lost) = if a.code == Some(0) {
        ("6s", b)
    } else {
        ("7s", a)
    };
    assert!(
        lost.stdout.contains(&format!("-    deadline: {won}")),
        "{}",
        lost.stdout
    );
    let now = bed.site.command(&["show", PLAIN_SERVICE]).await.unwrap();
    assert!(now.stdout.contains(&format!("deadline: {won}")));
    let first = write(bed.site.dir(), "c.yaml", &bed.site.documents()[1]);
    assert_eq!(
        bed.site.command(&["apply", &first]).await.unwrap().code,
        Some(2),
        "no version"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_with_a_lost_answer_is_resolved_and_an_outage_exits_with_3() {
    let bed = testbed(BINARY, 1).await;
    let shown = bed.site.command(&["show", PLAIN_SERVICE]).await.unwrap();
    let file = write(
        bed.site.dir(),
        "a.yaml",
        &shown.stdout.replace("deadline: 5s", "deadline: 6s"),
    );
    bed.site.table.injector().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let out = bed.site.command(&["apply", &file]).await.unwrap();
    assert_eq!(out.code, Some(0), "{}", out.stderr);
    bed.site.table.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    for args in [
        vec!["apply", &file],
        vec!["show", PLAIN_SERVICE],
        vec!["status"],
    ] {
        let out = bed.site.command(&args).await.unwrap();
        assert_eq!(out.code, Some(3), "{args:?}: {}", out.stderr);
    }
    bed.site.objects.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    let out = bed
        .site
        .command(&["report", "--service", PLAIN_SERVICE])
        .await
        .unwrap();
    assert_eq!(out.code, Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_applied_document_takes_effect_in_every_process() {
    let bed = testbed(BINARY, 2).await;
    let shown = bed.site.command(&["show", PLAIN_SERVICE]).await.unwrap();
    let text = shown.stdout.replace("name: lookup", "name: vraag");
    let file = write(bed.site.dir(), "a.yaml", &text);
    let out = bed.site.command(&["apply", &file]).await.unwrap();
    assert_eq!(out.code, Some(0), "{}", out.stderr);
    let version: u64 = out
        .stdout
        .split_whitespace()
        .nth(2)
        .unwrap()
        .parse()
        .unwrap();
    let wait = async {
        while !in_force(&bed.site, version).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the document comes into force");
    for entry in 0..2 {
        let ask = bench::mix::ClientRequest {
            class: "vraag",
            ..lookup("/status/1")
        };
        let sent = bed.client(entry).send(ask).await;
        assert!(is_complete(&sent), "{:?}", sent.result);
    }
}

/// Returns whether all entries, and all agents of the plain service, use a document version.
async fn in_force(site: &bench::site::Site, version: u64) -> bool {
    let agents = site.workers.iter().filter(|w| w.service == PLAIN_SERVICE);
    let addrs = site
        .entry_addrs()
        .into_iter()
        .chain(agents.map(|w| w.listen));
    for addr in addrs {
        let seen = document_versions(admin_addr(addr)).await.unwrap().versions;
        if !seen.contains(&(PLAIN_SERVICE.to_owned(), version)) {
            return false;
        }
    }
    true
}

#[tokio::test(flavor = "multi_thread")]
async fn a_model_change_reaches_every_engine_and_aborts_no_stream() {
    let bed = testbed(BINARY, 3).await;
    let load: Vec<_> = (0..30)
        .map(|n| {
            let caller = bed.client(n % 2);
            tokio::spawn(async move { caller.send(reply(&format!("s {n}"), 200)).await })
        })
        .collect();
    let shown = bed.site.command(&["show", ENGINE_SERVICE]).await.unwrap();
    let file = write(
        bed.site.dir(),
        "m.yaml",
        &shown.stdout.replace("7b, version: 1", "7b, version: 2"),
    );
    assert_eq!(
        bed.site.command(&["apply", &file]).await.unwrap().code,
        Some(0)
    );
    let changed = |e: &std::sync::Arc<fakes::engine::FakeEngine>| {
        let orders = e.history().orders;
        orders.last().is_some_and(|o| o.order.model.version == 2)
    };
    bench::testbed::wait_until("the new model", || bed.engines().iter().all(changed)).await;
    for t in load {
        let sent = t.await.unwrap();
        assert!(is_complete(&sent), "{:?}", sent.result);
    }
    for e in bed.engines() {
        for o in e.history().orders {
            assert!(!o.conflicting && !o.stale_effective && o.cut == 0, "{o:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_and_the_metrics_count_served_requests() {
    let bed = testbed(BINARY, 1).await;
    for n in 0..5 {
        assert!(is_complete(
            &bed.client(n % 2).send(lookup("/status/1")).await
        ));
    }
    let wait = async {
        loop {
            let out = bed
                .site
                .command(&["report", "--service", PLAIN_SERVICE, "--json"])
                .await
                .unwrap();
            let report: serde_json::Value = serde_json::from_str(&out.stdout).unwrap();
            if report["all"]["served"] == 5 {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the report has all five");
    let admin = admin_addr(bed.site.entries[0].addr);
    let req = hyper::Request::builder()
        .uri("/metrics")
        .header("host", "t")
        .body(net::empty())
        .unwrap();
    let (_, text) = net::Pool::new(admin, WAIT_TIMEOUT)
        .call(req, 1 << 20, WAIT_TIMEOUT)
        .await
        .unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let want = "arbutusquay_requests_total{class=\"lookup\",outcome=\"answered\",reason=\"\",service=\"ledenportaal\"}";
    assert!(text.contains(want), "{text}");
    assert!(text.contains(
        "arbutusquay_tenant_first_byte_seconds_bucket{service=\"ledenportaal\",tenant=\"ann\""
    ));
}
