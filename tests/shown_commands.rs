//! What the README shows works as shown: its requests and commands are taken
//! from the page and run against the demo, and the shape of each output is
//! compared with the page's. Settings that are shown as examples are accepted.
#![allow(clippy::unwrap_used)]

use std::{
    fs,
    io::{BufRead, BufReader},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Output, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::Duration,
};

use ntex::client::Client;
use tokio::time::{sleep, timeout};

/// The addresses that the page shows.
const SHOWN_LISTEN: &str = "127.0.0.1:8080";
const SHOWN_ADMIN: &str = "127.0.0.1:8081";

/// How long a test waits for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// A command of the page, and the output below it.
struct Shown {
    command: String,
    output: String,
}

/// Blocks of the README that start with `$`.
fn shown() -> Vec<Shown> {
    let text = fs::read_to_string(root().join("README.md")).unwrap();
    let mut all: Vec<Shown> = vec![];
    let mut open = false;
    for line in text.lines() {
        match line.strip_prefix("    ") {
            Some(code) if code.starts_with("$ ") => {
                let command = code.trim_start_matches("$ ").to_owned();
                let output = String::new();
                all.push(Shown { command, output });
                open = true;
            }
            Some(code) if open => {
                let last = all.last_mut().unwrap();
                last.output.push_str(code);
                last.output.push('\n');
            }
            None if line.is_empty() => {}
            _ => open = false,
        }
    }
    all
}

/// Splits as a shell would: words and single quotes.
fn split(line: &str) -> Vec<String> {
    let mut words = vec![];
    let mut word: Option<String> = None;
    let mut quoted = false;
    for letter in line.chars() {
        match letter {
            '\'' => {
                quoted = !quoted;
                word.get_or_insert_default();
            }
            ' ' if !quoted => words.extend(word.take()),
            letter => word.get_or_insert_default().push(letter),
        }
    }
    words.extend(word);
    words
}

/// What is the same in each run: the words, without those that hold a digit
/// (ids, hashes, times, ports) and without the widths of columns.
fn shape(text: &str) -> Vec<String> {
    let words = text.split(|c: char| c.is_whitespace() || "{}[],\"".contains(c));
    let words = words.filter(|word| !word.is_empty());
    let same = words.filter(|word| !word.chars().any(|c| c.is_ascii_digit()));
    // A stand-in's words, and a replica's id, may be all letters.
    let hash = |word: &str| word.len() > 5 && word.chars().all(|c| c.is_ascii_hexdigit());
    same.filter(|word| !hash(word)).map(str::to_owned).collect()
}

/// The demo, ended with the test.
struct Demo {
    child: Child,
    listen: String,
    admin: String,
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A port below the range that the system hands out by itself, so that nothing
/// takes it between drawing and use.
fn free() -> (TcpListener, String) {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = 10_000 + (std::process::id() % 200) as u16 * 50;
    // No port is drawn twice: the tests of this file run side by side.
    let bound = loop {
        let port = start + NEXT.fetch_add(1, Ordering::Relaxed);
        if let Ok(bound) = TcpListener::bind(("127.0.0.1", port)) {
            break bound;
        }
    };
    let address = bound.local_addr().unwrap().to_string();
    (bound, address)
}

impl Demo {
    /// Starts it and reads its greeting; the end of its output is an error.
    fn start() -> (Demo, String) {
        let ((first, listen), (second, admin)) = (free(), free());
        drop((first, second));
        let mut child = Command::new(env!("CARGO_BIN_EXE_almondlockd"))
            .args(["demo", "--listen", &listen, "--admin", &admin])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let demo = Demo {
            child,
            listen,
            admin,
        };
        let mut greeting = String::new();
        loop {
            let line = lines.next().expect("the demo ended early").unwrap();
            greeting.push_str(&line);
            greeting.push('\n');
            if line.starts_with("Stop it") {
                return (demo, greeting);
            }
        }
    }

    /// Waits until the entry host serves. The greeting may come a moment before.
    async fn ready(&self) {
        let client = Client::new().await;
        let url = format!("http://{}/readyz", self.listen);
        let served = async {
            loop {
                match client.get(&url).send().await {
                    Ok(answer) if answer.status().is_success() => return,
                    _ => sleep(Duration::from_millis(20)).await,
                }
            }
        };
        timeout(PATIENCE, served).await.unwrap();
    }

    fn translate(&self, line: &str) -> String {
        line.replace(SHOWN_LISTEN, &self.listen)
            .replace(SHOWN_ADMIN, &self.admin)
    }

