//! An upstream in trouble sends an answer whose head is spoilt. The caller must not get it as
//! an answer.

mod fake;
mod gateway;

use std::{
    io::{Read, Write},
    net::TcpListener,
    thread,
    time::Duration,
};

use almondlock_gateway::upstream::{Connection, Error, Head, Request};
use fake::{Step, start};
use gateway::{ask, status};
use yare::parameterized;

const ALLOWED: Duration = Duration::from_secs(5);
const LENGTH: &str = "content-length: 3\r\n";
const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// What a caller of a plain route gets for an answer with these bytes.
fn answered(answer: String) -> String {
    let steps = vec![Step::Read, Step::WriteLatin(answer)];
    let (upstream, _heads) = start(vec![steps]);
    ask(gateway::start(&[upstream]), "/unsafe/").0
}

/// Checks that the caller of an answer with these bytes gets a failure of the host's own.
fn check_refused(answer: String) {
    let response = answered(answer);
    assert_eq!(status(&response), 502, "{response}");
    let is_own = response.contains("x-almondlock-code: ") && !response.contains("x-seal");
    assert!(is_own, "{response}");
}

fn with_status(code: &str, fields: &str) -> String {
    format!("HTTP/1.1 {code} X\r\nx-id: ID\r\nx-seal: s\r\n{fields}\r\n")
}

/// Guards against a status that is none reaching the caller as an answer.
#[parameterized(
    zero = { "000" },
    below_all = { "099" },
    above_all = { "600" },
    highest = { "999" },
    protocol_switch = { "101" },
)]
fn no_status(code: &str) {
    check_refused(with_status(code, LENGTH) + "yes");
}

/// Guards against a body that an answer without one can't have, taken for the next answer.
#[parameterized(
    length = { LENGTH, "yes" },
    chunks = { CHUNKED, "3\r\nyes\r\n0\r\n\r\n" },
)]
fn no_content(fields: &str, body: &str) {
    check_refused(with_status("204", fields) + body);
}

/// Guards against a body whose length is spoilt in the head reaching the caller as complete.
#[parameterized(
    sign = { "content-length: +3\r\n", "yes" },
    letter = { "content-length: 3x\r\n", "yes" },
    nothing = { "content-length:\r\n", "yes" },
    no_text = { "content-length: 3\u{e9}\r\n", "yes" },
    wide_space = { "content-length: \u{a0}3\r\n", "yes" },
    two_lengths = { "content-length: 3\r\ncontent-length: 2\r\n", "yes" },
    list = { "content-length: 3, 2\r\n", "yes" },
    too_many_digits = { "content-length: 99999999999999999999999\r\n", "yes" },
    other_coding = { "transfer-encoding: chunkes\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    coding_no_text = { "transfer-encoding: chunk\u{e9}d\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    two_codings = { "transfer-encoding: gzip, chunked\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    coding_twice = { "transfer-encoding: chunked\r\ntransfer-encoding: gzip\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    coding_and_length = { "transfer-encoding: chunkes\r\ncontent-length: 3\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    other_name = { "transfer-encodinf: chunked\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    longer_name = { "transfer--encoding: chunked\r\n", "3\r\nyes\r\n0\r\n\r\n" },
    shorter_name = { "ontent-length: 3\r\n", "yesmore" },
    swapped_name = { "content-lenght: 3\r\n", "yesmore" },
)]
fn spoilt_length(fields: &str, body: &str) {
    check_refused(with_status("200", fields) + body);
}

/// Guards against a body that is cut because a digit of the head became another, with a part
/// of it reaching the caller as complete.
#[parameterized(
    less = { "200", "content-length: 1\r\n", "yes" },
    nothing = { "200", "content-length: 0\r\n", "yes" },
    no_content = { "204", "", "yes" },
    unchanged = { "304", LENGTH, "yes" },
    last_chunk = { "200", CHUNKED, "1\r\ny\r\n0\r\n\r\nes\r\n0\r\n\r\n" },
)]
fn wrong_digit(code: &str, fields: &str, body: &str) {
    check_refused(with_status(code, fields) + body);
}

/// Guards against the rest of a head that an empty line has cut reaching the caller as the
/// body.
#[parameterized(
    before_length = { "x: \n\r\ncontent-length: 3\r\n", "yes" },
    inside_name = { "\nontent-length: 3\r\n", "yes" },
    before_chunks = { "x: \n\r\ny: z\r\ntransfer-encoding: chunked\r\n", "3\r\nyes\r\n0\r\n\r\n" },
)]
fn cut_head(fields: &str, body: &str) {
    check_refused(with_status("200", fields) + body);
}

/// Guards against the size of a chunk, or what follows the last one, being read out of bytes
/// that are none.
#[parameterized(
    sign = { "+3\r\nyes\r\n0\r\n\r\n" },
    wide_space = { "3\u{a0}\r\nyes\r\n0\r\n\r\n" },
    leading_space = { " 3\r\nyes\r\n0\r\n\r\n" },
    overflow = { "10000000000000003\r\nyes\r\n0\r\n\r\n" },
    lost_line_end = { "3;\nyes\r\n0\r\n\r\n0\r\n\r\n" },
    no_trailer = { "3\r\nyes\r\n0\r\nthis is no field\r\n\r\n" },
    trailer_name = { "3\r\nyes\r\n0\r\nx y: z\r\n\r\n" },
)]
fn spoilt_chunk(body: &str) {
    check_refused(with_status("200", CHUNKED) + body);
}

