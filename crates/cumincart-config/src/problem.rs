//! Problems of settings files and lists.

use {
    miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan},
    std::{fmt, sync::Arc},
};

/// The reason why settings or lists can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum ConfigError {
    /// A file can't be read.
    #[error("{name} can't be read: {reason}")]
    #[diagnostic(code(cumincart::config::unreadable), help("check the path and the file's permissions"))]
    Unreadable {
        /// The file.
        name: String,
        /// The reason.
        reason: String,
    },
    /// The content is invalid; nothing of it was applied.
    #[error("{}", count_text(problems.len()))]
    #[diagnostic(code(cumincart::config::invalid), help("correct every problem below; nothing was applied"))]
    Invalid {
        /// All problems, in the order of the files.
        #[related]
        problems: Vec<Problem>,
    },
}

impl ConfigError {
    /// Returns the problems of the content; none for a file that can't be read.
    pub fn problems(&self) -> &[Problem] {
        match self {
            Self::Unreadable { .. } => &[],
            Self::Invalid { problems } => problems,
        }
    }
}

fn count_text(count: usize) -> String {
    match count {
        1 => "1 problem was found".to_owned(),
        count => format!("{count} problems were found"),
    }
}

/// A problem and its position.
#[derive(Debug, Clone)]
pub struct Problem {
    /// The kind of problem.
    pub kind: ProblemKind,
    /// The file and its text.
    pub source: NamedSource<Arc<str>>,
    /// The position of the invalid part of the text.
    pub span: SourceSpan,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.kind.fmt(f)
    }
}

impl std::error::Error for Problem {}

