//! Helpers of the state's tests for making and applying commands.
#![allow(dead_code, clippy::unwrap_used, clippy::panic)]

use almondlock_base::{
    Code, Ran,
    id::{self, Attempt, Domain, Host, Incarnation, Model, Region, Version},
    time::Wall,
    unit::Tokens,
};
use almondlock_state::{
    blob::Blob,
    claim::Verdict,
    command::{Command, Reply},
    config::{Kind, Registration},
    intent::{Intent, Limits},
    machine::{Applied, Machine},
    plan::{self, Plan},
};

pub(crate) const SECOND: u64 = 1_000;
pub(crate) const MINUTE: u64 = 60 * SECOND;
pub(crate) const HOUR: u64 = 60 * MINUTE;

pub(crate) fn wall(millis: u64) -> Wall {
    Wall::from_millis(millis)
}

pub(crate) fn organisation(name: &str) -> id::Organisation {
    id::Organisation::new(name).unwrap()
}

pub(crate) fn upstream(name: &str) -> id::Upstream {
    id::Upstream::new(name).unwrap()
}

pub(crate) fn model() -> Model {
    Model::new("m").unwrap()
}

pub(crate) fn version(name: &str) -> Version {
    Version::new(name).unwrap()
}

pub(crate) fn attempt(host: &str, counter: u64) -> Attempt {
    let host = Host::new(host).unwrap();
    Attempt {
        host,
        incarnation: Incarnation(7),
        counter,
    }
}

/// Returns the registration of engine `number` of model `m`, in one of three failure domains.
pub(crate) fn engine(number: u16, life: u64, loaded: &str) -> Registration {
    Registration {
        address: format!("10.0.0.1:{}", 7000 + number).parse().unwrap(),
        host: Host::new(&format!("host-{number}")).unwrap(),
        domain: Domain::new(&format!("domain-{}", number % 3)).unwrap(),
        region: Region::new("region").unwrap(),
        incarnation: Incarnation(life),
        kind: Kind::Engine,
        model: Some((model(), version(loaded))),
        service: None,
        capacity: Tokens(500_000),
        fenced: true,
        resumable: false,
        role: String::new(),
    }
}

pub(crate) fn announce(machine: &mut Machine, name: &str, it: Registration, at: u64) -> Applied {
    let command = Command::Announce {
        upstream: upstream(name),
        registration: it,
        at: wall(at),
    };
    machine.apply(command)
}

pub(crate) fn claim_command(owner: &str, key: &str, holder: &Attempt, at: u64) -> Command {
    Command::Claim {
        organisation: organisation(owner),
        key: key.to_owned(),
        body: Blob::from(&b"body"[..]),
        holder: holder.clone(),
        retention_ms: 10 * MINUTE,
        at: wall(at),
    }
}

pub(crate) fn claim(machine: &mut Machine, key: &str, holder: &Attempt, at: u64) -> Verdict {
    verdict(machine.apply(claim_command("acme", key, holder, at)).reply)
}

pub(crate) fn verdict(reply: Reply) -> Verdict {
    match reply {
        Reply::Claimed { verdict } => verdict,
        other => panic!("{other:?}"),
    }
}

pub(crate) fn settle(
    machine: &mut Machine,
    key: &str,
    it: (&Attempt, Ran, &str),
    at: u64,
) -> Reply {
    let (holder, ran, outcome) = it;
    let command = Command::SettleClaim {
        organisation: organisation("acme"),
        key: key.to_owned(),
        holder: holder.clone(),
        ran,
        outcome: Blob::from(outcome.as_bytes()),
        at: wall(at),
    };
    machine.apply(command).reply
}

/// Advances the machine's clock to `at`, as the leader does.
pub(crate) fn pass_time(machine: &mut Machine, at: u64) {
    machine.apply(Command::Expire { at: wall(at) });
    while machine.clock() < wall(at) {
        machine.apply(Command::Expire { at: wall(at) });
    }
}

pub(crate) fn share(name: &str, share: u32) -> Intent {
    let limits = Limits {
        share: Some(share),
        ..Limits::default()
    };
    Intent::ChangeOrganisation {
        name: organisation(name),
        limits,
    }
}

pub(crate) fn add(name: &str) -> Intent {
    Intent::AddOrganisation {
        name: organisation(name),
        limits: Limits::default(),
    }
}

pub(crate) fn propose(machine: &mut Machine, number: &str, intent: Intent, at: u64) -> Reply {
    let (number, operator) = (number.to_owned(), "anna".to_owned());
    machine
        .apply(Command::Propose {
            number,
            intent,
            operator,
            at: wall(at),
        })
        .reply
}

pub(crate) fn planned(reply: Reply) -> Plan {
    match reply {
        Reply::Planned { plan } => *plan,
        other => panic!("{other:?}"),
    }
}

pub(crate) fn confirm(machine: &mut Machine, plan: plan::Id, at: u64) -> Reply {
    let operator = "anna".to_owned();
    machine
        .apply(Command::Confirm {
            plan,
            operator,
            at: wall(at),
        })
        .reply
}

pub(crate) fn stop(machine: &mut Machine, plan: plan::Id, at: u64) -> Reply {
    let operator = "anna".to_owned();
    machine
        .apply(Command::Stop {
            plan,
            operator,
            at: wall(at),
        })
        .reply
}

/// Proposes and confirms a change, and expects both to be accepted.
pub(crate) fn change(machine: &mut Machine, number: &str, intent: Intent, at: u64) -> Plan {
    let plan = planned(propose(machine, number, intent, at));
    planned(confirm(machine, plan.id, at))
}

pub(crate) fn code(reply: &Reply) -> Option<Code> {
    reply.code()
}
