//! Upstreams that are plain HTTP services: any method and path, passed through
//! unchanged.

use std::net::SocketAddr;

use almondlock_base::unit::Tokens;
use almondlock_http::client::Call;
use almondlock_wire::{
    answer::{Part, Usage},
    attempt::Segment,
};

use crate::{
    client::{Answer, Client, Upload},
    protocol::{Allocation, Failure, Feed, Output, Piece, Protocol, Run},
};

/// Address of a plain service and an HTTP client for it.
pub struct Service {
    client: Client,
}

impl Service {
    /// Creates the client.
    pub fn new(address: SocketAddr) -> Service {
        Service {
            client: Client::new(address),
        }
    }

    async fn send(&self, job: &Run<'_>, body: Feed) -> Result<Answer<'_>, Failure> {
        let head = job.head;
        let mut headers = vec![
            ("traceparent", job.traceparent.to_owned()),
            ("x-request-id", head.request.clone()),
        ];
        if !head.content_type.is_empty() {
            headers.push(("content-type", head.content_type.clone()));
        }
        let call = Call {
            method: &head.method,
            path: &head.path,
            headers: &headers,
            length: head.body_length,
            may_reuse: head.repeatable,
        };
        let body = Upload::new(body, head.body_length);
        self.client.send_for(&head.request, &call, body).await
    }
}

fn begin(answer: &Answer<'_>) -> Part {
    let content_type = answer.head().text("content-type");
    Part::Begin {
        status: answer.head().status,
        content_type: content_type
            .unwrap_or("application/octet-stream")
            .to_owned(),
    }
}

impl Protocol for Service {
    async fn run<O>(&self, job: Run<'_>, body: Feed, output: &mut O) -> Result<Usage, Failure>
    where
        O: Output,
    {
        let mut answer = self.send(&job, body).await?;
        // An error status is passed on to the caller like any other answer.
        let first = begin(&answer);
        output
            .put(0, first)
            .await
            .map_err(|_| Failure::OutputClosed)?;
        let mut total = 0;
        while let Some(chunk) = answer.next().await {
            let chunk = chunk?;
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
        let call = Call {
            method: "HEAD",
            path: "/",
            headers: &[],
            length: 0,
            may_reuse: true,
        };
        self.client.send(&call, &[]).await.is_ok()
    }
}
