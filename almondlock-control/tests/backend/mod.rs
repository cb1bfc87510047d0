//! A replica of one, in memory, and a client of its operators' API.
#![allow(dead_code, clippy::unwrap_used)]

use std::{
    future::Future,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use almondlock_base::{time::Wall, unit::Revision};
use almondlock_control::admin::{Backend, Failure, serve};
use almondlock_state::{
    api::{Observation, Undo},
    command::{Command, Reply},
    machine::Machine,
    operator::{Operator, Role, hash_key},
};
use ntex::{client::Client, http::Method, time::Millis};
use serde_json::Value;
use tokio::sync::watch;

/// What the replica does instead of answering.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fault {
    pub(crate) failure: Option<Failure>,
    /// Commands are applied, but the answer is lost.
    pub(crate) silent: bool,
}

#[derive(Clone)]
pub(crate) struct Memory {
    pub(crate) machine: Arc<Mutex<Machine>>,
    pub(crate) fault: Arc<Mutex<Fault>>,
    revision: Arc<watch::Sender<Revision>>,
}

impl Memory {
    /// With operators `viewer`, `operator` and `admin`, whose names are their keys.
    pub(crate) fn new() -> Memory {
        let mut machine = Machine::new();
        let operator = |name: &str, role| {
            let key = hash_key(name);
            (name.to_owned(), Operator { key, role })
        };
        machine.apply(Command::Seed {
            operators: [
                operator("viewer", Role::Viewer),
                operator("operator", Role::Operator),
                operator("admin", Role::Admin),
            ]
            .into(),
            replicas: Default::default(),
            at: Wall::from_millis(1),
        });
        Memory {
            machine: Arc::new(Mutex::new(machine)),
            fault: Arc::default(),
            revision: Arc::new(watch::Sender::new(Revision::ZERO)),
        }
    }

    fn failure(&self) -> Result<(), Failure> {
        self.fault
            .lock()
            .unwrap()
            .failure
            .clone()
            .map_or(Ok(()), Err)
    }

    pub(crate) fn apply(&self, command: Command) -> Reply {
        let mut machine = self.machine.lock().unwrap();
        let reply = machine.apply(command).reply;
        self.revision.send_replace(machine.config().revision);
        reply
    }
}

impl Backend for Memory {
    async fn propose(&self, command: Command) -> Result<Reply, Failure> {
        self.failure()?;
        let reply = self.apply(command);
        let silent = self.fault.lock().unwrap().silent;
        if silent {
            Err(Failure::NoQuorum)
        } else {
            Ok(reply)
        }
    }

    async fn read<F, R>(&self, look: F) -> Result<R, Failure>
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static,
    {
        self.failure()?;
        Ok(look(&self.machine.lock().unwrap()))
    }

    async fn peek<F, R>(&self, look: F) -> R
    where
        F: FnOnce(&Machine) -> R + Send + 'static,
        R: Send + 'static,
    {
        look(&self.machine.lock().unwrap())
    }

    fn changed(&self, after: Revision, wait: Duration) -> impl Future<Output = ()> {
        let mut revision = self.revision.subscribe();
        async move {
            let news = revision.wait_for(|revision| *revision > after);
            let _ = tokio::time::timeout(wait, news).await;
        }
    }

    async fn standing(&self) -> Observation {
        let in_force = Some(*self.revision.borrow());
        Observation {
            replica: 1,
            leader: Some(1),
            in_force,
            ..Observation::default()
        }
    }

    fn now(&self) -> Wall {
        Wall::from_millis(1_000)
    }
}

/// Serves the backend on a free port of the loopback.
pub(crate) fn start(memory: &Memory) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(serve(listener, memory.clone()).unwrap());
    address
}

/// An answer: the status, the code in the header, and the body.
pub(crate) type Answer = (u16, Option<String>, Value);

pub(crate) async fn ask(
    address: SocketAddr,
    key: Option<&str>,
    method: Method,
    path: &str,
    body: &Value,
) -> Answer {
    let client = Client::new().await;
    let mut request = client.request(method, format!("http://{address}{path}"));
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    let request = request.timeout(Millis(30_000));
    let response = match body {
        Value::Null => request.send().await.unwrap(),
        body => request.send_json(body).await.unwrap(),
    };
    let code = response
        .header("x-almondlock-code")
        .map(|v| v.to_str().unwrap().to_owned());
    let body = response.body().await.unwrap();
    let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
    (response.status().as_u16(), code, value)
}

pub(crate) async fn get(address: SocketAddr, key: &str, path: &str) -> Answer {
    ask(address, Some(key), Method::GET, path, &Value::Null).await
}

pub(crate) async fn post(address: SocketAddr, key: &str, path: &str, body: &Value) -> Answer {
    ask(address, Some(key), Method::POST, path, body).await
}

pub(crate) fn undo(number: &str) -> Value {
    serde_json::to_value(Undo {
        number: number.to_owned(),
    })
    .unwrap()
}
