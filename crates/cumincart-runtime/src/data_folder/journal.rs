//! Appending to the state file.

use std::{
    fmt,
    fs::File,
    io::{self, ErrorKind, Seek, SeekFrom, Write},
    path::Path,
};

/// Writes all bytes to a file.
pub type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// Syncs a file or a folder to the disk.
pub type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// The functions that write to the disk. Tests replace them to simulate disk faults.
pub struct Writer {
    /// Writes to a file.
    pub write: WriteFn,
    /// Syncs a file or a folder.
    pub sync: SyncFn,
}

impl Default for Writer {
    fn default() -> Self {
        Self { write: Box::new(|file, bytes| file.write_all(bytes)), sync: Box::new(|file| file.sync_all()) }
    }
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer").finish_non_exhaustive()
    }
}

/// An error of appending a frame.
#[derive(Debug)]
pub enum AppendError {
    /// The disk is full. Nothing was written.
    Full,
    /// Another error. What is on the disk is unknown.
    Unknown(io::Error),
}

/// A state file that is open for appending.
#[derive(Debug)]
pub struct Journal {
    file: File,
    /// The offset of the next frame, in bytes.
    end: u64,
}

impl Journal {
    /// Opens a file to append at offset `end`, and truncates it there.
    pub fn open(path: &Path, end: u64) -> io::Result<Self> {
        let mut file = File::options().write(true).open(path)?;
        if file.metadata()?.len() > end {
            file.set_len(end)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::Start(end))?;
        Ok(Self { file, end })
    }

    /// Appends a frame and syncs it. If the disk is full, the file is restored to its previous length.
    pub fn append(&mut self, frame: &[u8], writer: &mut Writer) -> Result<(), AppendError> {
        if let Err(error) = (writer.write)(&mut self.file, frame) {
            if error.kind() != ErrorKind::StorageFull {
                return Err(AppendError::Unknown(error));
            }
            self.file.set_len(self.end).map_err(AppendError::Unknown)?;
            self.file.seek(SeekFrom::Start(self.end)).map_err(AppendError::Unknown)?;
            return Err(AppendError::Full);
        }
        (writer.sync)(&self.file).map_err(AppendError::Unknown)?;
        self.end += frame.len() as u64;
        Ok(())
    }
}