    /// Does what a `curl -s` of the page does.
    async fn curl(&self, words: &[String]) -> String {
        let client = Client::new().await;
        let url = words.iter().find(|word| word.starts_with("http")).unwrap();
        let after = |flag: &'static str| {
            let pairs = words.windows(2).filter(move |pair| pair[0] == flag);
            pairs.map(|pair| pair[1].clone())
        };
        let body = after("-d").next();
        let mut request = match body {
            Some(_) => client.post(url),
            None => client.get(url),
        };
        for header in after("-H") {
            let (name, value) = header.split_once(": ").unwrap();
            request = request.header(name, value);
        }
        let sent = match body {
            Some(body) => request.send_body(body).await,
            None => request.send().await,
        };
        let bytes = sent.unwrap().body().await.unwrap();
        String::from_utf8(bytes.to_vec()).unwrap()
    }

    /// Runs the operators' client; standard output, then standard error.
    fn run(&self, words: &[String]) -> String {
        let output = Command::new(env!("CARGO_BIN_EXE_almondlock"))
            .args(words)
            .env("ALMONDLOCK_KEY", "demo-operator")
            .env("ALMONDLOCK_CONTROL", &self.admin)
            .stdin(Stdio::null())
            .output()
            .unwrap();
        assert!(output.status.success(), "{words:?}: {output:?}");
        let texts = [output.stdout, output.stderr];
        texts.map(|t| String::from_utf8(t).unwrap()).concat()
    }
}

impl Demo {
    /// Runs the operators' client. What looks, or may be asked again, is asked
    /// until it has the page's shape: how far a change has spread by now is a
    /// matter of moments.
    async fn almondlock(&self, words: &[String], output: &str) -> String {
        let again = ["status", "confirm"].contains(&words[0].as_str());
        let mut got = self.run(words);
        let fitting = async {
            while again && shape(&got) != shape(output) {
                sleep(Duration::from_millis(100)).await;
                got = self.run(words);
            }
        };
        // The caller compares; the last answer tells what was wrong.
        let _ = timeout(PATIENCE, fitting).await;
        got
    }
}

#[ntex::test]
async fn readme_tour() {
    let (demo, greeting) = Demo::start();
    demo.ready().await;
    let mut ran = 0;
    for Shown { command, output } in shown() {
        let words = split(&demo.translate(&command));
        let got = match words[0].as_str() {
            "curl" => demo.curl(&words[1..]).await,
            "almondlock" => demo.almondlock(&words[1..], &output).await,
            "export" => continue,
            other => panic!("the README runs {other}"),
        };
        assert_eq!(shape(&got), shape(&output), "{command}\n{got}");
        ran += 1;
    }
    assert!(ran > 7, "{ran}");
    let first = shown().into_iter().next().unwrap().command;
    assert!(greeting.contains(&demo.translate(&first)), "{greeting}");
}

#[ntex::test]
async fn resent_key() {
    let (demo, _) = Demo::start();
    demo.ready().await;
    let keyed = |shown: &Shown| shown.command.contains("Idempotency-Key");
    let keyed = shown().into_iter().find(keyed).unwrap().command;
    let words = split(&demo.translate(&keyed));
    let text = |answer: &str| {
        let answer: serde_json::Value = serde_json::from_str(answer).unwrap();
        answer["choices"][0]["text"].as_str().unwrap().to_owned()
    };
    let first = demo.curl(&words).await;
    let second = demo.curl(&words).await;
    assert_eq!(text(&first), text(&second));
}

fn check(file: &Path) -> Output {
    let program = env!("CARGO_BIN_EXE_almondlockd");
    let output = Command::new(program).arg("check").arg(file).output();
    output.unwrap()
}

#[test]
fn example_settings() {
    let mut checked = 0;
    for folder in fs::read_dir(root().join("examples")).unwrap() {
        for file in fs::read_dir(folder.unwrap().path()).unwrap() {
            let file = file.unwrap().path();
            if file.extension().is_some_and(|extension| extension == "ini") {
                let output = check(&file);
                assert_eq!(output.status.code(), Some(0), "{file:?}: {output:?}");
                checked += 1;
            }
        }
    }
    assert!(checked > 15, "{checked}");
}

#[test]
fn bad_settings() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.ini");
    let text = "[host]\nname = a\ndomain = b\nregion = c\nlisten = nowhere\n[lunch]\nat = 12\n";
    fs::write(&file, text).unwrap();
    let output = check(&file);
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(errors.contains("listen"), "{errors}");
    assert!(errors.contains("lunch"), "{errors}");
    let missing = check(&folder.path().join("missing.ini"));
    assert_eq!(missing.status.code(), Some(2));
}
