//! Relays an answer to the client, and resumes a broken stream at another upstream if allowed.

use crate::account::Account;
use crate::answer::{Outcome, Reason};
use crate::attempt::{
    AttemptResult, BodyRest, Failure, StartedAnswer, log_failed_attempt, record_failure_at,
};
use crate::completeness::{BodyMonitor, Completeness};
use crate::crashes;
use crate::crashes::broken::connection_broke;
use crate::crashes::unanswered;
use crate::events::EventSplitter;
use crate::monotonic;
use crate::serve::{AnswerProgress, Call, StreamGuard};
use crate::state::LoadGuard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use net::{Body, BodySender, full, stream};
use platform::{RouteKind, header};
use std::time::{Duration, Instant};

/// Chunks of an answer that are buffered for a slow client before reads from the upstream pause.
const MAX_BUFFERED_CHUNKS: usize = 8;
/// Time after the deadline in which buffered bytes are still relayed, so that an answer that has
/// just ended is delivered.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after which an upstream that generates isn't crashed by a part of the prompt any more. Such a
/// crash happens as the answer begins.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Responds to the client with an upstream's answer.
pub fn relay_answer(
    mut call: Call,
    mut account: Account,
    started: StartedAnswer,
) -> Response<Body> {
    account.first_byte_after = Some(monotonic::elapsed(account.received_at));
    account.status = started.status.as_u16();
    account.body = Some(started.monitor);
    let headers = header::client_response_headers(&started.headers);
    let body = match started.rest {
        None => {
            if started.monitor.completeness() == Completeness::Whole {
                crashes::mark_answered(&call, &mut account);
                call.end_stream();
            }
            call.record_duration(&account, Duration::ZERO);
            account.close(Outcome::Answered, None);
            full(started.first.unwrap_or_default())
        }
        Some(rest) => {
            let (tx, body) = stream(MAX_BUFFERED_CHUNKS);
            let is_resumable = call.target().route.kind == RouteKind::ResumableStream
                && started.monitor.consists_of_events();
            if is_resumable {
                call.begin_stream(&mut account, started.version);
            }
            let stream_relay = StreamRelay {
                _stream_guard: call.track_stream(),
                splitter: is_resumable.then(|| EventSplitter::after(call.last_event)),
                call,
                account,
                tx,
                load: started.load,
                unsent: None,
                client_wait: Duration::ZERO,
                monitor: started.monitor,
                begun_at: monotonic::now(),
                has_survived: false,
            };
            tokio::spawn(stream_relay.run(started.first, rest));
            body
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = started.status;
    *res.headers_mut() = headers;
    res
}

/// Copies a stream from its upstream to the client.
struct StreamRelay {
    call: Call,
    account: Account,
    tx: BodySender,
    load: LoadGuard,
    /// Data from the upstream that has yet to be sent.
    unsent: Option<Bytes>,
    /// Total time spent waiting for the client.
    client_wait: Duration,
    _stream_guard: StreamGuard,
    /// Monitor of the current upstream's answer.
    monitor: BodyMonitor,
    /// Time at which that answer began.
    begun_at: Instant,
    /// Whether that upstream has generated for [`SURVIVAL_TIME`].
    has_survived: bool,
    /// Present for streams that may be resumed.
    splitter: Option<EventSplitter>,
}

/// How the copying of a stream ended.
enum StreamEnd {
    /// The stream is whole, as far as its end shows.
    Whole,
    /// The upstream broke off the stream.
    Broken(String),
    /// The upstream sent something other than the rest of the stream.
    Malformed(String),
    /// The client disconnected.
    ClientGone,
    /// The deadline or the timeout passed, or the process exits.
    TimedOut(Reason),
}

impl StreamRelay {
    async fn run(mut self, first: Option<Bytes>, rest: BodyRest) {
        let mut next = Some((first, Some(rest)));
        while let Some((first, rest)) = next.take() {
            let end = match rest {
                Some(rest) => self.copy(first, rest).await,
                // The stream broke off after its last event, so nothing is missing.
                None => StreamEnd::Whole,
            };
            match end {
                StreamEnd::Whole => {
                    if self.monitor.completeness() == Completeness::Whole {
                        crashes::mark_answered(&self.call, &mut self.account);
                        self.call.end_stream();
                    }
                    self.call.record_duration(&self.account, self.client_wait);
                    self.tx.finish().await;
                    self.account.close(Outcome::Answered, None);
                    return;
                }
                StreamEnd::ClientGone => {
                    let outcome = self.account.outcome();
                    self.account.close(outcome, Some(Reason::ClientGone));
                    return;
                }
                StreamEnd::TimedOut(why) => {
                    unanswered::watch_timed_out(&self.call, &mut self.account);
                    self.account.close(Outcome::BrokenOff, Some(why));
                    return;
                }
                StreamEnd::Broken(why) => next = self.resume(why).await,
                StreamEnd::Malformed(why) => {
                    self.record_upstream_failure();
                    next = self.resume(why).await;
                }
            }
        }
        // The sender is dropped without an end marker, so the client sees a broken answer.
        self.account
            .close(Outcome::BrokenOff, Some(Reason::UpstreamLost));
    }

    /// Copies the bytes of one upstream until they end or the time is up.
    async fn copy(&mut self, first: Option<Bytes>, mut rest: BodyRest) -> StreamEnd {
        let time_over = self.call.wait_for_timeout(AnswerProgress::Started);
        self.unsent = match first.map(|data| self.convert(data)) {
            None => None,
            Some(Ok(data)) => Some(data),
            Some(Err(end)) => return end,
        };
        let end = tokio::select! {
            // Data that has arrived takes precedence, so that a completed answer is delivered.
            biased;
            end = self.copy_until_end(&mut rest) => end,
            why = time_over => {
                let drained = self.copy_until_end(&mut rest);
                let drained = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
                match drained {
                    Ok(end @ (StreamEnd::Whole | StreamEnd::ClientGone)) => end,
                    // Upstreams break off at the same deadline, which is no reason to try another
                    // one.
                    Ok(_) | Err(_) => StreamEnd::TimedOut(why),
                }
            }
        };
        if matches!(end, StreamEnd::Whole) {
            rest.finish();
        }
        end
    }

    /// Copies the bytes of an upstream until they end. Cancellation-safe: another call continues
    /// where a dropped one stopped.
    async fn copy_until_end(&mut self, rest: &mut BodyRest) -> StreamEnd {
        loop {
            if let Err(end) = self.send_unsent().await {
                return end;
            }
            let frame = tokio::select! {
                biased;
                frame = rest.body.frame() => frame,
                () = self.tx.closed() => return StreamEnd::ClientGone,
            };
            match frame {
                None => return self.finish().await,
                Some(Err(e)) => return StreamEnd::Broken(e.to_string()),
                Some(Ok(frame)) => {
                    // Trailers are not relayed.
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.check_survival();
                    let pushed = self.monitor.push(&data);
                    self.account.body = Some(self.monitor);
                    if let Err(e) = pushed {
                        return StreamEnd::Malformed(e.to_string());
                    }
                    match self.convert(data) {
                        Ok(data) => self.unsent = Some(data),
                        Err(end) => return end,
                    }
                }
            }
        }
    }

    /// Records once that the upstream has generated for so long that no part of the prompt crashes
    /// it. Long streams are rarely complete while upstreams crash.
    fn check_survival(&mut self) {
        if !self.has_survived && monotonic::elapsed(self.begun_at) >= SURVIVAL_TIME {
            self.has_survived = true;
            crashes::mark_survived(&self.call, &self.account);
        }
    }

    /// Decides whether the stream is whole after the end of its body, and sends what the splitter
    /// has kept back.
    async fn finish(&mut self) -> StreamEnd {
        if let Completeness::BrokenOff(why) = self.monitor.completeness() {
            return StreamEnd::Broken(why.message().to_owned());
        }
        if let Some(splitter) = &mut self.splitter {
            self.unsent = Some(splitter.take_rest());
        }
        match self.send_unsent().await {
            Ok(()) => StreamEnd::Whole,
            Err(end) => end,
        }
    }

    /// Converts data from the upstream to data for the client: only whole events of a stream that
    /// may be resumed, anything else unchanged.
    fn convert(&mut self, data: Bytes) -> Result<Bytes, StreamEnd> {
        match &mut self.splitter {
            Some(splitter) => splitter
                .push(&data)
                .map_err(|e| StreamEnd::Malformed(format!("malformed stream: {e:?}"))),
            None => Ok(data),
        }
    }

    /// Sends the pending data to the client. This waits for a slow client and may be cancelled,
    /// as such a client must not hold the upstream's slot.
    async fn send_unsent(&mut self) -> Result<(), StreamEnd> {
        if let Some(data) = self.unsent.clone().filter(|data| !data.is_empty()) {
            let since = monotonic::now();
            self.tx
                .send(data)
                .await
                .map_err(|_| StreamEnd::ClientGone)?;
            self.client_wait += monotonic::elapsed(since);
        }
        self.unsent = None;
        Ok(())
    }

    fn record_upstream_failure(&self) {
        let (Some(sent), Some(instance)) = (self.account.last_sent_to, &self.account.upstream)
        else {
            return;
        };
        record_failure_at(&self.call.gateway, sent.key, instance, Failure::BrokenOff);
    }

    /// Resumes the stream at another upstream after the last event that was relayed; `None` if
    /// that is not allowed or fails.
    async fn resume(&mut self, why: String) -> Option<(Option<Bytes>, Option<BodyRest>)> {
        let elapsed = monotonic::elapsed(self.account.received_at);
        log_failed_attempt(&self.account, Outcome::BrokenOff.name(), &why, elapsed);
        connection_broke(&self.call, &mut self.account);
        let splitter = self.splitter.as_ref()?;
        self.call.last_event = splitter.last_id().or(self.call.last_event);
        self.splitter = Some(EventSplitter::after(self.call.last_event));
        let result = tokio::select! {
            result = self.call.resume_stream(&mut self.account) => result,
            () = self.tx.closed() => return None,
        };
        let AttemptResult::Started(started) = result? else {
            return None;
        };
        let started = *started;
        if !started.status.is_success() {
            return None;
        }
        self.load = started.load;
        self.monitor = started.monitor;
        (self.begun_at, self.has_survived) = (monotonic::now(), false);
        self.account.body = Some(started.monitor);
        Some((started.first, started.rest))
    }
}
