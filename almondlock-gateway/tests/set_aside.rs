//! A prompt is larger than one engine's memory, so memory is reserved first on the
//! answering engine and on a helper. Whatever becomes of the request, the memory must be
//! released. Left reserved, it would keep other prompts out.

mod fake;
mod gateway;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::Receiver,
    },
    thread::{sleep, spawn},
    time::{Duration, Instant},
};

use fake::{Step, end, event, field, serve, stream_head};
use gateway::{
    ask, ask_and_disconnect, ask_for, ask_within, start_engines, start_engines_restarting,
    start_engines_with_hold, status,
};

/// Starts an engine that answers commands with the status `order`, and requests with a
/// stream of two events and a pause between.
fn engine(order: &'static str, pause: u64) -> (std::net::SocketAddr, Receiver<String>) {
    let asked =
        |head: &str| ["/engine/", "/slow/"].map(|path| head.starts_with(&format!("POST {path}")));
    serve(move |head| match asked(head).contains(&true) {
        true => vec![stream_head(), event(1), Step::Pause(pause), event(2), end()],
        false => vec![Step::Write(format!(
            "HTTP/1.1 {order}\r\ncontent-length: 0\r\n\r\n"
        ))],
    })
}

/// Returns the answer to a command that was carried out.
fn ok() -> Step {
    Step::Write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into())
}

/// Waits, and returns what reached the engines, in the order in which each engine saw it.
fn seen(engines: &[Receiver<String>], wait: Duration) -> Vec<Vec<String>> {
    sleep(wait);
    engines
        .iter()
        .map(|heads| heads.try_iter().collect())
        .collect()
}

/// Returns the number of requests to a path.
fn count(seen: &[Vec<String>], path: &str) -> usize {
    let all = seen.iter().flatten();
    all.filter(|head| head.starts_with(&format!("POST {path} ")))
        .count()
}

/// The memory is reserved before the request, which names it, and released after it.
#[test]
fn before_and_after() {
    let (one, heads_one) = engine("200 OK", 0);
    let (two, heads_two) = engine("200 OK", 0);
    let (response, _) = ask(start_engines(&[one, two]), "/engine/");
    assert_eq!(status(&response), 200, "{response}");
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(300));
    let holder = seen.iter().find(|heads| heads.len() == 2).unwrap();
    let first = seen.iter().find(|heads| heads.len() == 3).unwrap();
    let memory = |heads: &[String]| heads[0].rsplit('\n').next().unwrap().to_owned();
    for heads in [holder, first] {
        assert!(heads[0].starts_with("POST /reserve "));
        assert!(heads[heads.len() - 1].starts_with("POST /release "));
        assert!(heads[heads.len() - 1].ends_with(&memory(heads)));
    }
    // The answering engine is listed first, with its own reservation.
    let helpers = field(&first[1], "x-helpers").unwrap();
    let (own, other) = helpers.split_once(',').unwrap();
    assert!(own.ends_with(&format!("={}", memory(first))), "{helpers}");
    assert!(
        other.ends_with(&format!("={}", memory(holder))),
        "{helpers}"
    );
}

/// If one engine refuses to reserve memory, another one is asked before the request is
/// sent.
#[test]
fn other_has_room() {
    let (full, heads_full) = engine("409 Conflict", 0);
    let rest: Vec<_> = (0..3).map(|_| engine("200 OK", 0)).collect();
    let engines: Vec<_> = [full].into_iter().chain(rest.iter().map(|r| r.0)).collect();
    for _ in 0..4 {
        let (response, _) = ask(start_engines(&engines), "/engine/");
        assert_eq!(status(&response), 200, "{response}");
    }
    let seen = seen(&[heads_full], Duration::from_millis(200));
    assert_eq!(count(&seen, "/engine/"), 0, "{seen:?}");
}

/// The stream lasts longer than a lease, so the lease is renewed.
#[test]
fn long_stream() {
    let (one, heads_one) = engine("200 OK", 600);
    let (two, heads_two) = engine("200 OK", 600);
    let (response, _) = ask(start_engines(&[one, two]), "/engine/");
    assert_eq!(status(&response), 200);
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(300));
    assert!(count(&seen, "/reserve") >= 6, "{seen:?}");
    assert_eq!(count(&seen, "/release"), 2);
}

/// The engine that holds the memory crashes and starts again while the stream goes on. A
/// renewal would reserve new memory there that nobody uses.
#[test]
fn holder_starts_again() {
    let (one, heads_one) = engine("200 OK", 1_200);
    let (two, heads_two) = engine("200 OK", 1_200);
    let gateway = start_engines_restarting(&[one, two], Duration::from_millis(200));
    let caller = spawn(move || ask(gateway, "/engine/"));
    let before = seen(&[heads_one, heads_two], Duration::from_millis(1_000));
    let (response, _) = caller.join().unwrap();
    assert_eq!(status(&response), 200);
    // Each engine gets the first command and one renewal at 135 ms.
    assert!((2..=4).contains(&count(&before, "/reserve")), "{before:?}");
}

