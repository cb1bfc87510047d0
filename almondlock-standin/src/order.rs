//! What an engine has loaded, and the orders that change it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An order to an engine.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Order {
    pub(crate) kind: Kind,
    #[serde(default)]
    pub(crate) model: String,
    #[serde(default)]
    pub(crate) version: String,
    #[serde(default)]
    pub(crate) role: String,
    /// The fencing number: an order must not act after a newer one.
    #[serde(default)]
    pub(crate) fence: u64,
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Kind {
    Load,
    Unload,
    Role,
}

/// What is loaded. Models and adapters share one table, by name.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub(crate) struct Loaded {
    pub(crate) models: BTreeMap<String, String>,
    pub(crate) loading: BTreeMap<String, String>,
    pub(crate) role: String,
    /// The highest fencing number of any order taken.
    pub(crate) fence: u64,
    #[serde(skip)]
    pub(crate) fenced: bool,
}

impl Loaded {
    pub(crate) fn new(model: &str, version: &str, fenced: bool) -> Loaded {
        Loaded {
            models: BTreeMap::from([(model.to_owned(), version.to_owned())]),
            fenced,
            ..Loaded::default()
        }
    }

    /// Takes an order, or tells the higher fencing number that forbids it.
    ///
    /// An equal number is taken: the same issuer may give several orders, and
    /// an order whose answer was lost is sent again.
    pub(crate) fn take(&mut self, order: &Order) -> Result<(), u64> {
        if self.fenced && order.fence < self.fence {
            return Err(self.fence);
        }
        self.fence = self.fence.max(order.fence);
        match order.kind {
            Kind::Load => {
                let version = order.version.clone();
                self.loading.insert(order.model.clone(), version);
            }
            Kind::Unload => {
                self.loading.remove(&order.model);
                self.models.remove(&order.model);
            }
            Kind::Role => self.role.clone_from(&order.role),
        }
        Ok(())
    }

    /// A load has come to its end, unless another order replaced it.
    pub(crate) fn finish(&mut self, order: &Order) {
        if self.loading.get(&order.model) == Some(&order.version) {
            self.loading.remove(&order.model);
            let version = order.version.clone();
            self.models.insert(order.model.clone(), version);
        }
    }
}
