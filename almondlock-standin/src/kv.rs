//! KV cache that outlives a request or leaves the engine: exports, imports and
//! the parts of prompts larger than one engine.

use std::{
    rc::{Rc, Weak},
    sync::Arc,
    time::Duration,
};

use futures::{StreamExt, channel::mpsc};
use ntex::http::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    answer::{self, Key},
    batch::{Event, Held, Kind, Sequence},
    client,
    complete::fault,
    engine::Engine,
    http::{self, Refusal},
    running::Running,
};

/// How often, in the engine's time, remote segments are looked after.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// KV cache on an engine.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Place {
    /// Address of the engine, `ip:port`.
    #[serde(alias = "from")]
    address: String,
    handle: String,
}

impl Place {
    /// Reads a list as it stands in a header: `ADDRESS/HANDLE,...`.
    pub(crate) fn list(text: &str) -> Vec<Place> {
        let pairs = text
            .split(',')
            .filter_map(|part| part.trim().split_once('/'));
        let place = |(address, handle): (&str, &str)| Place {
            address: address.to_owned(),
            handle: handle.to_owned(),
        };
        pairs.map(place).collect()
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Named {
    #[serde(alias = "handle")]
    id: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Part {
    id: String,
    tokens: Option<u64>,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    priority: i64,
}

/// What engines tell each other of a handle.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Description {
    handle: String,
    tokens: u64,
    key: String,
}

/// `POST /engine/kv/export`.
pub(crate) fn export(engine: &Rc<Engine>, body: &[u8]) -> Result<Response, Refusal> {
    let named: Named = http::parse(body)?;
    let handle = engine.name_handle("kv");
    let mut state = engine.state.borrow_mut();
    let found = state.batch.find(&named.id).filter(|s| s.filled() > 0);
    let Some(sequence) = found else {
        let text = "no such request, or nothing of it to export";
        return Err(Refusal::new(StatusCode::NOT_FOUND, text));
    };
    let held = Held {
        kind: "export",
        key: sequence.key,
        tokens: sequence.filled(),
        source: Some(sequence.id.clone()),
    };
    let answer = json!({ "handle": handle, "tokens": held.tokens });
    state.batch.held.insert(handle.into(), held);
    engine.observe(&mut state);
    Ok(http::json(&answer))
}

/// `GET /engine/kv/HANDLE`.
pub(crate) fn describe(engine: &Rc<Engine>, handle: &str) -> Result<Response, Refusal> {
    let state = engine.state.borrow();
    let held = state.batch.held.get(handle).ok_or_else(unknown)?;
    Ok(http::json(&Description {
        handle: handle.to_owned(),
        tokens: held.tokens,
        key: held.key.hex(),
    }))
}

/// `POST /engine/kv/import`: memory is taken first, then the copy is made, so
/// that an import which fails half-way leaves nothing behind.
pub(crate) async fn import(engine: &Rc<Engine>, body: &[u8]) -> Result<Response, Refusal> {
    let place: Place = http::parse(body)?;
    let found = fetch(&place).await?;
    let key = Key::from_hex(&found.key).ok_or_else(unknown)?;
    let handle: Arc<str> = engine.name_handle("kv").into();
    let held = Held {
        kind: "import",
        key,
        tokens: found.tokens,
        source: None,
    };
    let life = engine.hold(&handle, held)?;
    let seconds = found.tokens as f64 / engine.config.import_rate.max(1.0);
    let copying = engine.real(Duration::from_secs_f64(seconds));
    tokio::time::sleep(copying).await;
    if let Err(gone) = fetch(&place).await {
        engine.free(life, &handle);
        return Err(gone);
    }
    Ok(http::json(
        &json!({ "handle": &*handle, "tokens": found.tokens }),
    ))
}

/// `POST /engine/kv/free`, which may be sent again.
pub(crate) fn free(engine: &Rc<Engine>, body: &[u8]) -> Result<Response, Refusal> {
    let named: Named = http::parse(body)?;
    let life = engine.state.borrow().life;
    let freed = engine.free(life, &named.id);
    Ok(http::json(&json!({ "freed": freed })))
}

/// `POST /engine/segments`: prefills a part of a prompt and keeps it.
pub(crate) async fn segment(
    engine: &Rc<Engine>,
    mut request: Request,
) -> Result<Response, Refusal> {
    let connection = request.io().cloned();
    let body = http::read(request.take_payload()).await?;
    let part: Part = http::parse(&body)?;
    let tokens = part
        .tokens
        .unwrap_or_else(|| answer::prompt_tokens(&part.prompt));
    let (events, mut receiver) = mpsc::unbounded();
    let sequence = Sequence {
        id: part.id.as_str().into(),
        kind: Kind::Segment,
        key: Key::new(&part.prompt),
        priority: part.priority,
        blocks: Vec::new(),
        import: None,
        prompt: tokens,
        cached: 0,
        prefilled: 0,
        first: 0,
        next: 0,
        end: 0,
        fault: fault(&part.prompt),
        events,
    };
    let running = Running::start(engine, sequence, connection)?;
    match receiver.next().await {
        Some(Event::Done { .. }) => {
            running.finish();
            Ok(http::json(&json!({ "handle": part.id, "tokens": tokens })))
        }
        _ => {
            let text = "the segment was cancelled";
            Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, text))
        }
    }
}

