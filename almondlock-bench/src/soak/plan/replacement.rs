//! Replicas that are replaced by others at other addresses.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Act, CALM, Fault, LENGTH, Size, push};

/// Milliseconds that a replica on an empty disk has before another disk may be lost.
pub const CATCH_UP: u64 = 4_000;
/// Milliseconds from the start of a newcomer until the one that it replaces is told to stop.
const BEFORE: Range<u64> = 1_000..4_000;
/// Milliseconds from the loss of a replica to the start of the one that replaces it.
const AFTER: Range<u64> = 1_000..2_400;
/// Milliseconds for which a replica is away that keeps its disk.
const AWAY: Range<u64> = 300..2_000;
/// Milliseconds for which a replica is away that is told to stop.
const STOPPING: u64 = 1_000;
/// Milliseconds until all replicas are back that were killed at once.
const BACK: Range<u64> = 300..900;
/// Milliseconds after the earliest moment at which a disk may be lost.
const LATER: Range<u64> = 50..600;

/// Adds replacements to a plan, with other faults of replicas among them, in place of all
/// faults of replicas that it has. Drawn from the same seed.
pub fn draw(seed: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) {
    faults.retain(|fault| fault.act.replica().is_none());
    let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
    let mut at = CALM;
    while at < millis {
        at = replace(&mut rng, at, millis, size, faults);
    }
    faults.sort_by_key(|fault| fault.at);
}

/// One replacement and the losses of disks after it. Gives when the next may begin.
fn replace(rng: &mut SmallRng, at: u64, millis: u64, size: Size, faults: &mut Vec<Fault>) -> u64 {
    let place = rng.random_range(0..size.replicas);
    let (act, length, newcomer) = match rng.random() {
        true => (Act::MoveReplica(place), rng.random_range(BEFORE), at),
        false => {
            let length = rng.random_range(AFTER);
            (Act::ReplaceReplica(place), length, at + length)
        }
    };
    push(faults, at, length, act);
    let mut free = newcomer + CATCH_UP;
    let mut away = 0;
    for _ in 0..rng.random_range(0..3) {
        let from = rng.random_range(newcomer + 100..newcomer + CATCH_UP);
        let other = other(rng, place, size);
        let (act, length) = disturbance(rng, other);
        if act == Act::KillReplicas {
            // The newcomer was killed too, and its time begins anew.
            free = free.max(from + length + CATCH_UP);
        } else {
            // A newcomer can do nothing while no majority answers.
            away += length.max(STOPPING);
            if away > CATCH_UP / 2 {
                continue;
            }
        }
        push(faults, from, length, act);
    }
    for _ in 0..rng.random_range(1..3) {
        let from = free + rng.random_range(LATER);
        let lost = rng.random_range(0..size.replicas);
        let (act, length) = match rng.random() {
            true => (Act::WipeReplica(lost), rng.random_range(LENGTH)),
            false => (Act::WipeAmongKilled(lost), rng.random_range(BACK)),
        };
        push(faults, from, length, act);
        free = from + length + CATCH_UP;
        if free >= millis {
            break;
        }
    }
    free + rng.random_range(LATER)
}

/// A fault at which no disk is lost.
fn disturbance(rng: &mut SmallRng, place: usize) -> (Act, u64) {
    match rng.random_range(0..4) {
        0 => (Act::StopReplica(place), 0),
        1 => (Act::KillReplica(place), rng.random_range(AWAY)),
        2 => (Act::FreezeReplica(place), rng.random_range(AWAY)),
        _ => (Act::KillReplicas, rng.random_range(BACK)),
    }
}

fn other(rng: &mut SmallRng, place: usize, size: Size) -> usize {
    (place + rng.random_range(1..size.replicas)) % size.replicas
}
