//! Why the data folder can't be used.

use {
    cumincart_protocol::replication::DiskId,
    std::{io, path::Path, path::PathBuf},
};

/// Why the data folder can't be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DataFolderError {
    /// The operating system refused.
    #[error("{} can't be used: {error}", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::io),
        help("check the folder's permissions, its free space and the disk; then start the process again")
    )]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the operating system said.
        #[source]
        error: io::Error,
    },
    /// The disk has no room. Nothing was written, and the same may be tried again.
    #[error("the disk of the data folder {} is full", path.display())]
    #[diagnostic(code(cumincart::data_folder::full), help("make room; the instance goes on by itself"))]
    Full {
        /// The folder.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so what is on the disk is not known.
    #[error("a write to the data folder {} has failed before", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::failed),
        help("stop the process, check the disk, and start the process again: it reads back what is there")
    )]
    Failed {
        /// The folder.
        path: PathBuf,
    },
    /// Another process holds the folder.
    #[error("the data folder {} is in use by another process", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::in_use),
        help("stop the other process, or give each control instance a folder of its own")
    )]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// A record that was synced can't be read, and records follow it.
    #[error("{} is damaged at byte {offset} of {length}", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::damaged),
        help(
            "this disk can't be trusted any more: move the folder away and start with an empty one; the instance \
             comes back under a new identity and copies the state from the others"
        )
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The byte at which the damage begins.
        offset: u64,
        /// The file's length in bytes.
        length: u64,
    },
    /// The state was written under another identity.
    #[error(
        "the data folder {} has the identity {}, but its state was written by {}",
        path.display(), identity.0, written_by.0
    )]
    #[diagnostic(
        code(cumincart::data_folder::foreign),
        help("files of two instances were mixed: put the right files back, or start with an empty folder")
    )]
    IdentityMismatch {
        /// The folder.
        path: PathBuf,
        /// What its identity file says.
        identity: DiskId,
        /// What its state says.
        written_by: DiskId,
    },
    /// There is a state, but no identity.
    #[error("the data folder {} holds a state but no identity", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::no_identity),
        help("put the file `identity` back, or start with an empty folder")
    )]
    NoIdentity {
        /// The folder.
        path: PathBuf,
    },
}

impl DataFolderError {
    pub(super) fn io(path: &Path, error: io::Error) -> Self {
        Self::Io { path: path.into(), error }
    }
}
