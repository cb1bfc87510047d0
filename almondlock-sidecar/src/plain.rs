//! Upstreams that are plain HTTP services: any method and path, passed through
//! unchanged.

use std::net::SocketAddr;

use almondlock_base::unit::Tokens;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::Segment,
};
use futures::StreamExt;
use ntex::{
    client::{ClientResponse, error::ClientBuilderError},
    http::{Method, body::SizedStream, header},
};

use crate::{
    openai::{Clients, classify_error},
    protocol::{Allocation, Failure, Feed, Output, Piece, Protocol, Run},
};

/// Address of a plain service and an HTTP client for it.
pub struct Service {
    base: String,
    clients: Clients,
}

impl Service {
    /// Creates the client. Must be called on the thread that uses it.
    pub async fn new(address: SocketAddr) -> Result<Service, ClientBuilderError> {
        Ok(Service {
            base: format!("http://{address}"),
            clients: Clients::new().await?,
        })
    }

    async fn send(&self, job: &Run<'_>, body: Feed) -> Result<ClientResponse, Failure> {
        let head = job.head;
        let method = Method::from_bytes(head.method.as_bytes())
            .map_err(|_| Failure::Refused(405, "unknown method".to_owned()))?;
        let url = format!("{}{}", self.base, head.path);
        let mut request = self
            .clients
            .request(head.repeatable, method, url)
            .header("traceparent", job.traceparent)
            .header("X-Request-Id", head.request.as_str());
        if !head.content_type.is_empty() {
            request = request.header(header::CONTENT_TYPE, head.content_type.as_str());
        }
        let sent = if head.body_length == 0 {
            request.send().await
        } else {
            let body = SizedStream::new(head.body_length, body);
            request.send_body(body).await
        };
        sent.map_err(|e| classify_error(&e))
    }
}

fn begin(response: &ClientResponse) -> Part {
    let content_type = response
        .header(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream");
    Part::Begin {
        status: response.status().as_u16(),
        content_type: content_type.to_owned(),
    }
}

impl Protocol for Service {
    async fn run<O>(&self, job: Run<'_>, body: Feed, output: &mut O) -> Result<Usage, Failure>
    where
        O: Output,
    {
        let response = self.send(&job, body).await?;
        // An error status is passed on to the caller like any other answer.
        let first = begin(&response);
        output
            .put(0, first)
            .await
            .map_err(|_| Failure::OutputClosed)?;
        let mut payload = response.take_payload();
        let mut total = 0;
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| Failure::Broken)?;
            let count = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            total += u64::from(count);
            let part = Part::Bytes(chunk.to_vec());
            output
                .put(count, part)
                .await
                .map_err(|_| Failure::OutputClosed)?;
        }
        Ok(Usage {
            output: Tokens(total),
            finish: "stop".to_owned(),
            ..Usage::default()
        })
    }

    // A plain service holds nothing after its connection has closed.
    async fn cancel(&self, _id: &str) -> bool {
        true
    }

    async fn process_segment(&self, _piece: Piece<'_>) -> Result<Segment, Failure> {
        Err(Failure::Refused(
            405,
            "a plain service has no prompts".to_owned(),
        ))
    }

    async fn load_model(&self, _model: &str, _version: &str, _fence: u64) -> Result<(), Failure> {
        Err(Failure::Refused(
            405,
            "a plain service has no models".to_owned(),
        ))
    }

    async fn list_allocations(&self) -> Option<Vec<Allocation>> {
        Some(Vec::new())
    }

    async fn is_alive(&self) -> bool {
        // Any answer counts, since services have no common health path.
        let url = format!("{}/", self.base);
        self.clients
            .request(true, Method::HEAD, url)
            .send()
            .await
            .is_ok()
    }
}
