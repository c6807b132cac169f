//! Passes an answer on to the client, and goes on elsewhere where that is allowed.

use crate::account::Account;
use crate::answer::{Outcome, Reason};
use crate::attempt::{Rest, Started, Tried, tell_failed};
use crate::events::EventCutter;
use crate::serve::Call;
use crate::state::LoadGuard;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use net::{Body, BodySender, full, stream};
use platform::{RouteKind, header};

/// Pieces of an answer that wait for a slow client before its upstream does.
const MAX_AHEAD: usize = 8;

/// Answers the client with what an upstream answers.
pub fn pass_on(call: Call, mut account: Account, started: Started) -> Response<Body> {
    account.first = Some(account.since.elapsed());
    account.status = started.status.as_u16();
    let headers = header::to_client(&started.headers);
    let body = match started.rest {
        None => {
            account.close(Outcome::Answered, None);
            full(started.first.unwrap_or_default())
        }
        Some(rest) => {
            let (tx, body) = stream(MAX_AHEAD);
            let is_resumable = call.target().route.kind == RouteKind::ResumableStream
                && started.status.is_success();
            let pump = Pump {
                cutter: is_resumable.then(|| EventCutter::after(call.last_event)),
                call,
                account,
                tx,
                load: started.load,
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
    /// For streams that may go on elsewhere.
    cutter: Option<EventCutter>,
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
    TimedOut,
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
                    self.tx.finish().await;
                    self.account.close(Outcome::Answered, None);
                    return;
                }
                End::Gone => {
                    let outcome = self.account.outcome();
                    self.account.close(outcome, Some(Reason::ClientGone));
                    return;
                }
                End::TimedOut => {
                    let why = self.call.why_over();
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

    /// Copies one upstream's bytes until they end.
    async fn copy(&mut self, first: Option<Bytes>, mut rest: Rest) -> End {
        let left = self.call.left();
        let timeout = tokio::time::sleep(left);
        tokio::pin!(timeout);
        let mut data = first;
        loop {
            if let Some(data) = data.take() {
                let passed = tokio::select! {
                    passed = self.pass(data) => passed,
                    // A client that stops reading must not hold its upstream's slot.
                    () = timeout.as_mut() => return End::TimedOut,
                };
                if let Err(end) = passed {
                    return end;
                }
            }
            let frame = tokio::select! {
                frame = rest.body.frame() => frame,
                () = self.tx.closed() => return End::Gone,
                () = timeout.as_mut() => return End::TimedOut,
            };
            match frame {
                None => break,
                Some(Err(e)) => return End::Broken(e.to_string()),
                Some(Ok(frame)) => data = frame.into_data().ok(),
            }
        }
        if self.cutter.as_ref().is_some_and(EventCutter::is_mid_event) {
            return End::Broken("ended in the middle of an event".into());
        }
        rest.done();
        End::Whole
    }

    async fn pass(&mut self, data: Bytes) -> Result<(), End> {
        let data = match &mut self.cutter {
            Some(cutter) => cutter
                .push(&data)
                .map_err(|e| End::Broken(format!("malformed stream: {e:?}")))?,
            None => data,
        };
        if data.is_empty() {
            return Ok(());
        }
        self.tx.send(data).await.map_err(|_| End::Gone)
    }

    /// Goes on at another upstream after the last event that was passed on; none
    /// if that isn't allowed or doesn't come about.
    async fn resume(&mut self, why: String) -> Option<(Option<Bytes>, Option<Rest>)> {
        let elapsed = self.account.since.elapsed();
        tell_failed(&self.account, Outcome::BrokenOff.name(), &why, elapsed);
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
