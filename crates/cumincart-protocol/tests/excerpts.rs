//! Tests of the bounded forms of long texts.

use {
    cumincart_protocol::excerpt::{EXCERPT_MAX_BYTES, Excerpt},
    test_case::test_case,
};

#[test]
fn a_short_text_is_shown_unchanged() {
    let text = "é".repeat(EXCERPT_MAX_BYTES / 2);
    assert_eq!(Excerpt(&text).to_string(), text);
}

// Guards against log lines and answers that repeat a text of any length, and against cuts inside a character.
#[test_case("a"; "one byte")]
#[test_case("é"; "two bytes")]
#[test_case("€"; "three bytes")]
#[test_case("😀"; "four bytes")]
fn a_long_text_is_shown_by_its_beginning_its_end_and_its_length(character: &str) {
    let text = format!("begin{}end", character.repeat(100_000));
    let shown = Excerpt(&text).to_string();
    assert!(shown.starts_with("begin"), "{shown}");
    assert!(shown.ends_with(&format!("end ({} bytes)", text.len())), "{shown}");
    assert!(shown.len() < EXCERPT_MAX_BYTES + 32, "{} bytes", shown.len());
}
