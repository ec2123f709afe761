//! Model-based tests of the log with restarts, truncations, snapshots and compactions.
#![allow(clippy::unwrap_used, missing_docs)]

use std::fs;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use tempfile::TempDir;
use wasabi_consensus::{Batch, Entry, Membership, Payload, PersistentState, Position, Snapshot};
use wasabi_wal::{Log, Options, Record, Vote, replica};

const SMALL_SEGMENTS: Options = Options { segment_bytes: 512, sync: fs::File::sync_data };

#[derive(Debug, Clone)]
enum Op {
    Append(u8),
    Truncate(u8),
    Vote,
    Snapshot(u8),
    /// Installs a snapshot from a leader that conflicts with the log or is ahead of it.
    Install(u8),
    /// Appends records and reopens the log without a sync, which loses them.
    Unsynced(u8),
    Restart,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        5 => (1..20_u8).prop_map(Op::Append),
        2 => any::<u8>().prop_map(Op::Truncate),
        1 => Just(Op::Vote),
        2 => any::<u8>().prop_map(Op::Snapshot),
        1 => (1..20_u8).prop_map(Op::Install),
        1 => (1..20_u8).prop_map(Op::Unsynced),
        3 => Just(Op::Restart),
    ]
}

#[derive(Debug, Default)]
struct Model {
    snapshot: Option<(u64, u64)>,
    entries: Vec<Record>,
    vote: Vote,
}

impl Model {
    fn covered(&self) -> u64 {
        self.snapshot.map_or(0, |(index, _)| index)
    }

    fn last(&self) -> u64 {
        self.entries.last().map_or(self.covered(), |entry| entry.index)
    }

    fn records(&self, count: u8) -> Vec<Record> {
        let term = self.vote.term;
        let data = vec![count; usize::from(count)];
        let record = |index| Record { index, term, data: data.clone().into() };
        (self.last() + 1..=self.last() + u64::from(count)).map(record).collect()
    }
}

fn apply(dir: &TempDir, mut log: Log, model: &mut Model, op: &Op) -> Log {
    match *op {
        Op::Append(count) => {
            let records = model.records(count);
            log.append(&records).unwrap();
            model.entries.extend(records);
        }
        Op::Truncate(back) => {
            let from = model.last().saturating_sub(u64::from(back % 8)).max(model.covered()) + 1;
            log.truncate_from(from).unwrap();
            model.entries.retain(|entry| entry.index < from);
        }
        Op::Vote => {
            let term = model.vote.term + 1;
            log.save_vote(term, Some("m")).unwrap();
            model.vote = Vote { term, voted_for: Some("m".to_owned()) };
        }
        Op::Snapshot(back) => {
            let at = usize::from(back) % model.entries.len().max(1);
            let Some(Record { index, term, .. }) = model.entries.get(at).cloned() else {
                return log;
            };
            log.save_snapshot(index, term, b"state").unwrap();
            log.compact(index).unwrap();
            model.snapshot = Some((index, term));
            model.entries.retain(|entry| index < entry.index);
        }
        Op::Install(ahead) => {
            let index = model.covered() + u64::from(ahead);
            let term = model.vote.term + 1;
            log.save_vote(term, None).unwrap();
            model.vote = Vote { term, voted_for: None };
            log.save_snapshot(index, term, b"state").unwrap();
            log.truncate_from(index + 1).unwrap();
            model.snapshot = Some((index, term));
            model.entries.clear();
        }
        Op::Unsynced(count) => {
            log.append(&model.records(count)).unwrap();
            return reopen(dir, log, model);
        }
        Op::Restart => return reopen(dir, log, model),
    }
    log.sync().unwrap();
    log
}

fn reopen(dir: &TempDir, log: Log, model: &Model) -> Log {
    drop(log);
    let recovered = Log::open_with(dir, SMALL_SEGMENTS).unwrap();
    let snapshot = recovered.snapshot.map(|snapshot| (snapshot.index, snapshot.term));
    assert_eq!(snapshot, model.snapshot);
    assert_eq!(recovered.entries, model.entries);
    assert_eq!(recovered.vote, model.vote);
    assert_eq!(recovered.log.next_index(), model.last() + 1);
    recovered.log
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(31), cases: 60, ..Config::default() })]

    /// Guards against a restart that restores discarded records, loses synced ones, or loses a vote
    /// whose segment was removed.
    #[test]
    fn a_restart_recovers_the_synced_state(ops in proptest::collection::vec(op(), 1..60)) {
        let dir = tempfile::tempdir().unwrap();
        let mut model = Model::default();
        let mut log = Log::open_with(&dir, SMALL_SEGMENTS).unwrap().log;
        for op in &ops {
            log = apply(&dir, log, &mut model, op);
        }
        reopen(&dir, log, &model);
    }
}

