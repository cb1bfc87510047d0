//! The listeners for callers' requests, readiness checks and metrics.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    rc::Rc,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use almondlock_base::{Code, id::Domain, time::Mono};
use almondlock_http::response::Delimiter;
use almondlock_intake::{bodies::Bodies, connections::Connections, host::Limits, listener};
use almondlock_node::{Handle, clock};
use almondlock_telemetry::figures;
use almondlock_transport::listen;
use futures::{StreamExt, future::join_all, stream};
use ntex::{
    time::Seconds,
    util::Bytes,
    web::{self, App, HttpRequest, HttpResponse, types::Payload, types::State},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    net::UdpSocket,
    sync::mpsc::{self, UnboundedReceiver},
    time::{sleep, timeout},
};

pub use crate::worker::{Bounds, Features};
use crate::{
    accept::{accept, log_id},
    budget,
    dialect::Dialect,
    exchange, follow,
    intake::Intake,
    lease,
    request::{self, Answer, Refusal, Request},
    response::{complete_response, refusal_response, start_response},
    shared::Shared,
    worker::Worker,
};

/// How often a stop checks whether all answers have finished.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time allowed for the listeners to stop once no request is active. Requests that arrive
/// in this time on open connections are not read, so their callers wait it out in vain.
const LISTENER_STOP_TIMEOUT: Duration = Duration::from_millis(50);
/// How often idle connections and outdated limits are cleaned up.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time allowed for the head of a request. A fixed value, because the published limits
/// arrive with the configuration, after the listener has started.
const HEAD_TIMEOUT: Seconds = Seconds(5);
/// How long an idle connection of a caller is kept. Longer than callers reuse a connection,
/// which is most of the published limit.
const KEEP_ALIVE: Seconds = Seconds(20);
/// Limits of the listener for readiness checks, whose requests have no body.
const READY_HEAD: usize = 8 * 1024;
const READY_BUFFER: usize = 16 * 1024;

/// Settings of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which the balancer checks readiness.
    pub ready: SocketAddr,
    /// Address on which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Relays that pass on other hosts' loads.
    pub relays: Vec<SocketAddr>,
    /// Failure domain of this host.
    pub domain: Domain,
    /// Limits that the gateway keeps to.
    pub bounds: Bounds,
    /// Limits of what callers make it hold.
    pub intake: Limits,
    /// Optional behaviour that is enabled.
    pub features: Features,
    /// Seed of the random number generator. It also identifies the host to relays.
    pub seed: u64,
    /// How long the listener stays open after readiness has failed.
    pub notice: Duration,
    /// How long answers in progress may take after that.
    pub grace: Duration,
}

/// A running gateway.
pub struct Server {
    shared: Arc<Shared>,
    servers: Vec<ntex::server::Server>,
    notice: Duration,
    grace: Duration,
}

/// Binds the listeners and starts serving.
pub fn start<D>(config: Config, dialect: D, node: Handle) -> io::Result<Server>
where
    D: Dialect,
{
    let shared = Arc::new(Shared::new(clock::mono()));
    let Limits {
        bodies,
        connections,
        head,
        socket_buffer,
        ..
    } = config.intake;
    tracing::info!(
        body_memory = bodies.capacity,
        connections,
        head,
        socket_buffer,
        "limits for callers"
    );
    let callers = start_caller_listener(&config, dialect, node.clone(), &shared)?;
    let ready = start_readiness_listener(&config, node.clone(), &shared)?;
    let owner = node.owner();
    owner.spawn("callers-listener", callers.clone());
    owner.spawn("readiness-listener", ready.clone());
    let mut servers = vec![callers, ready];
    if let Some(address) = config.metrics {
        let shared = Arc::clone(&shared);
        let text = move || {
            let shared = Arc::clone(&shared);
            async move { Some(shared.metrics.text() + &almondlock_task::figures()) }
        };
        let metrics = figures::serve(address, text)?;
        owner.spawn("metrics-listener", metrics.clone());
        servers.push(metrics);
    }
    Ok(Server {
        shared,
        servers,
        notice: config.notice,
        grace: config.grace,
    })
}

