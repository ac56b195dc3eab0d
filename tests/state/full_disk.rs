//! A data folder whose disk is full for a while.

use std::fs;
use std::os::unix::fs::symlink;
use std::path::PathBuf;

use daisyquay::agreement::Entry;
use daisyquay::agreement::HardState;
use daisyquay::agreement::Membership;
use daisyquay::agreement::Payload;
use daisyquay::agreement::Persist;
use daisyquay::agreement::ReplicaId;
use daisyquay::agreement::Snapshot;
use daisyquay::storage::DataFolder;
use daisyquay::storage::Store;

/// A device on which every write fails as on a full disk.
const FULL_DEVICE: &str = "/dev/full";

fn entry(index: u64) -> Entry {
    Entry {
        term: 1,
        index,
        payload: Payload::Command(vec![7; 100]),
    }
}

fn append(index: u64) -> Persist {
    Persist {
        hard_state: Some(HardState {
            term: index,
            vote: None,
        }),
        entries: vec![entry(index)],
        ..Persist::default()
    }
}

fn compact(index: u64) -> Persist {
    Persist {
        snapshot: Some(Snapshot {
            index,
            term: 1,
            membership: Membership::default(),
            data: vec![1; 300],
        }),
        ..Persist::default()
    }
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("daisyquay-{name}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Plays writes with a compaction in the middle, during which the disk is full for the file `full`,
/// and checks what a restart finds.
fn check(full: &str) {
    let path = folder(full);
    let mut opened = DataFolder::open(&path, ReplicaId(1)).unwrap();
    let store = &mut opened.data_folder;
    store.save((1..=10).map(append).collect()).unwrap();
    let blocked = path.join(full);
    symlink(FULL_DEVICE, &blocked).unwrap();
    assert!(store.save(vec![compact(8)]).is_err());
    for index in 11..=15 {
        assert!(store.save(vec![append(index)]).is_err());
    }
    // Another snapshot is due before the first one is on the disk.
    assert!(store.save(vec![compact(12), append(16)]).is_err());
    fs::remove_file(&blocked).unwrap();
    store.save(Vec::new()).unwrap();
    store.save(vec![append(17)]).unwrap();
    drop(opened);
    let restored = DataFolder::open(&path, ReplicaId(2)).unwrap().restored;
    assert_eq!(restored.hard_state.term, 17);
    assert_eq!(restored.log.snapshot().index, 12);
    let entries = restored.log.entries_from(13, usize::MAX);
    assert_eq!(entries, (13..=17).map(entry).collect::<Vec<_>>());
    fs::remove_dir_all(&path).unwrap();
}

/// Guards against a replica that lacks a tail of its log, or keeps a part of a snapshot, after its disk
/// was full.
#[test]
fn writes_that_a_full_disk_refuses_are_made_once_it_has_room() {
    check("snapshot.new");
    check("log.new");
}