/// No engine has memory to reserve. The caller is refused at once with a time to try again,
/// and nothing has run.
#[test]
fn no_memory_anywhere() {
    let (one, heads_one) = engine("409 Conflict", 0);
    let (two, heads_two) = engine("409 Conflict", 0);
    let asked = Instant::now();
    let (response, _) = ask(start_engines(&[one, two]), "/engine/");
    assert_eq!(status(&response), 503, "{response}");
    assert!(response.contains("retry-after: "));
    assert!(asked.elapsed() < Duration::from_millis(500));
    let seen = seen(&[heads_one, heads_two], Duration::ZERO);
    assert_eq!(count(&seen, "/engine/"), 0);
}

/// A command is not answered and may be carried out seconds later. The release is repeated
/// until that can no longer happen.
#[test]
fn unanswered_order() {
    let silent = || {
        serve(|head| match head.starts_with("POST /reserve") {
            true => vec![Step::Hang],
            false => vec![Step::Write(
                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            )],
        })
    };
    let ((one, heads_one), (two, heads_two)) = (silent(), silent());
    let (response, _) = ask(start_engines(&[one, two]), "/engine/");
    assert_eq!(status(&response), 503, "{response}");
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(2_500));
    assert_eq!(count(&seen, "/engine/"), 0);
    assert!(
        count(&seen, "/release") > count(&seen, "/reserve"),
        "{seen:?}"
    );
}

/// The answering engine goes dark after it received the request, long before the caller's
/// deadline. Memory on the helper must not be renewed all that time.
#[test]
fn dark_writer() {
    let dark = || {
        serve(|head| match head.starts_with("POST /engine/") {
            true => vec![Step::Hang],
            false => vec![Step::Write(
                "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".into(),
            )],
        })
    };
    let ((one, heads_one), (two, heads_two)) = (dark(), dark());
    let gateway = start_engines(&[one, two]);
    let caller = spawn(move || ask_within(gateway, "/engine/", 8_000));
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(2_600));
    assert!(count(&seen, "/release") >= 1, "{seen:?}");
    // Nobody knows whether the request ran.
    let (response, _) = caller.join().unwrap();
    assert!(matches!(status(&response), 502 | 504), "{response}");
}

/// The answering engine holds all of the memory itself, and its stream pauses for two
/// seconds. This memory keeps nobody else waiting, so the stream is waited for as long as
/// any other, and not given up for one that starts again.
#[test]
fn pausing_answer() {
    let (one, heads_one) = engine("200 OK", 2_100);
    let (two, heads_two) = engine("200 OK", 2_100);
    let gateway = start_engines_with_hold(&[one, two], Duration::from_secs(4));
    let (response, _) = ask_for(gateway, "/slow/", 8_000, 700);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(300));
    assert_eq!(count(&seen, "/slow/"), 1, "{seen:?}");
    assert_eq!(count(&seen, "/release"), 1, "{seen:?}");
}

/// Engines don't answer the commands that release memory. The release is repeated until the
/// lease must have expired: the engines may answer again before, and until then other hosts
/// find them full.
#[test]
fn unanswered_release() {
    let deaf = || {
        serve(|head| match head {
            _ if head.starts_with("POST /release ") => vec![Step::Hang],
            _ if head.starts_with("POST /engine/ ") => vec![stream_head(), event(1), end()],
            _ => vec![ok()],
        })
    };
    let ((one, heads_one), (two, heads_two)) = (deaf(), deaf());
    let gateway = start_engines_with_hold(&[one, two], Duration::from_secs(4));
    let (response, _) = ask(gateway, "/engine/");
    assert_eq!(status(&response), 200);
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(3_200));
    assert!(count(&seen, "/release") >= 5, "{seen:?}");
}

/// The caller disconnects while memory is being reserved. The command is carried out all
/// the same, so the memory must be released.
#[test]
fn caller_leaves() {
    let slow = || {
        serve(|head| match head.starts_with("POST /reserve ") {
            true => vec![Step::Pause(300), ok()],
            false => vec![ok()],
        })
    };
    let ((one, heads_one), (two, heads_two)) = (slow(), slow());
    let gateway = start_engines(&[one, two]);
    ask_and_disconnect(gateway, "/engine/", Duration::from_millis(100));
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(900));
    assert_eq!(count(&seen, "/reserve"), 2, "{seen:?}");
    assert!(count(&seen, "/release") >= 2, "{seen:?}");
}

/// A renewal is in progress when the stream ends, and is carried out seconds later. It
/// reserves the memory again after its release, so it must be released once more.
#[test]
fn overtaken_renewal() {
    let slow_renewal = || {
        let orders = Arc::new(AtomicUsize::new(0));
        serve(move |head| match head {
            _ if head.starts_with("POST /engine/ ") => {
                vec![stream_head(), event(1), Step::Pause(300), event(2), end()]
            }
            _ if head.starts_with("POST /reserve ") => {
                match orders.fetch_add(1, Ordering::Relaxed) {
                    0 => vec![ok()],
                    _ => vec![Step::Hang],
                }
            }
            _ => vec![ok()],
        })
    };
    let ((one, heads_one), (two, heads_two)) = (slow_renewal(), slow_renewal());
    let (response, _) = ask(start_engines(&[one, two]), "/engine/");
    assert_eq!(status(&response), 200);
    let seen = seen(&[heads_one, heads_two], Duration::from_millis(2_600));
    assert_eq!(count(&seen, "/reserve"), 4, "{seen:?}");
    assert!(count(&seen, "/release") >= 4, "{seen:?}");
}
