//! Which request goes where.

use std::rc::Rc;

use ntex::http::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};

use crate::{
    batch::{Kind, Sequence},
    complete,
    engine::Engine,
    http::{self, Refusal},
    kv,
    listener::Handler,
    order::{self, Order},
};

impl Handler for Engine {
    async fn handle(self: Rc<Self>, request: Request) -> Response {
        let answer = route(&self, request).await;
        answer.unwrap_or_else(|refusal| refusal.response())
    }
}

async fn route(engine: &Rc<Engine>, mut request: Request) -> Result<Response, Refusal> {
    let method = request.method().clone();
    let path = request.path().to_owned();
    if method == Method::POST {
        match path.as_str() {
            "/v1/completions" => return complete::post(engine, request, false).await,
            "/v1/chat/completions" => return complete::post(engine, request, true).await,
            "/engine/segments" => return kv::segment(engine, request).await,
            _ => {}
        }
        let body = http::read(request.take_payload()).await?;
        return match path.as_str() {
            "/engine/kv/export" => kv::export(engine, &body),
            "/engine/kv/import" => kv::import(engine, &body).await,
            "/engine/kv/free" => kv::free(engine, &body),
            "/engine/orders" => order(engine, &body),
            _ => Err(unknown()),
        };
    }
    if method == Method::DELETE {
        let id = path.strip_prefix("/engine/requests/").ok_or_else(unknown)?;
        let life = engine.state.borrow().life;
        let cancelled = engine.cancel(life, id);
        return Ok(http::json(&json!({ "cancelled": cancelled })));
    }
    if let Some(handle) = path.strip_prefix("/engine/kv/") {
        return kv::describe(engine, handle);
    }
    match path.as_str() {
        "/engine/requests" => Ok(http::json(&requests(engine))),
        "/engine/load" => {
            let load = engine.state.borrow_mut().report.get(engine.now());
            Ok(http::json(&load))
        }
        "/engine/events" => Ok(events(engine, request.uri().query())),
        "/engine/health" => Ok(http::json(&health(engine))),
        "/v1/models" => Ok(http::json(&models(engine))),
        _ => Err(unknown()),
    }
}

fn unknown() -> Refusal {
    Refusal::new(StatusCode::NOT_FOUND, "no such path")
}

fn requests(engine: &Engine) -> Value {
    let state = engine.state.borrow();
    let running = state.batch.sequences().map(|s| {
        let kind = match s.kind {
            Kind::Stream => "stream",
            Kind::Segment => "segment",
        };
        json!({ "id": &*s.id, "kind": kind, "tokens": s.filled() })
    });
    let held = state.batch.held.iter();
    let held = held.map(|(id, h)| json!({ "id": &**id, "kind": h.kind, "tokens": h.tokens }));
    json!({ "requests": running.chain(held).collect::<Vec<_>>() })
}

fn events(engine: &Engine, query: Option<&str>) -> Response {
    let after = query.and_then(|q| q.split('&').find_map(|pair| pair.strip_prefix("after=")));
    let after = after.and_then(|n| n.parse().ok()).unwrap_or_default();
    let until = engine.now().checked_sub(engine.config.cache_lag);
    let state = engine.state.borrow();
    let events = until.map(|until| state.batch.cache.events(after, until));
    http::json(&json!({ "life": state.life, "events": events.unwrap_or_default() }))
}

fn health(engine: &Engine) -> Value {
    let state = engine.state.borrow();
    json!({
        "status": "ok",
        "life": state.life,
        "memory": engine.config.memory,
        "fenced": engine.config.fenced,
        "models": state.loaded.models,
        "loading": state.loaded.loading,
        "role": state.loaded.role,
        "fence": state.loaded.fence,
    })
}

fn models(engine: &Engine) -> Value {
    let state = engine.state.borrow();
    let models = state.loaded.models.keys();
    let list: Vec<_> = models
        .map(|m| json!({ "id": m, "object": "model" }))
        .collect();
    json!({ "object": "list", "data": list })
}

fn order(engine: &Rc<Engine>, body: &[u8]) -> Result<Response, Refusal> {
    let order: Order = http::parse(body)?;
    let mut state = engine.state.borrow_mut();
    let life = state.life;
    state.loaded.take(&order).map_err(|highest| {
        let text = format!("fencing number {} is older than {highest}", order.fence);
        Refusal::new(StatusCode::CONFLICT, text)
    })?;
    engine.count(|c| c.orders += 1);
    if order.kind == order::Kind::Load {
        let engine = engine.clone();
        ntex::rt::spawn(async move {
            tokio::time::sleep(engine.real(engine.config.load_time)).await;
            let mut state = engine.state.borrow_mut();
            if state.life == life {
                state.loaded.finish(&order);
            }
        });
    }
    Ok(http::json(&json!({ "taken": true })))
}

impl Engine {
    /// The model and version that a request for this name is served by.
    pub(crate) fn serving(&self, model: Option<&str>) -> Result<(String, String), Refusal> {
        let state = self.state.borrow();
        let models = &state.loaded.models;
        let found = match model {
            Some(name) => models.get_key_value(name),
            None => models.first_key_value(),
        };
        if let Some((name, version)) = found {
            return Ok((name.clone(), version.clone()));
        }
        let loading = model.is_some_and(|name| state.loaded.loading.contains_key(name));
        Err(if loading {
            Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "the model is being loaded")
        } else {
            Refusal::new(StatusCode::NOT_FOUND, "the model isn't loaded")
        })
    }

    /// The caller's id for a request, or a fresh one.
    pub(crate) fn name(&self, id: Option<String>) -> String {
        id.unwrap_or_else(|| self.name_handle("request"))
    }

    /// A name that no other request or handle of any engine has.
    pub(crate) fn name_handle(&self, kind: &str) -> String {
        let mut state = self.state.borrow_mut();
        state.last_id += 1;
        let port = self.port();
        format!("{kind}-{port}-{}-{}", state.life, state.last_id)
    }

    /// Takes a request in and tells the engine's life.
    pub(crate) fn submit(&self, sequence: Sequence) -> Result<u64, Refusal> {
        if sequence.reserved() > self.config.memory {
            let text = "prompt and answer need more than the engine's memory";
            return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        let mut state = self.state.borrow_mut();
        let held = state.batch.held.contains_key(&sequence.id);
        if held || state.batch.find(&sequence.id).is_some() {
            let text = "a request of this id is in the engine";
            return Err(Refusal::new(StatusCode::CONFLICT, text));
        }
        state.batch.submit(sequence);
        self.observe(&mut state);
        self.wake.notify_one();
        Ok(state.life)
    }

    /// Takes a request or what is held under a handle out of the engine.
    pub(crate) fn cancel(&self, life: u64, id: &str) -> bool {
        let mut state = self.state.borrow_mut();
        if state.life != life {
            return false;
        }
        let cancelled = state.batch.cancel(id, self.now());
        let freed = state.batch.held.remove(id).is_some();
        self.observe(&mut state);
        self.wake.notify_one();
        if cancelled {
            self.count(|c| c.cancelled += 1);
        }
        cancelled || freed
    }
}
