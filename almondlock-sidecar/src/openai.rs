//! Upstreams that are engines with the OpenAI-compatible protocol.
//!
//! Every answer is requested as a stream, whatever the caller wanted, so that a
//! broken answer is noticed at the token where it broke and can be resumed
//! there. The engine extensions used here are headers (the id of the run, which
//! is one attempt at a request, its priority, the offset to resume at, the
//! locations of segments, which are parts of a long prompt on other engines)
//! and a few paths under `/engine`.

use std::{net::SocketAddr, time::Duration};

use almondlock_base::unit::Tokens;
use almondlock_http::client::Call;
use almondlock_policy::ledger::Kind;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::Segment,
};
use eventsource_stream::Eventsource;
use futures::{FutureExt, StreamExt, stream};
use serde::Deserialize;
use serde_json::json;
use tokio::time::timeout;

use crate::{
    client::{Answer, Client, Upload},
    protocol::{Allocation, Failure, Feed, Output, Piece, Protocol, Run},
};

/// Time-out for control requests: health checks, lists of allocations,
/// cancellations and orders to load a model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum length of an error text taken over from an engine, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 2048;

/// Maximum size of an error's body, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// Maximum size of an event of an answer, in bytes. The parser holds an event until it is
/// complete.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Maximum size of the answer to a control request, in bytes.
const MAX_CONTROL_BYTES: usize = 4 << 20;

/// Address of an engine and an HTTP client for it.
pub struct Engine {
    client: Client,
}

impl Engine {
    /// Creates the client.
    pub fn new(address: SocketAddr) -> Engine {
        Engine {
            client: Client::new(address),
        }
    }

