//! Passes an answer on to the client, and goes on elsewhere where that is allowed.

use crate::account::Account;
use crate::answer::{Outcome, Reason};
use crate::attempt::{Rest, Started, Tried, tell_failed};
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
const MAX_AHEAD: usize = 8;
/// Time after its end in which a stream's bytes are still passed on: those that are on their
/// way through this process, so that an answer that has just ended is delivered.
const LAST_BYTES: Duration = Duration::from_millis(10);

/// Answers the client with what an upstream answers.
pub fn pass_on(call: Call, mut account: Account, started: Started) -> Response<Body> {
    account.first = Some(account.since.elapsed());
    account.status = started.status.as_u16();
    let headers = header::client_response_headers(&started.headers);
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
            let (tx, body) = stream(MAX_AHEAD);
            let is_resumable = call.target().route.kind == RouteKind::ResumableStream
                && started.status.is_success();
            let pump = Pump {
                _streamed: call.streamed(),
                cutter: is_resumable.then(|| EventCutter::after(call.last_event)),
                call,
                account,
                tx,
                load: started.load,
                unsent: None,
                waited: Duration::ZERO,
                is_framed,
            };
            tokio::spawn(pump.run(started.first, rest));
            body
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = started.status;
    *res.headers_mut() = headers;
    res
}

/// Moves a stream from its upstream to the client.
struct Pump {
    call: Call,
    account: Account,
    tx: BodySender,
    load: LoadGuard,
    /// What came of the upstream and waits to be sent.
    unsent: Option<Bytes>,
    /// How long that has waited for the client in all.
    waited: Duration,
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
enum End {
    /// The upstream ended it as whole.
    Whole,
    /// The upstream broke off.
    Broken(String),
    /// The client has gone.
    Gone,
    /// The route's timeout or the client's deadline is up, or the process ends.
    TimeOver(Reason),
}

impl Pump {
    async fn run(mut self, first: Option<Bytes>, rest: Rest) {
        let mut next = Some((first, Some(rest)));
        while let Some((first, rest)) = next.take() {
            let end = match rest {
                Some(rest) => self.copy(first, rest).await,
                // It broke off after its last event: nothing is left to come.
                None => End::Whole,
            };
            match end {
                End::Whole => {
                    if self.is_framed {
                        crashes::answered(&self.call);
                    }
                    self.call.note_duration(&self.account, self.waited);
                    self.tx.finish().await;
                    self.account.close(Outcome::Answered, None);
                    return;
                }
                End::Gone => {
                    let outcome = self.account.outcome();
                    self.account.close(outcome, Some(Reason::ClientGone));
                    return;
                }
                End::TimeOver(why) => {
                    unanswered::timed_out(&self.call, &mut self.account);
                    self.account.close(Outcome::BrokenOff, Some(why));
                    return;
                }
                End::Broken(why) => next = self.resume(why).await,
            }
        }
        // The sender is dropped without an end, so the client sees a broken answer.
        self.account
            .close(Outcome::BrokenOff, Some(Reason::UpstreamLost));
    }

    /// Copies one upstream's bytes until they end or the time is up.
    async fn copy(&mut self, first: Option<Bytes>, mut rest: Rest) -> End {
        let over = self.call.time_over(Answer::Begun);
        self.unsent = match first.map(|data| self.cut(data)) {
            None => None,
            Some(Ok(data)) => Some(data),
            Some(Err(end)) => return end,
        };
        let end = tokio::select! {
            // First what has arrived: an answer that is there is delivered.
            biased;
            end = self.copy_untimed(&mut rest) => end,
            why = over => {
                let last = self.copy_untimed(&mut rest);
                let last = tokio::time::timeout(LAST_BYTES, last).await;
                match last {
                    Ok(end @ (End::Whole | End::Gone)) => end,
                    // Upstreams break off at the same deadline: that is no reason to ask
                    // another.
                    Ok(_) | Err(_) => End::TimeOver(why),
                }
            }
        };
        if matches!(end, End::Whole) {
            rest.done();
        }
        end
    }

    /// Copies an upstream's bytes until they end. Dropped midway, it goes on where it was
    /// when it is called again.
    async fn copy_untimed(&mut self, rest: &mut Rest) -> End {
        loop {
            if let Err(end) = self.send_unsent().await {
                return end;
            }
            let frame = tokio::select! {
                biased;
                frame = rest.body.frame() => frame,
                () = self.tx.closed() => return End::Gone,
            };
            match frame {
                None => break,
                Some(Err(e)) => return End::Broken(e.to_string()),
                Some(Ok(frame)) => match frame.into_data().map(|data| self.cut(data)) {
                    Ok(Ok(data)) => self.unsent = Some(data),
                    Ok(Err(end)) => return end,
                    // Trailers mean nothing to the client.
                    Err(_) => {}
                },
            }
        }
        if self.cutter.as_ref().is_some_and(EventCutter::is_mid_event) {
            return End::Broken("ended in the middle of an event".into());
        }
        End::Whole
    }

    /// What the client gets of an upstream's bytes: of a stream that may go on elsewhere
    /// whole events only.
    fn cut(&mut self, data: Bytes) -> Result<Bytes, End> {
        match &mut self.cutter {
            Some(cutter) => cutter
                .push(&data)
                .map_err(|e| End::Broken(format!("malformed stream: {e:?}"))),
            None => Ok(data),
        }
    }

    /// Sends the client what it hasn't got yet. A client that stops reading must not hold
    /// its upstream's slot, so this may be dropped while it waits.
    async fn send_unsent(&mut self) -> Result<(), End> {
        if let Some(data) = self.unsent.clone().filter(|data| !data.is_empty()) {
            let since = Instant::now();
            self.tx.send(data).await.map_err(|_| End::Gone)?;
            self.waited += since.elapsed();
        }
        self.unsent = None;
        Ok(())
    }

    /// Goes on at another upstream after the last event that was passed on; none
    /// if that isn't allowed or doesn't come about.
    async fn resume(&mut self, why: String) -> Option<(Option<Bytes>, Option<Rest>)> {
        let elapsed = self.account.since.elapsed();
        tell_failed(&self.account, Outcome::BrokenOff.name(), &why, elapsed);
        connection_broke(&self.call, &mut self.account);
        let cutter = self.cutter.as_ref()?;
        self.call.last_event = cutter.last_id().or(self.call.last_event);
        self.cutter = Some(EventCutter::after(self.call.last_event));
        let tried = tokio::select! {
            tried = self.call.retry(&mut self.account) => tried,
            () = self.tx.closed() => return None,
        };
        let Tried::Started(started) = tried? else {
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