async fn fetch(place: &Place) -> Result<Description, Refusal> {
    let url = format!("http://{}/engine/kv/{}", place.address, place.handle);
    let lost = |what: String| Refusal::new(StatusCode::BAD_GATEWAY, what);
    let client = client::new().await.map_err(|e| lost(e.to_string()))?;
    let answer = client.get(url).send().await;
    let answer = answer.map_err(|e| lost(format!("{}: {e}", place.address)))?;
    if !answer.status().is_success() {
        return Err(lost(format!("{} is gone", place.handle)));
    }
    answer.json().await.map_err(|e| lost(e.to_string()))
}

fn unknown() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "no such handle")
}

impl Engine {
    /// Takes memory for a handle, if there is any, and tells the engine's life.
    fn hold(&self, handle: &Arc<str>, held: Held) -> Result<u64, Refusal> {
        let mut state = self.state.borrow_mut();
        if held.tokens > state.batch.free() {
            let text = "no memory for the import";
            return Err(Refusal::new(StatusCode::INSUFFICIENT_STORAGE, text));
        }
        state.batch.held.insert(handle.clone(), held);
        state.batch.trim(self.now());
        self.observe(&mut state);
        Ok(state.life)
    }

    fn free(&self, life: u64, handle: &str) -> bool {
        let mut state = self.state.borrow_mut();
        let freed = state.life == life && state.batch.held.remove(handle).is_some();
        self.observe(&mut state);
        self.wake.notify_one();
        freed
    }

    /// Checks that a handle held here is of this prompt.
    pub(crate) fn check(&self, handle: &str, key: &Key) -> Result<(), Refusal> {
        let state = self.state.borrow();
        let held = state.batch.held.get(handle).ok_or_else(unknown)?;
        if held.key == *key {
            return Ok(());
        }
        let text = "the handle is of another prompt";
        Err(Refusal::new(StatusCode::CONFLICT, text))
    }

    /// Tokens that other engines hold of a prompt.
    pub(crate) async fn remote_tokens(&self, places: &[Place]) -> Result<u64, Refusal> {
        let mut tokens = 0;
        for place in places {
            tokens += fetch(place).await?.tokens;
        }
        Ok(tokens)
    }

    /// Cancels a request as soon as one of its remote segments is gone.
    pub(crate) fn watch(self: Rc<Engine>, running: &Rc<Running>, places: Vec<Place>) {
        let running: Weak<Running> = Rc::downgrade(running);
        ntex::rt::spawn(async move {
            while running.strong_count() > 0 {
                tokio::time::sleep(self.real(WATCH_INTERVAL)).await;
                if self.remote_tokens(&places).await.is_err()
                    && let Some(running) = running.upgrade()
                {
                    running.cancel();
                }
            }
        });
    }
}
