//! Sending an attempt and seeing it to an outcome, and what it teaches.

use std::time::Duration;

use almondlock_base::{Code, Ran, time::Mono};
use almondlock_node::clock;
use almondlock_policy::choice::Query;
use almondlock_telemetry::metrics::Length;
use almondlock_wire::{
    answer::Usage,
    attempt::{Head, INLINE_BODY, Outcome, Target},
};
use tokio::{sync::mpsc, time::timeout};

use crate::{
    attempt::{self, Piece},
    course::Course,
    gang::Held,
    life::{Place, Worker, report},
    request::Request,
};

/// What the sidecar gets beyond the deadline to say how a run ended.
pub(crate) const GRACE: Duration = Duration::from_millis(500);

impl Worker {
    /// Sends an attempt and sees it to an outcome, also when its session or
    /// its sidecar is lost on the way.
    pub(crate) async fn send(
        &self,
        request: &Request,
        place: &Place,
        head: &Head,
        course: &mut Course,
        pieces: &mpsc::Sender<Piece>,
    ) -> (Outcome, bool) {
        let session = match self.links.get(place.address).await {
            Ok(session) => session,
            // Never connected: nothing was handed on.
            Err(_) => return (Outcome::refused(Code::NoUpstream, None), false),
        };
        let handle = &self.shared.handle;
        let run = attempt::run(
            &session,
            handle,
            &place.upstream,
            head,
            &request.body,
            course.begun,
            pieces.clone(),
        );
        let allowed = request.left(clock::mono()) + GRACE;
        let result = timeout(allowed, run).await;
        let (outcome, whole, left) = match result {
            Ok(result) => {
                course.offset = course.offset.max(result.offset);
                course.begun |= result.begun;
                self.learn(request, result.usage.as_ref());
                self.measure_first(request, result.first, course);
                (result.outcome, result.whole, result.left)
            }
            Err(_) => (None, false, false),
        };
        match outcome {
            // The sidecar's word alone doesn't make an answer whole.
            Some(outcome) if outcome.code.is_none() && !whole => {
                let mut broken = Outcome::refused(Code::StreamBroken, None);
                broken.ran = Ran::Yes;
                (broken, left)
            }
            Some(outcome) => (outcome, left),
            None => (self.settle(request, place, head).await, left),
        }
    }

    /// Corrects the estimate of prompt lengths by what the engine counted.
    fn learn(&self, request: &Request, usage: Option<&Usage>) {
        if let (Target::Model(model, _), Some(usage)) = (&request.target, usage) {
            let bytes = request.prompt_bytes;
            self.shared.learn_length(model, bytes, usage.prompt);
        }
    }

    /// Tells the time to the first token, once for each request.
    fn measure_first(&self, request: &Request, first: Option<Mono>, course: &mut Course) {
        if let (Some(first), false) = (first, course.measured) {
            course.measured = true;
            let length = Length::of(request.prompt);
            let took = first.since(request.arrived);
            self.shared.metrics.first_token(length, took);
        }
    }

    /// Nobody knows whether an attempt ran: its sidecar is asked, over a new
    /// session, and leaves a tombstone so that a copy still under way is
    /// dropped. Only its word makes "not run" true.
    async fn settle(&self, request: &Request, place: &Place, head: &Head) -> Outcome {
        self.links.drop(place.address);
        let ran = match self.links.get(place.address).await {
            Ok(session) => {
                attempt::settle(&session, &self.shared.handle, &place.upstream, head).await
            }
            Err(_) => Ran::Unknown,
        };
        let code = if request.left(clock::mono()).is_zero() {
            Code::DeadlinePassed
        } else {
            Code::UpstreamLost
        };
        self.note(
            request,
            format!("session lost; settled as ran: {}", ran.as_str()),
        );
        let mut outcome = Outcome::refused(code, None);
        outcome.ran = ran;
        outcome
    }

    pub(crate) fn head(
        &self,
        request: &Request,
        place: &Place,
        held: Option<&Held>,
        course: &Course,
    ) -> Head {
        let inline = request.body.len() <= INLINE_BODY as u64;
        let body = if inline {
            request.body.read(0, INLINE_BODY)
        } else {
            Vec::new()
        };
        Head {
            attempt: self.shared.attempt(),
            incarnation: place.incarnation,
            request: request.id.clone(),
            traceparent: self.hop(request).to_string(),
            organisation: request.organisation.clone(),
            target: request.target.clone(),
            method: request.method.clone(),
            path: request.path.clone(),
            content_type: request.content_type.clone(),
            prompt: held.map_or(request.prompt, |held| held.rest),
            output: request.output,
            budget: request.left(clock::mono()),
            lease: self.shared.config.lease,
            share: request.share,
            repeatable: request.repeatable,
            stream: request.stream,
            suspect: course.suspect,
            resume_at: course.offset,
            fingerprint: request.fingerprint,
            prefix: request.prefix.clone(),
            body_length: request.body.len(),
            body,
            segments: held.map(|held| held.segments.clone()).unwrap_or_default(),
            from: self.shared.handle.peer(),
        }
    }

    /// Takes what an attempt taught into the tables.
    pub(crate) fn account(
        &self,
        request: &Request,
        place: &Place,
        outcome: &Outcome,
        course: &Course,
    ) {
        let now = clock::mono();
        let answered = course.begun;
        self.shared.with_pool(&place.pool, |table| {
            if answered {
                let ask = Query {
                    prompt: request.prompt,
                    output: request.output,
                    prefix: &request.prefix,
                    excluded: &[],
                };
                table.record_first_token(place.index, &ask);
            }
            table.record_end(place.index, request.prompt, answered);
            if outcome.load.capacity.0 > 0 {
                table.record_report(place.index, report(&outcome.load), now);
            }
            let unusable = matches!(
                outcome.code,
                Some(Code::NoUpstream | Code::UpstreamLost | Code::StaleIncarnation)
            );
            if unusable || outcome.died || outcome.load.leaving {
                table.record_failure(place.index, now);
            }
        });
    }
}