/// Guards against a log directory whose size grows with the number of changes, and against a
/// restart that has to read all of them.
#[test]
fn a_compacted_log_stays_small_over_thousands_of_changes() {
    let dir = tempfile::tempdir().unwrap();
    let mut model = Model::default();
    let options = Options { segment_bytes: 16 * 1_024, ..Options::default() };
    let mut log = Log::open_with(&dir, options).unwrap().log;
    let mut max_size = 0;
    for round in 0..250 {
        log = apply(&dir, log, &mut model, &Op::Append(20));
        if round % 10 == 9 {
            log = apply(&dir, log, &mut model, &Op::Snapshot(199));
            drop(log);
            log = Log::open_with(&dir, options).unwrap().log;
        }
        max_size = max_size.max(log.size());
    }
    assert_eq!(model.last(), 5_000);
    assert!(max_size < 3 * options.segment_bytes, "{max_size} bytes");
    let names = fs::read_dir(&dir).unwrap().map(|entry| entry.unwrap().file_name());
    let snapshots = names.filter(|name| name.to_string_lossy().ends_with(".snap")).count();
    assert_eq!(snapshots, 1);
}

/// Guards against an inconsistent log after a crash between saving a snapshot from a leader and
/// discarding the records that conflict with it.
#[test]
fn records_that_conflict_with_a_snapshot_are_discarded() {
    let dir = tempfile::tempdir().unwrap();
    let mut model = Model::default();
    let log = Log::open_with(&dir, SMALL_SEGMENTS).unwrap().log;
    let mut log = apply(&dir, log, &mut model, &Op::Append(10));
    // The process terminates before the truncation.
    log.save_snapshot(5, 9, b"state").unwrap();
    drop(log);
    let mut recovered = Log::open_with(&dir, SMALL_SEGMENTS).unwrap();
    assert!(recovered.entries.is_empty());
    recovered.log.append(&[Record { index: 6, term: 9, data: vec![1].into() }]).unwrap();
    recovered.log.sync().unwrap();
    drop(recovered);
    assert_eq!(Log::open_with(&dir, SMALL_SEGMENTS).unwrap().entries.len(), 1);
}

/// Guards against recovery that continues past a missing segment.
#[test]
fn a_missing_segment_prevents_recovery() {
    let dir = tempfile::tempdir().unwrap();
    let mut model = Model::default();
    let mut log = Log::open_with(&dir, SMALL_SEGMENTS).unwrap().log;
    for _ in 0..12 {
        log = apply(&dir, log, &mut model, &Op::Append(15));
    }
    drop(log);
    let mut paths: Vec<_> =
        fs::read_dir(&dir).unwrap().map(|entry| entry.unwrap().path()).collect();
    paths.retain(|path| path.extension().is_some_and(|end| end == "log"));
    paths.sort();
    assert!(3 < paths.len());
    for path in &paths[..paths.len() - 1] {
        let content = fs::read(path).unwrap();
        fs::remove_file(path).unwrap();
        assert!(Log::open_with(&dir, SMALL_SEGMENTS).is_err(), "without {path:?}");
        fs::write(path, content).unwrap();
    }
    assert!(Log::open_with(&dir, SMALL_SEGMENTS).is_ok());
}

/// Guards against a batch that differs after it is stored and restored.
#[test]
fn a_stored_batch_is_restored_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let members = Membership::of_voters(["a".into(), "b".into()]);
    let initial = PersistentState::bootstrap(members.voters.clone());
    let mut log = Log::open(&dir).unwrap().log;
    replica::bootstrap(&mut log, &initial).unwrap();
    let entry = |index, data| Entry { term: 2, index, data };
    let payloads = [Payload::Empty, Payload::Command(vec![3].into()), Payload::Members(members)];
    let entries: Vec<_> = (2..).zip(payloads).map(|(index, data)| entry(index, data)).collect();
    let vote = wasabi_consensus::Vote { term: 4, voted_for: Some("b".into()) };
    let batch = Batch {
        vote: Some(vote.clone()),
        snapshot: None,
        truncate_from: None,
        entries: entries.clone(),
    };
    replica::store(&mut log, &batch).unwrap();
    drop(log);
    let (mut log, restored) = replica::restore(Log::open(&dir).unwrap()).unwrap();
    assert_eq!((restored.vote, restored.entries), (vote, entries));
    assert_eq!(restored.snapshot, initial.snapshot);

    let last = Position { term: 3, index: 3 };
    let snapshot = Snapshot { last, data: vec![9].into(), ..initial.snapshot };
    let batch = Batch {
        vote: None,
        snapshot: Some(snapshot.clone()),
        truncate_from: Some(4),
        entries: vec![entry(4, Payload::Empty)],
    };
    replica::store(&mut log, &batch).unwrap();
    drop(log);
    let (_, restored) = replica::restore(Log::open(&dir).unwrap()).unwrap();
    assert_eq!((restored.snapshot, restored.entries), (snapshot, batch.entries));
}
