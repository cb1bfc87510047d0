//! An event stream on its way to the caller.
//!
//! Events are passed on as they arrive, complete ones only. If the upstream is lost midway
//! and the request may be resumed, another upstream continues after the last event, in the
//! same response. Otherwise the response is aborted so that the caller can't take it for
//! complete.

use std::{io, rc::Rc, time::Duration};

use almondlock_base::{id::Upstream, time::Mono};
use almondlock_node::clock;
use bytes::Bytes;
use tokio::time::timeout;

use crate::{
    attempt::{self, Fault, Run},
    dialect::Dialect,
    event::Splitter,
    failure::Failure,
    pace::EVENTS,
    request::{self, History, Request},
    response::{count_end, end_text},
    rules::Kind,
    upstream::{End, Framing, Head},
    worker::Worker,
};

/// Events that are measured together, for the pace of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Sample {
    /// Number of the event before the first one of the sample.
    from: Option<u64>,
    /// Time spent waiting for the upstream.
    waited: Duration,
}

/// A stream that is being passed on.
pub(crate) struct Stream<D>
where
    D: Dialect,
{
    worker: Rc<Worker<D>>,
    request: Rc<Request>,
    /// Head of the first run. It stays the head of the response.
    pub(crate) head: Head,
    /// The current run. `None` after a failure and at the end.
    run: Option<Run<D>>,
    /// Upstream of the current or the last run.
    upstream: Upstream,
    /// When the current or the last run was sent.
    sent_at: Mono,
    /// How the body of the current or the last run is framed.
    framing: Framing,
    /// How the end of that body was recognised. `None` until then.
    end: Option<End>,
    splitter: Splitter,
    /// Events that were read and not yet passed on.
    buffered: Option<Bytes>,
    pub(crate) history: History,
    /// When the first event arrived.
    first_at: Mono,
    /// When the latest event arrived.
    last_at: Mono,
    /// Longest time between two arrivals.
    longest_pause: Duration,
    /// Number of pieces passed on; one may hold several events.
    events: u64,
    /// Events since their pace was last observed. Time that a slow caller takes isn't
    /// counted.
    sample: Sample,
    /// Whether the current run began after the first event. Its end doesn't prove that the
    /// request is harmless: an earlier event may have crashed the run before it.
    is_resumed: bool,
    /// Bytes of an incomplete event at the end of the last run.
    incomplete: usize,
    /// Whether the response has ended, complete or aborted.
    ended: bool,
}

