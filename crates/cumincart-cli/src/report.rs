//! The output of a command, as text or JSON.

use {crate::exit, serde::Serialize};

/// The result of a command, in both output formats.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// The human-readable text.
    pub text: String,
    /// The output of `--json`.
    pub json: serde_json::Value,
    /// The exit code.
    pub code: u8,
}

impl Report {
    /// Creates a report with exit code 0.
    pub fn success(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).expect("reports are plain data with string keys");
        Self { text: text.into(), json, code: exit::SUCCESS }
    }

    /// Creates a report with exit code 0 and one line of text for each item. Names in a line can't begin another line.
    pub fn of_lines(lines: &[String], json: &impl Serialize) -> Self {
        let lines: Vec<String> = lines.iter().map(|line| escape_controls(line, |_| false)).collect();
        Self::success(lines.join("\n"), json)
    }

    /// Returns the report with another exit code.
    #[must_use]
    pub fn with_code(mut self, code: u8) -> Self {
        self.code = code;
        self
    }

    /// Renders the report as JSON if `as_json` is set, otherwise as text.
    pub fn into_output(self, as_json: bool) -> ProcessOutput {
        let text = if as_json { format!("{:#}", self.json) } else { self.text };
        let text = escape_controls(&text, |character| matches!(character, '\n' | '\t'));
        let stdout = if text.is_empty() || text.ends_with('\n') { text } else { text + "\n" };
        ProcessOutput { stdout, stderr: String::new(), code: self.code }
    }
}

/// Escapes control characters, except for allowed ones, as JSON does. Names come from other processes and must not control
/// the terminal.
fn escape_controls(text: &str, is_allowed: impl Fn(char) -> bool) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        if character.is_control() && !is_allowed(character) {
            escaped.push_str(&format!("\\u{:04x}", u32::from(character)));
        } else {
            escaped.push(character);
        }
    }
    escaped
}

/// What the process prints and the code it exits with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessOutput {
    /// The text for standard output.
    pub stdout: String,
    /// The text for standard error.
    pub stderr: String,
    /// The exit code.
    pub code: u8,
}
