//! HTTP towards the fleet: operators' changes, announcements and requests.

use std::{error::Error, net::SocketAddr, time::Duration};

use ntex::{client::Client, time::Seconds};
use serde_json::{Value, json};
use tokio::time::sleep;

/// The key that callers show.
pub const CALLER_KEY: &str = "acme-key";
/// The key that the operator shows.
pub const OPERATOR_KEY: &str = "operator-key";
/// How long an operator's question may take.
const TIMEOUT: Seconds = Seconds(5);
/// Pause before a question is asked again.
const PAUSE: Duration = Duration::from_millis(200);
/// The most bytes of an answer that are read.
const ANSWER_LIMIT: usize = 1 << 20;

/// A client of the operators' and the callers' listeners.
#[derive(Clone)]
pub struct Api {
    client: Client,
    admins: Vec<SocketAddr>,
}

impl Api {
    /// Of replicas whose operators' listeners are at these addresses.
    pub async fn new(admins: Vec<SocketAddr>) -> Result<Api, Box<dyn Error>> {
        let client = Client::builder().disable_timeout();
        let client = client.build(ntex::SharedCfg::default()).await;
        let client = client.map_err(|e| format!("making an HTTP client: {e:?}"))?;
        Ok(Api { client, admins })
    }

    /// Proposes a change and confirms its plan, until it is accepted.
    pub async fn change(&self, number: usize, mut intent: Value) {
        intent["number"] = json!(format!("change-{number}"));
        let plan = loop {
            if let Some(answer) = self.post("/v1/plans", &intent).await {
                break answer["plan"]["id"].to_string();
            }
            sleep(PAUSE).await;
        };
        let path = format!("/v1/plans/{}/confirm", plan.trim_matches('"'));
        while self.post(&path, &json!({})).await.is_none() {
            sleep(PAUSE).await;
        }
    }

    async fn post(&self, path: &str, body: &Value) -> Option<Value> {
        for admin in &self.admins {
            let request = self.client.post(format!("http://{admin}{path}"));
            let request = request.timeout(TIMEOUT);
            let request = request.header("Authorization", format!("Bearer {OPERATOR_KEY}"));
            if let Ok(response) = request.send_json(body).await
                && response.status().is_success()
                && let Ok(value) = response.json::<Value>().await
            {
                return Some(value);
            }
        }
        None
    }

    /// How many upstreams are registered.
    pub async fn upstreams(&self) -> usize {
        for admin in &self.admins {
            let request = self.client.get(format!("http://{admin}/v1/upstreams"));
            let request = request.timeout(TIMEOUT);
            let request = request.header("Authorization", format!("Bearer {OPERATOR_KEY}"));
            if let Ok(response) = request.send().await
                && response.status().is_success()
                && let Ok(body) = response.body().limit(ANSWER_LIMIT).await
            {
                let text = String::from_utf8_lossy(&body);
                return text.matches("\"upstream-").count();
            }
        }
        0
    }

    /// Whether an entry host takes requests.
    pub async fn is_ready(&self, entry: SocketAddr) -> bool {
        let answer = self
            .client
            .get(format!("http://{entry}/readyz"))
            .send()
            .await;
        answer.is_ok_and(|r| r.status().is_success())
    }

    /// Announces an upstream once; a failed one is followed by the next.
    pub async fn announce(&self, sidecar: SocketAddr, body: &Value) {
        let url = format!("http://{sidecar}/announce");
        let _ = self.client.post(url).send_json(body).await;
    }

    /// Sends a streamed completion and reads it to its end; whether it came whole.
    pub async fn complete(&self, entry: SocketAddr, prompt: String, tokens: u32) -> bool {
        let body = json!({
            "model": "almond", "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let request = self.client.post(format!("http://{entry}/v1/completions"));
        let request = request.header("Authorization", format!("Bearer {CALLER_KEY}"));
        let Ok(response) = request.send_json(&body).await else {
            return false;
        };
        if !response.status().is_success() {
            return false;
        }
        let read = response.body().limit(ANSWER_LIMIT).await;
        read.is_ok_and(|b| b.windows(6).any(|w| w == b"[DONE]"))
    }
}
