//! A client of the stand-ins, for all tests.
#![allow(dead_code)] // Each test file uses a part of it.

use std::{net::SocketAddr, time::Duration};

use almondlock_standin::engine::{Config, Engine, Handle};
use ntex::{
    client::{Client, ClientResponse},
    http::{Method, Payload},
    time::Millis,
};
use serde_json::{Value, json};

/// Longer than anything takes, also on a busy machine.
pub(crate) const LIMIT: Duration = Duration::from_secs(60);

/// An engine whose clock runs fast.
pub(crate) fn config() -> Config {
    Config {
        factor: 50.0,
        report_lag: Duration::ZERO,
        cache_lag: Duration::ZERO,
        cache_gaps: 0.0,
        ..Config::default()
    }
}

pub(crate) fn start(config: Config) -> Handle {
    Engine::start(config).expect("loopback can be bound")
}

/// A prompt of so many tokens, unlike any of another name.
pub(crate) fn prompt(name: &str, tokens: usize) -> String {
    let mut text = format!("{name} ");
    while text.len() < tokens * 4 {
        text.push_str(name);
    }
    text.truncate(tokens * 4);
    text
}

pub(crate) async fn client() -> Client {
    almondlock_standin::client::new().await.expect("a client")
}

/// Sends JSON and reads JSON.
pub(crate) async fn call(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<Value>,
) -> Result<(u16, Value), String> {
    let request = client()
        .await
        .request(method, format!("http://{address}{path}"));
    let response = match body {
        Some(body) => request.send_json(&body).await,
        None => request.send().await,
    };
    let response = response.map_err(|e| e.to_string())?;
    let status = response.status().as_u16();
    let bytes = response.body().await.map_err(|e| e.to_string())?;
    let value = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    Ok((status, value))
}

pub(crate) async fn get(address: SocketAddr, path: &str) -> Value {
    call(Method::GET, address, path, None)
        .await
        .expect("an answer")
        .1
}

pub(crate) async fn post(address: SocketAddr, path: &str, body: Value) -> (u16, Value) {
    call(Method::POST, address, path, Some(body))
        .await
        .expect("an answer")
}

/// A completion's head and its stream, being read.
pub(crate) struct Stream {
    pub(crate) status: u16,
    payload: Payload,
    buffer: String,
    // Keeps the connection until the test drops it.
    _response: ClientResponse,
}

/// What a stream gave.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Text {
    pub(crate) text: String,
    pub(crate) first: Option<u64>,
    pub(crate) usage: Value,
    pub(crate) done: bool,
    pub(crate) broken: bool,
}

impl Stream {
    pub(crate) async fn open(address: SocketAddr, headers: &[(&str, &str)], body: Value) -> Stream {
        let url = format!("http://{address}/v1/completions");
        let mut request = client().await.post(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send_json(&body).await.expect("a head");
        Stream {
            status: response.status().as_u16(),
            payload: response.take_payload(),
            buffer: String::new(),
            _response: response,
        }
    }

    /// The next event; `None` at the end, an error if the stream broke.
    pub(crate) async fn next(&mut self) -> Result<Option<String>, String> {
        loop {
            if let Some(at) = self.buffer.find("\n\n") {
                let event = self.buffer[..at].trim_start_matches("data: ").to_owned();
                self.buffer.drain(..at + 2);
                return Ok(Some(event));
            }
            match self.payload.recv().await {
                Some(Ok(bytes)) => self.buffer.push_str(&String::from_utf8_lossy(&bytes)),
                Some(Err(error)) => return Err(error.to_string()),
                None => return Ok(None),
            }
        }
    }

    pub(crate) async fn read(mut self) -> Text {
        let mut text = Text::default();
        loop {
            match self.next().await {
                Ok(Some(event)) if event == "[DONE]" => text.done = true,
                Ok(Some(event)) => {
                    let event: Value = serde_json::from_str(&event).expect("JSON");
                    text.first = text.first.or(event["choices"][0]["offset"].as_u64());
                    text.text += event["choices"][0]["text"].as_str().expect("text");
                    if !event["usage"].is_null() {
                        text.usage = event["usage"].clone();
                    }
                }
                Ok(None) => return text,
                Err(_) => {
                    text.broken = true;
                    return text;
                }
            }
        }
    }
}

/// Streams a whole completion.
pub(crate) async fn complete(address: SocketAddr, prompt: &str, tokens: u64) -> Text {
    let body = json!({ "prompt": prompt, "max_tokens": tokens, "stream": true });
    Stream::open(address, &[], body).await.read().await
}

/// Waits until something holds.
pub(crate) async fn until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    let wait = async {
        while !holds() {
            ntex::time::sleep(Millis(2)).await;
        }
    };
    tokio::time::timeout(LIMIT, wait)
        .await
        .expect("it comes to hold");
}