impl Server {
    /// Stops gracefully: readiness fails first, the listener stays open until the balancer
    /// has noticed, and answers in progress finish.
    pub async fn stop(self) {
        self.shared
            .begin_stop(clock::mono() + self.notice + self.grace);
        sleep(self.notice).await;
        self.shared.refuses_streams.store(true, Ordering::Relaxed);
        self.finish().await;
    }

    /// Stops because a task has ended that the host needs: refuses new requests from now
    /// on, since another host serves them as they should be, and lets answers in progress
    /// finish.
    pub async fn abandon(self) {
        self.shared.begin_stop(clock::mono() + self.grace);
        self.shared.close();
        self.finish().await;
    }

    /// Waits until the answers in progress have finished, and closes the listeners.
    async fn finish(self) {
        let drained = async {
            self.wait_until_idle().await;
            // Waits for requests that began after the last check.
            self.shared.close();
            self.wait_until_idle().await;
        };
        if timeout(self.grace, drained).await.is_err() {
            let active = self.shared.active();
            tracing::warn!(active, "stopping with answers in progress");
        }
        self.shared.close();
        // Lets the last answers leave the buffers of their connections.
        sleep(DRAIN_POLL).await;
        let stops = self.servers.into_iter().map(|server| server.stop(false));
        if timeout(LISTENER_STOP_TIMEOUT, join_all(stops))
            .await
            .is_err()
        {
            tracing::warn!("listeners did not stop in time");
        }
    }

    /// Waits until no request is active.
    async fn wait_until_idle(&self) {
        while self.shared.active() > 0 {
            sleep(DRAIN_POLL).await;
        }
    }
}

/// Starts the listener for callers and the background tasks of its thread.
fn start_caller_listener<D>(
    config: &Config,
    dialect: D,
    node: Handle,
    shared: &Arc<Shared>,
) -> io::Result<ntex::server::Server>
where
    D: Dialect,
{
    let config = config.clone();
    let listener = listen::bind(config.listen)?;
    let shared = Arc::clone(shared);
    let intake = Intake {
        bodies: Bodies::new(config.intake.bodies),
        answers: Bodies::new(config.intake.answers),
    };
    let settings = listener::Config {
        name: "callers",
        // One thread, because the tables of loads and connections belong to a thread, and a
        // host with this role has only a fraction of a core.
        workers: 1,
        connections: config.intake.connections,
        head: config.intake.head,
        head_time: HEAD_TIMEOUT,
        idle_time: KEEP_ALIVE,
        socket_buffer: config.intake.socket_buffer,
        pipelined: config.intake.pipelined,
        tls: None,
    };
    let factory = async move |connections: Connections| {
        let rng = SmallRng::seed_from_u64(config.seed);
        // Unbounded, but it holds at most one message for each active attempt, sent when
        // the attempt ends.
        let (sender, ended) = mpsc::unbounded_channel();
        let worker = Rc::new(Worker::new(
            dialect.clone(),
            node.clone(),
            (Arc::clone(&shared), intake.clone(), connections),
            (config.domain.clone(), config.seed),
            (config.bounds, config.features),
            rng,
            sender,
        ));
        tracing::info!(
            settling_ms = worker.features.settling.as_millis(),
            places = worker.features.slot_admission,
            shares = worker.features.fair_shares,
            observed_pace = worker.features.observed_pace,
            retry_ratio = worker.bounds.retries.bound.ratio,
            retry_slack = worker.bounds.retries.bound.slack,
            "gateway starting"
        );
        spawn_tasks(&worker, &config, ended);
        App::new()
            .state(worker)
            .default_service(web::route().to(handle::<D>))
    };
    listener::serve(listener, settings, factory)
}

