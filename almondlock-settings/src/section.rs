//! Sections whose keys are known, with defaults filled in.

use crate::{
    error::Problem,
    key::{KEYS, Key, Need, SECTIONS},
    source::Block,
};

/// A section of the file, or one that the file leaves out.
#[derive(Clone, Debug)]
pub(crate) struct Section {
    /// The name in the table of keys.
    pub(crate) name: &'static str,
    /// Where it starts; 0 when the file leaves it out.
    pub(crate) line: usize,
    values: Vec<Value>,
}

/// A key's value, given or by default.
#[derive(Clone, Debug)]
pub(crate) struct Value {
    pub(crate) key: &'static Key,
    pub(crate) text: String,
    /// Where it stands; 0 for a default.
    pub(crate) line: usize,
    section: String,
}

impl Value {
    pub(crate) fn field(&self) -> String {
        format!("{} {}", self.section, self.key.name)
    }
}

impl Section {
    pub(crate) fn values(&self) -> impl Iterator<Item = &Value> {
        self.values.iter()
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Value> {
        self.values.iter().find(|value| value.key.name == name)
    }

    /// The head as it stands in the file.
    pub(crate) fn head(&self) -> String {
        format!("[{}]", self.name)
    }

    /// A section that the file leaves out: defaults only.
    pub(crate) fn absent(name: &'static str) -> Section {
        let mut section = Section {
            name,
            line: 0,
            values: Vec::new(),
        };
        section.fill();
        section
    }

    fn fill(&mut self) {
        let head = self.head();
        for key in KEYS.iter().filter(|key| key.section == self.name) {
            if let (Need::Default(text), None) = (key.need, self.get(key.name)) {
                self.values.push(Value {
                    key,
                    text: text.to_owned(),
                    line: 0,
                    section: head.clone(),
                });
            }
        }
    }
}

/// Matches blocks against the table: unknown and repeated names, and required
/// keys that are missing.
pub(crate) fn resolve(blocks: &[Block], problems: &mut Vec<Problem>) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    for block in blocks {
        let Some(name) = known(block, problems) else {
            continue;
        };
        if let Some(twin) = sections.iter().find(|section| section.name == name) {
            let message = format!("the section stands on line {} already", twin.line);
            let head = twin.head();
            problems.push(Problem::new(block.line, &head, &message, "merge the two"));
            continue;
        }
        let mut section = Section {
            name,
            line: block.line,
            values: Vec::new(),
        };
        keys(block, &mut section, problems);
        section.fill();
        sections.push(section);
    }
    sections
}

fn known(block: &Block, problems: &mut Vec<Problem>) -> Option<&'static str> {
    let names = SECTIONS.iter().map(|(name, _)| *name);
    let found = names.clone().find(|name| *name == block.name);
    if found.is_none() {
        let all: Vec<String> = names.map(|name| format!("[{name}]")).collect();
        let remedy = format!("use one of {}", all.join(" "));
        let head = format!("[{}]", block.name);
        problems.push(Problem::new(block.line, &head, "unknown section", &remedy));
    }
    found
}

fn keys(block: &Block, section: &mut Section, problems: &mut Vec<Problem>) {
    let head = section.head();
    for entry in &block.entries {
        let field = format!("{head} {}", entry.key);
        let Some(key) = Key::find(section.name, &entry.key) else {
            let names: Vec<&str> = KEYS
                .iter()
                .filter(|key| key.section == section.name)
                .map(|key| key.name)
                .collect();
            let remedy = format!("use one of {}", names.join(", "));
            problems.push(Problem::new(entry.line, &field, "unknown key", &remedy));
            continue;
        };
        if let Some(twin) = section.get(key.name) {
            let message = format!("the key stands on line {} already", twin.line);
            problems.push(Problem::new(
                entry.line,
                &field,
                &message,
                "keep one of them",
            ));
            continue;
        }
        section.values.push(Value {
            key,
            text: entry.value.clone(),
            line: entry.line,
            section: head.clone(),
        });
    }
    for key in KEYS.iter().filter(|key| key.section == section.name) {
        if key.need == Need::Required && section.get(key.name).is_none() {
            let field = format!("{head} {}", key.name);
            let remedy = format!("add {} = ...: {}", key.name, key.reason);
            problems.push(Problem::new(
                section.line,
                &field,
                "the key is missing",
                &remedy,
            ));
        }
    }
}
