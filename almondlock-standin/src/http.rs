//! What both stand-ins need of HTTP: bodies in, JSON out, errors as values.

use ntex::{
    http::{Payload, Response, StatusCode, error::PayloadError},
    util::{Bytes, BytesMut},
};
use serde::{Serialize, de::DeserializeOwned};

/// The largest body read: a million tokens take 4 to 6 MB.
const BODY_LIMIT: usize = 24 << 20;

/// A request that isn't served, and why.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    status: StatusCode,
    message: String,
}

impl Refusal {
    pub(crate) fn new<S>(status: StatusCode, message: S) -> Refusal
    where
        S: Into<String>,
    {
        let message = message.into();
        Refusal { status, message }
    }

    pub(crate) fn response(&self) -> Response {
        let body = serde_json::json!({ "error": { "message": self.message } });
        Response::build(self.status).json(&body)
    }
}

/// A JSON answer.
pub(crate) fn json<T>(value: &T) -> Response
where
    T: Serialize,
{
    Response::Ok().json(value)
}

/// Reads a whole body.
pub(crate) async fn read(mut payload: Payload) -> Result<Bytes, Refusal> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(broken)?;
        if body.len() + chunk.len() > BODY_LIMIT {
            let text = "the body is too large";
            return Err(Refusal::new(StatusCode::PAYLOAD_TOO_LARGE, text));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

fn broken(error: PayloadError) -> Refusal {
    Refusal::new(StatusCode::BAD_REQUEST, error.to_string())
}

/// Reads a body as JSON.
pub(crate) fn parse<T>(body: &[u8]) -> Result<T, Refusal>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|error| Refusal::new(StatusCode::BAD_REQUEST, error.to_string()))
}
