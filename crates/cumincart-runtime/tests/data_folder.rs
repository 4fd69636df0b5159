//! The data folder: recovery of the persisted state; torn, damaged, mixed and shared folders; disk faults.

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
        usage: SortedVec::new(),
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

fn indexes_and_terms(stored: &Stored) -> Vec<(u64, u64)> {
    stored.records.iter().map(|record| (record.index.0, record.term.0)).collect()
}

fn state_file(path: &Path) -> PathBuf {
    let files = fs::read_dir(path)
        .expect("the folder exists")
        .map(|item| item.expect("the folder can be listed").path());
    files
        .into_iter()
        .find(|file| file.to_string_lossy().contains("state-"))
        .expect("the folder contains a state file")
}

#[test]
fn persisted_state_and_identity_are_read_back() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let first = DataFolder::open(folder.path()).expect("the folder opens").1;
    write(
        folder.path(),
        &[ballot(3), append(1, 2), append(2, 3), append(3, 3), Persist::TruncateFrom(LogIndex(3))],
    );
    let (_, disk, stored) = DataFolder::open(folder.path()).expect("the folder opens");
    assert_eq!(disk, first);
    assert_eq!(stored.ballot.term, ControlTerm(3));
    assert_eq!(indexes_and_terms(&stored), [(1, 2), (2, 3)]);
}

#[test]
fn a_snapshot_drops_covered_records_and_keeps_later_ones() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(
        folder.path(),
        &[ballot(3), append(1, 2), append(2, 3), append(3, 3), snapshot(2, 3), append(4, 3)],
    );
    let stored = read(folder.path());
    assert_eq!(stored.snapshot.as_ref().map(|snapshot| snapshot.index), Some(LogIndex(2)));
    assert_eq!(indexes_and_terms(&stored), [(3, 3), (4, 3)]);
    assert_eq!(stored.ballot.term, ControlTerm(3));
}

#[test]
fn a_snapshot_of_another_history_drops_all_records() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(folder.path(), &[append(1, 2), append(2, 2), append(3, 6), snapshot(2, 5)]);
    assert_eq!(indexes_and_terms(&read(folder.path())), []);
}

#[test]
fn a_torn_last_frame_of_any_length_is_discarded() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(folder.path(), &[append(1, 1), append(2, 1)]);
    let whole = fs::read(state_file(folder.path())).expect("the file is read");
    write(folder.path(), &[append(3, 1)]);
    let longer = fs::read(state_file(folder.path())).expect("the file is read");
    for length in whole.len()..longer.len() {
        fs::write(state_file(folder.path()), &longer[..length]).expect("the file is truncated");
        assert_eq!(
            indexes_and_terms(&read(folder.path())),
            [(1, 1), (2, 1)],
            "cut at {length} of {}",
            longer.len()
        );
    }
    write(folder.path(), &[append(3, 2)]);
    assert_eq!(indexes_and_terms(&read(folder.path())), [(1, 1), (2, 1), (3, 2)]);
}

#[test]
fn damage_before_the_last_frame_is_refused() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(folder.path(), &[append(1, 1), append(2, 1), append(3, 1)]);
    let file = state_file(folder.path());
    let whole = fs::read(&file).expect("the file is read");
    let last_frame =
        whole.windows(4).rposition(|window| window == b"CMR1").expect("the file contains frames");
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
    let (one, two) = (
        TempDir::new().expect("a temporary folder can be created"),
        TempDir::new().expect("a temporary folder can be created"),
    );
    write(one.path(), &[append(1, 1)]);
    write(two.path(), &[append(1, 1)]);
    fs::copy(state_file(one.path()), state_file(two.path())).expect("the file is copied");
    let error = DataFolder::open(two.path()).expect_err("a foreign state is refused");
    assert!(matches!(error, DataFolderError::IdentityMismatch { .. }), "{error}");
}

#[test]
fn a_state_without_an_identity_is_refused() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    write(folder.path(), &[append(1, 1)]);
    fs::remove_file(folder.path().join("identity")).expect("the identity is removed");
    let error = DataFolder::open(folder.path()).expect_err("a state without identity is refused");
    assert!(matches!(error, DataFolderError::NoIdentity { .. }), "{error}");
}

#[test]
fn a_folder_can_be_opened_only_once() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let _first = DataFolder::open(folder.path()).expect("the folder opens");
    let error = DataFolder::open(folder.path()).expect_err("the folder is in use");
    assert!(matches!(error, DataFolderError::InUse { .. }), "{error}");
}

/// Returns a writer whose disk is full after `writes` writes. The failed write leaves half of its bytes.
fn full_after_writes(writes: usize) -> Writer {
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

/// Returns a writer whose sync fails after `syncs` syncs.
fn failing_after_syncs(syncs: usize) -> Writer {
    let mut left = syncs;
    let sync = move |file: &fs::File| {
        if left == 0 {
            return Err(Error::other("the disk failed"));
        }
        left -= 1;
        file.sync_all()
    };
    Writer { sync: Box::new(sync), ..Writer::default() }
}

#[test_case(&|left| full_after_writes(left); "the disk is full")]
#[test_case(&|left| failing_after_syncs(left); "a sync fails")]
fn after_a_failure_nothing_more_is_written_and_a_restart_reads_a_prefix(failing: &dyn Fn(usize) -> Writer) {
    let steps = [append(1, 1), append(2, 1), append(3, 1), snapshot(2, 1), append(4, 1)];
    for left in 0..12 {
        let folder = TempDir::new().expect("a temporary folder can be created");
        write(folder.path(), &[]);
        let (mut open, _, _) = DataFolder::open_with(folder.path(), failing(left)).expect("the folder opens");
        let written = steps.iter().take_while(|step| open.persist(step).is_ok()).count();
        if written < steps.len() {
            let error = open.persist(&append(9, 9)).expect_err("nothing is written after an error");
            // The call may be repeated after a full disk. Any other error is final.
            let nothing_written =
                matches!(error, DataFolderError::Failed { .. } | DataFolderError::Full { .. });
            assert!(nothing_written, "{error}");
        }
        drop(open);
        let last = read(folder.path()).records.last().map_or(0, |record| record.index.0);
        let acknowledged = [0, 1, 2, 3, 3, 4][written];
        assert!(
            last >= acknowledged,
            "record {acknowledged} was acknowledged, but the last one read is {last}"
        );
        assert!(last <= 4, "record {last} was never acknowledged");
    }
}

/// Returns a writer whose disk is full for `times` writes, starting with write `from`. Each failed write leaves half of
/// its bytes.
fn full_for_writes(from: usize, times: usize) -> Writer {
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
fn a_write_refused_by_a_full_disk_is_written_once_when_repeated() {
    let steps = [append(1, 1), append(2, 1), append(3, 1), snapshot(2, 1), append(4, 1)];
    for from in 1..10 {
        let folder = TempDir::new().expect("a temporary folder can be created");
        write(folder.path(), &[]);
        let (mut open, _, _) =
            DataFolder::open_with(folder.path(), full_for_writes(from, 3)).expect("the folder opens");
        for step in &steps {
            let mut refused = 0;
            while let Err(error) = open.persist(step) {
                assert!(matches!(error, DataFolderError::Full { .. }), "{error}");
                refused += 1;
                assert!(refused <= 3, "the disk has free space again");
            }
        }
        drop(open);
        let records: Vec<u64> = read(folder.path()).records.iter().map(|record| record.index.0).collect();
        assert_eq!(records, [3, 4], "full from write {from}");
    }
}