impl<D> Stream<D>
where
    D: Dialect,
{
    /// Starts passing on an answer whose first events have arrived.
    pub(crate) fn new(
        worker: &Rc<Worker<D>>,
        request: &Rc<Request>,
        run: Run<D>,
        splitter: Splitter,
        first: Bytes,
    ) -> Stream<D> {
        let now = clock::mono();
        let label = format!("route=\"{}\"", request.route.name);
        let spent = now.since(request.arrived);
        worker.shared.metrics.time("first_event", &label, spent);
        if run.resources.has_short_slot() {
            let outcome = match spent <= request.route.objective {
                true => "in_time",
                false => "late",
            };
            worker.shared.metrics.count("slots", outcome);
        }
        Stream {
            worker: Rc::clone(worker),
            request: Rc::clone(request),
            head: run.head.clone(),
            upstream: run.upstream.clone(),
            sent_at: run.sent.at,
            framing: run.head.framing,
            end: None,
            run: Some(run),
            splitter,
            buffered: Some(first),
            history: History::default(),
            first_at: now,
            last_at: now,
            longest_pause: Duration::ZERO,
            events: 1,
            sample: Sample::default(),
            is_resumed: false,
            incomplete: 0,
            ended: false,
        }
    }

    /// Returns the next complete events, or `None` at the end. A panic breaks the stream off.
    pub(crate) async fn next(&mut self) -> Option<io::Result<Bytes>> {
        let owner = self.worker.node.owner().clone();
        let next = owner.guard("stream", self.advance()).await;
        next.unwrap_or_else(|panicked| Some(Err(io::Error::other(panicked))))
    }

    async fn advance(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(ready) = self.buffered.take() {
            return Some(Ok(ready));
        }
        if self.ended {
            return None;
        }
        loop {
            let begun = clock::mono();
            let fault = match self.read_events().await {
                Ok(Some(events)) => {
                    self.record_events(begun);
                    return Some(Ok(events));
                }
                Ok(None) => {
                    self.finish();
                    return None;
                }
                Err(fault) => fault,
            };
            self.incomplete = self.splitter.incomplete_bytes();
            self.record_fault(&fault, self.sent_at, begun);
            self.sample = Sample::default();
            // Releases the run's slot to a waiting prompt, unless its upstream is avoided
            // from now on.
            self.run = None;
            if let Err(reason) = self.resume().await {
                self.ended = true;
                self.log_end("broken off", reason);
                return Some(Err(io::ErrorKind::ConnectionAborted.into()));
            }
        }
    }

    /// Reads the next complete events of the current run.
    async fn read_events(&mut self) -> Result<Option<Bytes>, Fault> {
        if let Some(ready) = self.buffered.take() {
            return Ok(Some(ready));
        }
        let Some(run) = &mut self.run else {
            return Ok(None);
        };
        let left = self.request.time_left(clock::mono());
        let fault = |failure, reason: &str| Fault::new(failure, Some(&run.upstream), reason);
        let is_last = !self.history.has_attempt_left(&self.request, true);
        loop {
            let chunk = run.connection.next_chunk();
            let chunk = attempt::wait_or_give_up(
                &self.worker,
                (&self.request, &self.history),
                &run.resources,
                is_last,
                chunk,
            );
            let chunk = match timeout(left, chunk).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(error))) => return Err(Fault::from_error(&error, &run.upstream)),
                Ok(None) => return Err(fault(Failure::Silent, "the stream stopped")),
                Err(_) => return Err(fault(Failure::Silent, "its time is over")),
            };
            let Some(bytes) = chunk else {
                self.end = run.connection.end();
                self.incomplete = self.splitter.incomplete_bytes();
                if self.incomplete == 0 {
                    return Ok(None);
                }
                let error = run.connection.cut_before("the end of an event");
                return Err(Fault::from_error(&error, &run.upstream));
            };
            if let Some(events) = self.splitter.push(&bytes) {
                return Ok(Some(events));
            }
            if self.splitter.is_overlong() {
                return Err(fault(Failure::Lost, "an event is too long"));
            }
        }
    }

    /// Records that a run failed, which was sent at `sent` and waited for since `begun`.
    fn record_fault(&mut self, fault: &Fault, sent: Mono, begun: Mono) {
        let (worker, request) = (&self.worker, &self.request);
        worker.report_loss(request, fault, sent);
        worker.observe_failure(request, fault, begun);
        self.history.tried.extend(fault.upstream.clone());
        self.history.reached += u32::from(fault.failure.may_have_reached());
        request::record_failure(worker, request, fault, self.history.tried.len());
    }

    /// Records the arrival of events that were waited for since `begun`.
    fn record_events(&mut self, begun: Mono) {
        let now = clock::mono();
        self.longest_pause = self.longest_pause.max(now.since(self.last_at));
        self.last_at = now;
        self.events += 1;
        if self.worker.features.observed_pace {
            self.observe_pace(now.since(begun));
        }
    }

    /// Reports the pace of the upstream, a few events at a time.
    fn observe_pace(&mut self, waited: Duration) {
        let Some(last) = self.splitter.last_id() else {
            return;
        };
        let from = *self.sample.from.get_or_insert(last);
        // The wait for the first event isn't part of the sample.
        if last > from {
            self.sample.waited += waited;
        }
        let events = last.saturating_sub(from);
        if events >= EVENTS {
            let waited = self.sample.waited;
            self.worker
                .observe_events(&self.request, &self.upstream, events, waited);
            self.sample = Sample {
                from: Some(last),
                waited: Duration::ZERO,
            };
        }
    }

    /// Continues at another upstream, after the last event.
    async fn resume(&mut self) -> Result<(), &'static str> {
        let Kind::Stream {
            resumable: true, ..
        } = self.request.route.kind
        else {
            return Err("it may not be resumed");
        };
        let now = clock::mono();
        if self.request.time_left(now).is_zero() {
            return Err("its time is over");
        }
        if self.history.runs >= self.request.route.attempts {
            return Err("no attempt is left");
        }
        if !self.worker.may_run_again(&self.request, now) {
            return Err("upstreams were lost with it");
        }
        if !self.worker.reserve_retry(&self.request, &self.history) {
            return Err("the retry budget is spent");
        }
        let Some(last) = self.splitter.last_id() else {
            return Err("the events have no numbers");
        };
        self.splitter.discard_rest();
        let run = attempt::attempt(&self.worker, &self.request, &self.history, Some(last)).await;
        let mut run = match run {
            Ok(run) => run,
            Err(fault) => {
                self.record_fault(&fault, now, now);
                return Err("no other upstream took it");
            }
        };
        self.history.runs += 1;
        match self.read_resumed(&mut run).await {
            Ok(events) => self.buffered = Some(events),
            Err(fault) => {
                self.record_fault(&fault, run.sent.at, run.sent.at);
                return Err("the resumed run failed too");
            }
        }
        if self.splitter.last_id().is_none_or(|next| next <= last) {
            return Err("the resumed run began at another event");
        }
        self.worker
            .observe_answer(&self.request, &run.upstream, &run.sent);
        run.resources.mark_prompt_read();
        self.upstream = run.upstream.clone();
        self.sent_at = run.sent.at;
        self.is_resumed = true;
        (self.framing, self.end) = (run.head.framing, None);
        self.run = Some(run);
        Ok(())
    }

    /// Reads the first events of a resumed run.
    async fn read_resumed(&mut self, run: &mut Run<D>) -> Result<Bytes, Fault> {
        let left = self.request.time_left(clock::mono());
        let events = request::read_first_event(&mut run.connection, &mut self.splitter);
        let is_last = !self.history.has_attempt_left(&self.request, true);
        let resources = &run.resources;
        let events = attempt::wait_or_give_up(
            &self.worker,
            (&self.request, &self.history),
            resources,
            is_last,
            events,
        );
        match timeout(left, events).await {
            Ok(Some(Ok(events))) => Ok(events),
            Ok(Some(Err(error))) => Err(Fault::from_error(&error, &run.upstream)),
            Ok(None) | Err(_) => {
                let reason = "no first event of the resumed run in time";
                Err(Fault::new(Failure::Silent, Some(&run.upstream), reason))
            }
        }
    }

    /// Ends the response after its last event.
    fn finish(&mut self) {
        self.ended = true;
        if let Some(run) = self.run.take() {
            attempt::return_to_pool(&self.worker, &run.upstream, run.connection, &run.head);
        }
        if !self.is_resumed && self.request.last_event.is_none() {
            self.worker.clear_suspect(&self.request);
        }
        self.log_end("answered", "whole");
    }

    /// Logs the end of the stream and records its duration.
    fn log_end(&self, outcome: &str, reason: &str) {
        let now = clock::mono();
        let spent = now.since(self.request.arrived);
        let label = format!(
            "route=\"{}\",outcome=\"{outcome}\"",
            self.request.route.name
        );
        self.worker.shared.metrics.time("stream", &label, spent);
        count_end(&self.worker, self.framing, self.end);
        tracing::info!(
            request = %self.request.id, route = %self.request.route.name, outcome, reason,
            upstream = %self.upstream, framing = self.framing.as_str(),
            end = end_text(self.end), incomplete_bytes = self.incomplete,
            first_ms = self.first_at.since(self.request.arrived).as_millis(),
            longest_pause_ms = self.longest_pause.as_millis(), events = self.events,
            spent_ms = spent.as_millis(), "ended"
        );
    }
}

impl<D> Drop for Stream<D>
where
    D: Dialect,
{
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("left", "the caller left");
        }
    }
}
