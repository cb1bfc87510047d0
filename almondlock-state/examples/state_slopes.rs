//! Measures the memory and time that the replicated state takes per item.
//!
//! Run it by `cargo run --release -p almondlock-state --example state_slopes`. Memory is the
//! difference of the process's resident set, so run it on a machine that doesn't swap.

use std::{fs, hint::black_box, time::Instant};

use almondlock_base::{
    Ran,
    id::{
        Attempt, Domain, Fingerprint, Host, Incarnation, Model, Organisation, Region, Upstream,
        Version,
    },
    time::Wall,
    unit::Tokens,
};
use almondlock_state::{
    blob::Blob,
    command::{Command, Reply},
    config::{Kind, Registration},
    intent::{Intent, Limits},
    limit,
    machine::Machine,
    operator::hash_key,
};
use anyhow::{Context, Result};

const AT: Wall = Wall::from_millis(1_000);

fn main() -> Result<()> {
    claims()?;
    organisations()?;
    upstreams()?;
    suspects()?;
    Ok(())
}

/// Returns the resident set of this process in bytes.
fn resident() -> Result<usize> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .context("no resident pages")?;
    Ok(pages.parse::<usize>()? * 4096)
}

/// Applies commands, decoded from their bytes in the log as on a replica, and prints the mean
/// cost of one.
fn measure<I>(what: &str, machine: &mut Machine, commands: I) -> Result<()>
where
    I: IntoIterator<Item = Command>,
{
    let log = commands.into_iter().map(|command| command.to_bytes());
    let log: Vec<Vec<u8>> = log.collect::<Result<_, _>>()?;
    let count = log.len();
    let before = resident()?;
    let start = Instant::now();
    for bytes in &log {
        black_box(machine.apply(Command::from_slice(bytes)?));
    }
    let span = start.elapsed();
    let grown = resident()?.saturating_sub(before);
    println!(
        "{what}: {count}, {} bytes resident each, {} bytes of log each, {:.2} us each",
        grown / count,
        log.iter().map(Vec::len).sum::<usize>() / count,
        span.as_secs_f64() * 1e6 / count as f64
    );
    Ok(())
}

fn snapshot(what: &str, machine: &Machine) -> Result<()> {
    let start = Instant::now();
    let bytes = machine.snapshot();
    let written = start.elapsed();
    let start = Instant::now();
    let restored = Machine::restore(&bytes)?;
    println!(
        "{what}: snapshot of {} bytes written in {written:?}, restored in {:?}, equal: {}",
        bytes.len(),
        start.elapsed(),
        restored == *machine
    );
    Ok(())
}

fn claims() -> Result<()> {
    let mut machine = Machine::new();
    let owners: Vec<Organisation> = (0..8)
        .map(|number| Organisation::new(&format!("organisation-{number}")))
        .collect::<Result<_, _>>()?;
    let host = Host::new("entry-host-1")?;
    let holder = |counter: u64| Attempt {
        host: host.clone(),
        incarnation: Incarnation(1 << 60),
        counter,
    };
    let key = |number: usize| format!("6f1c2a54-0e7b-4d0f-9b3a-{number:012}");
    let claim = |number: usize| Command::Claim {
        organisation: owners[number % 8].clone(),
        key: key(number),
        body: Blob::from(hash_key(&key(number)).as_bytes()),
        holder: holder(number as u64),
        retention_ms: 3_600_000,
        at: AT,
    };
    let settle = |number: usize| Command::SettleClaim {
        organisation: owners[number % 8].clone(),
        key: key(number),
        holder: holder(number as u64),
        ran: Ran::Yes,
        outcome: Blob(Vec::new()),
        at: AT,
    };
    measure("claims", &mut machine, (0..limit::MAX_CLAIMS).map(claim))?;
    measure(
        "settlements",
        &mut machine,
        (0..limit::MAX_CLAIMS).map(settle),
    )?;
    snapshot("full table of claims", &machine)?;
    let start = Instant::now();
    machine.apply(Command::Expire {
        at: Wall::from_millis(30_000),
    });
    println!("a sweep of all claims: {:?}", start.elapsed());
    Ok(())
}

