//! What a host tells relays of the upstreams that are lost with a request.

mod fake;
mod gateway;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream, UdpSocket},
    thread,
    time::{Duration, Instant},
};

use almondlock_gateway::exchange::{Loss, Message, Suspect};
use fake::{Step, event, start, stream_head};
use gateway::{ask, start_observing_pace};

/// Time within which a loss is told.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// Time before the first reading of a loss in which its request was sent.
const EARLIER: Duration = Duration::from_secs(10);
/// Time by which two tellings of a loss may differ in when the request was sent.
const TOLERANCE: Duration = Duration::from_millis(30);

/// Sends a request through a host whose upstream behaves like this on its connections, in
/// turn. Returns the losses that the host told.
fn losses(connections: Vec<Vec<Step>>) -> Vec<Loss> {
    let (relay, relays) = bind_relays();
    let (upstream, _heads) = start(connections);
    let host = start_observing_pace(&[upstream], Some(relays), false);
    let told = thread::spawn(move || read_losses(&relay));
    ask(host, "/stream/");
    told.join().unwrap()
}

/// Binds the socket of a relay. The other relay never answers.
fn bind_relays() -> (UdpSocket, [SocketAddr; 2]) {
    let sockets = [(); 2].map(|()| UdpSocket::bind("127.0.0.1:0").unwrap());
    let relays = sockets.each_ref().map(|s| s.local_addr().unwrap());
    let [relay, _] = sockets;
    (relay, relays)
}

/// Reads the messages that a relay gets within a while, with the time since then.
fn read_messages<F>(relay: &UdpSocket, mut take: F)
where
    F: FnMut(Duration, SocketAddr, Message),
{
    relay
        .set_read_timeout(Some(Duration::from_millis(50)))
        .unwrap();
    let begun = Instant::now();
    let mut buffer = [0; 65_536];
    while begun.elapsed() < PATIENCE {
        let Ok((length, from)) = relay.recv_from(&mut buffer) else {
            continue;
        };
        if let Ok(message) = postcard::from_bytes(&buffer[..length]) {
            take(begun.elapsed(), from, message);
        }
    }
}

/// Reads the losses that are told within a while. Each is told twice, with its age.
fn read_losses(relay: &UdpSocket) -> Vec<Loss> {
    let mut losses: Vec<(Duration, Loss)> = Vec::new();
    read_messages(relay, |at, _, message| {
        if let Message::Lost(loss) = message {
            let age = Duration::from_millis(loss.age_ms.into());
            let sent = EARLIER + at - age;
            let mut known = losses.iter();
            if !known.any(|(other, _)| other.abs_diff(sent) < TOLERANCE) {
                losses.push((sent, loss));
            }
        }
    });
    losses.into_iter().map(|(_, loss)| loss).collect()
}

/// Guards against an upstream that is lost with a resumed run before its first event and that
/// nobody counts.
#[test]
fn resumed_unanswered() {
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(60),
        Step::Reset,
    ];
    let second = vec![Step::Read, Step::Pause(60), Step::Reset];
    assert_eq!(losses(vec![first, second]).len(), 2);
}

/// Guards against a resumed run whose loss counts as that of a copy that was sent before the
/// first run was lost.
#[test]
fn resumed_later() {
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(300),
        Step::Reset,
    ];
    let second = vec![
        Step::Read,
        stream_head(),
        event(2),
        Step::Pause(60),
        Step::Reset,
    ];
    let losses = losses(vec![first, second]);
    let ages: Vec<u32> = losses.iter().map(|loss| loss.age_ms).collect();
    assert_eq!(ages.len(), 2);
    assert!(ages[0] >= 300 && ages[1] < 250, "{ages:?}");
}

/// Guards against a request that crashes upstreams after some events and is cleared by its own
/// resumed run, which began behind them.
#[test]
fn resumed_answer() {
    let first = vec![
        Step::Read,
        stream_head(),
        event(1),
        Step::Pause(60),
        Step::Reset,
    ];
    let end = Step::Write("0\r\n\r\n".to_owned());
    let second = vec![
        Step::Read,
        stream_head(),
        event(2),
        Step::Pause(200),
        end.clone(),
    ];
    let third = vec![Step::Read, stream_head(), event(1), Step::Pause(20), end];
    let (relay, relays) = bind_relays();
    let (upstream, _heads) = start(vec![first, second, third]);
    let host = start_observing_pace(&[upstream], Some(relays), false);
    let told = thread::spawn(move || watch_lost(&relay));
    let (response, _) = ask(host, "/stream/");
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    thread::sleep(PATIENCE / 3);
    // The same request, answered from the beginning to the end.
    ask(host, "/stream/");
    let cleared = told.join().unwrap();
    assert_eq!(cleared.len(), 1, "{cleared:?}");
    assert!(cleared[0] > PATIENCE / 2, "{cleared:?}");
}

/// Tells the host that each request which it lost is suspected. Returns after which time the
/// host told that a suspected request was answered.
fn watch_lost(relay: &UdpSocket) -> Vec<Duration> {
    let mut cleared = Vec::new();
    read_messages(relay, |at, from, message| match message {
        Message::Lost(loss) => {
            let suspect = Suspect {
                print: loss.print,
                refused_ms: None,
                watched: true,
            };
            let message = Message::Suspects(vec![suspect]);
            let bytes = postcard::to_stdvec(&message).unwrap();
            relay.send_to(&bytes, from).unwrap();
        }
        Message::Harmless(_) => cleared.push(at),
        _ => {}
    });
    cleared
}

/// Guards against a caller that fills relays with the parts that it lists, or lists one again
/// and again.
#[test]
fn many_parts() {
    let (relay, relays) = bind_relays();
    let (upstream, _heads) = start(vec![vec![Step::Read, Step::Reset]; 4]);
    let host = start_observing_pace(&[upstream], Some(relays), false);
    let told = thread::spawn(move || {
        let mut parts = Vec::new();
        read_messages(&relay, |_, _, message| {
            if let Message::LostParts(loss) = message {
                parts.push(loss.parts);
            }
        });
        parts
    });
    let listed = (0..200).map(|n| format!("part-{},", n / 2));
    let request = format!(
        "POST /safe/ HTTP/1.1\r\nhost: h\r\nx-id: r-1\r\nx-deadline: 500\r\nx-parts: {}own\r\n\
         connection: close\r\ncontent-length: 2\r\n\r\nhi",
        listed.collect::<String>()
    );
    let mut stream = TcpStream::connect(host).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    gateway::read(&mut stream, PATIENCE);
    let told = told.join().unwrap();
    assert!(!told.is_empty());
    for mut parts in told {
        assert_eq!(parts.len(), 64);
        parts.sort_unstable();
        parts.dedup();
        assert_eq!(parts.len(), 64);
    }
}
