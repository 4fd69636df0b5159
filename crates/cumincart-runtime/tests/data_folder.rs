//! The data folder: what was persisted is read back; torn, damaged, foreign and shared folders; failing disks.

use {
    cumincart_core::control::{Persist, Stored},
    cumincart_protocol::{
        number::{ControlTerm, LogIndex},
        replication::{Ballot, Command, Members, Record, Snapshot},
        sorted::SortedVec,
    },
    cumincart_runtime::data_folder::{DataFolder, DataFolderError, Writer},
    std::{
        fs,
        io::{Error, ErrorKind, Write},
        path::{Path, PathBuf},
        sync::Arc,
    },
    tempfile::TempDir,
    test_case::test_case,
};

fn record(index: u64, term: u64) -> Record {
    Record { index: LogIndex(index), term: ControlTerm(term), command: Command::Open }
}

fn append(index: u64, term: u64) -> Persist {
    Persist::Append(vec![record(index, term)])
}

fn ballot(term: u64) -> Persist {
    Persist::Ballot(Ballot { term: ControlTerm(term), voted_for: Some("control-2".into()) })
}

fn snapshot(index: u64, term: u64) -> Persist {
    Persist::Snapshot(Box::new(Snapshot {
        index: LogIndex(index),
        term: ControlTerm(term),
        members: Members::default(),
        catalogue: Arc::default(),
        outcomes: Vec::new(),
        document: None,
        runs: SortedVec::new(),
    }))
}

fn write(path: &Path, steps: &[Persist]) {
    let (mut folder, _, _) = DataFolder::open(path).expect("the folder opens");
    for step in steps {
        folder.persist(step).expect("the step is written");
    }
}

fn read(path: &Path) -> Stored {
    DataFolder::open(path).expect("the folder opens").2
}

fn indexes(stored: &Stored) -> Vec<(u64, u64)> {
    stored.records.iter().map(|record| (record.index.0, record.term.0)).collect()
}

fn state_file(path: &Path) -> PathBuf {
    let files =
        fs::read_dir(path).expect("the folder is there").map(|item| item.expect("it is listed").path());
    files.into_iter().find(|file| file.to_string_lossy().contains("state-")).expect("there is a state file")
}

#[test]
fn reads_back_what_was_persisted_under_the_same_identity() {
    let folder = TempDir::new().expect("a folder");
    let first = DataFolder::open(folder.path()).expect("the folder opens").1;
    write(
        folder.path(),
        &[ballot(3), append(1, 2), append(2, 3), append(3, 3), Persist::TruncateFrom(LogIndex(3))],
    );
    let (_, disk, stored) = DataFolder::open(folder.path()).expect("the folder opens");
    assert_eq!(disk, first);
    assert_eq!(stored.ballot.term, ControlTerm(3));
    assert_eq!(indexes(&stored), [(1, 2), (2, 3)]);
}

#[test]
fn a_snapshot_drops_what_it_covers_and_keeps_what_follows() {
    let folder = TempDir::new().expect("a folder");
    write(
        folder.path(),
        &[ballot(3), append(1, 2), append(2, 3), append(3, 3), snapshot(2, 3), append(4, 3)],
    );
    let stored = read(folder.path());
    assert_eq!(stored.snapshot.as_ref().map(|snapshot| snapshot.index), Some(LogIndex(2)));
    assert_eq!(indexes(&stored), [(3, 3), (4, 3)]);
    assert_eq!(stored.ballot.term, ControlTerm(3));
}

#[test]
fn a_snapshot_of_another_history_drops_all_records() {
    let folder = TempDir::new().expect("a folder");
    write(folder.path(), &[append(1, 2), append(2, 2), append(3, 6), snapshot(2, 5)]);
    assert_eq!(indexes(&read(folder.path())), []);
}

#[test]
fn a_torn_tail_is_cut_at_every_length() {
    let folder = TempDir::new().expect("a folder");
    write(folder.path(), &[append(1, 1), append(2, 1)]);
    let whole = fs::read(state_file(folder.path())).expect("the file is read");
    write(folder.path(), &[append(3, 1)]);
    let longer = fs::read(state_file(folder.path())).expect("the file is read");
    for length in whole.len()..longer.len() {
        fs::write(state_file(folder.path()), &longer[..length]).expect("the file is cut");
        assert_eq!(indexes(&read(folder.path())), [(1, 1), (2, 1)], "cut at {length} of {}", longer.len());
    }
    write(folder.path(), &[append(3, 2)]);
    assert_eq!(indexes(&read(folder.path())), [(1, 1), (2, 1), (3, 2)]);
}

#[test]
fn a_damaged_middle_is_refused() {
    let folder = TempDir::new().expect("a folder");
    write(folder.path(), &[append(1, 1), append(2, 1), append(3, 1)]);
    let file = state_file(folder.path());
    let whole = fs::read(&file).expect("the file is read");
    let last_frame = whole.windows(4).rposition(|window| window == b"CMR1").expect("there are frames");
    for offset in 0..last_frame {
        let mut damaged = whole.clone();
        damaged[offset] ^= 0x10;
        fs::write(&file, &damaged).expect("the file is damaged");
        let error = DataFolder::open(folder.path()).expect_err("damage is refused");
        assert!(matches!(error, DataFolderError::Damaged { .. }), "byte {offset}: {error}");
    }
}

