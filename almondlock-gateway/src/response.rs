//! Responses to callers: an upstream's answer, or a refusal.

use almondlock_base::time::Mono;
use almondlock_intake::{connections::Busy, held};
use almondlock_node::clock;
use ntex::{
    http::StatusCode,
    web::{HttpResponse, HttpResponseBuilder},
};

use crate::{
    request::{Refusal, Response},
    shared::Active,
    upstream::{End, Framing, Head},
    worker::Worker,
};

/// Headers that concern one connection only or are written anew.
pub(crate) const HOP_BY_HOP: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "expect",
];

/// Starts a response with the upstream's status and headers.
pub(crate) fn start_response(head: &Head) -> HttpResponseBuilder {
    let status = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &head.headers {
        let name = name.to_ascii_lowercase();
        if !HOP_BY_HOP.contains(&name.as_str()) && name != "date" {
            builder.header(name.as_str(), &value[..]);
        }
    }
    builder
}

/// Returns the words for how an answer's end was recognised.
pub(crate) fn end_text(end: Option<End>) -> &'static str {
    end.map_or("none", End::as_str)
}

/// Counts an answer by its framing and by how its end was recognised.
pub(crate) fn count_end<D>(worker: &Worker<D>, framing: Framing, end: Option<End>) {
    let label = format!("framing=\"{}\",end=\"{}\"", framing.as_str(), end_text(end));
    worker.shared.metrics.count("answer_ends", &label);
}

/// Passes on a complete answer of an upstream.
pub(crate) fn complete_response<D>(
    worker: &Worker<D>,
    id: &str,
    answer: Response,
    arrived: Mono,
    (active, busy): (Active, Busy),
) -> HttpResponse {
    let spent = clock::mono().since(arrived);
    let status = answer.head.status;
    worker
        .shared
        .metrics
        .time("whole", &format!("status=\"{status}\""), spent);
    let framing = answer.head.framing;
    count_end(worker, framing, answer.end);
    tracing::info!(
        request = %id, status, outcome = "answered", framing = framing.as_str(),
        end = end_text(answer.end), body_bytes = answer.body.len(),
        spent_ms = spent.as_millis(), "ended"
    );
    let body = held::body(answer.body, answer.hold, busy, active);
    start_response(&answer.head).body(body)
}

/// Answers a request that ends without an upstream's answer.
pub(crate) fn refusal_response<D>(
    worker: &Worker<D>,
    id: &str,
    refusal: &Refusal,
    arrived: Mono,
) -> HttpResponse {
    let spent = clock::mono().since(arrived);
    let code = refusal.code;
    worker
        .shared
        .metrics
        .count("refused", &format!("code=\"{}\"", code.number()));
    let retry_after = refusal.retry_after.map_or(0, |span| span.as_millis());
    tracing::info!(
        request = %id, outcome = "refused", code = code.number(), name = code.name(),
        retry_after_ms = retry_after, spent_ms = spent.as_millis(),
        revision = worker.node.view().revision().0,
        age_ms = worker.node.known_age(clock::mono()).map(|age| age.as_millis()), "ended"
    );
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.header("x-almondlock-code", code.number().to_string());
    if let Some(span) = refusal.retry_after {
        builder.header("retry-after", format!("{:.3}", span.as_secs_f64()));
    }
    builder.body(code.text())
}
