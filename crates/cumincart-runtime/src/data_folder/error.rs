//! Errors of the data folder.

use {
    cumincart_protocol::replication::DiskId,
    std::{io, path::Path, path::PathBuf},
};

/// An error of the data folder.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DataFolderError {
    /// The operating system reported an error.
    #[error("can't read or write {}: {error}", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::io),
        help("check the folder's permissions, its free space and the disk, then restart the process")
    )]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        error: io::Error,
    },
    /// The disk is full. Nothing was written, and the call may be repeated.
    #[error("the disk of the data folder {} is full", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::full),
        help("free disk space; the instance then continues by itself")
    )]
    Full {
        /// The folder.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so what is on the disk is unknown.
    #[error("an earlier write to the data folder {} failed", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::failed),
        help(
            "stop the process, check the disk, and start the process again: it reads the state from the disk"
        )
    )]
    Failed {
        /// The folder.
        path: PathBuf,
    },
    /// Another process has locked the folder.
    #[error("the data folder {} is in use by another process", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::in_use),
        help("stop the other process, or configure a separate data folder for each control instance")
    )]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// A synced frame can't be read although frames follow it.
    #[error("{} is damaged at byte {offset} of {length}", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::damaged),
        help(
            "the data on this disk can't be trusted: move the folder away and start with an empty one; the instance then \
             gets a new identity and copies the state from the other control instances"
        )
    )]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset of the damaged frame, in bytes.
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
        help(
            "the folder contains files of two instances: restore the right files, or start with an empty folder"
        )
    )]
    IdentityMismatch {
        /// The folder.
        path: PathBuf,
        /// The identity in the folder's identity file.
        identity: DiskId,
        /// The identity in the state file.
        written_by: DiskId,
    },
    /// The folder contains a state but no identity.
    #[error("the data folder {} contains a state but no identity", path.display())]
    #[diagnostic(
        code(cumincart::data_folder::no_identity),
        help("restore the file `identity`, or start with an empty folder")
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
