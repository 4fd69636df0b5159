//! Detection of the parameters that an SQL text uses.

/// Returns the numbers of the parameters `$1`, `$2`, … outside strings, quoted identifiers, comments and dollar-quoted
/// strings, sorted and without duplicates. A number beyond 32 bits is returned as `u32::MAX`.
pub fn used_parameters(sql: &str) -> Vec<u32> {
    let mut used = Vec::new();
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        let length = match first {
            '\'' | '"' => quoted_length(rest, first),
            '-' if rest.starts_with("--") => rest.find('\n').unwrap_or(rest.len()),
            '/' if rest.starts_with("/*") => comment_length(rest),
            '$' => parameter_length(rest, &mut used),
            character if is_identifier_character(character) => word_length(rest),
            other => other.len_utf8(),
        };
        rest = &rest[length..];
    }
    used.sort_unstable();
    used.dedup();
    used
}

fn is_identifier_character(character: char) -> bool {
    character == '_' || character.is_alphanumeric()
}

/// Returns the length of a word. If the word is the `E` prefix of an escape string, the string is included.
fn word_length(text: &str) -> usize {
    let length =
        text.find(|character| !is_identifier_character(character) && character != '$').unwrap_or(text.len());
    if text[..length].eq_ignore_ascii_case("e") && text[length..].starts_with('\'') {
        return length + escape_string_length(&text[length..]);
    }
    length
}

/// Returns the length of an escape string. A backslash escapes the character after it.
fn escape_string_length(text: &str) -> usize {
    let mut is_escaped = false;
    for (index, character) in text.char_indices().skip(1) {
        match character {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '\'' => return index + 1,
            _ => {}
        }
    }
    text.len()
}

/// Returns the length of a quoted text. A doubled quote inside is treated as two adjacent texts, which have the same
/// total length.
fn quoted_length(text: &str, quote: char) -> usize {
    text[1..].find(quote).map_or(text.len(), |end| end + 2)
}

/// Returns the length of a block comment. In PostgreSQL, block comments nest.
fn comment_length(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut index = 0;
    while index < text.len() {
        let rest = &text.as_bytes()[index..];
        if rest.starts_with(b"/*") {
            depth += 1;
            index += 2;
        } else if rest.starts_with(b"*/") {
            depth -= 1;
            index += 2;
            if depth == 0 {
                return index;
            }
        } else {
            index += 1;
        }
    }
    text.len()
}

fn parameter_length(text: &str, used: &mut Vec<u32>) -> usize {
    let after = &text[1..];
    let digits = after.bytes().take_while(u8::is_ascii_digit).count();
    if digits > 0 {
        used.push(after[..digits].parse().unwrap_or(u32::MAX));
        return 1 + digits;
    }
    let tag = after
        .find(|character| !is_identifier_character(character))
        .filter(|&end| after[end..].starts_with('$'));
    let Some(tag) = tag else { return 1 };
    let delimiter = &text[..tag + 2];
    let body = &text[delimiter.len()..];
    body.find(delimiter).map_or(text.len(), |end| delimiter.len() + end + delimiter.len())
}
