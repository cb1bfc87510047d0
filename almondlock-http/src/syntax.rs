//! The characters that HTTP allows in names and values.

/// Returns whether a byte may be part of a name: of a method or a field.
pub(crate) const fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric()
        || matches!(
            byte,
            b'!' | b'#'
                | b'$'
                | b'%'
                | b'&'
                | b'\''
                | b'*'
                | b'+'
                | b'-'
                | b'.'
                | b'^'
                | b'_'
                | b'`'
                | b'|'
                | b'~'
        )
}

/// Returns whether a byte may be part of a path.
pub(crate) const fn is_visible(byte: u8) -> bool {
    byte > b' ' && byte != 0x7f
}

/// Returns whether a byte may be part of a field's value.
pub(crate) const fn is_value(byte: u8) -> bool {
    is_visible(byte) || matches!(byte, b' ' | b'\t')
}

/// Returns whether a line is a field: a name, a colon and a value.
pub(crate) fn is_field(line: &[u8]) -> bool {
    let mut parts = line.splitn(2, |byte| *byte == b':');
    let name = parts.next().unwrap_or_default();
    let is_name = !name.is_empty() && name.iter().copied().all(is_token);
    is_name
        && parts
            .next()
            .is_some_and(|value| value.iter().copied().all(is_value))
}