/// Starts the tasks of a thread that serves callers.
fn spawn_tasks<D>(worker: &Rc<Worker<D>>, config: &Config, ended: UnboundedReceiver<lease::Ended>)
where
    D: Dialect,
{
    let owner = worker.node.owner();
    owner.spawn(
        "lease-releases",
        lease::release_ended(Rc::clone(worker), ended),
    );
    owner.spawn("versions", follow::run(Rc::clone(worker)));
    owner.spawn("sweep", sweep_periodically(Rc::clone(worker)));
    let watching = budget::watch_suspensions(Rc::clone(&worker.budgets));
    owner.spawn("suspension-watch", watching);
    if !config.relays.is_empty() {
        owner.spawn(
            "host-exchange",
            exchange_loads(Rc::clone(worker), config.clone()),
        );
    }
}

/// Exchanges loads and limits with the other hosts. Returns only if there is no socket.
async fn exchange_loads<D>(worker: Rc<Worker<D>>, config: Config)
where
    D: Dialect,
{
    let any = SocketAddr::from((config.listen.ip(), 0));
    match UdpSocket::bind(any).await {
        Ok(socket) => exchange::run(worker, socket, config.relays, config.seed).await,
        Err(error) => tracing::error!(%error, "UDP socket for loads not bound to {any}"),
    }
}

/// Removes idle connections, limits and pauses that are out of date.
async fn sweep_periodically<D>(worker: Rc<Worker<D>>)
where
    D: Dialect,
{
    loop {
        sleep(SWEEP_INTERVAL).await;
        let snapshot = worker.snapshot();
        let is_known = |name: &almondlock_base::id::Upstream| {
            snapshot
                .instances
                .values()
                .flatten()
                .any(|t| t.name == *name)
        };
        worker.pool.borrow_mut().sweep(clock::mono(), is_known);
        worker.sweep_limits();
        worker.connections.close_stalled(worker.bounds.slow_reader);
        worker.report_intake();
        worker.sweep_backoffs(clock::mono());
    }
}

/// Starts the listener for readiness checks.
fn start_readiness_listener(
    config: &Config,
    node: Handle,
    shared: &Arc<Shared>,
) -> io::Result<ntex::server::Server> {
    let listener = TcpListener::bind(config.ready)?;
    let (shared, stale) = (Arc::clone(shared), config.bounds.max_config_age);
    let settings = listener::Config {
        name: "readiness",
        workers: 1,
        connections: config.intake.ready_connections,
        head: READY_HEAD,
        head_time: HEAD_TIMEOUT,
        idle_time: HEAD_TIMEOUT,
        socket_buffer: READY_BUFFER,
        pipelined: config.intake.pipelined,
        tls: None,
    };
    let factory = async move |_: Connections| {
        let (node, shared) = (node.clone(), Arc::clone(&shared));
        App::new().route(
            "/readyz",
            web::get().to(async move || {
                let current = node.age(clock::mono()) < stale;
                let known = node.view().get().document.is_some();
                let sound = node.owner().is_sound();
                let ready = current && known && sound && !shared.is_stopping();
                if shared.ready.swap(ready, Ordering::Relaxed) != ready {
                    let age = node.known_age(clock::mono());
                    tracing::info!(
                        ready,
                        known,
                        sound,
                        stopping = shared.is_stopping(),
                        age_ms = age.map(|age| age.as_millis()),
                        "readiness changed"
                    );
                }
                match ready {
                    true => HttpResponse::Ok().finish(),
                    false => HttpResponse::ServiceUnavailable().finish(),
                }
            }),
        )
    };
    listener::serve(listener, settings, factory)
}

