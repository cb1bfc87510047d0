//! Engines that speak the OpenAI-compatible protocol.
//!
//! Every run is asked for as a stream, whatever the caller wanted, so that a
//! broken answer is noticed at the token where it broke and can be resumed
//! there. The engine's extensions used here are headers (the run's id, its
//! priority, the offset to resume at) and a few paths under `/engine`.

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

/// How long an engine may take to answer a question about its state.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to one upstream at most: above any number of runs that the queue
/// lets through.
const MAX_CONNECTIONS: usize = 60_000;

/// The longest error text taken over from an engine, in bytes.
const MAX_ERROR_TEXT_CHARS: usize = 2048;

/// An engine's address and a client for it.
pub struct Engine {
    address: SocketAddr,
    base: String,
    clients: Clients,
    control: Client,
}

impl Engine {
    /// An engine at an address. To be made on the thread that uses it.
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

fn segment_location(segment: &Segment) -> String {
    format!("{}/{}", segment.address, segment.handle)
}

/// A connection that was never made proves that nothing ran; all else leaves
/// the run's fate unknown. The client gives the same error for a connection
/// that could not be made and for one that was closed before the answer came;
/// only the first carries the system's reason.
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

/// A client for runs, which have deadlines of their own, minutes long where
/// prompts are.
///
/// The library's client opens eight connections at most by default: beyond
/// that, requests wait inside it, behind the queue that was to order them.
async fn build_run_client() -> Result<Client, ClientBuilderError> {
    let connector = Connector::new().limit(MAX_CONNECTIONS);
    let builder = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects();
    builder.build(ntex::SharedCfg::default()).await
}

/// Clients for runs. What may not be repeated gets a connection of its own
/// each time: one that was kept may have been closed by the other side a moment
/// ago, and what is sent into it may or may not have run.
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
            // Closed behind each answer, so that none is ever kept.
            self.single.request(method, url).force_close()
        }
    }
}

/// Reads an upstream's refusal.
pub(crate) async fn read_refusal(response: &ClientResponse) -> Failure {
    let status = response.status();
    let body = response.body().limit(64 * 1024).await.unwrap_or_default();
    let text: String = String::from_utf8_lossy(&body)
        .chars()
        .take(MAX_ERROR_TEXT_CHARS)
        .collect();
    // Engines check a request as a whole before they take it in: a 4xx and
    // the statuses for "not now" mean that it didn't start.
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
    // Tokens in this chunk, by engines that say so; else one.
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

/// What has been read of a stream.
#[derive(Default)]
struct Accumulator {
    finish: Option<String>,
    usage: Option<Usage>,
}

impl Accumulator {
    /// Takes a chunk in; gives the text it carries.
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

    /// The usage, once the engine has said why it stopped.
    fn into_usage(self) -> Option<Usage> {
        let finish = self.finish?;
        let usage = self.usage.unwrap_or_default();
        Some(Usage { finish, ..usage })
    }
}

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
        // Without this record the answer is not whole, whatever came before.
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

/// The body that asks for a part of a prompt. Its text stands in the caller's
/// body as the inside of a JSON string and is put into another as it is.
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
