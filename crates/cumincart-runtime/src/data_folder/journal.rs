//! The state file that is being written.

use std::{
    fmt,
    fs::File,
    io::{self, Seek, SeekFrom, Write},
    path::Path,
};

/// Writes all bytes to a file.
pub type WriteFn = Box<dyn FnMut(&mut File, &[u8]) -> io::Result<()> + Send>;

/// Syncs a file or a folder to the disk.
pub type SyncFn = Box<dyn FnMut(&File) -> io::Result<()> + Send>;

/// How bytes get to the disk.
pub struct Writer {
    /// Writes.
    pub write: WriteFn,
    /// Syncs.
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

/// A file that frames are appended to.
#[derive(Debug)]
pub struct Journal {
    file: File,
}

impl Journal {
    /// Opens a file to append behind `end`, and cuts off what lies beyond.
    pub fn open(path: &Path, end: u64) -> io::Result<Self> {
        let mut file = File::options().write(true).open(path)?;
        if file.metadata()?.len() > end {
            file.set_len(end)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::Start(end))?;
        Ok(Self { file })
    }

    /// Appends a frame and syncs it.
    pub fn append(&mut self, frame: &[u8], writer: &mut Writer) -> io::Result<()> {
        (writer.write)(&mut self.file, frame)?;
        (writer.sync)(&self.file)
    }
}
