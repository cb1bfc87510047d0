//! An upstream that is leaving says so in its answers. The host may learn this from the
//! replicas only later, or not at all if it is cut off from them.

mod fake;
mod gateway;

use std::time::Duration;

use fake::{Step, serve};
use gateway::{ask, start, status};

fn leaving() -> Step {
    Step::Write(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nhi"
            .into(),
    )
}

/// Guards against requests to an upstream whose answer has said that it is leaving.
#[test]
fn leaving_avoided() {
    let (one, leaves) = serve(|_| vec![leaving()]);
    let (two, stays) = serve(|_| vec![fake::answer("200 OK", "hi")]);
    let gateway = start(&[one, two]);
    for _ in 0..40 {
        let (response, _) = ask(gateway, "/safe/");
        assert_eq!(status(&response), 200, "{response}");
    }
    std::thread::sleep(Duration::from_millis(100));
    let (left, stayed) = (leaves.try_iter().count(), stays.try_iter().count());
    assert_eq!(left, 1, "requests to the one that leaves");
    assert_eq!(stayed, 39);
}
