//! `POST /v1/completions` and `/v1/chat/completions`.

use std::rc::Rc;

use futures::channel::mpsc;
use ntex::http::{Request, Response, StatusCode};
use serde::Deserialize;

use crate::{
    answer::{self, Key},
    batch::{Event, Fault, Kind, Sequence},
    engine::{CRASH_MARKER, Engine, STALL_MARKER, WRITING_CRASH_MARKER},
    failing::Manner,
    http::{self, Refusal},
    kv::Place,
    running::Running,
    stream::Answer,
};

/// Tokens of an answer whose request names no limit.
const DEFAULT_TOKENS: u64 = 16;

#[derive(Debug)]
#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Body {
    model: Option<String>,
    prompt: Option<String>,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    /// A handle held here whose KV cache spares the prefill.
    kv: Option<String>,
    /// Parts of the prompt that other engines hold.
    #[serde(default)]
    segments: Vec<Place>,
}

impl Body {
    fn text(&mut self) -> Option<String> {
        let messages = std::mem::take(&mut self.messages);
        let prompt = self.prompt.take();
        let joined = || messages.into_iter().map(|m| m.content).collect();
        prompt.or_else(|| Some(joined()).filter(|text: &String| !text.is_empty()))
    }

    fn limit(&self) -> u64 {
        let limit = self.max_tokens.or(self.max_completion_tokens);
        limit.unwrap_or(DEFAULT_TOKENS)
    }
}

/// What stands in headers.
#[derive(Debug)]
struct Head {
    id: Option<String>,
    priority: i64,
    resume_at: u64,
    segments: Vec<Place>,
}

impl Head {
    fn new(request: &Request) -> Result<Head, Refusal> {
        let id = header(request, "x-engine-request");
        Ok(Head {
            id: id.map(str::to_owned),
            priority: number(request, "x-engine-priority")?.unwrap_or_default(),
            resume_at: number(request, "x-engine-resume-at")?.unwrap_or_default(),
            segments: Place::list(header(request, "x-engine-segments").unwrap_or_default()),
        })
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn number<N>(request: &Request, name: &str) -> Result<Option<N>, Refusal>
where
    N: std::str::FromStr,
{
    let bad = |_| Refusal::new(StatusCode::BAD_REQUEST, format!("{name} is no number"));
    let value = header(request, name);
    value.map(|v| v.parse().map_err(bad)).transpose()
}

/// Runs a completion.
pub(crate) async fn post(
    engine: &Rc<Engine>,
    mut request: Request,
    chat: bool,
) -> Result<Response, Refusal> {
    let mut head = Head::new(&request)?;
    let connection = request.io().cloned();
    let payload = http::read(request.take_payload()).await?;
    let mut body: Body = http::parse(&payload)?;
    drop(payload);
    engine.count(|c| c.arrived += 1);
    body.segments.append(&mut head.segments);
    let Some(prompt) = body.text() else {
        let text = "neither prompt nor messages";
        return Err(Refusal::new(StatusCode::BAD_REQUEST, text));
    };
    engine.config.log.record(Key::new(&prompt));
    fail(engine).await?;
    let (model, version) = engine.serving(body.model.as_deref())?;
    let (events, receiver) = mpsc::unbounded();
    let sequence = sequence(engine, head, &body, &prompt, events).await?;
    let (key, first, end) = (sequence.key, sequence.first, sequence.end);
    let running = Running::start(engine, sequence, connection)?;
    if !body.segments.is_empty() {
        engine.clone().watch(&running, body.segments);
    }
    let answer = Answer {
        running,
        events: receiver,
        pending: None,
        key,
        model,
        version,
        prompt_tokens: answer::prompt_tokens(&prompt),
        first,
        end,
        chat,
        over: false,
    };
    if body.stream {
        Ok(answer.stream())
    } else {
        answer.whole().await
    }
}

/// Does with a request what the engine does with all of them at present.
async fn fail(engine: &Rc<Engine>) -> Result<(), Refusal> {
    let failing = engine.config.failing;
    let Some((manner, left)) = failing.and_then(|failing| failing.manner(engine.now())) else {
        return Ok(());
    };
    let refusal = match manner {
        Manner::Refuse => Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Manner::Fail => Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "failed"),
        Manner::Silent => {
            tokio::time::sleep(engine.real(left)).await;
            Refusal::new(StatusCode::INTERNAL_SERVER_ERROR, "was silent")
        }
    };
    Err(refusal)
}

/// What a completion is to the batch.
async fn sequence(
    engine: &Rc<Engine>,
    head: Head,
    body: &Body,
    prompt: &str,
    events: mpsc::UnboundedSender<Event>,
) -> Result<Sequence, Refusal> {
    let remote = engine.remote_tokens(&body.segments).await?;
    let key = Key::new(prompt);
    if let Some(handle) = &body.kv {
        engine.check(handle, &key)?;
    }
    Ok(Sequence {
        id: engine.name(head.id).into(),
        kind: Kind::Stream,
        key,
        priority: head.priority,
        blocks: answer::blocks(prompt),
        import: body.kv.as_deref().map(Into::into),
        prompt: answer::prompt_tokens(prompt).saturating_sub(remote) + head.resume_at,
        cached: 0,
        prefilled: 0,
        first: head.resume_at,
        next: head.resume_at,
        end: body.limit().max(head.resume_at),
        fault: fault(prompt),
        events,
    })
}

/// The fault that a prompt's marker plants.
pub(crate) fn fault(prompt: &str) -> Fault {
    if prompt.contains(CRASH_MARKER) {
        Fault::Crash
    } else if prompt.contains(WRITING_CRASH_MARKER) {
        Fault::CrashWriting
    } else if prompt.contains(STALL_MARKER) {
        Fault::Stall
    } else {
        Fault::None
    }
}