#[test]
fn a_state_of_another_folder_is_refused() {
    let (one, two) = (TempDir::new().expect("a folder"), TempDir::new().expect("a folder"));
    write(one.path(), &[append(1, 1)]);
    write(two.path(), &[append(1, 1)]);
    fs::copy(state_file(one.path()), state_file(two.path())).expect("the file is copied");
    let error = DataFolder::open(two.path()).expect_err("a foreign state is refused");
    assert!(matches!(error, DataFolderError::IdentityMismatch { .. }), "{error}");
}

#[test]
fn a_state_without_an_identity_is_refused() {
    let folder = TempDir::new().expect("a folder");
    write(folder.path(), &[append(1, 1)]);
    fs::remove_file(folder.path().join("identity")).expect("the identity is removed");
    let error = DataFolder::open(folder.path()).expect_err("a state without identity is refused");
    assert!(matches!(error, DataFolderError::NoIdentity { .. }), "{error}");
}

#[test]
fn two_cannot_share_a_folder() {
    let folder = TempDir::new().expect("a folder");
    let _first = DataFolder::open(folder.path()).expect("the folder opens");
    let error = DataFolder::open(folder.path()).expect_err("the folder is in use");
    assert!(matches!(error, DataFolderError::InUse { .. }), "{error}");
}

/// A disk that takes a number of writes and then is full, with half of the bytes written.
fn full_after(writes: usize) -> Writer {
    let mut left = writes;
    let write = move |file: &mut fs::File, bytes: &[u8]| {
        if left == 0 {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(Error::from(ErrorKind::StorageFull));
        }
        left -= 1;
        file.write_all(bytes)
    };
    Writer { write: Box::new(write), ..Writer::default() }
}

/// A disk whose sync fails after a number of times.
fn sync_fails_after(syncs: usize) -> Writer {
    let mut left = syncs;
    let sync = move |file: &fs::File| {
        if left == 0 {
            return Err(Error::other("the disk is gone"));
        }
        left -= 1;
        file.sync_all()
    };
    Writer { sync: Box::new(sync), ..Writer::default() }
}

#[test_case(&|left| full_after(left); "the disk is full")]
#[test_case(&|left| sync_fails_after(left); "a sync fails")]
fn after_a_failure_nothing_more_is_written_and_a_restart_reads_a_prefix(failing: &dyn Fn(usize) -> Writer) {
    let steps = [append(1, 1), append(2, 1), append(3, 1), snapshot(2, 1), append(4, 1)];
    for left in 0..12 {
        let folder = TempDir::new().expect("a folder");
        write(folder.path(), &[]);
        let (mut open, _, _) = DataFolder::open_with(folder.path(), failing(left)).expect("the folder opens");
        let written = steps.iter().take_while(|step| open.persist(step).is_ok()).count();
        if written < steps.len() {
            let error = open.persist(&append(9, 9)).expect_err("a failed folder takes nothing more");
            // A full disk is asked again; any other failure is final.
            let nothing_written =
                matches!(error, DataFolderError::Failed { .. } | DataFolderError::Full { .. });
            assert!(nothing_written, "{error}");
        }
        drop(open);
        let last = read(folder.path()).records.last().map_or(0, |record| record.index.0);
        let acknowledged = [0, 1, 2, 3, 3, 4][written];
        assert!(last >= acknowledged, "{acknowledged} records were acknowledged, {last} are there");
        assert!(last <= 4, "record {last} was never acknowledged");
    }
}

/// A disk that is full for a while, with half of the bytes of each refused write on it.
fn full_for(from: usize, times: usize) -> Writer {
    let mut count = 0;
    let write = move |file: &mut fs::File, bytes: &[u8]| {
        count += 1;
        if (from..from + times).contains(&count) {
            file.write_all(&bytes[..bytes.len() / 2])?;
            return Err(Error::from(ErrorKind::StorageFull));
        }
        file.write_all(bytes)
    };
    Writer { write: Box::new(write), ..Writer::default() }
}

#[test]
fn what_a_full_disk_refused_is_written_once_when_there_is_room() {
    let steps = [append(1, 1), append(2, 1), append(3, 1), snapshot(2, 1), append(4, 1)];
    for from in 1..10 {
        let folder = TempDir::new().expect("a folder");
        write(folder.path(), &[]);
        let (mut open, _, _) =
            DataFolder::open_with(folder.path(), full_for(from, 3)).expect("the folder opens");
        for step in &steps {
            let mut refused = 0;
            while let Err(error) = open.persist(step) {
                assert!(matches!(error, DataFolderError::Full { .. }), "{error}");
                refused += 1;
                assert!(refused <= 3, "there is room again");
            }
        }
        drop(open);
        let records: Vec<u64> = read(folder.path()).records.iter().map(|record| record.index.0).collect();
        assert_eq!(records, [3, 4], "full from write {from}");
    }
}