impl Diagnostic for Problem {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.code()
    }

    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        self.kind.help()
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some("here".to_owned()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// The kinds of problems of a settings file or a list. Codes are stable; the wording of messages is not.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Diagnostic)]
pub enum ProblemKind {
    /// The text is not JSON with comments.
    #[error("invalid JSON with comments: {0}")]
    #[diagnostic(
        code(cumincart::config::syntax),
        help("use strict JSON; comments and trailing commas are allowed")
    )]
    Syntax(String),

    /// A value has the wrong type.
    #[error("{subject} must be {expected}, but is {found}")]
    #[diagnostic(code(cumincart::config::type_mismatch), help("write {expected} here"))]
    TypeMismatch {
        /// The field.
        subject: String,
        /// The type that it must have.
        expected: &'static str,
        /// The type that it has.
        found: &'static str,
    },

    /// An object has an unknown field.
    #[error("unknown field `{field}` in {object}")]
    #[diagnostic(code(cumincart::config::unknown_field), help("{help}"))]
    UnknownField {
        /// The kind of object.
        object: &'static str,
        /// The field.
        field: String,
        /// The help text.
        help: String,
    },

    /// An object has the same field twice.
    #[error("duplicate field `{field}` in {object}")]
    #[diagnostic(code(cumincart::config::repeated_field), help("keep one of the two"))]
    RepeatedField {
        /// The kind of object.
        object: &'static str,
        /// The field.
        field: String,
    },

    /// An object has no value for a required field.
    #[error("missing field `{field}` in {object}")]
    #[diagnostic(code(cumincart::config::missing_field), help("add `\"{field}\": …` to this object"))]
    MissingField {
        /// The kind of object.
        object: &'static str,
        /// The field.
        field: &'static str,
    },

    /// A value is not one of the allowed words.
    #[error("`{found}` is not a valid value of {subject}")]
    #[diagnostic(code(cumincart::config::unknown_value), help("{help}"))]
    UnknownValue {
        /// The field.
        subject: String,
        /// The value.
        found: String,
        /// The help text.
        help: String,
    },

    /// A number, or the length of a text or list, is outside its bounds.
    #[error("{subject} must be {expected}, but is {found}")]
    #[diagnostic(code(cumincart::config::out_of_range), help("{help}"))]
    OutOfRange {
        /// The field.
        subject: String,
        /// The bounds.
        expected: String,
        /// The number or length.
        found: String,
        /// The help text.
        help: &'static str,
    },

    /// A name is empty, is too long or contains an invalid character.
    #[error("`{found}` is not a valid name for {subject}")]
    #[diagnostic(
        code(cumincart::config::bad_name),
        help("use 1 to 64 ASCII letters, digits, `-`, `_` and `.`")
    )]
    BadName {
        /// What is named.
        subject: &'static str,
        /// The name.
        found: String,
    },

    /// A service has the name that is reserved for ending transactions.
    #[error("a service can't be named `{found}`: callers end transactions under this name")]
    #[diagnostic(code(cumincart::config::reserved_name), help("choose another name for the service"))]
    ReservedName {
        /// The name.
        found: String,
    },

    /// Two elements of the same kind have the same name.
    #[error("the {subject} `{name}` is declared twice")]
    #[diagnostic(
        code(cumincart::config::duplicate_name),
        help("it was first declared on line {first_line}: rename or remove one of the two")
    )]
    DuplicateName {
        /// What is named.
        subject: &'static str,
        /// The name.
        name: String,
        /// The line of the first declaration, counted from 1.
        first_line: usize,
    },

    /// Two keys have the same digest.
    #[error("the key `{id}` has the same digest as the key `{first}` of organisation `{organisation}`")]
    #[diagnostic(
        code(cumincart::config::duplicate_key),
        help(
            "each key belongs to one organisation: create another with `cumincart key new`, or remove one of the two"
        )
    )]
    DuplicateKey {
        /// The later key's id.
        id: String,
        /// The earlier key's id.
        first: String,
        /// The organisation that has the earlier key.
        organisation: String,
    },

    /// The digest of a key is not SHA-256 in hexadecimal.
    #[error("the digest of the key `{id}` is not 64 lower-case hexadecimal digits")]
    #[diagnostic(
        code(cumincart::config::bad_digest),
        help("write the SHA-256 digest that `cumincart key new` printed, never the key itself")
    )]
    BadDigest {
        /// The key's id.
        id: String,
    },

    /// An organisation is on a plan that does not exist.
    #[error("organisation `{organisation}` is on plan `{plan}`, which does not exist")]
    #[diagnostic(code(cumincart::config::unknown_plan), help("{help}"))]
    UnknownPlan {
        /// The organisation.
        organisation: String,
        /// The plan.
        plan: String,
        /// The help text.
        help: String,
    },

    /// A plan names a service that does not exist.
    #[error("plan `{plan}` names service `{service}`, which does not exist")]
    #[diagnostic(code(cumincart::config::unknown_service), help("{help}"))]
    UnknownService {
        /// The plan.
        plan: String,
        /// The service.
        service: String,
        /// The help text.
        help: String,
    },

    /// A plan names a route that its service does not have.
    #[error("plan `{plan}` names route `{route}`, which service `{service}` does not have")]
    #[diagnostic(code(cumincart::config::unknown_route), help("{help}"))]
    UnknownRoute {
        /// The plan.
        plan: String,
        /// The service.
        service: String,
        /// The route.
        route: String,
        /// The help text.
        help: String,
    },

    /// A plan names a route twice.
    #[error("plan `{plan}` names route `{route}` of service `{service}` twice")]
    #[diagnostic(code(cumincart::config::repeated_route), help("keep one of the two"))]
    RepeatedRoute {
        /// The plan.
        plan: String,
        /// The service.
        service: String,
        /// The route.
        route: String,
    },

    /// A route's fields contradict each other.
    #[error("route `{route}`: {conflict}")]
    #[diagnostic(code(cumincart::config::route_conflict), help("{help}"))]
    RouteConflict {
        /// The route.
        route: String,
        /// The contradiction.
        conflict: &'static str,
        /// The help text.
        help: &'static str,
    },

    /// The SQL uses a parameter that is not declared.
    #[error("route `{route}`: the SQL uses `${number}`, but the number of declared parameters is {count}")]
    #[diagnostic(
        code(cumincart::config::undeclared_parameter),
        help("add the value's source to `parameters`, or change the number in the SQL")
    )]
    UndeclaredParameter {
        /// The route.
        route: String,
        /// The parameter's number.
        number: u32,
        /// The number of declared parameters.
        count: usize,
    },

    /// A declared parameter does not occur in the SQL.
    #[error("route `{route}`: parameter {number} is declared, but the SQL does not use `${number}`")]
    #[diagnostic(
        code(cumincart::config::unused_parameter),
        help("use the parameter in the SQL, or remove it from `parameters`")
    )]
    UnusedParameter {
        /// The route.
        route: String,
        /// The parameter's number.
        number: usize,
    },

    /// An address is not a valid IP address with a port.
    #[error("`{found}` is not a valid address for {subject}")]
    #[diagnostic(code(cumincart::config::bad_address), help("{help}"))]
    BadAddress {
        /// The field.
        subject: String,
        /// The text.
        found: String,
        /// The help text.
        help: &'static str,
    },

    /// An address is used twice.
    #[error("the address `{address}` is used twice")]
    #[diagnostic(
        code(cumincart::config::duplicate_address),
        help("it was first used on line {first_line}: use a different address for each")
    )]
    DuplicateAddress {
        /// The address.
        address: String,
        /// The line of its first use, counted from 1.
        first_line: usize,
    },

    /// The list of control instances does not contain this instance, or contains it with another address.
    #[error("`members` does not list instance `{instance}` with its peer address `{address}`")]
    #[diagnostic(
        code(cumincart::config::not_a_member),
        help(
            "list every control instance in `members`, including this one, with the same addresses on all of them"
        )
    )]
    NotAMember {
        /// This instance.
        instance: String,
        /// Its peer address.
        address: String,
    },
}
