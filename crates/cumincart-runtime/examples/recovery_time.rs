//! Measures the recovery time of a control instance for several log lengths. Prints one JSON line for each.
//!
//! `cargo run --release -p cumincart-runtime --example recovery_time`

use {
    cumincart_core::control::{
        Core, Input, Persist, Settings, Stored, operators::REMEMBERED_OUTCOMES,
        snapshot::SNAPSHOT_AFTER_RECORDS, step,
    },
    cumincart_protocol::{
        change::{Action, Change, ChangeId},
        lists::{KeyDigest, Lists, Organisation, OrganisationList},
        number::{ControlTerm, Incarnation, ListsRevision, LogIndex},
        replication::{Command, DiskId, Member, Members, Record},
        time::Instant,
    },
    cumincart_runtime::data_folder::DataFolder,
    rand_chacha::{ChaCha20Rng, rand_core::SeedableRng},
    std::{path::Path, sync::Arc},
};

const RUNS: usize = 5;
const ORGANISATIONS: usize = 100;
const RECORDS_PER_SYNC: u64 = 64;

fn main() {
    for records in [64, 256, SNAPSHOT_AFTER_RECORDS] {
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        write_log(folder.path(), records);
        let mut times_us: Vec<u128> = (0..RUNS).map(|_| recover(folder.path(), records)).collect();
        times_us.sort_unstable();
        println!(
            r#"{{"measure":"recovery_time","records":{records},"organisations":{ORGANISATIONS},"runs":{RUNS},"p50_us":{},"max_us":{}}}"#,
            times_us[RUNS / 2],
            times_us[RUNS - 1]
        );
    }
}

/// Writes a log in which every record replaces the lists.
fn write_log(path: &Path, records: u64) {
    let (mut folder, _, _) = DataFolder::open(path).expect("the folder opens");
    let all: Vec<Record> = (1..=records).map(record).collect();
    for part in all.chunks(usize::try_from(RECORDS_PER_SYNC).expect("a small number")) {
        folder.persist(&Persist::Append(part.to_vec())).expect("the records are written");
    }
}

fn record(index: u64) -> Record {
    let action = Action::Apply { base: ListsRevision(index - 1), lists: Arc::new(lists(index)) };
    let id = ChangeId(format!("change-{}", index % REMEMBERED_OUTCOMES as u64).into());
    let command = Command::Operator(Change { id, action });
    Record { index: LogIndex(index), term: ControlTerm(1), command }
}

fn lists(number: u64) -> Lists {
    let organisation = |index: usize| Organisation {
        name: format!("organisation-{index}").into(),
        plan: "standard".into(),
        keys: vec![KeyDigest {
            id: format!("key-{index}-{number}").into(),
            sha256: "0123456789abcdef".repeat(4).into(),
        }],
    };
    let organisations = (0..ORGANISATIONS).map(organisation).collect();
    Lists { organisations: OrganisationList { organisations }, ..Lists::default() }
}

/// Opens the folder, elects the instance as the only member, applies its log and returns the time in microseconds.
fn recover(path: &Path, records: u64) -> u128 {
    let started = std::time::Instant::now();
    let (_folder, disk, stored) = DataFolder::open(path).expect("the folder opens");
    let mut core = open_core(disk, stored);
    step(&mut core, Instant::from_millis(1), Input::Tick, &mut Vec::new());
    assert_eq!(core.catalogue.lists_revision, ListsRevision(records));
    started.elapsed().as_micros()
}

fn open_core(disk: DiskId, stored: Stored) -> Core {
    let member =
        Member { instance: "control-1".into(), disk, peer_address: "127.0.0.1:1".into(), domain: None };
    let voters = std::iter::once(member.clone()).collect();
    let first_members = Members { voters, ..Members::default() };
    let settings = Settings { member, incarnation: Incarnation(1), first_members };
    Core::open(settings, stored, ChaCha20Rng::seed_from_u64(1))
}
