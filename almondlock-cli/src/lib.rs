//! The operators' client, `almondlock`.
//!
//! A command that changes something asks for a plan, shows it, and does nothing
//! more unless it is confirmed: by `--yes`, by an answer on a terminal, or later
//! by `almondlock confirm`. Without a terminal nothing is ever asked.
//!
//! The exit status is 0 when it was done, 1 when it was refused or failed, and
//! 2 when the command line makes no sense. `docs/cli.md` has the whole story.

#![warn(clippy::unwrap_used, clippy::expect_used)]

pub mod arguments;
pub mod client;
pub mod help;
pub mod request;
mod session;
pub mod table;
pub mod view;

use std::{
    env, fs,
    io::{self, IsTerminal, Write},
    process::ExitCode,
};

use gumdrop::Options;
use ntex::rt::{DefaultRuntime, System};
use rustls::{ClientConfig, RootCertStore};

use self::{arguments::Arguments, request::Usage, session::Session, table::Paint};

/// Where the replicas are, when `--control` isn't given.
pub const CONTROL_VARIABLE: &str = "ALMONDLOCK_CONTROL";
/// Where the entry hosts are, when `--entry` isn't given.
pub const ENTRY_VARIABLE: &str = "ALMONDLOCK_ENTRY";
/// Whose certificates to trust, when `--ca` isn't given.
pub const CA_VARIABLE: &str = "ALMONDLOCK_CA";
/// The operator's key, when `--key-file` isn't given. Never an argument: those
/// are seen by everybody on the host.
pub const KEY_VARIABLE: &str = "ALMONDLOCK_KEY";

const FAILED: u8 = 1;
const USAGE: u8 = 2;

/// Runs the program and returns its exit status.
pub fn run(arguments: Vec<String>) -> ExitCode {
    if let Some((first, rest)) = arguments.split_first()
        && first == "bench"
    {
        return almondlock_bench::run(rest.to_vec());
    }
    let parsed = match arguments::parse(&arguments) {
        Ok(parsed) => parsed,
        Err(error) => return usage(&error.to_string()),
    };
    if let Some(text) = help::wanted(&parsed) {
        return helped(parsed.help_requested(), &text);
    }
    match start(parsed) {
        Ok(code) => code,
        Err(Usage(message)) => usage(&message),
    }
}

fn start(arguments: Arguments) -> Result<ExitCode, Usage> {
    let mut random = [0; 32];
    getrandom::fill(&mut random).map_err(|error| Usage(format!("no randomness: {error}")))?;
    let mut drawn = [0; 8];
    getrandom::fill(&mut drawn).map_err(|error| Usage(format!("no randomness: {error}")))?;
    let command = arguments
        .command
        .ok_or_else(|| Usage("no command".to_owned()))?;
    let prepared = request::prepare(command, random)?;
    if let request::Request::Hash(hash) = &prepared.request {
        let key = prepared.key.unwrap_or_default();
        print(&made(arguments.json, &key, hash));
        return Ok(ExitCode::SUCCESS);
    }
    // Entry hosts serve `explain` on an address that callers don't reach, to
    // whoever reaches it.
    let keyless = matches!(prepared.request, request::Request::Explain(_));
    let settings = session::Settings {
        control: addresses(arguments.control.as_deref(), CONTROL_VARIABLE),
        entry: addresses(arguments.entry.as_deref(), ENTRY_VARIABLE),
        key: key(arguments.key_file.as_deref(), keyless)?,
        tls: tls(arguments.ca.as_deref())?,
        json: arguments.json,
        number: number(arguments.number, drawn)?,
        yes: arguments.yes,
        wait: arguments.wait,
        paint: Paint(io::stdout().is_terminal() && env::var_os("NO_COLOR").is_none()),
        interactive: io::stdin().is_terminal() && io::stdout().is_terminal(),
    };
    if keyless && settings.entry.is_empty() {
        return Err(Usage(format!("give --entry or {ENTRY_VARIABLE}")));
    }
    if !keyless && settings.control.is_empty() {
        return Err(Usage(format!("give --control or {CONTROL_VARIABLE}")));
    }
    let session = async move {
        let session = Session::new(settings)
            .await
            .map_err(|error| Usage(error.to_string()))?;
        Ok::<_, Usage>(session.run(prepared).await)
    };
    let outcome = System::new("almondlock", DefaultRuntime).block_on(session);
    Ok(match outcome? {
        Ok(()) => ExitCode::SUCCESS,
        Err(session::Failed) => ExitCode::from(FAILED),
    })
}

