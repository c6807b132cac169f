//! Passes an answer on to the client, and goes on elsewhere where that is allowed.

use crate::account::Account;
use crate::answer::{Outcome, Reason};
use crate::attempt::{AttemptResult, BodyRest, StartedAnswer, log_failed_attempt};
use crate::crashes;
use crate::crashes::broken::connection_broke;
use crate::crashes::unanswered;
use crate::events::EventCutter;
use crate::serve::{Answer, Call, StreamedGuard};
use crate::state::LoadGuard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use net::{Body, BodySender, full, stream};
use platform::{RouteKind, header};
use std::time::{Duration, Instant};

/// Pieces of an answer that wait for a slow client before its upstream does.
const MAX_BUFFERED_CHUNKS: usize = 8;
/// Time after its end in which a stream's bytes are still passed on: those that are on their
/// way through this process, so that an answer that has just ended is delivered.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(10);

/// Answers the client with what an upstream answers.
pub fn relay_answer(call: Call, mut account: Account, started: StartedAnswer) -> Response<Body> {
    account.first_byte_after = Some(account.received_at.elapsed());
    account.status = started.status.as_u16();
    let headers = header::to_client(&started.headers);
    let is_framed = is_framed(&started.headers);
    let body = match started.rest {
        None => {
            if is_framed {
                crashes::answered(&call);
            }
            call.note_duration(&account, Duration::ZERO);
            account.close(Outcome::Answered, None);
            full(started.first.unwrap_or_default())
        }
        Some(rest) => {
            let (tx, body) = stream(MAX_BUFFERED_CHUNKS);
            let is_resumable = call.target().route.kind == RouteKind::ResumableStream
                && started.status.is_success();
            let stream_relay = StreamRelay {
                _streamed: call.streamed(),
                cutter: is_resumable.then(|| EventCutter::after(call.last_event)),
                call,
                account,
                tx,
                load: started.load,
                unsent: None,
                client_wait: Duration::ZERO,
                is_framed,
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

/// Moves a stream from its upstream to the client.
struct StreamRelay {
    call: Call,
    account: Account,
    tx: BodySender,
    load: LoadGuard,
    /// What came of the upstream and waits to be sent.
    unsent: Option<Bytes>,
    /// How long that has waited for the client in all.
    client_wait: Duration,
    _streamed: StreamedGuard,
    /// Whether the answer's end shows: one that ends with its connection looks whole also
    /// when its upstream has crashed.
    is_framed: bool,
    /// For streams that may go on elsewhere.
    cutter: Option<EventCutter>,
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// How a stream ended on one side.
enum StreamEnd {
    /// The upstream ended it as whole.
    Whole,
    /// The upstream broke off.
    Broken(String),
    /// The client has gone.
    ClientGone,
    /// The route's timeout or the client's deadline is up, or the process ends.
    TimedOut(Reason),
}

impl StreamRelay {
    async fn run(mut self, first: Option<Bytes>, rest: BodyRest) {
        let mut next = Some((first, Some(rest)));
        while let Some((first, rest)) = next.take() {
            let end = match rest {
                Some(rest) => self.copy(first, rest).await,
                // It broke off after its last event: nothing is left to come.
                None => StreamEnd::Whole,
            };
            match end {
                StreamEnd::Whole => {
                    if self.is_framed {
                        crashes::answered(&self.call);
                    }
                    self.call.note_duration(&self.account, self.client_wait);
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
                    unanswered::timed_out(&self.call, &mut self.account);
                    self.account.close(Outcome::BrokenOff, Some(why));
                    return;
                }
                StreamEnd::Broken(why) => next = self.resume(why).await,
            }
        }
        // The sender is dropped without an end, so the client sees a broken answer.
        self.account
            .close(Outcome::BrokenOff, Some(Reason::UpstreamLost));
    }

    /// Copies one upstream's bytes until they end or the time is up.
    async fn copy(&mut self, first: Option<Bytes>, mut rest: BodyRest) -> StreamEnd {
        let time_over = self.call.time_over(Answer::Begun);
        self.unsent = match first.map(|data| self.cut(data)) {
            None => None,
            Some(Ok(data)) => Some(data),
            Some(Err(end)) => return end,
        };
        let end = tokio::select! {
            // First what has arrived: an answer that is there is delivered.
            biased;
            end = self.copy_until_end(&mut rest) => end,
            why = time_over => {
                let drained = self.copy_until_end(&mut rest);
                let drained = tokio::time::timeout(DRAIN_TIMEOUT, drained).await;
                match drained {
                    Ok(end @ (StreamEnd::Whole | StreamEnd::ClientGone)) => end,
                    // Upstreams break off at the same deadline: that is no reason to ask
                    // another.
                    Ok(_) | Err(_) => StreamEnd::TimedOut(why),
                }
            }
        };
        if matches!(end, StreamEnd::Whole) {
            rest.finish();
        }
        end
    }

    /// Copies an upstream's bytes until they end. Dropped midway, it goes on where it was
    /// when it is called again.
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
                None => break,
                Some(Err(e)) => return StreamEnd::Broken(e.to_string()),
                Some(Ok(frame)) => match frame.into_data().map(|data| self.cut(data)) {
                    Ok(Ok(data)) => self.unsent = Some(data),
                    Ok(Err(end)) => return end,
                    // Trailers mean nothing to the client.
                    Err(_) => {}
                },
            }
        }
        if self.cutter.as_ref().is_some_and(EventCutter::is_mid_event) {
            return StreamEnd::Broken("ended in the middle of an event".into());
        }
        StreamEnd::Whole
    }

    /// What the client gets of an upstream's bytes: of a stream that may go on elsewhere
    /// whole events only.
    fn cut(&mut self, data: Bytes) -> Result<Bytes, StreamEnd> {
        match &mut self.cutter {
            Some(cutter) => cutter
                .push(&data)
                .map_err(|e| StreamEnd::Broken(format!("malformed stream: {e:?}"))),
            None => Ok(data),
        }
    }

    /// Sends the client what it hasn't got yet. A client that stops reading must not hold
    /// its upstream's slot, so this may be dropped while it waits.
    async fn send_unsent(&mut self) -> Result<(), StreamEnd> {
        if let Some(data) = self.unsent.clone().filter(|data| !data.is_empty()) {
            let since = Instant::now();
            self.tx
                .send(data)
                .await
                .map_err(|_| StreamEnd::ClientGone)?;
            self.client_wait += since.elapsed();
        }
        self.unsent = None;
        Ok(())
    }

    /// Goes on at another upstream after the last event that was passed on; none
    /// if that isn't allowed or doesn't come about.
    async fn resume(&mut self, why: String) -> Option<(Option<Bytes>, Option<BodyRest>)> {
        let elapsed = self.account.received_at.elapsed();
        log_failed_attempt(&self.account, Outcome::BrokenOff.name(), &why, elapsed);
        connection_broke(&self.call, &mut self.account);
        let cutter = self.cutter.as_ref()?;
        self.call.last_event = cutter.last_id().or(self.call.last_event);
        self.cutter = Some(EventCutter::after(self.call.last_event));
        let tried = tokio::select! {
            tried = self.call.retry(&mut self.account) => tried,
            () = self.tx.closed() => return None,
        };
        let AttemptResult::Started(started) = tried? else {
            return None;
        };
        let started = *started;
        if !started.status.is_success() {
            return None;
        }
        self.load = started.load;
        Some((started.first, started.rest))
    }
}
