//! Single values, by the shapes of their keys.

use std::{
    fmt::Display,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    str::FromStr,
    time::Duration,
};

use super::Reader;
use crate::{error::Problem, key::Shape, section::Section, settings::Member};

/// Single values. Each returns nothing when the key is absent, or when its
/// value is wrong and the problem noted.
impl Reader<'_> {
    pub(super) fn problem(&mut self, line: usize, field: &str, message: &str, remedy: &str) {
        self.problems
            .push(Problem::new(line, field, message, remedy));
    }

    pub(super) fn parse<T, E, F>(
        &mut self,
        s: &Section,
        key: &str,
        remedy: &str,
        parse: F,
    ) -> Option<T>
    where
        F: FnOnce(&str) -> Result<T, E>,
        E: ToString,
    {
        let value = s.get(key)?;
        match parse(&value.text) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.problem(value.line, &value.field(), &error.to_string(), remedy);
                None
            }
        }
    }

    pub(super) fn name<T>(&mut self, s: &Section, key: &str) -> Option<T>
    where
        T: TryFrom<String>,
        T::Error: ToString,
    {
        self.parse(s, key, "choose a plain name", |text| {
            T::try_from(text.to_owned())
        })
    }

    pub(super) fn names<T>(&mut self, s: &Section, key: &str) -> Option<Vec<T>>
    where
        T: TryFrom<String>,
        T::Error: ToString,
    {
        self.parse(s, key, "write NAME, NAME, ...", |text| {
            let names = text
                .split(',')
                .map(|name| T::try_from(name.trim().to_owned()));
            names.collect::<Result<Vec<_>, _>>()
        })
    }

    pub(super) fn number(&mut self, s: &Section, key: &str) -> Option<u64> {
        match s.get(key)?.key.shape {
            Shape::Number(low, high) => self.ranged(s, key, "whole number", low..=high),
            _ => None,
        }
    }

    pub(super) fn decimal(&mut self, s: &Section, key: &str) -> Option<f64> {
        match s.get(key)?.key.shape {
            Shape::Decimal(low, high) => {
                self.ranged(s, key, "number", f64::from(low)..=f64::from(high))
            }
            _ => None,
        }
    }

    /// A number between two bounds. `what` names its kind in messages.
    pub(super) fn ranged<T>(
        &mut self,
        s: &Section,
        key: &str,
        what: &str,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: FromStr + PartialOrd + Display,
    {
        let unit = s.get(key)?.key.unit;
        let (low, high) = (range.start(), range.end());
        let remedy = format!("write a {what} of {unit} from {low} to {high}");
        let parse = |text: &str| match text.parse::<T>() {
            Ok(number) if range.contains(&number) => Ok(number),
            Ok(_) => Err(format!("{text} is out of range")),
            Err(_) => Err(format!("{text:?} is no {what}")),
        };
        self.parse(s, key, &remedy, parse)
    }

    pub(super) fn count(&mut self, s: &Section, key: &str) -> Option<usize> {
        self.number(s, key).and_then(|n| usize::try_from(n).ok())
    }

    /// A number of MiB, in bytes.
    pub(super) fn mebibytes(&mut self, s: &Section, key: &str) -> Option<u64> {
        self.number(s, key).map(|n| n << 20)
    }

    pub(super) fn port(&mut self, s: &Section, key: &str) -> Option<u16> {
        self.number(s, key).and_then(|n| u16::try_from(n).ok())
    }

    pub(super) fn percent(&mut self, s: &Section, key: &str) -> Option<u8> {
        self.number(s, key).and_then(|n| u8::try_from(n).ok())
    }

    pub(super) fn millis(&mut self, s: &Section, key: &str) -> Option<Duration> {
        self.number(s, key).map(Duration::from_millis)
    }

    pub(super) fn address(&mut self, s: &Section, key: &str) -> Option<SocketAddr> {
        let shape = s.get(key)?.key.shape;
        let remedy = "write IP:PORT, such as 10.1.2.3:7400; host names are not looked up";
        self.parse(s, key, remedy, |text| address(text, shape))
    }

    pub(super) fn addresses(&mut self, s: &Section, key: &str) -> Option<Vec<SocketAddr>> {
        let remedy = "write IP:PORT, IP:PORT, ...";
        self.parse(s, key, remedy, |text| {
            let addresses = text.split(',').map(|part| address(part, Shape::Address));
            addresses.collect::<Result<Vec<_>, _>>()
        })
    }

    pub(super) fn members(&mut self, s: &Section) -> Option<Vec<Member>> {
        let remedy = "write NAME@INNER@ADMIN, ... with two IP:PORT each and nothing twice";
        self.parse(s, "members", remedy, members)
    }

    pub(super) fn word(&mut self, s: &Section, key: &str) -> Option<String> {
        let Shape::Word(words) = s.get(key)?.key.shape else {
            return None;
        };
        let remedy = format!("use one of {}", words.join(", "));
        self.parse(s, key, &remedy, |text| {
            let known = words.contains(&text);
            known
                .then(|| text.to_owned())
                .ok_or(format!("unknown word {text:?}"))
        })
    }

    pub(super) fn hash(&mut self, s: &Section, key: &str) -> Option<String> {
        let remedy = "write the 64 hexadecimal digits that `almondlock` printed with the key";
        self.parse(s, key, remedy, |text| {
            let fits = text.len() == 64 && text.bytes().all(|b| b.is_ascii_hexdigit());
            // The value stays out of the message: it may be the key itself.
            let error = "not a hash of 64 hexadecimal digits";
            fits.then(|| text.to_ascii_lowercase()).ok_or(error)
        })
    }

    pub(super) fn path(&mut self, s: &Section, key: &str) -> Option<PathBuf> {
        let shape = s.get(key)?.key.shape;
        let folder = self.folder.map(Path::to_path_buf).unwrap_or_default();
        self.parse(s, key, "name a file that exists and is readable", |text| {
            let path = folder.join(text);
            match shape {
                _ if text.is_empty() => Err("the path is empty".to_owned()),
                Shape::File if !path.is_file() => Err(format!("no file {}", path.display())),
                _ => Ok(path),
            }
        })
    }
}

fn address(text: &str, shape: Shape) -> Result<SocketAddr, String> {
    let text = text.trim();
    let address: SocketAddr = text
        .parse()
        .map_err(|_| format!("{text:?} is no IP address with a port"))?;
    if shape != Shape::Listen && (address.port() == 0 || address.ip().is_unspecified()) {
        return Err(format!("{text} can't be connected to"));
    }
    Ok(address)
}

fn members(text: &str) -> Result<Vec<Member>, String> {
    let mut members: Vec<Member> = Vec::new();
    for part in text.split(',').map(str::trim) {
        let mut fields = part.split('@').map(str::trim);
        let (Some(name), Some(inner), Some(admin), None) =
            (fields.next(), fields.next(), fields.next(), fields.next())
        else {
            return Err(format!("{part:?} is not NAME@INNER@ADMIN"));
        };
        let member = Member {
            name: almondlock_base::id::Host::new(name).map_err(|error| error.to_string())?,
            address: address(inner, Shape::Address)?,
            admin: address(admin, Shape::Address)?,
        };
        let twice = |m: &Member| m.name == member.name || m.address == member.address;
        if members.iter().any(twice) {
            return Err(format!("{part} has a name or an address twice"));
        }
        members.push(member);
    }
    Ok(members)
}