/// Trust in the authorities of a file.
fn tls(file: Option<&str>) -> Result<Option<ClientConfig>, Usage> {
    let given = file
        .map(str::to_owned)
        .or_else(|| env::var(CA_VARIABLE).ok());
    let Some(path) = given else {
        return Ok(None);
    };
    let fault = |why: String| Usage(format!("can't use the certificates of {path}: {why}"));
    let text = fs::read(&path).map_err(|error| fault(error.to_string()))?;
    let mut roots = RootCertStore::empty();
    for certificate in rustls_pemfile::certs(&mut text.as_slice()) {
        let certificate = certificate.map_err(|error| fault(error.to_string()))?;
        roots
            .add(certificate)
            .map_err(|error| fault(error.to_string()))?;
    }
    if roots.is_empty() {
        return Err(fault("there is none".to_owned()));
    }
    let provider = rustls::crypto::ring::default_provider();
    let config = ClientConfig::builder_with_provider(provider.into())
        .with_safe_default_protocol_versions()
        .map_err(|error| fault(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Some(config))
}

/// A key that was just made.
fn made(json: bool, key: &str, hash: &str) -> String {
    if json {
        return format!("{}\n", serde_json::json!({"key": key, "hash": hash}));
    }
    format!("key   {key}\nhash  {hash}\n")
}

fn addresses(given: Option<&str>, variable: &str) -> Vec<String> {
    let text = given.map(str::to_owned).or_else(|| env::var(variable).ok());
    let text = text.unwrap_or_default();
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    parts.map(str::to_owned).collect()
}

fn key(file: Option<&str>, keyless: bool) -> Result<String, Usage> {
    let text = match file {
        Some(path) => {
            let read = fs::read_to_string(path);
            read.map_err(|error| Usage(format!("can't read {path}: {error}")))?
        }
        None => env::var(KEY_VARIABLE).unwrap_or_default(),
    };
    let key = text.trim();
    if key.is_empty() && !keyless {
        return Err(Usage(format!(
            "no operator's key: give --key-file or {KEY_VARIABLE}"
        )));
    }
    Ok(key.to_owned())
}

fn number(given: Option<String>, drawn: [u8; 8]) -> Result<String, Usage> {
    let number = given.unwrap_or_else(|| format!("c-{:016x}", u64::from_le_bytes(drawn)));
    let fits = (1..=almondlock_state::limit::MAX_CHANGE_NUMBER_BYTES).contains(&number.len());
    fits.then_some(number)
        .ok_or_else(|| Usage("a change number is 1 to 64 bytes".to_owned()))
}

/// Help that was asked for goes to the output; help for a command that lacks
/// its second word is a usage error.
fn helped(asked: bool, text: &str) -> ExitCode {
    if asked {
        print(text);
        ExitCode::SUCCESS
    } else {
        let _ = io::stderr().write_all(text.as_bytes());
        ExitCode::from(USAGE)
    }
}

fn usage(message: &str) -> ExitCode {
    let _ = writeln!(
        io::stderr(),
        "almondlock: {message}\nTry almondlock --help."
    );
    ExitCode::from(USAGE)
}

/// Writes to the output. A reader that has gone is no failure of ours.
fn print(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}
