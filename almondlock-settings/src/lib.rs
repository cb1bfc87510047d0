//! Checked settings of a daemon, from an INI file.
//!
//! A file says only what a host can't learn from others: its own addresses and
//! failure domain, where the control replicas are, how large its buffers may
//! grow. Everything that must be the same on all hosts is replicated
//! configuration and has no key here.
//!
//! All errors of a file are reported in one run, each with its line, its field
//! and what to do, so that a file isn't mended one error at a time. Every key
//! stands once in a table ([`key::KEYS`]), from which the checks, the effective
//! settings and `docs/settings.md` are made.
//!
//! ```
//! let text = "
//! [host]
//! name = s1
//! domain = d1
//! region = r1
//! listen = 127.0.0.1:7400
//! seeds = 127.0.0.1:7300
//!
//! [sidecar]
//! announce = 127.0.0.1:7401
//! ";
//! let settings = almondlock_settings::parse("s1.ini", text).unwrap();
//! assert_eq!(settings.sidecar.unwrap().memory_share, 90);
//! ```

#![warn(clippy::unwrap_used, clippy::expect_used)]

mod error;
pub mod key;
mod page;
mod print;
mod read;
mod section;
mod settings;
mod source;

use std::{fs, path::Path};

pub use error::{Errors, Problem};
pub use page::page;
pub use settings::{
    Directory, Entry, Format, Gateway, Host, Intake, Log, Member, Metrics, Order, Output, Replica,
    Security, Settings, Sidecar, Tls,
};

/// Reads and checks a file. Paths in it count from its folder.
pub fn load<P>(path: P) -> Result<Settings, Errors>
where
    P: AsRef<Path>,
{
    let path = path.as_ref();
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => read::settings(&name, path.parent(), &text),
        Err(error) => Err(Errors::whole(
            &name,
            &format!("the file can't be read: {error}"),
            "name a readable settings file",
        )),
    }
}

/// Checks the text of a file; `name` is used in messages.
pub fn parse(name: &str, text: &str) -> Result<Settings, Errors> {
    read::settings(name, None, text)
}
