//! Operators' changes and their outcomes.

use {
    crate::{
        lists::Lists,
        name::{DomainName, InstanceName},
        number::{ListsRevision, Revision},
        patch::{ListsPatch, TextPatch},
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// The identifier of a change; an operator's resend carries the same one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub Arc<str>);

/// A change that an operator asks for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The same id again gets the first outcome.
    pub id: ChangeId,
    /// What to change.
    pub action: Action,
}

/// What an operator can change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Replace both lists.
    Apply {
        /// The revision of the lists that the edit was based on.
        base: ListsRevision,
        /// The new lists, already checked.
        lists: Arc<Lists>,
    },
    /// Replace the whole configuration, unless one of the same or a higher version is in force.
    Replace(Configuration),
    /// Take a failure domain out of service, or bring it back.
    SetDomain {
        /// The failure domain.
        domain: DomainName,
        /// True to take it out.
        out: bool,
    },
    /// Take an instance out of service, or bring it back.
    SetInstance {
        /// The instance.
        instance: InstanceName,
        /// True to take it out.
        out: bool,
    },
}

/// A whole configuration under one version; the highest version is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version, as its author counts them.
    pub version: u64,
    /// What it says.
    pub content: ConfigurationContent,
}

/// What a configuration says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationContent {
    /// All of it.
    Whole {
        /// The lists, already checked.
        lists: Arc<Lists>,
        /// The document that they were read from, to be given back unchanged.
        document: Arc<str>,
    },
    /// What differs from an earlier version; the leader makes it before it writes the change to the log.
    Patch {
        /// The earlier version.
        base: u64,
        /// What differs in the lists.
        lists: Arc<ListsPatch>,
        /// What differs in the document.
        document: TextPatch,
    },
    /// Nothing new: the log holds a configuration of the same or a higher version.
    Outdated,
}

impl ConfigurationContent {
    /// About how many bytes it takes in the log; lists are about as large as their document.
    pub fn size(&self) -> usize {
        match self {
            Self::Whole { document, .. } => 2 * document.len(),
            Self::Patch { document, .. } => 2 * document.middle.len(),
            Self::Outdated => 0,
        }
    }
}

/// The document of the configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The configuration's version.
    pub version: u64,
    /// The document.
    pub document: Arc<str>,
}

/// What became of a change. There is exactly one for each change id.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change was committed.
    Accepted {
        /// The catalogue revision from which on it holds.
        revision: Revision,
        /// The revision of the lists after it.
        lists_revision: ListsRevision,
    },
    /// The lists had changed since the base of this edit.
    Conflict {
        /// The base that the change named.
        base: ListsRevision,
        /// The revision of the lists when it was refused.
        current: ListsRevision,
    },
}
