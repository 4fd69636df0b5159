//! Bounded forms of texts of any length, for log lines and error messages.

use std::fmt;

/// The longest text that is shown whole, in bytes.
pub const EXCERPT_MAX_BYTES: usize = 256;

/// The length of the part that is shown from the end of a longer text, in bytes.
const END_BYTES: usize = 64;

/// Displays a text whole if it is short, otherwise its beginning, its end and its length.
#[derive(Debug, Clone, Copy)]
pub struct Excerpt<'a>(pub &'a str);

impl fmt::Display for Excerpt<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0;
        if text.len() <= EXCERPT_MAX_BYTES {
            return f.write_str(text);
        }
        let beginning = &text[..text.floor_char_boundary(EXCERPT_MAX_BYTES - END_BYTES)];
        let end = &text[text.ceil_char_boundary(text.len() - END_BYTES)..];
        write!(f, "{beginning}…{end} ({} bytes)", text.len())
    }
}
