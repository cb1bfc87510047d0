//! Prompts are larger than one engine's memory, or than what is left of it. The rest is
//! reserved on other engines: on all participants or on none.

mod engines;

use std::time::Duration;

use almondlock_gateway::{
    load::Total,
    memory::{self, Outcome, Share},
    pick::{self, Candidate, Choice, Demand, MAX_READERS, Shortage},
};
use engines::{engine, speed};
use rand::{SeedableRng, rngs::SmallRng};
use yare::parameterized;

/// Returns engines with this much memory in use.
fn engines(used: &[u64]) -> Vec<Candidate> {
    let candidate = |memory: &u64| {
        engine(Total {
            memory: *memory,
            ..Total::default()
        })
    };
    used.iter().map(candidate).collect()
}

fn choose(prompt: u64, candidates: &[Candidate]) -> Result<Choice, Shortage> {
    let demand = Demand {
        prompt,
        output: 2_000,
        objective: Duration::from_secs(3),
    };
    let mut rng = SmallRng::seed_from_u64(1);
    pick::choose_engine(&speed(), demand, candidates, &mut rng)
}

/// Index of the answering engine.
const OWN: usize = 99;

/// Returns the tokens of all shares.
fn held(shares: &[Share]) -> u64 {
    shares.iter().map(|share| share.tokens).sum()
}

/// Another prompt of the same size would not fit beside this one, and another host may send
/// one at the same moment. So the memory is reserved although one engine is enough.
#[test]
fn fits_alone() {
    let shares = memory::distribute(300_000, (OWN, 420_000), &[(0, 420_000)]).unwrap();
    let [share] = shares[..] else {
        panic!("{shares:?}");
    };
    assert_eq!(share.place, OWN);
    assert_eq!(share.tokens, memory::padded(300_000));
}

/// There is room for several prompts of this size, so nothing is reserved.
#[test]
fn fits_twice() {
    let shares = memory::distribute(200_000, (OWN, 420_000), &[(0, 420_000)]);
    assert_eq!(shares, Some(vec![]));
}

/// The fewest engines that can hold the prompt take even parts.
#[parameterized(
    two = { 600_000, 1 },
    three = { 1_000_000, 2 },
)]
fn fewest_even(needed: u64, count: usize) {
    let others: Vec<(usize, u64)> = (0..10).map(|place| (place, 420_000)).collect();
    let shares = memory::distribute(needed, (OWN, 420_000), &others).unwrap();
    assert_eq!(shares.len(), count + 1);
    assert_eq!(shares[0].place, OWN);
    let even = needed / (count as u64 + 1);
    for part in shares.iter().map(|share| share.tokens) {
        assert!(part.abs_diff(even) < 100, "{shares:?}");
    }
    assert_eq!(held(&shares), memory::padded(needed));
}

/// No engine is asked for more than it has.
#[test]
fn uneven_room() {
    let others = [(3, 50_000), (4, 300_000), (5, 100_000)];
    let own = (OWN, 200_000);
    let shares = memory::distribute(520_000, own, &others).unwrap();
    for share in &shares {
        let mut engines = others.iter().chain([&own]);
        let free = engines.find(|(place, _)| *place == share.place);
        assert!(share.tokens <= free.unwrap().1, "{shares:?}");
    }
    assert_eq!(held(&shares), memory::padded(520_000));
}

#[test]
fn too_little() {
    let own = (OWN, 400_000);
    assert_eq!(memory::distribute(900_000, own, &[(1, 400_000)]), None);
}

/// The answering engine is the first holder of a share and not one of the helpers.
#[test]
fn answering_leads() {
    let choice = choose(700_000, &engines(&[0; 14])).unwrap();
    let holders: Vec<usize> = choice.shares.iter().map(|share| share.place).collect();
    assert!(holders.len() > 1);
    assert_eq!(holders[0], choice.primary);
    assert!(holders[1..].iter().all(|i| choice.helpers.contains(i)));
    assert!(!choice.helpers.contains(&choice.primary));
    assert!(choice.helpers.len() < MAX_READERS);
}

/// Streams of medium prompts gather on engines for short ones until the memory there is
/// taken. The next prompt and those behind it would wait a second or more until a stream
/// ends, so it must go where there is room.
#[parameterized(
    usual = { 45_000 },
    large = { 60_000 },
)]
fn middling_finds_room(prompt: u64) {
    let mut candidates = engines(&[400_000; 14]);
    for (candidate, memory) in candidates[..3].iter_mut().zip([400_000, 350_000, 400_000]) {
        candidate.total = Total {
            streams: 8,
            short: 8,
            memory,
            ..Total::default()
        };
    }
    let choice = choose(prompt, &candidates).unwrap();
    assert_eq!(choice.primary, 1, "{choice:?}");
    assert_eq!(choice.shares.len(), 1);
    assert_eq!(choice.shares[0].place, 1);
}

/// The engines that would read the prompt soonest are full, so others take part.
#[test]
fn room_elsewhere() {
    let mut used = [420_000; 14];
    used[9..].fill(0);
    let choice = choose(700_000, &engines(&used)).unwrap();
    let holders = choice.shares.iter().map(|share| share.place);
    assert!(holders.chain([choice.primary]).all(|place| place >= 9));
}

#[test]
fn no_room() {
    let full = engines(&[400_000; 14]);
    assert_eq!(choose(900_000, &full), Err(Shortage::Memory));
    let mut said = engines(&[0; 14]);
    said.iter_mut().for_each(|candidate| candidate.full = true);
    assert_eq!(choose(300_000, &said), Err(Shortage::Memory));
}

/// Without an answer, the command may still be carried out later.
#[parameterized(
    done = { 200, Outcome::Done },
    begun = { 202, Outcome::Done },
    taken = { 409, Outcome::Refused },
    other_instance = { 421, Outcome::Refused },
    failed = { 500, Outcome::Unknown },
)]
fn order_outcome(status: u16, outcome: Outcome) {
    assert_eq!(Outcome::from_status(status), outcome);
}

/// A renewal reaches the engine just as the attempt ends, and the command that releases the
/// memory is lost. The lease must still expire within the time for which memory may outlive
/// its use, less the longest duration of a command (0.4 s).
#[parameterized(
    usual = { 4_000 },
    short = { 2_000 },
    long = { 20_000 },
)]
fn ends_in_time(bound: u64) {
    let bound = Duration::from_millis(bound);
    let order = Duration::from_millis(400);
    let hold = memory::lease_duration(bound);
    assert!(hold + order <= bound, "{hold:?}");
    // One lost renewal can be repeated.
    assert!(hold.mul_f64(memory::RENEWAL_FRACTION) * 2 < hold);
}
