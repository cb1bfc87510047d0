//! Sends one request and watches its answer come.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use almondlock_http::{
    client::{self, Call, Client},
    upstream::Whole,
};
use almondlock_node::clock;
use almondlock_standin::answer::{Key, TOKEN_BYTES};
use serde_json::Value;
use tokio::time::{Instant, timeout};

use crate::{
    check::Verdict,
    record::{End, Outcome},
    workload::Request,
};

/// Time allowed for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time allowed for the start of an answer, and for each piece of it.
const TIMEOUT: Duration = Duration::from_secs(120);

/// Makes a client for [`send`].
pub fn client() -> Client {
    Client::new(clock::mono, CONNECT_TIMEOUT)
}

/// Who sends, and how.
#[derive(Clone, Debug, Default)]
pub struct Manner {
    /// The model asked for, if any.
    pub model: Option<String>,
    /// The organisations' keys, by index.
    pub keys: Vec<String>,
    /// The deadline in real milliseconds, if any.
    pub deadline: Option<u64>,
    /// Whether to use the chat form.
    pub chat: bool,
    /// Whether to give the engine a priority by length, where no system stands
    /// before it.
    pub priority: bool,
    /// Whether times count from the sending, not from the intended moment. Hides
    /// what the tool and its timer add, and all queueing before them.
    pub from_send: bool,
    /// How much faster than real time the system's clock runs.
    pub factor: f64,
}

/// An answer so far.
#[derive(Debug, Default)]
struct Answer {
    buffer: String,
    text: String,
    last: Option<Instant>,
    gaps: Vec<(Duration, u64)>,
    done: bool,
    error: Option<u16>,
}

impl Answer {
    async fn read(&mut self, mut answer: client::Answer<'_>, first: &Cell<Option<Instant>>) {
        while let Ok(Some(Ok(bytes))) = timeout(TIMEOUT, answer.next()).await {
            let now = Instant::now();
            self.buffer.push_str(&String::from_utf8_lossy(&bytes));
            let mut start = 0;
            while let Some(length) = self.buffer[start..].find("\n\n") {
                let event = self.buffer[start..start + length].to_owned();
                start += length + 2;
                // An event may have a name before its data, as errors do.
                let data = event.lines().find_map(|line| line.strip_prefix("data: "));
                self.event(data.unwrap_or_default(), now);
            }
            self.buffer.drain(..start);
            if !self.text.is_empty() && first.get().is_none() {
                first.set(Some(now));
            }
        }
    }

    fn event(&mut self, event: &str, now: Instant) {
        if event == "[DONE]" {
            self.done = true;
            return;
        }
        let Ok(event) = serde_json::from_str::<Value>(event) else {
            return;
        };
        if !event["error"].is_null() {
            self.error = Some(code(&event).unwrap_or_default());
        }
        let choice = &event["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or(choice["delta"]["content"].as_str());
        if let Some(text) = text.filter(|text| !text.is_empty()) {
            self.tokens(text, now);
        }
    }

    fn tokens(&mut self, text: &str, now: Instant) {
        self.text.push_str(text);
        let tokens = text.len().div_ceil(TOKEN_BYTES) as u32;
        if let Some(last) = self.last.replace(now) {
            self.gaps.push(((now - last) / tokens, tokens.into()));
        }
    }

    fn end(&self, key: &Key, tokens: u64) -> End {
        let verdict = Verdict::new(key, tokens, &self.text);
        match (self.error, self.done) {
            _ if !verdict.is_prefix() => End::Wrong(verdict.as_str()),
            (Some(code), _) => End::Failed(code),
            (None, false) => End::Lost,
            (None, true) if verdict == Verdict::Whole => End::Whole,
            (None, true) => End::Wrong(verdict.as_str()),
        }
    }
}

fn code(body: &Value) -> Option<u16> {
    u16::try_from(body["error"]["code"].as_u64()?).ok()
}

/// Sends a request that was meant to be sent at `due`, and tells how it ended.
/// When its first token came is told in `first` at once, for those that never end.
pub async fn send(
    client: &Client,
    target: SocketAddr,
    request: &Request,
    manner: &Manner,
    due: Instant,
    first: &Cell<Option<Instant>>,
) -> Outcome {
    let prompt = request.text();
    let key = Key::new(&prompt);
    let body = body(request, manner, &prompt);
    drop(prompt);
    let headers = headers(request, manner);
    let call = Call {
        method: "POST",
        path: match manner.chat {
            true => "/v1/chat/completions",
            false => "/v1/completions",
        },
        headers: &headers,
        length: body.len() as u64,
        may_reuse: !request.once,
    };
    let sent = timeout(TIMEOUT, client.send(target, &call, Whole::new(&body)));
    let due = if manner.from_send {
        Instant::now()
    } else {
        due
    };
    let mut answer = Answer::default();
    let end = match sent.await {
        Ok(Ok(response)) if response.is_success() => {
            answer.read(response, first).await;
            answer.end(&key, request.answer)
        }
        Ok(Ok(response)) => {
            let number = response.head.text("x-almondlock-code");
            let number = number.and_then(|number| number.parse().ok());
            End::Failed(number.unwrap_or(response.head.status))
        }
        Ok(Err(_)) | Err(_) => End::Lost,
    };
    let scale = |span: Duration| span.mul_f64(manner.factor);
    Outcome {
        class: request.class(),
        end,
        first: first.get().map(|first| scale(first - due)),
        total: scale(due.elapsed()),
        gaps: answer
            .gaps
            .iter()
            .map(|(gap, n)| (scale(*gap), *n))
            .collect(),
    }
}

fn headers(request: &Request, manner: &Manner) -> Vec<(&'static str, String)> {
    let mut headers = vec![("content-type", "application/json".to_owned())];
    if let Some(key) = manner.keys.get(request.organisation) {
        headers.push(("authorization", format!("Bearer {key}")));
    }
    if let Some(deadline) = manner.deadline {
        headers.push(("x-almondlock-deadline-ms", deadline.to_string()));
    }
    if request.once {
        let key = format!("bench-{}-{}", request.salt, request.serial);
        headers.push(("idempotency-key", key));
        headers.push(("x-almondlock-repeatable", "false".to_owned()));
    }
    if manner.priority {
        let priority = request.prompt.ilog2();
        headers.push(("x-engine-priority", priority.to_string()));
    }
    headers
}

/// The body, written by hand: a serializer would look through megabytes for
/// characters to escape that prompts of [`Request::text`] don't have.
fn body(request: &Request, manner: &Manner, prompt: &str) -> Vec<u8> {
    let model = manner.model.as_ref();
    let model = model.map_or_else(String::new, |m| {
        format!(r#""model":{},"#, Value::from(m.as_str()))
    });
    let limit = request.answer;
    let prompt = if manner.chat {
        format!(r#""messages":[{{"role":"user","content":"{prompt}"}}]"#)
    } else {
        format!(r#""prompt":"{prompt}""#)
    };
    format!(r#"{{{model}"stream":true,"max_tokens":{limit},{prompt}}}"#).into_bytes()
}
