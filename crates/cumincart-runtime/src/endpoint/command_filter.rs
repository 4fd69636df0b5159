//! Statements that callers may not send, since they reach beyond their own transaction.
//!
//! A connection serves many organisations one after another. A caller's `COMMIT` would end the transaction that the
//! system opened, and a `SET` would stay for the next caller. Functions with the same effect, such as `set_config` and
//! session-wide advisory locks, are not recognised; the endpoint's grants must withhold them.

/// First words of PostgreSQL's commands that end or split transactions, or leave something on the connection.
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

/// The command that a statement must not begin with, if it does.
pub(super) fn refused_command(sql: &str) -> Option<&'static str> {
    let text = skip_blank(sql);
    let length = text.bytes().take_while(u8::is_ascii_alphabetic).count();
    let word = &text[..length];
    REFUSED_COMMANDS.into_iter().find(|command| command.eq_ignore_ascii_case(word))
}

/// The text behind leading white space, semicolons and comments.
fn skip_blank(sql: &str) -> &str {
    let mut rest = sql;
    loop {
        rest = rest.trim_start_matches(|letter: char| letter.is_whitespace() || letter == ';');
        if rest.starts_with("--") {
            rest = rest.find('\n').map_or("", |end| &rest[end..]);
        } else if rest.starts_with("/*") {
            rest = skip_block_comment(rest);
        } else {
            return rest;
        }
    }
}

/// The text behind a block comment, which may hold others.
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
            let mut letters = rest.chars();
            if letters.next().is_none() {
                return "";
            }
            rest = letters.as_str();
        }
    }
}