    /// Sends a run. It has no time-out here, since runs have deadlines of their
    /// own, which are minutes long for long prompts.
    async fn send(&self, job: &Run<'_>, body: Feed) -> Result<Answer<'_>, Failure> {
        let head = job.head;
        let mut headers = vec![
            ("content-type", JSON.to_owned()),
            ("x-engine-request", job.id.to_owned()),
            ("x-engine-priority", job.priority.to_string()),
            ("traceparent", job.traceparent.to_owned()),
        ];
        if head.resume_at > 0 {
            headers.push(("x-engine-resume-at", head.resume_at.to_string()));
        }
        if !head.segments.is_empty() {
            let list: Vec<String> = head.segments.iter().map(segment_location).collect();
            headers.push(("x-engine-segments", list.join(",")));
        }
        let call = Call {
            method: "POST",
            path: &head.path,
            headers: &headers,
            length: head.body_length,
            may_reuse: head.repeatable,
        };
        let body = Upload::new(body, head.body_length);
        self.client.send_for(&head.request, &call, body).await
    }

    /// Sends a control request. Returns the status and the complete body.
    async fn control(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), Failure> {
        let headers = [("content-type", JSON.to_owned())];
        let call = Call {
            method,
            path,
            headers: &headers,
            length: body.len() as u64,
            may_reuse: true,
        };
        let exchange = async {
            let mut answer = self.client.send(&call, body).await?;
            let body = answer.read_body(MAX_CONTROL_BYTES).await?;
            Ok((answer.head().status, body))
        };
        timeout(CONTROL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(Failure::Broken))
    }
}

/// Content type of requests to engines.
const JSON: &str = "application/json";

/// Formats the location of a segment for the `X-Engine-Segments` header.
fn segment_location(segment: &Segment) -> String {
    format!("{}/{}", segment.address, segment.handle)
}

/// Tells from an error response whether the request may have run.
fn refusal(status: u16, body: &[u8]) -> Failure {
    let text: String = String::from_utf8_lossy(body)
        .chars()
        .take(MAX_ERROR_TEXT_CHARS)
        .collect();
    // Engines check a whole request before they start it, so a 4xx status or a
    // 503 means that it didn't run.
    if (400..500).contains(&status) || status == 503 {
        Failure::Refused(status, text)
    } else {
        Failure::Failed(status, text)
    }
}

/// Reads an error response. Its status counts even if its body is cut.
async fn read_refusal(answer: &mut Answer<'_>) -> Failure {
    let body = answer.read_body(MAX_ERROR_BYTES).await;
    refusal(answer.head().status, &body.unwrap_or_default())
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Counts>,
    error: Option<serde_json::Value>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Choice {
    text: Option<String>,
    delta: Option<Delta>,
    finish_reason: Option<String>,
    // Number of tokens in this chunk. If the engine doesn't report it, the
    // chunk counts as one token.
    tokens: Option<u32>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct Counts {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Details,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

/// Collects the finish reason and the usage from an answer's stream.
#[derive(Default)]
struct Accumulator {
    finish: Option<String>,
    usage: Option<Usage>,
}

impl Accumulator {
    /// Takes in a chunk. Returns the text that it carries, with the number of
    /// tokens.
    fn apply(&mut self, chunk: Chunk) -> Option<(u32, String)> {
        if let Some(counts) = chunk.usage {
            self.usage = Some(Usage {
                prompt: Tokens(counts.prompt_tokens),
                cached: Tokens(counts.prompt_tokens_details.cached_tokens),
                output: Tokens(counts.completion_tokens),
                finish: String::new(),
            });
        }
        let choice = chunk.choices.into_iter().next()?;
        self.finish = choice.finish_reason.or(self.finish.take());
        let text = choice.text.or(choice.delta.and_then(|d| d.content))?;
        (!text.is_empty()).then(|| (choice.tokens.unwrap_or(1), text))
    }

    /// Returns the usage if the engine has reported why it stopped.
    fn into_usage(self) -> Option<Usage> {
        let finish = self.finish?;
        let usage = self.usage.unwrap_or_default();
        Some(Usage { finish, ..usage })
    }
}

/// Measures the event of which the end has not arrived.
#[derive(Debug, Default)]
struct Incomplete {
    bytes: usize,
    /// Line ends after the last byte of another kind. An event ends with two.
    line_ends: usize,
}

impl Incomplete {
    /// Takes in the next bytes. Returns whether the event may go on.
    fn push(&mut self, bytes: &[u8]) -> bool {
        for byte in bytes {
            self.bytes += 1;
            match byte {
                b'\n' => self.line_ends += 1,
                b'\r' => {}
                _ => self.line_ends = 0,
            }
            if self.line_ends >= 2 {
                self.bytes = 0;
            }
        }
        self.bytes <= MAX_EVENT_BYTES
    }
}

/// Streams an answer to the output, and returns its usage if it is complete.
async fn relay_answer<O>(answer: Answer<'_>, output: &mut O) -> Result<Usage, Failure>
where
    O: Output,
{
    let begin = Part::Begin {
        status: 200,
        content_type: "text/event-stream".to_owned(),
    };
    output
        .put(0, begin)
        .await
        .map_err(|_| Failure::OutputClosed)?;
    let state = (answer, Incomplete::default());
    let chunks = stream::unfold(state, async |(mut answer, mut incomplete)| {
        let chunk = answer.next().await?;
        let chunk = chunk.and_then(|bytes| match incomplete.push(&bytes) {
            true => Ok(bytes),
            false => {
                tracing::warn!(
                    bytes = incomplete.bytes,
                    "an event of the engine is too long"
                );
                Err(Failure::Broken)
            }
        });
        Some((chunk, (answer, incomplete)))
    });
    let mut events = Box::pin(chunks).eventsource();
    let mut accumulator = Accumulator::default();
    while let Some(event) = events.next().await {
        let data = event.map_err(|_| Failure::Broken)?.data;
        // The closing record. An answer without it is incomplete.
        if data == "[DONE]" {
            // Takes in the end of the body if it has arrived, so that the
            // connection can be used again.
            let _ = events.next().now_or_never();
            return accumulator.into_usage().ok_or(Failure::Truncated);
        }
        let chunk: Chunk = serde_json::from_str(&data).map_err(|_| Failure::Truncated)?;
        if let Some(error) = chunk.error {
            return Err(Failure::Failed(500, error.to_string()));
        }
        if let Some((count, text)) = accumulator.apply(chunk) {
            let part = Part::Text(text);
            output
                .put(count, part)
                .await
                .map_err(|_| Failure::OutputClosed)?;
        }
    }
    Err(Failure::Truncated)
}

#[derive(Deserialize)]
struct Listing {
    requests: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    id: String,
    #[serde(default)]
    kind: String,
    tokens: u64,
}

impl Entry {
    fn kind(&self) -> Kind {
        match self.kind.as_str() {
            "export" | "import" => Kind::Export,
            "segment" => Kind::Reservation,
            _ => Kind::Stream,
        }
    }
}

/// Builds the request that processes a part of a prompt. The text is the inside
/// of a JSON string in the caller's body, and is copied into another JSON
/// string unchanged.
fn segment_request_body(piece: &Piece<'_>) -> Vec<u8> {
    let head = json!({"id": piece.id, "priority": piece.priority, "tokens": piece.tokens});
    let mut body = head.to_string().into_bytes();
    if let Some(text) = &piece.text {
        body.pop();
        body.extend_from_slice(br#","prompt":""#);
        body.extend_from_slice(text);
        body.extend_from_slice(br#""}"#);
    }
    body
}

impl Protocol for Engine {
    async fn run<O>(&self, job: Run<'_>, body: Feed, output: &mut O) -> Result<Usage, Failure>
    where
        O: Output,
    {
        let mut answer = self.send(&job, body).await?;
        if !answer.is_success() {
            return Err(read_refusal(&mut answer).await);
        }
        relay_answer(answer, output).await
    }

    async fn cancel(&self, id: &str) -> bool {
        let path = format!("/engine/requests/{id}");
        match self.control("DELETE", &path, &[]).await {
            Ok((status, _)) => (200..300).contains(&status) || status == 404,
            Err(_) => false,
        }
    }

    async fn process_segment(&self, piece: Piece<'_>) -> Result<Segment, Failure> {
        let body = segment_request_body(&piece);
        let call = Call {
            method: "POST",
            path: "/engine/segments",
            headers: &[("content-type", JSON.to_owned())],
            length: body.len() as u64,
            may_reuse: true,
        };
        let mut answer = self.client.send(&call, &body).await?;
        if !answer.is_success() {
            return Err(read_refusal(&mut answer).await);
        }
        answer.read_body(MAX_CONTROL_BYTES).await?;
        Ok(Segment {
            address: self.client.address().to_string(),
            handle: piece.id.to_owned(),
        })
    }

    async fn load_model(&self, model: &str, version: &str, fence: u64) -> Result<(), Failure> {
        let order = json!({"kind": "load", "model": model, "version": version, "fence": fence});
        let order = order.to_string();
        let answered = self.control("POST", "/engine/orders", order.as_bytes());
        match answered.await? {
            (200..300, _) => Ok(()),
            (status, body) => Err(refusal(status, &body)),
        }
    }

    async fn list_allocations(&self) -> Option<Vec<Allocation>> {
        let answered = self.control("GET", "/engine/requests", &[]).await;
        let (_, body) = answered.ok()?;
        let listing: Listing = serde_json::from_slice(&body).ok()?;
        let held = |entry: Entry| Allocation {
            kind: entry.kind(),
            id: entry.id,
            tokens: Tokens(entry.tokens),
        };
        Some(listing.requests.into_iter().map(held).collect())
    }

    async fn is_alive(&self) -> bool {
        let answered = self.control("GET", "/engine/health", &[]).await;
        answered.is_ok_and(|(status, _)| (200..300).contains(&status))
    }
}
