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
use almondlock_policy::ledger::Kind;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::Segment,
};
use eventsource_stream::Eventsource;
use futures::StreamExt;
use ntex::{
    client::{
        Client, ClientRequest, ClientResponse, Connector,
        error::{ClientBuilderError, ClientError, ConnectError},
    },
    http::{Method, StatusCode, body::SizedStream, header},
};
use serde::Deserialize;
use serde_json::json;

use crate::protocol::{Allocation, Failure, Feed, Output, Piece, Protocol, Run};

/// Time-out for control requests: health checks, lists of allocations,
/// cancellations and orders to load a model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of connections to one upstream. It exceeds any number of runs
/// that the queue lets through.
const MAX_CONNECTIONS: usize = 60_000;

/// Maximum length of an error text taken over from an engine, in characters.
const MAX_ERROR_TEXT_CHARS: usize = 2048;

/// Address of an engine and HTTP clients for it.
pub struct Engine {
    address: SocketAddr,
    base: String,
    clients: Clients,
    control: Client,
}

impl Engine {
    /// Creates the clients. Must be called on the thread that uses them.
    pub async fn new(address: SocketAddr) -> Result<Engine, ClientBuilderError> {
        let control = Client::builder()
            .response_timeout(ntex::time::Millis::from(CONTROL_TIMEOUT))
            .disable_redirects();
        Ok(Engine {
            address,
            base: format!("http://{address}"),
            clients: Clients::new().await?,
            control: control.build(ntex::SharedCfg::default()).await?,
        })
    }

    async fn send(&self, job: &Run<'_>, body: Feed) -> Result<ClientResponse, Failure> {
        let head = job.head;
        let url = format!("{}{}", self.base, head.path);
        let mut request = self
            .clients
            .request(head.repeatable, Method::POST, url)
            .header(header::CONTENT_TYPE, "application/json")
            .header("X-Engine-Request", job.id)
            .header("X-Engine-Priority", u32::from(job.priority).to_string())
            .header("traceparent", job.traceparent);
        if head.resume_at > 0 {
            request = request.header("X-Engine-Resume-At", head.resume_at.to_string());
        }
        if !head.segments.is_empty() {
            let list: Vec<String> = head.segments.iter().map(segment_location).collect();
            request = request.header("X-Engine-Segments", list.join(","));
        }
        let body = SizedStream::new(head.body_length, body);
        request
            .send_body(body)
            .await
            .map_err(|e| classify_error(&e))
    }
}

/// Formats the location of a segment for the `X-Engine-Segments` header.
fn segment_location(segment: &Segment) -> String {
    format!("{}/{}", segment.address, segment.handle)
}

/// Tells whether a failed request may have reached the upstream.
///
/// Only a connection that was never made proves that nothing ran. The client
/// reports `Disconnected` both for a connection that could not be made and for
/// one that was closed before the answer came; only the first carries the
/// system's error.
pub(crate) fn classify_error(error: &ClientError) -> Failure {
    match error {
        ClientError::Connect(
            ConnectError::Disconnected(Some(_))
            | ConnectError::Resolver(_)
            | ConnectError::Timeout
            | ConnectError::Unresolved,
        ) => Failure::Unreachable,
        _ => Failure::Broken,
    }
}

/// Builds a client without time-outs for runs, since runs have deadlines of
/// their own, which are minutes long for long prompts.
///
/// By default the library's client opens at most eight connections. Further
/// requests would wait inside the client in an order that the sidecar's queue
/// doesn't control.
async fn build_run_client() -> Result<Client, ClientBuilderError> {
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let builder = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects();
    builder.build(ntex::SharedCfg::default()).await
}

/// HTTP clients for runs.
///
/// A request that may not be repeated always gets a new connection: the
/// upstream may just have closed a pooled one, and whether a request sent on it
/// ran is unknown.
pub(crate) struct Clients {
    pooled: Client,
    single: Client,
}

impl Clients {
    pub(crate) async fn new() -> Result<Clients, ClientBuilderError> {
        Ok(Clients {
            pooled: build_run_client().await?,
            single: build_run_client().await?,
        })
    }

    pub(crate) fn request(&self, repeatable: bool, method: Method, url: String) -> ClientRequest {
        if repeatable {
            self.pooled.request(method, url)
        } else {
            // Closed after each answer, so that no connection is reused.
            self.single.request(method, url).force_close()
        }
    }
}

/// Reads an error response and tells whether the request may have run.
pub(crate) async fn read_refusal(response: &ClientResponse) -> Failure {
    let status = response.status();
    let body = response.body().limit(64 * 1024).await.unwrap_or_default();
    let text: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_ERROR_TEXT_CHARS)
        .collect();
    // Engines check a whole request before they start it, so a 4xx status or a
    // 503 means that it didn't run.
    let not_run = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    if not_run {
        Failure::Refused(status.as_u16(), text)
    } else {
        Failure::Failed(status.as_u16(), text)
    }
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

/// Streams an answer to the output, and returns its usage if it is complete.
async fn relay_answer<O>(response: ClientResponse, output: &mut O) -> Result<Usage, Failure>
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
    let mut events = response.take_payload().eventsource();
    let mut accumulator = Accumulator::default();
    while let Some(event) = events.next().await {
        let data = event.map_err(|_| Failure::Broken)?.data;
        // The closing record. An answer without it is incomplete.
        if data == "[DONE]" {
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
        let response = self.send(&job, body).await?;
        if !response.status().is_success() {
            return Err(read_refusal(&response).await);
        }
        relay_answer(response, output).await
    }

    async fn cancel(&self, id: &str) -> bool {
        let url = format!("{}/engine/requests/{id}", self.base);
        match self.control.delete(url).send().await {
            Ok(response) => response.status().is_success() || response.status() == 404,
            Err(_) => false,
        }
    }

    async fn process_segment(&self, piece: Piece<'_>) -> Result<Segment, Failure> {
        let url = format!("{}/engine/segments", self.base);
        let request = self
            .clients
            .request(true, Method::POST, url)
            .header(header::CONTENT_TYPE, "application/json");
        let sent = request.send_body(segment_request_body(&piece)).await;
        let response = sent.map_err(|e| classify_error(&e))?;
        if !response.status().is_success() {
            return Err(read_refusal(&response).await);
        }
        response.body().await.map_err(|_| Failure::Broken)?;
        Ok(Segment {
            address: self.address.to_string(),
            handle: piece.id.to_owned(),
        })
    }

    async fn load_model(&self, model: &str, version: &str, fence: u64) -> Result<(), Failure> {
        let url = format!("{}/engine/orders", self.base);
        let order = json!({"kind": "load", "model": model, "version": version, "fence": fence});
        let sent = self.control.post(url).send_json(&order).await;
        let response = sent.map_err(|e| classify_error(&e))?;
        if response.status().is_success() {
            Ok(())
        } else {
            Err(read_refusal(&response).await)
        }
    }

    async fn list_allocations(&self) -> Option<Vec<Allocation>> {
        let url = format!("{}/engine/requests", self.base);
        let response = self.control.get(url).send().await.ok()?;
        let listing: Listing = response.json().await.ok()?;
        let held = |entry: Entry| Allocation {
            kind: entry.kind(),
            id: entry.id,
            tokens: Tokens(entry.tokens),
        };
        Some(listing.requests.into_iter().map(held).collect())
    }

    async fn is_alive(&self) -> bool {
        let url = format!("{}/engine/health", self.base);
        let answer = self.control.get(url).send().await;
        answer.is_ok_and(|r| r.status().is_success())
    }
}