/// Guards against a line that is no field, or whose name is none, being passed on or skipped.
#[parameterized(
    no_colon = { "this is no field\r\n" },
    colon_lost = { "content-length 3\r\n" },
    no_name = { ": x\r\n" },
    blank_name = { "x y: z\r\n" },
    blank_before_colon = { "content-length : 3\r\n" },
    tab_in_name = { "x\ty: z\r\n" },
    nul_in_name = { "x\0y: z\r\n" },
    bell_in_name = { "x\x07y: z\r\n" },
    delete_in_name = { "x\x7fy: z\r\n" },
    letter_in_name = { "x\u{e9}y: z\r\n" },
    bell_in_value = { "x: \x07\r\n" },
    lone_return = { "x: a\rb: c\r\n" },
    folded = { "x: a\r\n b\r\n" },
)]
fn no_field(line: &str) {
    for fields in [format!("{line}{LENGTH}"), format!("{LENGTH}{line}")] {
        check_refused(with_status("200", &fields) + "yes");
    }
    let chunks = with_status("200", &format!("{line}{CHUNKED}")) + "3\r\nyes\r\n0\r\n\r\n";
    check_refused(chunks);
}

fn block_on<F, T>(work: F) -> T
where
    F: Future<Output = T>,
{
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(ALLOWED * 2, work).await.unwrap() })
}

async fn exchange(connection: &mut Connection, body: &[u8]) -> Result<Head, Error> {
    let head = format!("POST / HTTP/1.1\r\ncontent-length: {}\r\n\r\n", body.len());
    let request = Request {
        head: head.as_bytes(),
        body,
        id: ("x-id", b""),
    };
    connection.exchange(&request).await
}

/// What a connection gives for each of these answers, which end with it.
fn bodies(answers: Vec<Vec<u8>>) -> Vec<Result<Vec<u8>, Error>> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let count = answers.len();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = [0; 1024];
            let _ = stream.read(&mut request).unwrap();
            // The other side may close as soon as it finds the mistake.
            let _ = stream.write_all(&answer);
        }
    });
    block_on(async {
        let mut bodies = Vec::new();
        for _ in 0..count {
            let mut connection = Connection::open(address, ALLOWED).await.unwrap();
            let body = match exchange(&mut connection, b"").await {
                Ok(_) => connection.read_body(1 << 20).await,
                Err(error) => Err(error),
            };
            bodies.push(body.map(|body| body.to_vec()));
        }
        bodies
    })
}

/// Guards against an answer with one wrong character, at any place but in the content, after
/// which another body than the upstream's is taken for complete.
#[parameterized(
    length = { "x-seal: s\r\ncontent-length: 3\r\n\r\n", "yes", "" },
    length_first = { "content-length: 3\r\nx-seal: s\r\n\r\n", "yes", "" },
    chunks = { "x-seal: s\r\ntransfer-encoding: chunked\r\n\r\n3\r\n", "yes", "\r\n0\r\n\r\n" },
    chunks_first = { "transfer-encoding: chunked\r\nx-seal: s\r\n\r\n3\r\n", "yes", "\r\n0\r\n\r\n" },
)]
fn any_character(fields: &str, content: &str, end: &str) {
    let head = format!("HTTP/1.1 200 OK\r\n{fields}");
    let answer = format!("{head}{content}{end}");
    let kept = head.len()..head.len() + content.len();
    let wrong = b"\0\x07 \tx:;,-\x7f\xe9\r\n0123456789";
    let mut answers = Vec::new();
    for place in (0..answer.len()).filter(|place| !kept.contains(place)) {
        for byte in wrong {
            let mut answer = answer.clone().into_bytes();
            answer[place] = *byte;
            answers.push(answer);
        }
    }
    let texts = answers.clone();
    for (body, answer) in bodies(answers).into_iter().zip(texts) {
        let answer = String::from_utf8_lossy(&answer).into_owned();
        assert!(body.is_err() || body.unwrap() == b"yes", "{answer:?}");
    }
}

/// Guards against sound answers being refused.
#[parameterized(
    length = { "200", LENGTH, "yes" },
    same_length_twice = { "200", "content-length: 3\r\nContent-Length: 3\r\n", "yes" },
    chunks = { "200", "Transfer-Encoding: Chunked\r\n", "3;x=y\r\nyes\r\n0\r\nx-sum: 1\r\n\r\n" },
    blank_after_size = { "200", CHUNKED, "3 \r\nyes\r\n0\r\n\r\n" },
    unmarked = { "200", "", "yes" },
    unmarked_fields = { "200", "", "length: 3\r\n\r\nyes" },
    line_after_body = { "200", LENGTH, "yes\r\n" },
    answer_after_body = { "200", LENGTH, "yesHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" },
    similar_name = { "200", "x-content-length: 9\r\n", "yes" },
    latin_value = { "200", "x: \u{e9}\r\ncontent-length: 3\r\n", "yes" },
    no_content = { "204", "", "" },
    empty_content = { "204", "content-length: 0\r\n", "" },
    unchanged = { "304", "content-length: 3\r\n", "" },
)]
fn sound(code: &str, fields: &str, body: &str) {
    let expected: u16 = code.parse().unwrap();
    let response = answered(with_status(code, fields) + body);
    assert_eq!(status(&response), expected, "{response}");
    assert!(response.contains("x-seal: s"), "{response}");
}
