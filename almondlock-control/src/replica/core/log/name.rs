//! How lines name replicas: by the identity of the disk and the address.

use std::{fmt, net::SocketAddr};

use almondlock_quorum::member::{Id, Member};

use super::Core;

pub(super) struct Name {
    id: Id,
    address: Option<SocketAddr>,
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.address {
            Some(address) => write!(f, "{}@{address}", self.id),
            None => write!(f, "{}", self.id),
        }
    }
}

impl From<&Member> for Name {
    fn from(member: &Member) -> Name {
        Name {
            id: member.id,
            address: Some(member.address),
        }
    }
}

/// Things joined by commas.
pub(super) struct List<T>(pub(super) Vec<T>);

impl List<Name> {
    pub(super) fn of<'a, I>(members: I) -> List<Name>
    where
        I: IntoIterator<Item = &'a Member>,
    {
        List(members.into_iter().map(Name::from).collect())
    }
}

impl<T> fmt::Display for List<T>
where
    T: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, item) in self.0.iter().enumerate() {
            let comma = if n == 0 { "" } else { ", " };
            write!(f, "{comma}{item}")?;
        }
        Ok(())
    }
}

impl Core {
    pub(super) fn name(&self, id: Id) -> Name {
        let member = self.machine.members().get(id);
        let address = member.map(|member| member.address);
        Name {
            id,
            address: address.or_else(|| self.address(id)),
        }
    }

    pub(super) fn names<'a, I>(&self, ids: I) -> List<Name>
    where
        I: IntoIterator<Item = &'a Id>,
    {
        List(ids.into_iter().map(|id| self.name(*id)).collect())
    }
}
