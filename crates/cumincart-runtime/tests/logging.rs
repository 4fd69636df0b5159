//! Log lines with texts that clients, endpoints and operators chose.

use {
    cumincart_runtime::logging::{self, LOGGED_TEXT_MAX_BYTES, excerpt},
    serde_json::Value,
    slog::{Logger, warn},
    std::{
        io,
        sync::{Arc, Mutex, PoisonError},
    },
    test_case::test_case,
};

#[derive(Debug, Clone, Default)]
struct Output(Arc<Mutex<Vec<u8>>>);

impl Output {
    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the only line.
    fn line(&self) -> Value {
        let bytes = self.bytes();
        assert_eq!(bytes.iter().filter(|byte| **byte == b'\n').count(), 1, "one line is logged");
        serde_json::from_slice(&bytes).expect("the line is JSON")
    }
}

impl io::Write for Output {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn open() -> (Logger, Output) {
    let output = Output::default();
    (logging::open_writer(output.clone()), output)
}

/// Guards against log lines of megabytes, of which a client's identifiers alone can cause 20 per second.
#[test_case("x", 1; "ASCII")]
#[test_case("\u{20ac}", 3; "characters of several bytes")]
fn long_texts_are_logged_as_excerpts_with_their_length(character: &str, character_bytes: usize) {
    let (logger, output) = open();
    let text = character.repeat(1024 * 1024 / character_bytes);
    warn!(logger, "statement failed: {}", text; "request" => &text, "why" => %text, "code" => ?text);
    assert!(output.bytes().len() < 5 * LOGGED_TEXT_MAX_BYTES, "{} bytes are logged", output.bytes().len());
    let line = output.line();
    let beginning = character.repeat(LOGGED_TEXT_MAX_BYTES / character_bytes);
    let expected = format!("{beginning}... ({} bytes)", text.len());
    assert_eq!(line["request"], expected);
    assert_eq!(line["why"], expected);
    for field in ["msg", "code"] {
        let value = line[field].as_str().unwrap_or_default();
        assert!(value.contains(" bytes)") && value.len() < LOGGED_TEXT_MAX_BYTES + 30, "{field}: {value}");
    }
    assert_eq!(excerpt(&text), expected, "a reader of logs can look for it");
}

/// Guards against identifiers that can't be found in the logs any more.
#[test]
fn short_texts_and_other_values_are_logged_as_they_are() {
    let (logger, output) = open();
    let longest = "x".repeat(LOGGED_TEXT_MAX_BYTES);
    let none: Option<&str> = None;
    warn!(logger, "statement failed"; "request" => "88997cdf9c28f93d", "longest" => &longest, "displayed" => %longest,
        "took_ms" => 5_u64, "writable" => true, "primary" => none, "lag" => 0.5);
    let line = output.line();
    assert_eq!(line["msg"], "statement failed");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["request"], "88997cdf9c28f93d");
    assert_eq!(line["longest"], *longest);
    assert_eq!(line["displayed"], *longest);
    assert_eq!(line["took_ms"], 5);
    assert_eq!(line["writable"], true);
    assert_eq!(line["primary"], Value::Null);
    assert_eq!(line["lag"], 0.5);
}

/// Guards against a text that forges a log line of its own.
#[test]
fn a_line_end_in_a_text_does_not_end_the_log_line() {
    let (logger, output) = open();
    let text = "5c\r\n{\"msg\":\"forged\",\"request\":\"5d\"}\u{2028}\u{0}\"";
    warn!(logger, "{}", text; "request" => text, "why" => %text);
    let line = output.line();
    assert_eq!(line["msg"], text);
    assert_eq!(line["request"], text);
    assert_eq!(line["why"], text);
}

/// Guards against a text that is cut although the parts that it is written in are short.
#[test]
fn a_value_of_many_parts_is_cut_once() {
    struct Parts;
    impl std::fmt::Display for Parts {
        fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            (0..LOGGED_TEXT_MAX_BYTES).try_for_each(|_| f.write_str("\u{e9}x"))
        }
    }
    let (logger, output) = open();
    warn!(logger, "statement failed"; "why" => %Parts);
    let why = output.line()["why"].as_str().map(ToOwned::to_owned).unwrap_or_default();
    let (beginning, rest) = why.split_once("...").expect("it is cut");
    assert_eq!(rest, format!(" ({} bytes)", 3 * LOGGED_TEXT_MAX_BYTES));
    assert!((LOGGED_TEXT_MAX_BYTES - 1..=LOGGED_TEXT_MAX_BYTES).contains(&beginning.len()));
    assert!(Parts.to_string().starts_with(beginning));
}
