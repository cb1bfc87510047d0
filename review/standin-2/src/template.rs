//! Renders the settings templates of `platform/` as the platform's pages describe: values,
//! sections, inverted sections, and in lists the key (`{{@}}`) and the comma (`{{,}}`).

use std::collections::BTreeMap;

/// The fields of a process's settings, and the zones.
#[derive(Clone, Default)]
pub struct Fields {
    pub values: BTreeMap<&'static str, String>,
    pub zones: Vec<String>,
}

impl Fields {
    fn is_set(&self, name: &str) -> bool {
        match self.values.get(name) {
            Some(value) => value != "false" && !value.is_empty(),
            None => false,
        }
    }
}

/// Returns the text with all placeholders filled in.
pub fn render(text: &str, fields: &Fields) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let after = &rest[start + 2..];
        let end = after.find("}}").expect("a placeholder ends");
        let (tag, mut next) = (&after[..end], &after[end + 2..]);
        if let Some(name) = tag.strip_prefix(['#', '^']) {
            let close = format!("{{{{/{name}}}}}");
            let stop = next.find(&close).expect("a section ends");
            let inner = &next[..stop];
            next = &next[stop + close.len()..];
            if name == "zones" {
                let last = fields.zones.len().saturating_sub(1);
                for (place, zone) in fields.zones.iter().enumerate() {
                    let comma = if place == last { "" } else { "," };
                    out.push_str(&inner.replace("{{@}}", zone).replace("{{,}}", comma));
                }
            } else if fields.is_set(name) == tag.starts_with('#') {
                out.push_str(&render(inner, fields));
            }
        } else {
            out.push_str(fields.values.get(tag).map_or("", String::as_str));
        }
        rest = next;
    }
    out.push_str(rest);
    out
}
