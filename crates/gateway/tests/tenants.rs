//! Tests the lookup of tenants by key, compared to a linear search, and the admission of requests.

#[expect(dead_code, reason = "each test file uses a part of it")]
mod fixtures;

use fixtures::{configuration, route, runner};
use gateway::fleet::Fleet;
use gateway::routes::{Caller, Denied, RouteTable};
use gateway::tenants::TenantTable;
use platform::{ApiKey, Tenant};
use proptest::collection::vec;
use proptest::prelude::*;

fn key(n: u8) -> ApiKey {
    ApiKey::new(&[n])
}

fn tenant(n: usize, keys: &[u8], priority: Option<u32>) -> Tenant {
    Tenant {
        name: format!("t{n}"),
        keys: keys.iter().map(|k| key(*k)).collect(),
        priority,
        quota: None,
    }
}

#[test]
fn key_lookup_matches_a_linear_search() {
    let versions = vec(vec(vec(0u8..24, 0..4), 0..6), 1..5);
    runner()
        .run(&versions, |versions| {
            let mut table: Option<TenantTable> = None;
            let mut seen = [false; 24];
            for (version, tenants) in versions.iter().enumerate() {
                let tenants: Vec<Tenant> = tenants
                    .iter()
                    .enumerate()
                    .map(|(n, keys)| tenant(n, keys, None))
                    .collect();
                let next = TenantTable::new(version as u64 + 1, &tenants, table.as_ref());
                for n in 0..24 {
                    let holder = tenants.iter().find(|t| t.keys.contains(&key(n)));
                    let found = next.holder(key(n)).map(|t| &*next.get(t).name);
                    prop_assert_eq!(found, holder.map(|t| t.name.as_str()));
                    seen[usize::from(n)] |= holder.is_some();
                    let was_removed = next.removed(key(n)).is_some();
                    prop_assert_eq!(was_removed, seen[usize::from(n)] && holder.is_none());
                }
                table = Some(next);
            }
            Ok(())
        })
        .unwrap();
}

fn table(version: u64, tenants: Option<Vec<Tenant>>, before: Option<&RouteTable>) -> RouteTable {
    let mut open = route("open", "a.example", "/open/");
    open.is_open = true;
    let mut config = configuration(vec![route("closed", "a.example", "/"), open]);
    config.version = version;
    config.tenants = tenants;
    RouteTable::new(config, &mut Fleet::default(), before)
}

#[test]
fn a_route_that_is_not_open_requires_a_valid_key() {
    let first = table(1, Some(vec![tenant(0, &[1, 2], Some(4))]), None);
    let closed = first.find("a.example", "/x").unwrap();
    let open = first.find("a.example", "/open/x").unwrap();
    assert_eq!(first.admit(closed, None), Err(Denied::NoKey));
    assert_eq!(first.admit(closed, Some(key(9))), Err(Denied::UnknownKey));
    let caller = first.admit(closed, Some(key(1))).unwrap();
    assert_eq!(first.tenant(caller).unwrap().priority, Some(4));
    // An open route allows all requests, and still identifies the tenant of a known key.
    assert_eq!(first.admit(open, None), Ok(Caller::Anonymous));
    assert_eq!(first.admit(open, Some(key(9))), Ok(Caller::Anonymous));
    assert_eq!(first.admit(open, Some(key(1))), Ok(caller));

    let second = table(5, Some(vec![tenant(0, &[2], None)]), Some(&first));
    let closed = second.find("a.example", "/x").unwrap();
    assert_eq!(second.admit(closed, Some(key(1))), Err(Denied::RemovedKey));
    let removed = second.tenants().unwrap().removed(key(1)).unwrap();
    assert_eq!((&*removed.tenant, removed.version), ("t0", 5));
    assert_eq!(second.tenants().unwrap().removed_count(5), 1);
}

#[test]
fn without_a_tenant_list_all_requests_are_allowed_and_with_an_empty_one_none() {
    let unused = table(1, None, None);
    let closed = unused.find("a.example", "/x").unwrap();
    assert_eq!(unused.admit(closed, None), Ok(Caller::Unrestricted));
    let empty = table(2, Some(Vec::new()), Some(&unused));
    let closed = empty.find("a.example", "/x").unwrap();
    assert_eq!(empty.admit(closed, Some(key(1))), Err(Denied::UnknownKey));
}
