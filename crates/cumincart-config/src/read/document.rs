//! Parsing of a file, with the problems found so far.

use {
    crate::{
        problem::{ConfigError, Problem, ProblemKind},
        source::Source,
    },
    jsonc_parser::{
        CollectOptions, ParseOptions, ast::Value, common::Range, errors::ParseError, parse_to_ast,
    },
};

/// A value with its position in the text.
#[derive(Debug, Clone)]
pub struct Spanned<T> {
    /// The value.
    pub value: T,
    /// Its position.
    pub range: Range,
}

/// The problems found in one file so far.
#[derive(Debug)]
pub struct Diagnostics<'a> {
    source: &'a Source,
    problems: Vec<Problem>,
}

impl<'a> Diagnostics<'a> {
    /// Creates an empty collection.
    pub fn new(source: &'a Source) -> Self {
        Self { source, problems: Vec::new() }
    }

    /// Adds a problem at a position.
    pub fn add(&mut self, range: Range, kind: ProblemKind) {
        let span = (range.start, range.end.saturating_sub(range.start)).into();
        self.problems.push(Problem { kind, source: self.source.named(), span });
    }

    /// Returns the line of a position, counted from 1.
    pub fn line(&self, range: Range) -> usize {
        let before = &self.source.text.as_bytes()[..range.start];
        before.iter().filter(|&&byte| byte == b'\n').count() + 1
    }

    /// Returns the problems in the order of their positions.
    pub fn into_problems(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|problem| problem.span.offset());
        self.problems
    }
}

/// Returns an error with the problems, if there are any.
pub fn error_if_any(problems: Vec<Problem>) -> Result<(), ConfigError> {
    if problems.is_empty() { Ok(()) } else { Err(ConfigError::Invalid { problems }) }
}

/// Parses a text and passes its value to `read`. If the text is not JSON with comments, reports this as a single
/// problem.
pub fn read_document<T>(
    source: &Source,
    diagnostics: &mut Diagnostics<'_>,
    read: impl FnOnce(&Value<'_>, &mut Diagnostics<'_>) -> Option<T>,
) -> Option<T> {
    let parsed = match parse_to_ast(&source.text, &CollectOptions::default(), &strict_options()) {
        Ok(parsed) => parsed,
        Err(error) => {
            diagnostics.add(error.range(), ProblemKind::Syntax(syntax_text(&error)));
            return None;
        }
    };
    let Some(value) = parsed.value else {
        diagnostics.add(Range { start: 0, end: 0 }, ProblemKind::Syntax("the file is empty".to_owned()));
        return None;
    };
    read(&value, diagnostics)
}

fn syntax_text(error: &ParseError) -> String {
    let text = error.kind().to_string();
    let mut characters = text.chars();
    characters.next().map_or_else(String::new, |first| first.to_lowercase().chain(characters).collect())
}

fn strict_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}