/// Proposes and confirms a change.
fn change(machine: &mut Machine, number: usize, intent: Intent) -> Result<()> {
    let operator = || "anna".to_owned();
    let command = Command::Propose {
        number: number.to_string(),
        intent,
        operator: operator(),
        at: AT,
    };
    let Reply::Planned { plan } = machine.apply(command).reply else {
        anyhow::bail!("change {number} was refused");
    };
    machine.apply(Command::Confirm {
        plan: plan.id,
        operator: operator(),
        at: AT,
    });
    Ok(())
}

fn organisations() -> Result<()> {
    const COUNT: usize = 1_500;
    let mut machine = Machine::new();
    let start = Instant::now();
    for number in 0..COUNT {
        let name = Organisation::new(&format!("organisation-{number}"))?;
        let add = Intent::AddOrganisation {
            name: name.clone(),
            limits: Limits::default(),
        };
        change(&mut machine, 2 * number, add)?;
        let hash = hash_key(&number.to_string());
        change(
            &mut machine,
            2 * number + 1,
            Intent::AddKey {
                organisation: name,
                hash,
            },
        )?;
    }
    let span = start.elapsed();
    println!(
        "changes of organisations: {} confirmed, {:.2} us each with proposal",
        2 * COUNT,
        span.as_secs_f64() * 1e6 / (2 * COUNT) as f64
    );
    let bytes = serde_json::to_vec(machine.config())?.len();
    println!("configuration: {} bytes an organisation", bytes / COUNT);
    Ok(())
}

fn engine(number: usize) -> Result<Command> {
    let model = Model::new(&format!("model-{}", number % 5))?;
    let registration = Registration {
        address: format!("10.{}.{}.1:7000", number / 250, number % 250).parse()?,
        host: Host::new(&format!("upstream-host-{number}"))?,
        domain: Domain::new(&format!("domain-{}", number % 6))?,
        region: Region::new("region-1")?,
        incarnation: Incarnation(number as u64 + 1),
        kind: Kind::Engine,
        model: Some((model, Version::new("v1")?)),
        service: None,
        capacity: Tokens(2_000_000),
        fenced: true,
        resumable: true,
        role: String::new(),
    };
    let upstream = Upstream::new(&format!("engine-{number}"))?;
    Ok(Command::Announce {
        upstream,
        registration,
        at: AT,
    })
}

fn upstreams() -> Result<()> {
    const COUNT: usize = 880;
    let mut machine = Machine::new();
    for number in 0..5 {
        let (name, version) = (Model::new(&format!("model-{number}"))?, Version::new("v1")?);
        change(
            &mut machine,
            number,
            Intent::AddModel {
                name,
                version,
                context: Tokens(1_000_000),
            },
        )?;
    }
    let commands: Vec<Command> = (0..COUNT).map(engine).collect::<Result<_>>()?;
    measure("registrations", &mut machine, commands)?;
    let bytes = serde_json::to_vec(machine.config())?.len();
    println!("configuration: {} bytes an upstream", bytes / COUNT);
    let start = Instant::now();
    let (model, version) = (Model::new("model-0")?, Version::new("v2")?);
    change(
        &mut machine,
        9,
        Intent::Rollout {
            model,
            version,
            keep: 50,
        },
    )?;
    println!(
        "a rollout over {} upstreams, proposed and confirmed: {:?}",
        COUNT / 5,
        start.elapsed()
    );
    let start = Instant::now();
    let due = almondlock_state::plan::due_actions(&machine, Wall::from_millis(2_000)).len();
    println!("what is due ({due} steps): {:?}", start.elapsed());
    snapshot("880 upstreams and a rollout", &machine)
}

fn suspects() -> Result<()> {
    let mut machine = Machine::new();
    let upstream = Upstream::new("engine-1")?;
    let mut commands = Vec::new();
    for number in 0..limit::MAX_QUARANTINES {
        let owner = Organisation::new(&format!("organisation-{}", number % 32))?;
        commands.push(Command::Blame {
            fingerprint: Fingerprint::new(&owner, "/", &number.to_le_bytes()),
            organisation: owner,
            upstream: upstream.clone(),
            incarnation: Incarnation(number as u64),
            at: AT,
        });
    }
    measure("suspects", &mut machine, commands)
}
