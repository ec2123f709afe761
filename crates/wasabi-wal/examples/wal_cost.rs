//! Measures the throughput and latency of synced appends, the recovery time and the log size.
//!
//! Arguments: a directory on the disk to measure, and the payload size in bytes (default 200).

use std::{
    env, error, fs,
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use wasabi_wal::{Log, Record};

type Result<T, E = Box<dyn error::Error>> = std::result::Result<T, E>;

/// Duration of each append measurement.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(3);

const PAYLOAD_BYTES: usize = 200;

/// Number of records after which a snapshot is saved in the measurement with compaction.
const COMPACT_EVERY: u64 = 500;

fn main() -> Result<()> {
    let mut arguments = env::args().skip(1);
    let dir = PathBuf::from(
        arguments.next().ok_or("missing argument: a directory on the disk to measure")?,
    );
    let payload = arguments.next().map_or(Ok(PAYLOAD_BYTES), |text| text.parse())?;
    println!("cores: {}, payload: {payload} B", thread::available_parallelism()?);
    println!("batch, records/s, syncs/s, sync p50 us, sync p99 us");
    for batch in [1, 8, 64, 512] {
        measure_appends(&dir.join("wal-cost"), payload, batch)?;
    }
    println!("records, compacted, log bytes, recovery ms");
    for count in [1_000, 10_000] {
        for compact_every in [None, Some(COMPACT_EVERY)] {
            measure_recovery(&dir.join("wal-cost"), payload, count, compact_every)?;
        }
    }
    Ok(())
}

fn measure_appends(dir: &Path, payload: usize, batch: u64) -> Result<()> {
    let mut log = Log::open(dir)?.log;
    let mut latency = Histogram::<u64>::new(3)?;
    let start = Instant::now();
    while start.elapsed() < MEASUREMENT_DURATION {
        let begin = Instant::now();
        log.append(&records(log.next_index(), batch, payload))?;
        log.sync()?;
        latency.record(u64::try_from(begin.elapsed().as_micros())?)?;
    }
    let syncs = latency.len() as f64 / start.elapsed().as_secs_f64();
    let (p50, p99) = (latency.value_at_quantile(0.5), latency.value_at_quantile(0.99));
    println!("{batch}, {:.0}, {syncs:.0}, {p50}, {p99}", syncs * batch as f64);
    drop(log);
    Ok(fs::remove_dir_all(dir)?)
}

fn measure_recovery(
    dir: &Path,
    payload: usize,
    count: u64,
    compact_every: Option<u64>,
) -> Result<()> {
    let mut log = Log::open(dir)?.log;
    for index in 1..=count {
        log.append(&records(index, 1, payload))?;
        log.sync()?;
        if compact_every.is_some_and(|every| index % every == 0) {
            log.save_snapshot(index, 1, &vec![0; payload])?;
            log.compact(index)?;
        }
    }
    let size = log.size();
    drop(log);
    let begin = Instant::now();
    let recovered = Log::open(dir)?;
    let elapsed = begin.elapsed();
    let covered = recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    if covered + recovered.entries.len() as u64 != count {
        return Err("recovery lost records".into());
    }
    println!("{count}, {}, {size}, {:.2}", compact_every.is_some(), elapsed.as_secs_f64() * 1e3);
    drop(recovered);
    Ok(fs::remove_dir_all(dir)?)
}

fn records(from: u64, count: u64, payload: usize) -> Vec<Record> {
    let record = |index| Record { index, term: 1, data: vec![7; payload].into() };
    (from..from + count).map(record).collect()
}
