//! Counters that order events: terms, log positions, revisions, incarnations.

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::fmt,
};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next greater value.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number_type! {
    /// The term of a database group. Increases by one with every change of primary.
    Term
}
number_type! {
    /// The timeline of an endpoint's log, as numbered by the endpoint. A promotion starts a higher one.
    Timeline
}
number_type! {
    /// A byte position in an endpoint's write-ahead log.
    LogPosition
}
number_type! {
    /// A revision of the replicated catalogue: the index of the last applied log record.
    Revision
}
number_type! {
    /// The revision of the two lists. Increases by one with every accepted edit.
    ListsRevision
}
number_type! {
    /// One start of an instance's process. Every restart gets a higher incarnation.
    Incarnation
}
number_type! {
    /// The election term of the control instances.
    ControlTerm
}
number_type! {
    /// The index of a record in the control log; the first record has index 1.
    LogIndex
}
