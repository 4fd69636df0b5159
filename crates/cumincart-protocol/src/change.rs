//! Changes made by operators, and their outcomes.

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

/// The identifier of a change. A change that is sent again carries the same id.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChangeId(pub Arc<str>);

/// A change requested by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The identifier. A change with an id that was used before returns the first outcome.
    pub id: ChangeId,
    /// The requested action.
    pub action: Action,
}

/// The actions that operators can request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Replaces all lists.
    Apply {
        /// The revision of the lists that the edit was based on.
        base: ListsRevision,
        /// The new lists, already validated.
        lists: Arc<Lists>,
    },
    /// Replaces the whole configuration, unless one of the same or a higher version is in force.
    Replace(Configuration),
    /// Takes a failure domain out of service, or returns it to service.
    SetDomain {
        /// The failure domain.
        domain: DomainName,
        /// True to take it out of service, false to return it.
        out: bool,
    },
    /// Takes an instance out of service, or returns it to service.
    SetInstance {
        /// The instance.
        instance: InstanceName,
        /// True to take it out of service, false to return it.
        out: bool,
    },
}

/// A versioned configuration. The highest version is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version, assigned by its author.
    pub version: u64,
    /// Its content.
    pub content: ConfigurationContent,
}

/// The content of a configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ConfigurationContent {
    /// The whole configuration.
    Whole {
        /// The lists, already validated.
        lists: Arc<Lists>,
        /// The document that the lists were read from, returned unchanged to readers.
        document: Arc<str>,
    },
    /// The difference from an earlier version. The leader computes it before it appends the change to the log.
    Patch {
        /// The earlier version.
        base: u64,
        /// The patch of the lists.
        lists: Arc<ListsPatch>,
        /// The patch of the document.
        document: TextPatch,
    },
    /// No content: the log holds a configuration of the same or a higher version.
    Outdated,
}

impl ConfigurationContent {
    /// Returns its approximate size in the log, in bytes. Lists are about as large as their document.
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

/// The outcome of a change. Each change id has exactly one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The change was committed.
    Accepted {
        /// The first catalogue revision that includes the change.
        revision: Revision,
        /// The revision of the lists after the change.
        lists_revision: ListsRevision,
    },
    /// The lists had changed since the revision that the edit was based on.
    Conflict {
        /// The base revision of the change.
        base: ListsRevision,
        /// The revision of the lists when the change was rejected.
        current: ListsRevision,
    },
}
