//! Ordinary callers: small requests, on connections that are kept and on new ones, each sent
//! once more when its refusal or an unread connection allows it.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use super::wire::{Answer, Door, read_answer};

/// Requests a second.
const RATE: u64 = 20;
/// How long a caller waits in all.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long a new connection may take.
const CONNECT: Duration = Duration::from_secs(1);
/// Size of a body.
const BODY: usize = 2_000;
/// Attempts of a request.
const ATTEMPTS: usize = 2;
/// Statuses that promise that the request did not run.
pub const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// What ordinary callers got.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub sent: usize,
    pub served: usize,
    /// Time that each served request took.
    pub times: Vec<Duration>,
    /// What went wrong, for the report.
    pub failures: Vec<String>,
}

impl Tally {
    /// The time within which this fraction of the served ones was answered.
    pub fn quantile(&self, fraction: f64) -> Duration {
        let mut times = self.times.clone();
        times.sort_unstable();
        let place = (times.len() as f64 * fraction) as usize;
        times
            .get(place.min(times.len().saturating_sub(1)))
            .copied()
            .unwrap_or_default()
    }
}

/// Ordinary callers, on a thread of their own.
pub struct Ordinary {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Tally>,
}

impl Ordinary {
    /// Sends requests until it is told to end. `numbers` keeps them apart from others.
    pub fn begin(door: Door, numbers: usize) -> Ordinary {
        let over = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&over);
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().unwrap();
            let tasks = tokio::task::LocalSet::new();
            tasks.block_on(&runtime, send_all(door, numbers, told))
        });
        Ordinary { over, thread }
    }

    /// Waits for the last answers.
    pub fn end(self) -> Tally {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }
}

async fn send_all(door: Door, numbers: usize, over: Arc<AtomicBool>) -> Tally {
    let mut tally = Tally::default();
    let mut requests = Vec::new();
    let kept: Arc<std::sync::Mutex<Vec<TcpStream>>> = Arc::default();
    let start = Instant::now();
    for n in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let due = start + Duration::from_millis(1_000 / RATE) * n;
        sleep(due.saturating_duration_since(Instant::now())).await;
        let (door, kept) = (door.clone(), Arc::clone(&kept));
        let number = numbers + n as usize;
        requests.push(tokio::task::spawn_local(async move {
            // Every other one uses a connection again.
            let open = match n % 2 {
                0 => kept.lock().unwrap().pop(),
                _ => None,
            };
            let (result, stream) = send(&door, number, open).await;
            kept.lock().unwrap().extend(stream);
            result
        }));
    }
    for request in requests {
        tally.sent += 1;
        match request.await.unwrap() {
            Ok(time) => {
                tally.served += 1;
                tally.times.push(time);
            }
            Err(why) => tally.failures.push(why),
        }
    }
    tally
}

/// Sends one request as the rules for clients allow.
async fn send(
    door: &Door,
    number: usize,
    mut open: Option<TcpStream>,
) -> (Result<Duration, String>, Option<TcpStream>) {
    let start = Instant::now();
    let body = door.body(number, BODY);
    let request = [door.sized(number, body.len()).as_bytes(), &body].concat();
    let mut why = Vec::new();
    let mut attempts = 0;
    while attempts < ATTEMPTS && start.elapsed() < DEADLINE {
        let is_old = open.is_some();
        let left = DEADLINE.saturating_sub(start.elapsed());
        let outcome = timeout(left, exchange(door, &request, open.take())).await;
        match outcome {
            Ok(Ok((answer, stream))) if answer.status == 200 => {
                return (Ok(start.elapsed()), answer.is_kept().then_some(stream));
            }
            Ok(Ok((answer, _))) => {
                why.push(answer.status.to_string());
                if !PROMISES.contains(&answer.status) {
                    break;
                }
                let after = answer.header("retry-after");
                let after = after.and_then(|text| text.parse().ok()).unwrap_or(0.0);
                let after = Duration::from_secs_f64(after);
                sleep(after.min(DEADLINE.saturating_sub(start.elapsed()) / 3)).await;
            }
            Ok(Err(error)) => {
                why.push(error.to_owned());
                // The other side closes idle connections as it likes: not an attempt.
                if is_old {
                    continue;
                }
            }
            Err(_) => why.push("late".to_owned()),
        }
        attempts += 1;
    }
    let spent = start.elapsed().as_millis();
    (
        Err(format!("{number}: {} in {spent} ms", why.join(", "))),
        None,
    )
}

async fn exchange(
    door: &Door,
    request: &[u8],
    open: Option<TcpStream>,
) -> Result<(Answer, TcpStream), &'static str> {
    let mut stream = match open {
        Some(stream) => stream,
        None => timeout(CONNECT, door.connect())
            .await
            .map_err(|_| "not connected in time")?
            .map_err(|_| "not connected")?,
    };
    let sent = stream.write_all(request).await;
    let answer = read_answer(&mut stream).await;
    match (sent, answer) {
        (_, Some(answer)) => Ok((answer, stream)),
        (Err(_), None) => Err("closed while sending"),
        (Ok(()), None) => Err("closed without an answer"),
    }
}
