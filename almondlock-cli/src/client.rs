//! Asking the replicas.
//!
//! Any replica may be asked first; one that doesn't lead names the leader, one
//! that is gone is passed over. A change whose answer was lost is asked again,
//! of the same or another replica, under the same change number, so that it is
//! made once however often it is asked. Only what provably can't change by
//! asking again ends the search: a refusal by the leader.

use std::time::Duration;

use almondlock_base::{Code, Ran};
use almondlock_state::api::{Failure, Problem};
use ntex::{
    SharedCfg,
    client::{Client, Connector, error::ClientBuilderError},
    http::{Method, StatusCode},
    time::{Millis, sleep},
};
use rustls::ClientConfig;
use serde::{Serialize, de::DeserializeOwned};

/// Rounds over all addresses before giving up.
const ROUNDS: u32 = 4;
/// Pause before the second round; doubled for each one after.
const PAUSE: Duration = Duration::from_millis(250);
/// How long one replica is waited for, beyond what it was asked to wait.
const PATIENCE: Duration = Duration::from_secs(10);
/// The largest answer that is read.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A client of some addresses.
#[derive(Debug)]
pub struct Asker {
    client: Client,
    // What an address without a scheme of its own is asked by.
    scheme: &'static str,
    addresses: Vec<String>,
    key: String,
}

/// One question.
#[derive(Clone, Debug)]
pub struct Question {
    method: Method,
    path: String,
    body: Option<String>,
    wait: Duration,
}

impl Question {
    /// Asks to see something.
    pub fn get<P>(path: P) -> Question
    where
        P: Into<String>,
    {
        Question {
            method: Method::GET,
            path: path.into(),
            body: None,
            wait: Duration::ZERO,
        }
    }

    /// Asks for a change.
    pub fn post<P, T>(path: P, body: &T) -> Result<Question, serde_json::Error>
    where
        P: Into<String>,
        T: Serialize,
    {
        let body = Some(serde_json::to_string(body)?);
        Ok(Question {
            method: Method::POST,
            path: path.into(),
            body,
            wait: Duration::ZERO,
        })
    }

    /// Lets the answer take this much longer.
    #[must_use]
    pub fn waiting(mut self, wait: Duration) -> Question {
        self.wait = wait;
        self
    }
}

impl Asker {
    /// A client of the replicas at these addresses, with an operator's key.
    /// With `tls` they are asked over HTTPS, and their certificates must come
    /// from its authorities.
    pub async fn new(
        addresses: Vec<String>,
        key: String,
        tls: Option<ClientConfig>,
    ) -> Result<Asker, ClientBuilderError> {
        let scheme = if tls.is_some() { "https" } else { "http" };
        let client = match tls {
            Some(tls) => {
                let connector = Connector::default().rustls(tls);
                let client = Client::builder().connector::<()>(connector);
                client.build(SharedCfg::default()).await?
            }
            None => Client::new().await,
        };
        Ok(Asker {
            client,
            scheme,
            addresses,
            key,
        })
    }

    /// Asks until somebody answers who knows.
    pub async fn ask<T>(&self, question: &Question) -> Result<T, Problem>
    where
        T: DeserializeOwned,
    {
        let mut last = Problem::new(Code::NoQuorum, "no address of a replica is given");
        last.ran = Ran::No;
        for round in 0..ROUNDS {
            if round > 0 {
                sleep(PAUSE * 2u32.pow(round - 1)).await;
            }
            for address in &self.addresses {
                match self.ask_around(address, question).await {
                    Err(problem) if passes(&problem) => last = worse(last, problem),
                    answer => return answer,
                }
            }
        }
        Err(last)
    }

    /// Asks each replica in turn for an answer that is good, and takes another
    /// one only when nobody has a good one.
    pub async fn ask_best<T, F>(&self, question: &Question, good: F) -> Result<T, Problem>
    where
        T: DeserializeOwned,
        F: Fn(&T) -> bool,
    {
        let mut poor = None;
        let mut stranger = None;
        for address in &self.addresses {
            match self.ask_one(address, question).await {
                Ok(answer) if good(&answer) => return Ok(answer),
                Ok(answer) => poor = Some(answer),
                Err(problem) if passes(&problem) => {}
                // A replica that has not joined yet knows no operator's key.
                Err(problem) if problem.code == Code::Unauthenticated.number() => {
                    stranger = Some(problem);
                }
                Err(problem) => return Err(problem),
            }
        }
        match (poor, stranger) {
            (Some(answer), _) => Ok(answer),
            (None, Some(problem)) => Err(problem),
            (None, None) => self.ask(question).await,
        }
    }

    /// Asks one replica, and the leader if that one names it.
    async fn ask_around<T>(&self, address: &str, question: &Question) -> Result<T, Problem>
    where
        T: DeserializeOwned,
    {
        match self.ask_one(address, question).await {
            Err(Problem {
                leader: Some(leader),
                ..
            }) => self.ask_one(&leader.to_string(), question).await,
            answer => answer,
        }
    }

    fn base(&self, address: &str) -> String {
        if address.contains("://") {
            address.trim_end_matches('/').to_owned()
        } else {
            format!("{}://{address}", self.scheme)
        }
    }

    /// Asks one replica.
    pub async fn ask_one<T>(&self, address: &str, question: &Question) -> Result<T, Problem>
    where
        T: DeserializeOwned,
    {
        let url = format!("{}{}", self.base(address), question.path);
        let timeout = Millis::from(PATIENCE + question.wait);
        let request = self.client.request(question.method.clone(), url);
        let request = request.bearer_auth(&self.key).timeout(timeout);
        let sent = match &question.body {
            Some(body) => {
                let request = request.content_type("application/json");
                request.send_body(body.clone()).await
            }
            None => request.send().await,
        };
        let response = sent.map_err(|error| unheard(address, &error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(ANSWER_BYTES).await;
        let body = body.map_err(|error| unheard(address, &error.to_string()))?;
        if status == StatusCode::OK {
            let parsed = serde_json::from_slice(&body);
            return parsed.map_err(|error| unheard(address, &error.to_string()));
        }
        let failure = serde_json::from_slice::<Failure>(&body);
        Err(failure.map_or_else(|_| unheard(address, &status.to_string()), |it| it.error))
    }
}

/// Nothing is known of what the replica did.
fn unheard(address: &str, why: &str) -> Problem {
    let mut problem = Problem::new(Code::NoQuorum, format!("no answer from {address}: {why}"));
    problem.ran = Ran::Unknown;
    problem
}

/// Whether another replica, or the same one later, may know better.
fn passes(problem: &Problem) -> bool {
    let passing = [
        Code::NotLeader,
        Code::NoQuorum,
        Code::StorageFailed,
        Code::NotReady,
    ];
    passing.iter().any(|code| code.number() == problem.code)
}

/// Of two problems the one that leaves more in doubt: a change that may have
/// been made by one replica isn't undone by another one's refusal.
fn worse(earlier: Problem, later: Problem) -> Problem {
    if earlier.ran == Ran::Unknown && later.ran == Ran::No {
        earlier
    } else {
        later
    }
}
