//! Engines ask for a pause. It must be kept by all that a host sends to engines: whole
//! prompts, parts of prompts, and commands that reserve memory.

mod fake;
mod gateway;

use std::{
    net::SocketAddr,
    sync::mpsc::Receiver,
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use fake::{Step, end, event, field, serve, stream_head};
use gateway::{ask_for, start_engines, status};

/// Tokens of a prompt that one engine can hold.
const SHORT: u64 = 100;
/// Tokens of a prompt that needs two engines.
const LONG: u64 = 1_500;
const DEADLINE: u64 = 9_000;

/// Starts an engine that answers commands after `order_ms`. `turns_away` decides which
/// prompts it refuses, with a pause of 2 s.
fn engine<F>(order_ms: u64, turns_away: F) -> (SocketAddr, Receiver<String>)
where
    F: Fn(u64) -> bool + Clone + Send + 'static,
{
    serve(move |head| {
        if !head.starts_with("POST /engine/") {
            let ok = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            return vec![Step::Pause(order_ms), Step::Write(ok.into())];
        }
        match turns_away(prompt(head)) {
            true => vec![turned_away()],
            false => vec![stream_head(), event(1), end()],
        }
    })
}

fn turned_away() -> Step {
    Step::Write(
        "HTTP/1.1 503 X\r\nx-id: ID\r\nx-not-run: 1\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n"
            .into(),
    )
}

fn prompt(head: &str) -> u64 {
    let usage = field(head, "x-usage").unwrap();
    usage.split(',').next().unwrap().parse().unwrap()
}

fn returns(response: &str) -> f64 {
    field(response, "retry-after").unwrap().parse().unwrap()
}

/// Guards against requests that wait, or are sent all the same, when every engine has asked
/// for a pause.
#[test]
fn all_pausing() {
    let (engines, heads): (Vec<SocketAddr>, Vec<_>) = (0..3).map(|_| engine(0, |_| true)).unzip();
    let gateway = start_engines(&engines);
    let asked = Instant::now();
    let responses = [0; 5].map(|_| ask_for(gateway, "/engine/", DEADLINE, SHORT).0);
    assert!(asked.elapsed() < Duration::from_millis(500));
    for response in responses {
        assert_eq!(status(&response), 503, "{response}");
        assert!(returns(&response) > 1.5, "{response}");
    }
    for heads in heads {
        assert_eq!(heads.try_iter().count(), 1);
    }
}

/// Guards against parts of prompts and memory commands that reach an engine during its
/// pause.
#[test]
fn parts_avoid_pause() {
    let (pausing, heads) = serve(|_| vec![turned_away()]);
    let others = [0; 2].map(|_| engine(0, |_| false));
    let gateway = start_engines(&[others[0].0, others[1].0, pausing]);
    for _ in 0..8 {
        let (response, _) = ask_for(gateway, "/engine/", DEADLINE, LONG);
        assert_eq!(status(&response), 200, "{response}");
    }
    let heads: Vec<String> = heads.try_iter().collect();
    assert_eq!(heads.len(), 1, "{heads:?}");
    let port = format!(":{}", pausing.port());
    for (_, heads) in others {
        let helpers = heads
            .try_iter()
            .filter_map(|head| field(&head, "x-helpers"));
        for helpers in helpers {
            assert!(!helpers.contains(&port), "{helpers}");
        }
    }
}

/// Guards against a request that is sent to an engine which was chosen before it asked for
/// a pause.
#[test]
fn pause_after_placement() {
    let (engines, heads): (Vec<SocketAddr>, Vec<_>) = (0..3)
        .map(|_| engine(300, |prompt| prompt == SHORT))
        .unzip();
    let gateway = start_engines(&engines);
    let long = spawn(move || ask_for(gateway, "/engine/", DEADLINE, LONG).0);
    sleep(Duration::from_millis(100));
    ask_for(gateway, "/engine/", DEADLINE, SHORT);
    let response = long.join().unwrap();
    assert_eq!(status(&response), 503, "{response}");
    let heads: Vec<String> = heads.iter().flat_map(Receiver::try_iter).collect();
    let sent = heads
        .iter()
        .filter(|head| head.starts_with("POST /engine/"));
    let prompts: Vec<u64> = sent.map(|head| prompt(head)).collect();
    assert_eq!(prompts, [SHORT; 3], "requests");
    let releases = heads
        .iter()
        .filter(|head| head.starts_with("POST /release"));
    assert_eq!(releases.count(), 0, "orders within a pause");
}
