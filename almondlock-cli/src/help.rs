//! Help with examples.

use gumdrop::Options;

use crate::arguments::Arguments;

/// Examples by command.
pub const EXAMPLES: &[(&str, &[&str])] = &[
    (
        "",
        &["almondlock --control 10.0.0.1:7001,10.0.0.2:7001 status"],
    ),
    ("status", &["almondlock status", "almondlock status --json"]),
    (
        "organisation",
        &[
            "almondlock organisation list",
            "almondlock organisation key add acme",
        ],
    ),
    ("organisation list", &["almondlock organisation list"]),
    (
        "organisation add",
        &["almondlock organisation add acme --share 4 --rate 50 --yes"],
    ),
    (
        "organisation set",
        &["almondlock organisation set acme --deadline 20000"],
    ),
    (
        "organisation remove",
        &["almondlock organisation remove acme"],
    ),
    (
        "organisation key",
        &["almondlock organisation key add acme --yes"],
    ),
    (
        "organisation key add",
        &["almondlock organisation key add acme --yes"],
    ),
    (
        "organisation key revoke",
        &["almondlock organisation key revoke acme 1a2b3c4d5e6f"],
    ),
    ("model", &["almondlock model list"]),
    ("model list", &["almondlock model list"]),
    (
        "model add",
        &["almondlock model add almond --version v1 --context 1000000"],
    ),
    ("model remove", &["almondlock model remove almond"]),
    (
        "adapter",
        &["almondlock adapter set almond legal --version v3"],
    ),
    (
        "adapter set",
        &["almondlock adapter set almond legal --version v3"],
    ),
    (
        "adapter remove",
        &["almondlock adapter remove almond legal"],
    ),
    (
        "service",
        &["almondlock service set menus --repeatable GET,HEAD"],
    ),
    (
        "service set",
        &["almondlock service set menus --repeatable GET,HEAD"],
    ),
    ("service remove", &["almondlock service remove menus"]),
    ("setting", &["almondlock setting set weight-store/loads 4"]),
    (
        "setting set",
        &["almondlock setting set weight-store/loads 4"],
    ),
    (
        "setting unset",
        &["almondlock setting unset weight-store/loads"],
    ),
    (
        "upstream",
        &[
            "almondlock upstream list",
            "almondlock upstream drain engine-3",
        ],
    ),
    ("upstream list", &["almondlock upstream list"]),
    (
        "upstream drain",
        &["almondlock upstream drain engine-3 --reason 'new fan' --yes"],
    ),
    (
        "upstream return",
        &["almondlock upstream return engine-3 --yes"],
    ),
    ("rollout", &["almondlock rollout almond v2 --keep 70"]),
    ("replica", &["almondlock replica list"]),
    ("replica list", &["almondlock replica list"]),
    (
        "replica add",
        &["almondlock replica add --address 10.0.0.4:7000 --admin 10.0.0.4:7001 --domain gyle"],
    ),
    (
        "replica remove",
        &["almondlock replica remove 00c0ffee00c0ffee"],
    ),
    (
        "replica replace",
        &[
            "almondlock replica replace --old 00c0ffee00c0ffee --address 10.0.0.4:7000 \\\n    \
           --admin 10.0.0.4:7001 --domain gyle",
        ],
    ),
    (
        "operator",
        &["almondlock operator set boris --role operator"],
    ),
    ("operator list", &["almondlock operator list"]),
    (
        "operator set",
        &["almondlock operator set boris --role operator"],
    ),
    ("operator remove", &["almondlock operator remove boris"]),
    ("plan", &["almondlock plan", "almondlock plan 17"]),
    ("confirm", &["almondlock confirm 17 --wait 60"]),
    ("stop", &["almondlock stop 17"]),
    ("undo", &["almondlock undo 17 --yes"]),
    ("history", &["almondlock history --limit 20"]),
    (
        "explain",
        &["almondlock explain --entry 10.0.1.1:7002,10.0.1.2:7002 r-5f2c"],
    ),
    ("key", &["almondlock key"]),
    (
        "watch",
        &["almondlock watch", "almondlock watch --count 1 --json"],
    ),
];

const STATUSES: &str = "Exit status: 0 done, 1 refused or failed, 2 wrong command line.";

/// The help for what was given, if help was asked for or no command was.
pub(crate) fn wanted(arguments: &Arguments) -> Option<String> {
    let asked = arguments.help_requested();
    let (path, last) = path(arguments);
    let unfinished = last.self_command_list().is_some();
    (asked || unfinished).then(|| text(&path, last))
}

/// The commands given, and the options of the last one.
fn path(arguments: &Arguments) -> (String, &dyn Options) {
    let mut words = Vec::new();
    let mut last: &dyn Options = arguments;
    while let Some(next) = last.command() {
        last = next;
        words.extend(last.command_name());
    }
    (words.join(" "), last)
}

fn text(path: &str, last: &dyn Options) -> String {
    let space = if path.is_empty() { "" } else { " " };
    let mut text = format!(
        "Usage: almondlock{space}{path} [OPTIONS]\n\n{}\n",
        last.self_usage()
    );
    if let Some(commands) = last.self_command_list() {
        text.push_str(&format!("\nCommands:\n{commands}\n"));
    }
    let examples = EXAMPLES.iter().find(|(name, _)| *name == path);
    for example in examples.iter().flat_map(|(_, lines)| lines.iter()) {
        text.push_str(&format!("\nExample:\n  {example}\n"));
    }
    text.push_str(&format!("\n{STATUSES}\n"));
    text
}
