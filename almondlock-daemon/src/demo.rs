//! Everything in one process, with stand-in upstreams, for a first look.
//!
//! The replica keeps its state in a folder that goes with the process. The
//! stand-ins announce themselves over HTTP like real upstreams, callers and
//! operators use real listeners, and the configuration is made by plans.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use almondlock_base::{
    id::{Model, Organisation, Service, Version},
    unit::Tokens,
};
use almondlock_control::replica::Replica;
use almondlock_node::clock;
use almondlock_sidecar::announce::Announcement;
use almondlock_standin::{
    engine::{self, Engine},
    service,
};
use almondlock_state::{
    command::{Command, Reply},
    config::Kind,
    intent::{Intent, Limits},
    operator,
};
use anyhow::{Context, Result, bail};
use ntex::client::Client;
use tokio::{task::spawn_local, time::sleep};

use crate::{args::Demo, process, process::Process};

const ORGANISATION: &str = "demo";
const CALLER_KEY: &str = "demo-key";
const OPERATOR_KEY: &str = "demo-operator";
const MODEL: &str = "almond";
const SERVICE: &str = "prices";
/// How often a stand-in announces itself.
const ANNOUNCEMENT: Duration = Duration::from_secs(2);
/// How long the parts may take to find each other.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the demonstration until it is told to stop.
pub(crate) fn run(options: &Demo) -> Result<()> {
    let folder = scratch()?;
    let text = settings(options, &folder)?;
    let settings = almondlock_settings::parse("demo", &text);
    let settings = settings.map_err(|e| anyhow::anyhow!("{e}"))?;
    let log = almondlock_telemetry::log::Config {
        filter: "warn".to_owned(),
        ..Default::default()
    };
    let _lines = almondlock_telemetry::log::init(&log).context("setting up logs")?;
    let options = options.clone();
    let result = process::block_on(async move {
        let process = Process::start(&settings).await?;
        let started = start(&options, &process).await;
        match started {
            Ok(_upstreams) => process.wait().await,
            Err(error) => {
                process.stop().await;
                Err(error)
            }
        }
    });
    // What is left behind is a folder of a few kilobytes.
    let _ = std::fs::remove_dir_all(&folder);
    result
}

fn scratch() -> Result<std::path::PathBuf> {
    let name = format!("almondlock-demo-{:016x}", process::random()?);
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder).with_context(|| format!("making {}", folder.display()))?;
    Ok(folder)
}

fn settings(options: &Demo, folder: &std::path::Path) -> Result<String> {
    let inner = free_address()?;
    let announce = free_address()?;
    let (listen, admin, order) = (options.listen, options.admin, &options.order);
    let data = folder.display();
    let key = operator::hash_key(OPERATOR_KEY);
    Ok(format!(
        "[host]\nname = demo\ndomain = demo\nregion = demo\nlisten = {inner}\ndata = {data}\n\
         [entry]\nlisten = {listen}\ndrain_delay = 0\n\
         [sidecar]\nannounce = {announce}\norder = {order}\n\
         [replica]\nadmin = {admin}\nmembers = demo@{inner}@{admin}\noperator_key = {key}\n"
    ))
}

/// Ports below the range that systems commonly hand out by themselves.
const PORTS: std::ops::Range<u16> = 20_000..30_000;

/// An address that was free a moment ago: a member's address stands in the
/// settings before anything listens there, and nothing must take it meanwhile.
fn free_address() -> Result<SocketAddr> {
    let width = u64::from(PORTS.end - PORTS.start);
    let first = u16::try_from(process::random()? % width).unwrap_or_default();
    let ports = PORTS.skip(usize::from(first)).chain(PORTS);
    let mut addresses = ports.map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let free = addresses.find(|address| std::net::TcpListener::bind(address).is_ok());
    free.context("no port is free on the loopback interface")
}

/// The stand-ins, which stop when this is dropped.
struct Upstreams {
    _engines: Vec<engine::Handle>,
    _service: service::Handle,
}

async fn start(options: &Demo, process: &Process) -> Result<Rc<Upstreams>> {
    let control = process.control().context("the demo has a replica")?;
    configure(control.replica()).await?;
    let announce = process.announce().context("the demo has a sidecar")?;
    let client = Client::builder().build(ntex::SharedCfg::default()).await;
    let client = client.map_err(|e| anyhow::anyhow!("making an HTTP client: {e:?}"))?;
    let mut engines = Vec::new();
    for n in 1..=options.engines {
        let config = engine::Config {
            factor: options.factor,
            ..engine::Config::default()
        };
        let engine = Engine::start(config.clone()).context("starting a stand-in engine")?;
        let announcement = announcement(&format!("engine-{n}"), &engine, &config)?;
        spawn_local(repeat(client.clone(), announce, announcement));
        engines.push(engine);
    }
    let service = service::Service::start(service::Config::default())
        .context("starting the stand-in service")?;
    let announcement = service_announcement(&service)?;
    let asker = client.clone();
    spawn_local(repeat(client, announce, announcement));
    await_upstreams(process, usize::from(options.engines) + 1).await?;
    await_ready(&asker, options.listen).await?;
    greet(options);
    Ok(Rc::new(Upstreams {
        _engines: engines,
        _service: service,
    }))
}

