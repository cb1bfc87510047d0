//! Clients that don't behave, ordinary callers beside them, and a watch over the memory of
//! the processes that they meet.
#![allow(dead_code)]

pub mod endless;
pub mod held;
pub mod kind;
pub mod ordinary;
pub mod report;
pub mod share;
pub mod watch;
pub mod wire;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{sleep, timeout};

pub use self::{
    kind::Kind,
    ordinary::Ordinary,
    report::{Play, Report},
    watch::Watch,
    wire::Door,
};

/// Pause of a client whose connection has ended, before the next one.
const PAUSE: Duration = Duration::from_millis(100);
/// Requests of one crowd whose outcomes are kept.
const KEPT: usize = 20_000;

/// All kinds at once, with how many of each.
pub const ALL: [(Kind, usize); 15] = [
    (Kind::Whole, 40),
    (Kind::Unended, 60),
    (Kind::Pieces(700), 20),
    (Kind::Chunks(1), 30),
    (Kind::Chunks(1_024), 30),
    (Kind::Oversized, 20),
    (Kind::Endless, 20),
    (Kind::Fields, 30),
    (Kind::ManyFields(kind::LARGEST), 20),
    (Kind::OpenHead, 100),
    (Kind::Ahead(10_000), 40),
    (Kind::Trickle, 100),
    (Kind::Silent, 200),
    (Kind::Halfway, 40),
    (Kind::SlowReader, 40),
];

/// A part of each kind, at least one client.
pub fn part(of: usize) -> [(Kind, usize); ALL.len()] {
    ALL.map(|(kind, count)| (kind, (count / of).max(1)))
}

/// The seed of the crowds. `CROWD_SEED` sets another one.
pub fn seed() -> u64 {
    let set = std::env::var("CROWD_SEED").ok();
    set.map_or(71, |text| text.parse().unwrap())
}

/// The status that a request got, by its number.
pub type Outcomes = Vec<(usize, u16)>;

/// A crowd of clients that run on a thread of their own.
pub struct Crowd {
    over: Arc<AtomicBool>,
    thread: JoinHandle<Outcomes>,
}

/// What one client of a crowd works with.
pub struct Client {
    pub door: Door,
    pub rng: SmallRng,
    pub until: Instant,
    over: Arc<AtomicBool>,
    next: Arc<AtomicUsize>,
    outcomes: Arc<Mutex<Outcomes>>,
}

impl Client {
    /// Numbers a request.
    pub fn number(&self) -> usize {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Notes what a request got.
    pub fn note(&self, number: usize, status: u16) {
        let mut outcomes = self.outcomes.lock().unwrap();
        if outcomes.len() < KEPT {
            outcomes.push((number, status));
        }
    }

    fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed) || Instant::now() >= self.until
    }
}

impl Crowd {
    /// Lets `count` clients of each kind connect again and again for `span`. Client `n`
    /// goes to the door `n` modulo their number.
    pub fn begin(kinds: &[(Kind, usize)], doors: &[Door], (span, seed): (Duration, u64)) -> Crowd {
        let over = Arc::new(AtomicBool::new(false));
        let (kinds, doors, told) = (kinds.to_vec(), doors.to_vec(), Arc::clone(&over));
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread();
            let runtime = { runtime }.enable_all().build().unwrap();
            let tasks = tokio::task::LocalSet::new();
            let outcomes = Arc::new(Mutex::new(Outcomes::new()));
            let (until, next) = (Instant::now() + span, Arc::new(AtomicUsize::new(0)));
            for (place, (kind, count)) in kinds.iter().enumerate() {
                for n in 0..*count {
                    let salt = (place * 1_000_003 + n) as u64;
                    let client = Client {
                        door: doors[n % doors.len()].clone(),
                        rng: SmallRng::seed_from_u64(seed ^ salt),
                        until,
                        over: Arc::clone(&told),
                        next: Arc::clone(&next),
                        outcomes: Arc::clone(&outcomes),
                    };
                    tasks.spawn_local(play(*kind, client));
                }
            }
            runtime.block_on(tasks);
            let outcomes = outcomes.lock().unwrap();
            outcomes.clone()
        });
        Crowd { over, thread }
    }

    /// Ends all connections, and returns what the requests got.
    pub fn end(self) -> Outcomes {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap()
    }

    /// Waits until its time is over.
    pub fn wait(self) -> Outcomes {
        self.thread.join().unwrap()
    }
}

/// Plays one client until the crowd's time is over.
async fn play(kind: Kind, mut client: Client) {
    // Spread, so that the queue of new connections isn't what holds them up.
    let start = client.rng.random_range(0..200);
    sleep(Duration::from_millis(start)).await;
    while !client.is_over() {
        let left = client.until.saturating_duration_since(Instant::now());
        let over = Arc::clone(&client.over);
        tokio::select! {
            _ = timeout(left, kind.play(&mut client)) => {}
            () = told(&over) => {}
        }
        sleep(PAUSE).await;
    }
}

async fn told(over: &AtomicBool) {
    while !over.load(Ordering::Relaxed) {
        sleep(PAUSE).await;
    }
}
