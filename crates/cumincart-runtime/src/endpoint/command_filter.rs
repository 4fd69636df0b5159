//! The filter for statements that callers may not send, because their effects go beyond their own transaction.
//!
//! A connection is shared by many organisations. A caller's `COMMIT` would end the transaction that the proxy opened,
//! and the effect of a `SET` would persist for the next caller. Functions with the same effect, such as `set_config`
//! and session-level advisory locks, are not detected; the endpoint must not grant them.

/// First words of the PostgreSQL commands that end or split transactions or change the state of the session.
const REFUSED_COMMANDS: [&str; 22] = [
    "abort",
    "begin",
    "close",
    "commit",
    "copy",
    "deallocate",
    "declare",
    "discard",
    "end",
    "execute",
    "fetch",
    "listen",
    "load",
    "move",
    "prepare",
    "release",
    "reset",
    "rollback",
    "savepoint",
    "set",
    "start",
    "unlisten",
];

/// Returns the refused command that a statement begins with, if any.
pub(super) fn refused_command(sql: &str) -> Option<&'static str> {
    let text = skip_whitespace_and_comments(sql);
    let length = text.bytes().take_while(u8::is_ascii_alphabetic).count();
    let word = &text[..length];
    REFUSED_COMMANDS.into_iter().find(|command| command.eq_ignore_ascii_case(word))
}

/// Returns the text after leading white space, semicolons and comments.
fn skip_whitespace_and_comments(sql: &str) -> &str {
    let mut rest = sql;
    loop {
        rest = rest.trim_start_matches(|character: char| character.is_whitespace() || character == ';');
        if rest.starts_with("--") {
            // PostgreSQL ends such a comment at a carriage return too.
            rest = rest.find(['\n', '\r']).map_or("", |end| &rest[end..]);
        } else if rest.starts_with("/*") {
            rest = skip_block_comment(rest);
        } else {
            return rest;
        }
    }
}

/// Returns the text after a block comment. Block comments may be nested.
fn skip_block_comment(text: &str) -> &str {
    let mut depth = 0_usize;
    let mut rest = text;
    loop {
        if let Some(inner) = rest.strip_prefix("/*") {
            depth += 1;
            rest = inner;
        } else if let Some(outer) = rest.strip_prefix("*/") {
            depth -= 1;
            rest = outer;
            if depth == 0 {
                return rest;
            }
        } else {
            let mut characters = rest.chars();
            if characters.next().is_none() {
                return "";
            }
            rest = characters.as_str();
        }
    }
}
