//! What differs from platform to platform: the names of headers, and the
//! format of the published configuration.
//!
//! The rest of this package speaks of what a header holds, never of its name,
//! so that one more platform needs a new [`Dialect`] and nothing else.

use std::{net::SocketAddr, ops::Range, sync::Arc};

use almondlock_state::document::Piece;
use ntex::http::header::HeaderName;

use crate::{
    memory::Command,
    rules::{Entry, Error, Limits, Organisation, Rules},
};

/// Names of the headers that the gateway reads or sets.
#[derive(Clone, Debug)]
pub struct Names {
    /// The request's id, drawn by the caller for each attempt of its own.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait, or that the upstream has.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The organisation's name, for the upstream.
    pub organisation: HeaderName,
    /// The instance that a request is meant for.
    pub instance: HeaderName,
    /// The rank of a request at an engine, 0 to 9.
    pub priority: HeaderName,
    /// Prompt tokens and the most output tokens, with a comma between.
    pub usage: HeaderName,
    /// Engines that read parts of the prompt.
    pub helpers: HeaderName,
    /// An upstream's proof that the answer is its own.
    pub seal: HeaderName,
    /// An upstream states that it did not run the request.
    pub not_run: HeaderName,
    /// The address of the upstream at fault, in an answer of another one.
    pub at_fault: HeaderName,
    /// Running, waiting and slots of an upstream, with commas between.
    pub load: HeaderName,
    /// Requests a second that an upstream takes from all hosts together.
    pub limit: HeaderName,
    /// Seconds for which an upstream that turns a request away wants nothing more.
    pub backoff: HeaderName,
    /// An upstream states that it leaves.
    pub leaving: HeaderName,
    /// The number of the last event that the caller has.
    pub last_event: HeaderName,
}

impl Names {
    /// Whether a header of an answer is one that is read here.
    pub fn is_read(&self, header: &str) -> bool {
        let read = [
            &self.request_id,
            &self.instance,
            &self.seal,
            &self.not_run,
            &self.at_fault,
            &self.load,
            &self.limit,
            &self.backoff,
            &self.leaving,
        ];
        read.iter()
            .any(|name| name.as_str().eq_ignore_ascii_case(header))
    }
}

/// An order to an engine, as an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Where it is posted.
    pub path: &'static str,
    /// What its body is written in.
    pub content_type: &'static str,
    /// What it says.
    pub body: String,
}

/// What an element of a configuration is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// Services.
    Services,
    /// Routes.
    Routes,
    /// Organisations.
    Organisations,
}

impl Section {
    /// All, in the order in which they are added: routes name services.
    pub const ALL: [Section; 3] = [Section::Services, Section::Routes, Section::Organisations];
}

/// What a published configuration says outside its elements, and where these are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outline {
    /// Its version.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// The places of the pieces that hold one element each, as in [`Section::ALL`].
    pub sections: [Range<usize>; 3],
}

/// An organisation, and its keys.
pub type Keys = (Organisation, Vec<Arc<str>>);

/// A platform's way to say things.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// The names of headers.
    fn names(&self) -> &Names;

    /// Reads a published configuration and checks it.
    fn parse(&self, text: &str) -> Result<Rules, Error>;

    /// Reads what stands outside the elements, if the text is cut into pieces such that each
    /// element can be read by itself. Otherwise the text is read whole.
    fn parse_outline(&self, _pieces: &[Piece]) -> Option<Outline> {
        None
    }

    /// Reads a piece of a section by itself.
    ///
    /// Reading all pieces of a text that has an outline gives what [`Dialect::parse`] gives.
    fn parse_entry(&self, _section: Section, _piece: &str) -> Result<Entry, Error> {
        Err(Error::new("pieces can't be read"))
    }

    /// Reads only the organisations of a text, in less time than all of it.
    fn parse_organisations(&self, _text: &str) -> Result<Vec<Keys>, Error> {
        Err(Error::new("organisations can't be read by themselves"))
    }

    /// Writes an order.
    fn encode_command(&self, order: &Command<'_>) -> Call;

    /// Writes one of the engines that read parts of a prompt, and the name of
    /// the memory that it holds for it.
    fn format_helper(&self, address: SocketAddr, memory: Option<&str>) -> String;
}
