//! Logs restores of the store.

use crate::state::Gateway;
use observe::{Event, emit};
use platform::EraState;
use std::sync::Arc;

/// Logs each change of the store's era, and each kind of irregular era once, until the process
/// ends.
pub async fn log_changes(gateway: Arc<Gateway>) {
    let mut changes = gateway.store_era.subscribe();
    let mut before = EraState::default();
    loop {
        let state = *changes.borrow_and_update();
        log_change(&gateway, before, state);
        before = state;
        if changes.changed().await.is_err() {
            return;
        }
    }
}

fn log_change(gateway: &Gateway, before: EraState, now: EraState) {
    if now.era != before.era {
        emit(&Event::StoreEra {
            era: now.era,
            before: before.known_at.map(|_| before.era),
            registry: gateway.registry().position.version,
        });
    }
    let irregular = [
        (now.was_absent && !before.was_absent, "absent", None),
        (now.was_invalid && !before.was_invalid, "invalid", None),
        (
            now.older.is_some() && before.older.is_none(),
            "older",
            now.older,
        ),
    ];
    for (_, what, named) in irregular.into_iter().filter(|(is_new, ..)| *is_new) {
        emit(&Event::StoreEraIrregular {
            what,
            named,
            era: now.era,
        });
    }
}
