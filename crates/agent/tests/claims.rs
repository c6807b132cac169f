//! Tests that only one call runs per idempotency key, whatever faults the table service has.

use agent::claims::{ClaimResult, Claims};
use fakes::serve::FakeServer;
use fakes::table::FakeTable;
use fakes::{Faults, RunningServer, start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::rows::{Claim, ClaimState, KeptAnswer, decode};
use store::{HttpPlatform, Table};
use wire::RequestId;

const TIMEOUT: Duration = Duration::from_millis(300);
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const KEY: &str = "claim/s/t/key/k";

struct Setup {
    table: Arc<FakeTable>,
    platform: HttpPlatform,
    _running: RunningServer,
}

async fn setup() -> Setup {
    let table = Arc::<FakeTable>::default();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let running = start(any, table.clone()).await.unwrap();
    let (t, o, h) = (running.addr, running.addr, running.addr);
    let platform = conf::Platform {
        table: t,
        objects: o,
        hosts: h,
        timeout: TIMEOUT,
    };
    Setup {
        table,
        platform: HttpPlatform::new(&platform),
        _running: running,
    }
}

fn claim(request: u128, attempt: u32, agent: &str) -> Claim {
    Claim {
        request: RequestId(request),
        attempt,
        agent: agent.to_owned(),
        digest: 1,
        state: ClaimState::Held,
        made_ms: 0,
    }
}

async fn read_claim(setup: &Setup, key: &str) -> Option<Claim> {
    let rows = setup.platform.read(vec![key.to_owned()]).await.unwrap();
    rows.first().and_then(|r| decode(&r.value))
}

async fn wait_for_state(setup: &Setup, key: &str, is_expected: impl Fn(&Option<Claim>) -> bool) {
    let wait = async {
        while !is_expected(&read_claim(setup, key).await) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the row reaches the expected state in time");
}

#[tokio::test]
async fn one_of_many_concurrent_claims_of_a_key_wins() {
    let setup = setup().await;
    let agents: Vec<_> = (0..4)
        .map(|i| Claims::start(setup.platform.clone(), format!("a{i}")))
        .collect();
    let mut tasks = Vec::new();
    for n in 0..40u128 {
        let agent = agents[n as usize % agents.len()].clone();
        let key = format!("claim/s/t/key/{}", n % 5);
        tasks.push(tokio::spawn(async move {
            agent.claim(key, claim(n, 1, "a"), true).await
        }));
    }
    let mut won = Vec::new();
    for t in tasks {
        match t.await.unwrap() {
            ClaimResult::Won(held) => won.push(held.key),
            ClaimResult::InUse => {}
            other => panic!("{other:?}"),
        }
    }
    won.sort();
    assert_eq!(won.len(), 5);
    won.dedup();
    assert_eq!(won.len(), 5);
}

#[tokio::test]
async fn a_stored_answer_is_returned_to_a_repeat_through_any_agent() {
    let setup = setup().await;
    let (a, b) = (
        Claims::start(setup.platform.clone(), "a".into()),
        Claims::start(setup.platform.clone(), "b".into()),
    );
    let ClaimResult::Won(held) = a.claim(KEY.into(), claim(1, 1, "a"), true).await else {
        panic!()
    };
    let kept = KeptAnswer {
        status: 200,
        content_type: None,
        body: "done".into(),
    };
    a.finish(held, ClaimState::Answered(kept.clone()));
    a.flush(WAIT_TIMEOUT).await;
    assert_eq!(
        b.claim(KEY.into(), claim(2, 1, "b"), true).await,
        ClaimResult::Kept(kept)
    );
    let other = Claim {
        digest: 2,
        ..claim(3, 1, "b")
    };
    assert_eq!(
        b.claim(KEY.into(), other, true).await,
        ClaimResult::OtherCall
    );
}

#[tokio::test]
async fn a_write_whose_answer_is_lost_is_resolved_by_reading_back() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    setup.table.injector().set(Faults {
        lose_answers: 1,
        ..Faults::default()
    });
    let got = a.claim(KEY.into(), claim(1, 1, "a"), true).await;
    assert!(matches!(got, ClaimResult::Won(_)), "{got:?}");
}

#[tokio::test]
async fn while_the_table_service_is_down_no_claim_is_made_and_the_key_stays_free() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    setup.table.injector().set(Faults {
        down: true,
        ..Faults::default()
    });
    assert_eq!(
        a.claim(KEY.into(), claim(1, 1, "a"), true).await,
        ClaimResult::Unavailable
    );
    setup.table.injector().set(Faults::default());
    assert!(matches!(
        a.claim(KEY.into(), claim(2, 1, "a"), true).await,
        ClaimResult::Won(_)
    ));
}

/// The write is applied, but its response is lost and the table service stays unreachable. The
/// claim is given up, and later released so that the key can be used again.
#[tokio::test]
async fn a_claim_that_was_given_up_is_released() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    setup.table.injector().set(Faults {
        lose_answers: 100,
        ..Faults::default()
    });
    assert_eq!(
        a.claim(KEY.into(), claim(1, 1, "a"), true).await,
        ClaimResult::Unavailable
    );
    setup.table.injector().set(Faults::default());
    wait_for_state(&setup, KEY, |c| {
        c.as_ref().is_some_and(|c| c.state == ClaimState::Released)
    })
    .await;
    assert!(matches!(
        a.claim(KEY.into(), claim(2, 1, "a"), true).await,
        ClaimResult::Won(_)
    ));
}

