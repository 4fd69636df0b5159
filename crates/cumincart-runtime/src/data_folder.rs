//! The durable state of a control instance: a folder of files with checksummed frames. Each frame is synced to disk
//! before the effects that follow it are carried out.
//!
//! The folder contains an `identity`, a `lock` and one `state-<generation>` file. The state file starts with a complete
//! state (snapshot, ballot and the records after the snapshot), followed by one frame for each [`Persist`]. A snapshot
//! starts the next generation: the new file is written under a temporary name, synced and renamed, the folder is
//! synced, and only then is the old file removed.

mod error;
mod frame;
mod journal;
mod state;

pub use {
    error::DataFolderError,
    journal::{SyncFn, WriteFn, Writer},
};

use {
    cumincart_core::control::{Persist, Stored},
    cumincart_protocol::replication::DiskId,
    frame::{FrameContent, ScannedFrames},
    journal::{AppendError, Journal},
    state::State,
    std::{
        fs::{self, File, TryLockError},
        io::ErrorKind,
        path::{Path, PathBuf},
    },
    uuid::Uuid,
};

const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
const STATE_PREFIX: &str = "state-";
const TEMPORARY_SUFFIX: &str = ".new";

/// An open data folder. It is locked against use by other processes.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    disk: DiskId,
    generation: u64,
    state: State,
    journal: Journal,
    writer: Writer,
    /// Set by the first error other than a full disk: what is on the disk is then unknown.
    has_failed: bool,
    /// Locked while the folder is open.
    _lock: File,
}

impl DataFolder {
    /// Opens the folder, creates it if it does not exist, and reads its state.
    pub fn open(path: &Path) -> Result<(Self, DiskId, Stored), DataFolderError> {
        Self::open_with(path, Writer::default())
    }

    /// Opens the folder with the given functions to write and sync.
    pub fn open_with(path: &Path, mut writer: Writer) -> Result<(Self, DiskId, Stored), DataFolderError> {
        fs::create_dir_all(path).map_err(|error| DataFolderError::io(path, error))?;
        let lock = lock(path)?;
        let newest = newest_generation(path)?;
        let disk = read_or_create_identity(path, newest.is_some(), &mut writer)?;
        let (generation, state, journal) = match newest {
            Some(generation) => read_state_file(path, generation, &disk)?,
            None => create_state_file(path, 1, &disk, State::default(), &mut writer)?,
        };
        remove_other_generations(path, generation)?;
        let stored = state.stored();
        let folder = Self {
            path: path.into(),
            disk: disk.clone(),
            generation,
            state,
            journal,
            writer,
            has_failed: false,
            _lock: lock,
        };
        Ok((folder, disk, stored))
    }

    /// Writes and syncs; blocks until the data is on disk. After [`DataFolderError::Full`] nothing was written and the
    /// call may be repeated. After any other error the process must stop.
    pub fn persist(&mut self, persist: &Persist) -> Result<(), DataFolderError> {
        if self.has_failed {
            return Err(DataFolderError::Failed { path: self.path.clone() });
        }
        let result = self.write(persist);
        self.has_failed = result.as_ref().is_err_and(|error| !matches!(error, DataFolderError::Full { .. }));
        result
    }

    fn write(&mut self, persist: &Persist) -> Result<(), DataFolderError> {
        if matches!(persist, Persist::Snapshot(_)) {
            let mut next = self.state.clone();
            next.apply(persist);
            return self.begin_generation(next);
        }
        let frame = frame::encode(&FrameContent::Persist(persist.clone()));
        self.journal.append(&frame, &mut self.writer).map_err(|error| match error {
            AppendError::Full => DataFolderError::Full { path: self.path.clone() },
            AppendError::Unknown(error) => DataFolderError::io(&self.path, error),
        })?;
        self.state.apply(persist);
        Ok(())
    }

    /// Writes a complete state to the file of the next generation. The current file stays valid until that is done.
    fn begin_generation(&mut self, state: State) -> Result<(), DataFolderError> {
        let next = self.generation + 1;
        let created = create_state_file(&self.path, next, &self.disk, state, &mut self.writer);
        let (generation, state, journal) = created.map_err(|error| match error {
            DataFolderError::Io { error, .. } if error.kind() == ErrorKind::StorageFull => {
                DataFolderError::Full { path: self.path.clone() }
            }
            error => error,
        })?;
        self.generation = generation;
        self.state = state;
        self.journal = journal;
        remove_other_generations(&self.path, generation)
    }
}

