//! Whether the whole system starts for the first time.
//!
//! Hosts spread their calls to the store then, and assume that nothing happened before. Settings may
//! still claim the first start long after it, so the claim is checked: the version record is created
//! before the first stream begins, and is never removed.

use crate::follow::StoreClient;
use crate::state::Gateway;
use crate::versions::check_first_start;
use observe::{Event, emit};
use std::sync::Arc;
use std::time::Duration;

/// Timeout for reading the record.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// Decides whether the whole system starts for the first time. If the settings claim it, the
/// store is read once and has to confirm it.
pub async fn decide(gateway: &Arc<Gateway>) {
    let is_claimed = gateway.host().is_first_start;
    gateway.set_first_start(is_claimed && is_confirmed(gateway).await);
}

async fn is_confirmed(gateway: &Arc<Gateway>) -> bool {
    let mut client = StoreClient::new(gateway);
    gateway.metrics.count_store_read("versions", "initial");
    let read = tokio::select! {
        read = client.store().versions(ANSWER_TIMEOUT) => read,
        () = gateway.stop.stopped() => return false,
    };
    let objection = check_first_start(gateway, &read);
    emit(&Event::FirstStart {
        is_shown: objection.is_none(),
        why: objection
            .clone()
            .unwrap_or_else(|| "there is no version record".to_owned()),
    });
    objection.is_none()
}