/// The write hangs and is applied only after the claim was given up. The release must either
/// prevent the write or find its row.
#[tokio::test]
async fn a_claim_written_after_it_was_given_up_never_blocks_the_key() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    setup.table.injector().set(Faults {
        hang: true,
        ..Faults::default()
    });
    assert_eq!(
        a.claim(KEY.into(), claim(1, 1, "a"), true).await,
        ClaimResult::Unavailable
    );
    setup.table.injector().set(Faults::default());
    wait_for_state(&setup, KEY, |c| {
        c.as_ref().is_some_and(|c| c.state == ClaimState::Released)
    })
    .await;
}

#[tokio::test]
async fn a_later_attempt_takes_over_only_if_no_earlier_one_has_run() {
    let setup = setup().await;
    let (a, b) = (
        Claims::start(setup.platform.clone(), "a".into()),
        Claims::start(setup.platform.clone(), "b".into()),
    );
    assert!(matches!(
        a.claim(KEY.into(), claim(1, 1, "a"), true).await,
        ClaimResult::Won(_)
    ));
    assert_eq!(
        b.claim(KEY.into(), claim(1, 2, "b"), false).await,
        ClaimResult::InUse
    );
    assert!(matches!(
        b.claim(KEY.into(), claim(1, 2, "b"), true).await,
        ClaimResult::Won(_)
    ));
    assert_eq!(
        a.claim(KEY.into(), claim(1, 1, "a"), true).await,
        ClaimResult::InUse
    );
}

/// As above, but over a row that was released before. The lost write is conditional on the version
/// of that row, so the release must change the version.
#[tokio::test]
async fn a_given_up_claim_over_a_released_row_never_blocks_the_key() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    let ClaimResult::Won(held) = a.claim(KEY.into(), claim(1, 1, "a"), true).await else {
        panic!()
    };
    a.finish(held, ClaimState::Released);
    a.flush(WAIT_TIMEOUT).await;
    // The first write conflicts with the released row. The second one, over that row, hangs until
    // the claim is given up.
    let probe = a.claim(KEY.into(), claim(2, 1, "a"), true);
    let (got, ()) = tokio::join!(probe, async {
        while setup.table.history().refused == 0 {
            tokio::task::yield_now().await;
        }
        setup.table.injector().set(Faults {
            hang: true,
            ..Faults::default()
        });
    });
    setup.table.injector().set(Faults::default());
    if got == ClaimResult::Unavailable {
        let released = |c: &Option<Claim>| {
            let ours = |c: &Claim| c.request == RequestId(2) && c.state == ClaimState::Released;
            c.as_ref().is_some_and(ours)
        };
        wait_for_state(&setup, KEY, released).await;
    } else {
        assert!(matches!(got, ClaimResult::Won(_)), "{got:?}");
    }
}

#[tokio::test]
async fn many_claims_share_few_transactions() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    let tasks: Vec<_> = (0..100u128)
        .map(|n| {
            let a = a.clone();
            tokio::spawn(async move {
                a.claim(format!("claim/s/t/key/{n}"), claim(n, 1, "a"), true)
                    .await
            })
        })
        .collect();
    for t in tasks {
        assert!(matches!(t.await.unwrap(), ClaimResult::Won(_)));
    }
    let commits = setup.table.history().commits;
    assert!(commits <= 20, "{commits} transactions for 100 claims");
}

/// Final states share transactions. If one claim was taken over in the meantime, the others must
/// still be written.
#[tokio::test]
async fn final_states_share_transactions_and_a_conflict_affects_no_other_claim() {
    let setup = setup().await;
    let a = Claims::start(setup.platform.clone(), "a".into());
    let mut held = Vec::new();
    for n in 0..30u128 {
        let key = format!("claim/s/t/key/{n}");
        let ClaimResult::Won(h) = a.claim(key, claim(n, 1, "a"), true).await else {
            panic!()
        };
        held.push(h);
    }
    let taken = claim(0, 2, "b");
    let b = Claims::start(setup.platform.clone(), "b".into());
    let over = b.claim(held[0].key.clone(), taken.clone(), true).await;
    assert!(matches!(over, ClaimResult::Won(_)));
    let before = setup.table.history().commits;
    for h in held {
        a.finish(h, ClaimState::TooLargeToKeep);
    }
    a.flush(WAIT_TIMEOUT).await;
    let commits = setup.table.history().commits - before;
    assert!(commits <= 10, "{commits} transactions for 30 ends");
    assert_eq!(read_claim(&setup, "claim/s/t/key/0").await, Some(taken));
    let last = read_claim(&setup, "claim/s/t/key/29").await.unwrap();
    assert_eq!(last.state, ClaimState::TooLargeToKeep);
}
