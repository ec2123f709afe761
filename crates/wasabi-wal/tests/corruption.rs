//! Recovery from torn tails, detection of corrupted data, and failed syncs.
#![allow(clippy::unwrap_used, missing_docs)]

use std::{
    fs, io,
    path::PathBuf,
    sync::atomic::{AtomicBool, Ordering},
};

use wasabi_wal::{Error, Log, Options, Record, identity};

fn record(index: u64) -> Record {
    Record { index, term: 1, data: format!("record {index}").into() }
}

/// Writes records 1 to `count` with one sync each, and returns the path of the only segment.
fn write(dir: &tempfile::TempDir, count: u64) -> PathBuf {
    let mut log = Log::open(dir).unwrap().log;
    for index in 1..=count {
        log.append(&[record(index)]).unwrap();
        log.sync().unwrap();
    }
    fs::read_dir(dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .find(|path| path.extension().is_some_and(|end| end == "log"))
        .unwrap()
}

/// Guards against a torn last write that makes the log unreadable or loses an earlier record.
#[test]
fn truncation_at_any_byte_of_the_last_record_loses_only_that_record() {
    let dir = tempfile::tempdir().unwrap();
    let path = write(&dir, 3);
    let start = fs::metadata(&path).unwrap().len();
    {
        let mut log = Log::open(&dir).unwrap().log;
        log.append(&[record(4)]).unwrap();
        log.sync().unwrap();
    }
    let original = fs::read(&path).unwrap();
    for length in start as usize..original.len() {
        fs::write(&path, &original[..length]).unwrap();
        let recovered = Log::open(&dir).unwrap();
        assert_eq!(
            recovered.entries,
            (1..=3).map(record).collect::<Vec<_>>(),
            "truncated to {length} bytes"
        );
        let mut log = recovered.log;
        log.append(&[record(4)]).unwrap();
        log.sync().unwrap();
        drop(log);
        assert_eq!(Log::open(&dir).unwrap().entries.len(), 4, "truncated to {length} bytes");
    }
}

/// Guards against a torn write of which later sectors were written but earlier ones were not.
#[test]
fn zeros_in_place_of_the_last_record_are_a_torn_tail() {
    let dir = tempfile::tempdir().unwrap();
    let path = write(&dir, 3);
    let mut content = fs::read(&path).unwrap();
    content.extend([0; 4_096]);
    content.extend([7; 100]);
    fs::write(&path, &content).unwrap();
    assert_eq!(Log::open(&dir).unwrap().entries.len(), 3);
}

/// Guards against corruption of synced records that is treated as a torn tail, which would silently
/// lose acknowledged writes.
#[test]
fn a_flipped_bit_before_the_tail_is_reported_as_corruption() {
    let dir = tempfile::tempdir().unwrap();
    let path = write(&dir, 3);
    // The next open marks all earlier frames as synced.
    let end = fs::metadata(&path).unwrap().len() as usize;
    drop(Log::open(&dir).unwrap());
    let original = fs::read(&path).unwrap();
    for at in 0..end {
        let mut content = original.clone();
        content[at] ^= 1 << (at % 8);
        fs::write(&path, &content).unwrap();
        let error = Log::open(&dir).unwrap_err();
        assert!(matches!(error, Error::Corrupted { .. }), "byte {at}: {error}");
        assert_eq!(fs::read(&path).unwrap(), content, "the corrupted file was modified");
    }
}

static FAIL_SYNC: AtomicBool = AtomicBool::new(false);

fn sync_or_fail(file: &fs::File) -> io::Result<()> {
    if FAIL_SYNC.load(Ordering::Relaxed) {
        Err(io::Error::other("no space"))
    } else {
        file.sync_data()
    }
}

/// Guards against a retried sync that reports success although the kernel discarded the data.
#[test]
fn a_failed_sync_is_final() {
    let dir = tempfile::tempdir().unwrap();
    let options = Options { sync: sync_or_fail, ..Options::default() };
    let mut log = Log::open_with(&dir, options).unwrap().log;
    log.append(&[record(1)]).unwrap();
    FAIL_SYNC.store(true, Ordering::Relaxed);
    assert!(matches!(log.sync(), Err(Error::Io { .. })));
    FAIL_SYNC.store(false, Ordering::Relaxed);
    assert!(matches!(log.sync(), Err(Error::Failed)));
    assert!(matches!(log.append(&[record(2)]), Err(Error::Failed)));
}

/// Guards against a member that votes under its previous id after its disk was replaced, or that
/// uses a log of an unknown member.
#[test]
fn an_empty_directory_gets_a_new_member_id() {
    let dir = tempfile::tempdir().unwrap();
    let first = identity::load_or_create(&dir, "h1").unwrap();
    let again = identity::load_or_create(&dir, "h1").unwrap();
    assert!(first.is_new && !again.is_new);
    assert_eq!(first.member, again.member);
    drop(Log::open(&dir).unwrap());
    fs::remove_file(dir.path().join(identity::FILE_NAME)).unwrap();
    assert!(matches!(identity::load_or_create(&dir, "h1"), Err(Error::Missing { .. })));
    let other = tempfile::tempdir().unwrap();
    assert_ne!(identity::load_or_create(&other, "h1").unwrap().member, first.member);
}
