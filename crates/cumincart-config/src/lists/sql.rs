//! The parameters that a SQL text uses.

/// The numbers of the parameters `$1`, `$2`, … outside of strings, quoted names, comments and dollar-quoted
/// strings, sorted and each once. A number beyond 32 bits counts as `u32::MAX`.
pub fn used_parameters(sql: &str) -> Vec<u32> {
    let mut used = Vec::new();
    let mut rest = sql;
    while let Some(first) = rest.chars().next() {
        let length = match first {
            '\'' | '"' => quoted_length(rest, first),
            '-' if rest.starts_with("--") => rest.find('\n').unwrap_or(rest.len()),
            '/' if rest.starts_with("/*") => comment_length(rest),
            '$' => parameter_length(rest, &mut used),
            letter if is_word(letter) => word_length(rest),
            other => other.len_utf8(),
        };
        rest = &rest[length..];
    }
    used.sort_unstable();
    used.dedup();
    used
}

fn is_word(letter: char) -> bool {
    letter == '_' || letter.is_alphanumeric()
}

/// A word, with the string behind it where the word is the `E` of an escape string.
fn word_length(text: &str) -> usize {
    let length = text.find(|letter| !is_word(letter) && letter != '$').unwrap_or(text.len());
    if text[..length].eq_ignore_ascii_case("e") && text[length..].starts_with('\'') {
        return length + escape_string_length(&text[length..]);
    }
    length
}

/// In an escape string a backslash takes the meaning from the character behind it.
fn escape_string_length(text: &str) -> usize {
    let mut is_escaped = false;
    for (index, letter) in text.char_indices().skip(1) {
        match letter {
            _ if is_escaped => is_escaped = false,
            '\\' => is_escaped = true,
            '\'' => return index + 1,
            _ => {}
        }
    }
    text.len()
}

/// A doubled quote inside is read as two neighbouring strings, which has the same length.
fn quoted_length(text: &str, quote: char) -> usize {
    text[1..].find(quote).map_or(text.len(), |end| end + 2)
}

/// Block comments nest in PostgreSQL.
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
    let tag = after.find(|letter| !is_word(letter)).filter(|&end| after[end..].starts_with('$'));
    let Some(tag) = tag else { return 1 };
    let delimiter = &text[..tag + 2];
    let body = &text[delimiter.len()..];
    body.find(delimiter).map_or(text.len(), |end| delimiter.len() + end + delimiter.len())
}
