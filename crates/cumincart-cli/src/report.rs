//! What a command prints, for people and for programs.

use {crate::exit, serde::Serialize};

/// What a command found or did.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: serde_json::Value,
    /// The exit code.
    pub code: u8,
}

impl Report {
    /// A report of a command that did what it was asked.
    pub fn success(text: impl Into<String>, json: &impl Serialize) -> Self {
        let json = serde_json::to_value(json).expect("reports are plain data with string keys");
        Self { text: text.into(), json, code: exit::SUCCESS }
    }

    /// The same report with another exit code.
    #[must_use]
    pub fn with_code(mut self, code: u8) -> Self {
        self.code = code;
        self
    }

    /// The report in the form that was asked for.
    pub fn into_output(self, as_json: bool) -> ProcessOutput {
        let text = if as_json { format!("{:#}", self.json) } else { self.text };
        let stdout = if text.is_empty() || text.ends_with('\n') { text } else { text + "\n" };
        ProcessOutput { stdout, stderr: String::new(), code: self.code }
    }
}

/// What a output command leaves to its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProcessOutput {
    /// For standard output.
    pub stdout: String,
    /// For standard error.
    pub stderr: String,
    /// The exit code.
    pub code: u8,
}
