//! What differs between platforms: header names and the format of the published
//! configuration.
//!
//! The rest of this package refers to headers by their meaning, never by name, so that
//! another platform needs only another [`Dialect`].

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
    /// Id of the request, chosen by the caller for each of its own attempts.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will wait, or that the upstream has.
    pub deadline: HeaderName,
    /// Key of the caller.
    pub key: HeaderName,
    /// Name of the organisation, for the upstream.
    pub organisation: HeaderName,
    /// Instance that a request is meant for.
    pub instance: HeaderName,
    /// Rank of a request at an engine, from 0 to 9.
    pub priority: HeaderName,
    /// Prompt tokens and maximum output tokens, separated by a comma.
    pub usage: HeaderName,
    /// Parts that the prompt consists of.
    pub parts: HeaderName,
    /// Engines that read parts of the prompt.
    pub helpers: HeaderName,
    /// Proof by an upstream that the answer is its own.
    pub seal: HeaderName,
    /// Statement of an upstream that it did not run the request.
    pub not_run: HeaderName,
    /// Address of the upstream at fault, in an answer of another upstream.
    pub at_fault: HeaderName,
    /// Running requests, waiting requests and slots of an upstream, separated by commas.
    pub load: HeaderName,
    /// Requests per second that an upstream accepts from all hosts together.
    pub limit: HeaderName,
    /// Seconds for which an upstream that refuses a request wants no further ones.
    pub backoff: HeaderName,
    /// Statement of an upstream that it is leaving.
    pub leaving: HeaderName,
    /// Number of the last event that the caller already has.
    pub last_event: HeaderName,
}

impl Names {
    /// Returns whether the gateway reads this header of an answer.
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

/// A command to an engine, as an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path of the POST request.
    pub path: &'static str,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body of the request.
    pub body: String,
}

/// The kinds of elements in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Section {
    /// A service.
    Services,
    /// A route.
    Routes,
    /// An organisation.
    Organisations,
}

impl Section {
    /// All sections, in the order in which they are added: routes refer to services.
    pub const ALL: [Section; 3] = [Section::Services, Section::Routes, Section::Organisations];
}

/// What a published configuration contains besides its elements, and where its elements
/// are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outline {
    /// Version number.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Ranges of the pieces that hold one element each, in the order of [`Section::ALL`].
    pub sections: [Range<usize>; 3],
}

/// An organisation and its keys.
pub type Keys = (Organisation, Vec<Arc<str>>);

/// The header names and formats of a platform.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Returns the header names.
    fn names(&self) -> &Names;

    /// Parses a published configuration and checks it.
    fn parse(&self, text: &str) -> Result<Rules, Error>;

    /// Parses what a text contains besides its elements. Returns `None` unless each element
    /// has a piece of its own; the text is then parsed as a whole.
    fn parse_outline(&self, _pieces: &[Piece]) -> Option<Outline> {
        None
    }

    /// Parses one piece of a section.
    ///
    /// Parsing all pieces of a text that has an outline gives the same as
    /// [`Dialect::parse`].
    fn parse_entry(&self, _section: Section, _piece: &str) -> Result<Entry, Error> {
        Err(Error::new("pieces can't be read"))
    }

    /// Parses only the organisations of a text, which takes less time than all of it.
    fn parse_organisations(&self, _text: &str) -> Result<Vec<Keys>, Error> {
        Err(Error::new("organisations can't be read by themselves"))
    }

    /// Returns the ids of the parts that other prompts may share, in order, given the value of
    /// [`Names::parts`]. Entries that can't be read are left out.
    fn shared_parts<'a>(&self, _text: &'a str) -> Vec<&'a str> {
        Vec::new()
    }

    /// Encodes a command to an engine.
    fn encode_command(&self, order: &Command<'_>) -> Call;

    /// Formats one engine that reads a part of a prompt, with the id of the memory reserved
    /// there.
    fn format_helper(&self, address: SocketAddr, memory: Option<&str>) -> String;
}
