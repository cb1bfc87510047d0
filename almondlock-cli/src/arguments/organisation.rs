//! The command line about organisations and their keys.

use gumdrop::Options;

use super::{Named, Plain};

/// Organisations.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Organisation {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<OrganisationCommand>,
}

/// What is done with organisations.
#[derive(Debug)]
#[derive(Options)]
pub enum OrganisationCommand {
    /// all organisations
    List(Plain),
    /// a new organisation, without keys
    Add(Limits),
    /// other limits
    Set(Limits),
    /// take one away
    Remove(Named),
    /// keys: add, revoke
    Key(Key),
}

/// Limits of an organisation.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Limits {
    /// show this help
    pub help: bool,
    /// its name
    #[options(free)]
    pub name: Option<String>,
    /// weight of its share of the fleet
    #[options(no_short, meta = "N")]
    pub share: Option<u32>,
    /// requests per second; 0 is no limit
    #[options(no_short, meta = "N")]
    pub rate: Option<u32>,
    /// tokens in flight; 0 is no limit
    #[options(no_short, meta = "N")]
    pub tokens: Option<u64>,
    /// deadline of requests that name none
    #[options(no_short, meta = "MILLIS")]
    pub deadline: Option<u64>,
    /// longest deadline
    #[options(no_short, meta = "MILLIS")]
    pub deadline_limit: Option<u64>,
}

/// Keys of an organisation.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct Key {
    /// show this help
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<KeyCommand>,
}

/// What is done with keys.
#[derive(Debug)]
#[derive(Options)]
pub enum KeyCommand {
    /// make a key and show it once
    Add(KeyAdd),
    /// accept a key no more
    Revoke(KeyRevoke),
}

/// A key to come.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct KeyAdd {
    /// show this help
    pub help: bool,
    /// the organisation
    #[options(free)]
    pub organisation: Option<String>,
    /// hash of a key made elsewhere
    #[options(no_short, meta = "HEX")]
    pub hash: Option<String>,
}

/// A key to go.
#[derive(Debug, Default)]
#[derive(Options)]
pub struct KeyRevoke {
    /// show this help
    pub help: bool,
    /// the organisation
    #[options(free)]
    pub organisation: Option<String>,
    /// the key's hash, or its first 8 or more digits
    #[options(free)]
    pub hash: Option<String>,
}
