//! Reports open streams to the checkpoint writers, and writes reported streams to the store.

use super::exchange::{can_accept_record, host_start, own_status, send, update_members};
use super::message::{Message, RawCopy, RawStatus, RawStream};
use super::{exchange, rows, unsaved_origins};
use crate::monotonic;
use crate::state::Gateway;
use observe::{Event, emit};
use origins::{Checkpoint, Lookup, OriginRecord, ReplicatedBy, Report, StreamId};
use std::net::IpAddr;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

/// Timeout for a write to the store.
const WRITE_TIMEOUT: Duration = Duration::from_millis(800);

/// Records that this host serves a stream, so that it is reported to the writers.
pub fn open(gateway: &Gateway, stream: StreamId, record: OriginRecord) {
    let mut open_streams = gateway.origins.open_streams();
    open_streams.open(stream, record, monotonic::now());
    drop(open_streams);
    gateway.origins.changed.notify_one();
}

/// Records that the stream that an attempt began is complete.
pub fn end(gateway: &Gateway, attempt: &str) {
    gateway.origins.open_streams().end(StreamId::of(attempt));
}

/// Sends the reports that are due. Streams of a service with a single version aren't reported, as
/// they can be resumed without an origin.
pub(super) fn send_reports(gateway: &Gateway) {
    let origins = &gateway.origins;
    if origins.open_streams().is_empty() || !gateway.peers().is_membership_known() {
        return;
    }
    update_members(gateway);
    let now = monotonic::now();
    let services = gateway.fleet().services_with_several_versions(now);
    let is_stopping = gateway.stop.is_stopped();
    let writers = origins.replicas().checkpoint_writers(is_stopping);
    let reports = origins.open_streams().due(&writers, &services, now);
    for report in reports {
        if report.to == gateway.host().ip {
            apply_own_report(gateway, &report, now);
        } else {
            send_report(gateway, &report, now);
        }
    }
}

/// Applies the report of this host to its own checkpoint.
fn apply_own_report(gateway: &Gateway, report: &Report, now: Instant) {
    let mut checkpoint = gateway.origins.checkpoint();
    for (stream, record) in &report.open {
        checkpoint.add(*stream, *record, now);
    }
    for stream in &report.ended {
        checkpoint.remove(*stream);
    }
    drop(checkpoint);
    let own = host_start(report.to, own_status(gateway));
    let mut open_streams = gateway.origins.open_streams();
    for (stream, _) in &report.open {
        open_streams.confirm(*stream, own);
    }
    gateway.origins.checkpoint_changed.notify_one();
}

fn send_report(gateway: &Gateway, report: &Report, now: Instant) {
    let max = exchange::MAX_ORIGINS_PER_DATAGRAM;
    let status = own_status(gateway);
    for batch in report.open.chunks(max) {
        let copies = exchange::encode_copies(gateway, batch);
        send(
            gateway,
            report.to,
            &Message::Report(status, copies, Vec::new()),
        );
        gateway.origins.replicas().record_request(report.to, now);
    }
    for batch in report.ended.chunks(max) {
        let ended = batch.iter().map(|stream| (*stream).into()).collect();
        send(
            gateway,
            report.to,
            &Message::Report(status, Vec::new(), ended),
        );
    }
}

/// Records a report from another host, and returns the open streams to confirm.
pub(super) fn record_report(
    gateway: &Gateway,
    copies: &[RawCopy],
    ended: &[RawStream],
    now: Instant,
) -> Vec<RawStream> {
    let mut recorded = Vec::with_capacity(copies.len());
    for copy in copies {
        let record = copy.record.decode(now);
        let is_accepted = |r: &OriginRecord| can_accept_record(gateway, r, copy.is_verified);
        let Some(record) = record.filter(is_accepted) else {
            continue;
        };
        let stream = copy.stream.into();
        let mut replicas = gateway.origins.replicas();
        replicas.record(stream, record, None, ReplicatedBy::OtherHost, now);
        drop(replicas);
        gateway.origins.checkpoint().add(stream, record, now);
        recorded.push(copy.stream);
    }
    let mut checkpoint = gateway.origins.checkpoint();
    for stream in ended {
        checkpoint.remove((*stream).into());
    }
    drop(checkpoint);
    if !recorded.is_empty() {
        gateway.origins.checkpoint_changed.notify_one();
    }
    recorded
}

/// Records which streams a writer has added to its checkpoint.
pub(super) fn record_confirmation(
    gateway: &Gateway,
    from: IpAddr,
    status: RawStatus,
    streams: Vec<RawStream>,
) {
    let writer = host_start(from, status);
    let mut open_streams = gateway.origins.open_streams();
    for stream in streams {
        open_streams.confirm(stream.into(), writer);
    }
}

/// Streams whose origins are certain.
pub(super) fn certain_streams(
    gateway: &Gateway,
    streams: Vec<(StreamId, OriginRecord)>,
) -> Vec<(StreamId, OriginRecord)> {
    let now = monotonic::now();
    let replicas = gateway.origins.replicas();
    let is_certain = |stream: StreamId| matches!(replicas.find(stream, now), Lookup::Known(_));
    let streams = streams.into_iter();
    streams.filter(|(stream, _)| is_certain(*stream)).collect()
}

/// Writes the checkpoint to the row of this host whenever a write is due, until the process ends.
pub async fn write(gateway: Arc<Gateway>) {
    // The row of a former process is read with the others, and its streams are written again.
    rows::wait_for_first_read(&gateway).await;
    loop {
        let place = {
            let is_stopping = gateway.stop.is_stopped();
            gateway.origins.replicas().checkpoint_place(is_stopping)
        };
        let write_at = gateway.origins.checkpoint().write_at(place);
        let due = async {
            match write_at {
                Some(at) => tokio::time::sleep_until(at.into()).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = due => write_once(&gateway).await,
            () = gateway.origins.checkpoint_changed.notified() => {}
        }
    }
}

/// Writes the checkpoint. A failed write is repeated.
async fn write_once(gateway: &Arc<Gateway>) {
    let began_at = monotonic::now();
    let streams = gateway.origins.checkpoint().begin_write(began_at);
    let streams = match gateway.stop.is_stopped() {
        false => certain_streams(gateway, streams),
        // The row may already hold what was saved for the end of this process.
        true => unsaved_origins(gateway),
    };
    let written = rows::write(gateway, &streams, WRITE_TIMEOUT).await;
    if written.is_err() {
        gateway
            .origins
            .checkpoint()
            .record_failure(monotonic::now());
    }
    emit(&Event::StreamsCheckpointed {
        streams: *written.as_ref().unwrap_or(&0),
        total: streams.len(),
        took_ms: monotonic::elapsed(began_at).as_millis() as u64,
        why: written.err().map(|e| e.to_string()),
    });
}

impl super::Origins {
    /// Streams that this host stores as a checkpoint writer.
    pub(super) fn checkpoint(&self) -> MutexGuard<'_, Checkpoint> {
        self.checkpoint.lock().expect("no panic while locked")
    }
}