fn announcement(
    name: &str,
    engine: &engine::Handle,
    config: &engine::Config,
) -> Result<Announcement> {
    Ok(Announcement {
        name: almondlock_base::id::Upstream::new(name)?,
        address: engine.address(),
        kind: Kind::Engine,
        model: Some(Model::new(MODEL)?),
        version: Some(Version::new("1")?),
        service: None,
        capacity: config.memory,
        slots: u32::try_from(config.batch).ok(),
        prefill_rate: Some(config.prefill_rate * config.factor),
        fenced: true,
        resumable: true,
    })
}

fn service_announcement(service: &service::Handle) -> Result<Announcement> {
    Ok(Announcement {
        name: almondlock_base::id::Upstream::new("prices-1")?,
        address: service.address(),
        kind: Kind::Service,
        model: None,
        version: None,
        service: Some(Service::new(SERVICE)?),
        capacity: 0,
        slots: None,
        prefill_rate: None,
        fenced: false,
        resumable: false,
    })
}

/// Announces an upstream again and again, as upstreams do.
async fn repeat(client: Client, to: SocketAddr, announcement: Announcement) {
    let url = format!("http://{to}/announce");
    loop {
        if let Err(error) = client.post(&url).send_json(&announcement).await {
            tracing::warn!(%error, "a stand-in could not announce itself");
        }
        sleep(ANNOUNCEMENT).await;
    }
}

/// Makes the configuration by plans, each confirmed at once.
async fn configure(replica: &Replica) -> Result<()> {
    let founded = async {
        while !replica.is_leader() || replica.state(|m| m.tables().operators.is_empty()) {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let founded = tokio::time::timeout(START_TIMEOUT, founded).await;
    founded.context("the replica did not come up in time")?;
    let organisation = Organisation::new(ORGANISATION)?;
    let intents = [
        Intent::AddOrganisation {
            name: organisation.clone(),
            limits: Limits::default(),
        },
        Intent::AddKey {
            organisation,
            hash: operator::hash_key(CALLER_KEY),
        },
        Intent::AddModel {
            name: Model::new(MODEL)?,
            version: Version::new("1")?,
            context: Tokens(1_200_000),
        },
        Intent::SetService {
            name: Service::new(SERVICE)?,
            repeatable: vec!["GET".to_owned()],
        },
    ];
    for (n, intent) in intents.into_iter().enumerate() {
        carry_out(replica, n, intent).await?;
    }
    Ok(())
}

async fn carry_out(replica: &Replica, n: usize, intent: Intent) -> Result<()> {
    let operator = "first".to_owned();
    let propose = Command::Propose {
        number: format!("demo-{n}"),
        intent,
        operator: operator.clone(),
        at: clock::wall(),
    };
    let plan = match replica.propose(propose).await? {
        Reply::Planned { plan } => plan.id,
        reply => bail!("a plan of the demo was refused: {reply:?}"),
    };
    let confirm = Command::Confirm {
        plan,
        operator,
        at: clock::wall(),
    };
    match replica.propose(confirm).await? {
        Reply::Planned { .. } => Ok(()),
        reply => bail!("a plan of the demo could not be confirmed: {reply:?}"),
    }
}

async fn await_upstreams(process: &Process, count: usize) -> Result<()> {
    let registered = async {
        while process.handle().view().get().upstreams.len() < count {
            sleep(Duration::from_millis(10)).await;
        }
    };
    let registered = tokio::time::timeout(START_TIMEOUT, registered).await;
    registered.context("the stand-ins were not registered in time")
}

async fn await_ready(client: &Client, listen: SocketAddr) -> Result<()> {
    let url = format!("http://{listen}/readyz");
    let ready = async {
        loop {
            let answer = client.get(&url).send().await;
            if answer.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            sleep(Duration::from_millis(10)).await;
        }
    };
    let ready = tokio::time::timeout(START_TIMEOUT, ready).await;
    ready.context("the entry host was not ready in time")
}

fn greet(options: &Demo) {
    let (listen, admin) = (options.listen, options.admin);
    println!(
        "almondlock runs with {} stand-in engines. Ask it something:\n\n  \
         curl -s http://{listen}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{MODEL}\",\"prompt\":\"hello\",\"max_tokens\":8}}'\n\n\
         and as an operator:\n\n  \
         ALMONDLOCK_KEY={OPERATOR_KEY} almondlock --control {admin} status\n\n\
         Stop it with Ctrl-C.",
        options.engines
    );
}
