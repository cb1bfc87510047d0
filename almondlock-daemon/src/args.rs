//! The command line.

use std::net::SocketAddr;

use gumdrop::Options;

#[derive(Debug)]
#[derive(Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(Options)]
enum Command {
    #[options(help = "take the roles that a settings file gives")]
    Run(File),
    #[options(help = "check a settings file and print the settings in effect")]
    Check(File),
    #[options(help = "run everything in one process, with stand-in upstreams")]
    Demo(Demo),
}

#[derive(Debug)]
#[derive(Options)]
struct File {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "the settings file")]
    file: Option<String>,
}

/// Options of the demonstration.
#[derive(Clone, Debug)]
#[derive(Options)]
pub(crate) struct Demo {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "where callers connect", default = "127.0.0.1:8080")]
    pub(crate) listen: SocketAddr,
    #[options(help = "where operators connect", default = "127.0.0.1:8081")]
    pub(crate) admin: SocketAddr,
    #[options(help = "how many stand-in engines", default = "3")]
    pub(crate) engines: u16,
    #[options(help = "how much faster than real time they run", default = "1")]
    pub(crate) factor: f64,
    #[options(
        help = "order of work beside them: short, even or fifo",
        default = "short"
    )]
    pub(crate) order: String,
}

/// What the program is asked to do.
pub(crate) enum Call {
    Help(String),
    Run(String),
    Check(String),
    Demo(Demo),
}

const EXAMPLES: &str = "Examples:
  almondlockd demo
  almondlockd check examples/trapeza/entry-1.ini
  almondlockd run examples/trapeza/entry-1.ini";

fn help() -> String {
    format!(
        "Usage: almondlockd COMMAND\n\n{}\n\nCommands:\n{}\n\n{EXAMPLES}",
        Arguments::usage(),
        Command::usage()
    )
}

/// Reads the command line.
pub(crate) fn parse(arguments: &[String]) -> Result<Call, String> {
    let parsed = Arguments::parse_args_default(arguments).map_err(|e| e.to_string())?;
    if parsed.help {
        return Ok(Call::Help(help()));
    }
    let file = |file: File, make: fn(String) -> Call| match file.file {
        _ if file.help => Ok(Call::Help(help())),
        Some(path) => Ok(make(path)),
        None => Err("which settings file?".to_owned()),
    };
    match parsed.command {
        Some(Command::Run(run)) => file(run, Call::Run),
        Some(Command::Check(check)) => file(check, Call::Check),
        Some(Command::Demo(demo)) if demo.help => {
            let usage = Demo::usage();
            Ok(Call::Help(format!("Usage: almondlockd demo\n\n{usage}")))
        }
        Some(Command::Demo(demo)) => Ok(Call::Demo(demo)),
        None => Err(format!("no command given\n\n{}", help())),
    }
}