/// Handles one request of a caller. A panic ends this request alone: its caller is told that
/// it may have run.
async fn handle<D>(
    worker: State<Rc<Worker<D>>>,
    incoming: HttpRequest,
    payload: Payload,
) -> HttpResponse
where
    D: Dialect,
{
    let arrived = clock::mono();
    let worker = Rc::clone(&worker);
    let work = answer(Rc::clone(&worker), incoming.clone(), payload, arrived);
    match worker.node.owner().guard("request", work).await {
        Ok(response) => response,
        Err(_) => {
            let id = log_id(&worker, &incoming);
            let refusal = Refusal {
                code: Code::HostFault,
                retry_after: None,
            };
            let mut response = refusal_response(&worker, id, &refusal, arrived);
            let head = response.head_mut();
            head.set_connection_type(ntex::http::ConnectionType::Close);
            response
        }
    }
}

/// Returns the response to a request.
async fn answer<D>(
    worker: Rc<Worker<D>>,
    incoming: HttpRequest,
    mut payload: Payload,
    arrived: Mono,
) -> HttpResponse
where
    D: Dialect,
{
    let active = worker.shared.count_active();
    let busy = worker.connections.begin(incoming.io());
    let id = log_id(&worker, &incoming).to_owned();
    let accepted = accept(&worker, &incoming, &mut payload, arrived).await;
    let accepted = accepted.and_then(|request| {
        // Refuses requests that might not end before the process does.
        let is_stream = request.route.kind.is_stream();
        match worker.shared.may_begin(is_stream, request.deadline) {
            true => Ok(request),
            false => Err(Code::HostStopping),
        }
    });
    let result = match accepted {
        Ok(request) => {
            busy.serve();
            serve(&worker, &incoming, Rc::new(request)).await
        }
        Err(code) => {
            worker.bodies.discard(payload, worker.discard_limit());
            let drawn = worker.rng.borrow_mut().random();
            let span = worker.shared.retry_after(arrived, drawn);
            let retry_after = code.is_retryable().then_some(span);
            Err(Refusal { code, retry_after })
        }
    };
    let mut response = match result {
        Ok(Answer::Complete(answer)) => {
            complete_response(&worker, &id, answer, arrived, (active, busy))
        }
        Ok(Answer::Stream(stream)) => {
            let mut builder = start_response(&stream.head);
            let delimiter = Delimiter::of(&incoming);
            delimiter.apply(&mut builder);
            let state = Some((stream, (active, busy), delimiter));
            let body = stream::unfold(state, async |state| {
                let (mut stream, active, mut delimiter) = state?;
                active.1.serve();
                match stream.next().await {
                    Some(Ok(events)) => {
                        active.1.send();
                        let bytes = delimiter.next(Bytes::copy_from_slice(&events));
                        Some((Ok::<_, io::Error>(bytes), Some((stream, active, delimiter))))
                    }
                    Some(Err(error)) => {
                        drop((stream, active));
                        delimiter.abort(&error).await;
                        None
                    }
                    None => delimiter.finish().map(|bytes| (Ok(bytes), None)),
                }
            });
            builder.streaming(body.boxed_local())
        }
        Err(refusal) => refusal_response(&worker, &id, &refusal, arrived),
    };
    if worker.shared.is_stopping() {
        let head = response.head_mut();
        head.set_connection_type(ntex::http::ConnectionType::Close);
    }
    response
}

/// Runs the request. Stops at once when the caller disconnects.
async fn serve<D>(
    worker: &Rc<Worker<D>>,
    incoming: &HttpRequest,
    request: Rc<Request>,
) -> Result<Answer<D>, Refusal>
where
    D: Dialect,
{
    let run = request::run(Rc::clone(worker), Rc::clone(&request));
    let Some(io) = incoming.io() else {
        return run.await;
    };
    tokio::select! {
        biased;
        result = run => result,
        () = io.on_disconnect() => {
            let spent = clock::mono().since(request.arrived);
            tracing::info!(
                request = %request.id, route = %request.route.name, outcome = "left",
                spent_ms = spent.as_millis(), "ended"
            );
            Err(Refusal { code: Code::CallerLeft, retry_after: None })
        }
    }
}