fn lock(path: &Path) -> Result<File, DataFolderError> {
    let name = path.join(LOCK_FILE);
    let file = File::options().create(true).truncate(false).write(true).open(&name);
    let file = file.map_err(|error| DataFolderError::io(&name, error))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(DataFolderError::InUse { path: path.into() }),
        Err(TryLockError::Error(error)) => Err(DataFolderError::io(&name, error)),
    }
}

/// Reads the folder's identity, or creates one if the folder is new. Fails if there is a state but no identity.
fn read_or_create_identity(
    path: &Path,
    has_state: bool,
    writer: &mut Writer,
) -> Result<DiskId, DataFolderError> {
    let name = path.join(IDENTITY_FILE);
    match fs::read_to_string(&name) {
        Ok(text) if !text.trim().is_empty() => return Ok(DiskId(text.trim().into())),
        Ok(_) if has_state => return Err(DataFolderError::NoIdentity { path: path.into() }),
        Err(error) if error.kind() == ErrorKind::NotFound && has_state => {
            return Err(DataFolderError::NoIdentity { path: path.into() });
        }
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(DataFolderError::io(&name, error)),
        Ok(_) | Err(_) => {}
    }
    let disk = DiskId(Uuid::now_v7().to_string().into());
    write_file_atomically(path, IDENTITY_FILE, disk.0.as_bytes(), writer)?;
    Ok(disk)
}

/// Reads the state file of a generation and opens it for appending.
fn read_state_file(
    path: &Path,
    generation: u64,
    disk: &DiskId,
) -> Result<(u64, State, Journal), DataFolderError> {
    let name = path.join(state_name(generation));
    let bytes = fs::read(&name).map_err(|error| DataFolderError::io(&name, error))?;
    let ScannedFrames { contents, end } = frame::scan(&bytes).map_err(|offset| DataFolderError::Damaged {
        path: name.clone(),
        offset,
        length: bytes.len() as u64,
    })?;
    let mut contents = contents.into_iter();
    let Some(FrameContent::State { disk: written_by, state }) = contents.next() else {
        return Err(DataFolderError::Damaged { path: name, offset: 0, length: bytes.len() as u64 });
    };
    if written_by != *disk {
        return Err(DataFolderError::IdentityMismatch {
            path: path.into(),
            identity: disk.clone(),
            written_by,
        });
    }
    let mut state = *state;
    for content in contents {
        if let FrameContent::Persist(persist) = content {
            state.apply(&persist);
        }
    }
    let journal = Journal::open(&name, end).map_err(|error| DataFolderError::io(&name, error))?;
    Ok((generation, state, journal))
}

/// Creates the state file of a generation with a complete state as its first frame.
fn create_state_file(
    path: &Path,
    generation: u64,
    disk: &DiskId,
    state: State,
    writer: &mut Writer,
) -> Result<(u64, State, Journal), DataFolderError> {
    let frame = frame::encode(&FrameContent::State { disk: disk.clone(), state: Box::new(state.clone()) });
    let name = state_name(generation);
    write_file_atomically(path, &name, &frame, writer)?;
    let file = path.join(&name);
    let journal =
        Journal::open(&file, frame.len() as u64).map_err(|error| DataFolderError::io(&file, error))?;
    Ok((generation, state, journal))
}

/// Writes and syncs a file under a temporary name, renames it and syncs the folder.
fn write_file_atomically(
    path: &Path,
    name: &str,
    bytes: &[u8],
    writer: &mut Writer,
) -> Result<(), DataFolderError> {
    let temporary = path.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let mut write = || {
        let mut file = File::create(&temporary)?;
        (writer.write)(&mut file, bytes)?;
        (writer.sync)(&file)?;
        fs::rename(&temporary, path.join(name))?;
        (writer.sync)(&File::open(path)?)
    };
    write().map_err(|error| DataFolderError::io(&temporary, error))
}

fn state_name(generation: u64) -> String {
    format!("{STATE_PREFIX}{generation:08}")
}

fn newest_generation(path: &Path) -> Result<Option<u64>, DataFolderError> {
    let generations = generations(path)?;
    Ok(generations.into_iter().max())
}

fn generations(path: &Path) -> Result<Vec<u64>, DataFolderError> {
    let mut found = Vec::new();
    for item in fs::read_dir(path).map_err(|error| DataFolderError::io(path, error))? {
        let item = item.map_err(|error| DataFolderError::io(path, error))?;
        let name = item.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(STATE_PREFIX));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    Ok(found)
}

fn remove_other_generations(path: &Path, kept: u64) -> Result<(), DataFolderError> {
    for generation in generations(path)?.into_iter().filter(|generation| *generation != kept) {
        let name = path.join(state_name(generation));
        fs::remove_file(&name).map_err(|error| DataFolderError::io(&name, error))?;
    }
    Ok(())
}
