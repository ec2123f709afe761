//! Measures the overhead of an entry, compared with direct calls to the same stand-in in the same
//! run.
//!
//! `cargo run --release -p wasabi-entry --example latency -- [latency|throughput|idle]`

use std::{
    error::Error,
    fs,
    path::Path,
    time::{Duration, Instant},
};

use argh::FromArgs;
use futures_util::{StreamExt as _, future::join_all};
use hdrhistogram::Histogram;
use wasabi_entry::Daemon;
use wasabi_protocol::{clock::Millis, endpoint::Kind, fingerprint};
use wasabi_settings::{entry::Settings, file};
use wasabi_standin::Standin;

const TOKEN: &str = "measured";

/// Number of idle open streams for the memory measurement.
const IDLE_STREAMS: usize = 2_000;

/// Period over which the CPU time of an idle entry is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(10);

/// Period over which the starts of a batch's callers are spread; about the length of one stream.
const STAGGER: Duration = Duration::from_millis(160);

/// Number of threads that run callers.
const CALLER_THREADS: usize = 2;

type Result<T, E = Box<dyn Error>> = std::result::Result<T, E>;

/// Measures the overhead of an entry, compared with direct calls to the same stand-in.
#[derive(FromArgs)]
struct Arguments {
    /// what to measure: latency, throughput, idle, or memory
    #[argh(positional)]
    what: String,
    /// requests per measured point
    #[argh(option, default = "4000")]
    requests: usize,
}

struct TestSetup {
    daemon: Daemon,
    standin: Standin,
    _folder: tempfile::TempDir,
}

fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    println!("cores={}", std::thread::available_parallelism()?);
    actix_rt::System::new().block_on(async {
        match arguments.what.as_str() {
            "latency" => latency(arguments.requests).await,
            "throughput" => throughput(arguments.requests).await,
            "idle" => idle().await,
            "memory" => memory().await,
            other => Err(format!("unknown measurement `{other}`").into()),
        }
    })
}

/// Starts an entry with one traffic thread and a stand-in, and waits until the entry serves calls.
async fn start(between: Millis) -> Result<TestSetup> {
    let folder = tempfile::tempdir()?;
    let contracts = folder.path().join("contracts.yaml");
    fs::write(&contracts, contract(&fingerprint::token(TOKEN)))?;
    let settings: Settings =
        file::parse(&settings(&contracts)).map_err(|faults| faults.join("; "))?;
    let daemon = Daemon::start(settings)?;
    let mut standin = wasabi_standin::Settings::new("m1", Kind::Model, "m");
    standin.concurrency = 100_000;
    standin.between_tokens_ms = between;
    standin.entries = vec![daemon.callers().to_string()];
    let standin = Standin::start(standin)?;
    let client = client();
    let address = daemon.callers().to_string();
    while call(&client, &address, 1).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(TestSetup { daemon, standin, _folder: folder })
}

/// Time to the first token, time to the end, and bytes received.
struct CallTiming {
    first: Duration,
    total: Duration,
    bytes: usize,
}

async fn call(client: &awc::Client, address: &str, tokens: u32) -> Result<CallTiming> {
    let body = format!(
        r#"{{"model":"m","stream":true,"max_tokens":{tokens},"messages":[{{"role":"user","content":"stock of coal"}}]}}"#
    );
    let started = Instant::now();
    let mut response = client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("authorization", format!("Bearer {TOKEN}")))
        .send_body(body)
        .await
        .map_err(|error| error.to_string())?;
    let (mut first, mut bytes, mut tail) = (None, 0, Vec::new());
    while let Some(chunk) = response.next().await {
        let chunk = chunk?;
        first.get_or_insert_with(|| started.elapsed());
        bytes += chunk.len();
        tail = chunk[chunk.len().saturating_sub(16)..].to_vec();
    }
    if !response.status().is_success() || !tail.ends_with(b"data: [DONE]\n\n") {
        return Err(format!("the response was not complete: {}", response.status()).into());
    }
    Ok(CallTiming { first: first.unwrap_or_default(), total: started.elapsed(), bytes })
}

fn client() -> awc::Client {
    let connector = awc::Connector::new().limit(0);
    awc::Client::builder().connector(connector).disable_timeout().finish()
}

/// The measurements of a batch of calls.
struct Batch {
    first: Histogram<u64>,
    total: Histogram<u64>,
    bytes: usize,
    time: Duration,
}

/// Sends `requests` calls from `streams` concurrent callers, each of which makes one call at a
/// time.
async fn batch(address: &str, streams: usize, requests: usize, tokens: u32) -> Result<Batch> {
    let started = Instant::now();
    let threads = (0..CALLER_THREADS.min(streams)).map(|thread| {
        let address = address.to_owned();
        let callers = (thread..streams).step_by(CALLER_THREADS).count();
        let (send, receive) = tokio::sync::oneshot::channel();
        std::thread::spawn(move || {
            let timings = actix_rt::System::new().block_on(async {
                let client = client();
                let each = (requests / streams).max(2);
                let (client, address) = (&client, &address);
                let callers = (0..callers).map(|caller| async move {
                    let mut timings = Vec::new();
                    // Spread the starts; a simultaneous start would measure a burst.
                    tokio::time::sleep(STAGGER * caller as u32 / callers.max(1) as u32).await;
                    for _ in 0..each {
                        match call(client, address, tokens).await {
                            Ok(one) => timings.push(one),
                            Err(error) => return Err(error.to_string()),
                        }
                    }
                    Ok(timings)
                });
                join_all(callers).await.into_iter().collect::<Result<Vec<_>, _>>()
            });
            // Sending cannot fail: the receiver waits for every thread.
            let _ = send.send(timings);
        });
        receive
    });
    let mut batch = Batch {
        first: Histogram::new(3)?,
        total: Histogram::new(3)?,
        bytes: 0,
        time: Duration::ZERO,
    };
    for timings in join_all(threads).await {
        for one in timings??.into_iter().flatten() {
            batch.first.record(u64::try_from(one.first.as_micros())?)?;
            batch.total.record(u64::try_from(one.total.as_micros())?)?;
            batch.bytes += one.bytes;
        }
    }
    batch.time = started.elapsed();
    Ok(batch)
}

async fn latency(requests: usize) -> Result<()> {
    for streams in [1, 64, 512] {
        // Tokens are paced as by an engine, so that latency is measured rather than the capacity of
        // this machine.
        let setup = start(Millis(20)).await?;
        let direct = setup.standin.address().to_string();
        let entry = setup.daemon.callers().to_string();
        let requests = if streams == 1 { requests / 20 } else { requests };
        for address in [&direct, &entry] {
            batch(address, streams, streams * 2, 8).await?;
        }
        let base = batch(&direct, streams, requests, 8).await?;
        let before = queue_times(&setup).await?;
        let through = batch(&entry, streams, requests, 8).await?;
        let after = queue_times(&setup).await?;
        let mean_ms = (after.0 - before.0) / (after.1 - before.1).max(1.0) * 1e3;
        println!("streams={streams} mean_wait_for_grant_ms={mean_ms:.3}");
        for (what, base, through) in
            [("first token", &base.first, &through.first), ("whole", &base.total, &through.total)]
        {
            for quantile in [0.5, 0.99] {
                let (base, through) =
                    (base.value_at_quantile(quantile), through.value_at_quantile(quantile));
                println!(
                    "streams={streams} what={what:?} p={quantile} direct_us={base} \
                     entry_us={through} added_us={} ratio={:.3}",
                    i128::from(through) - i128::from(base),
                    through as f64 / base.max(1) as f64
                );
            }
        }
    }
    Ok(())
}

/// Returns the sum of all queue times, in seconds, and their number.
async fn queue_times(setup: &TestSetup) -> Result<(f64, f64)> {
    let url = format!("http://{}/metrics", setup.daemon.metrics());
    let mut response = client().get(url).send().await.map_err(|error| error.to_string())?;
    let page = String::from_utf8(response.body().limit(1 << 20).await?.to_vec())?;
    let read = |name: &str| -> f64 {
        let values = page.lines().filter(|line| line.starts_with(name));
        values.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
    };
    Ok((read("wasabi_entry_queue_time_seconds_sum"), read("wasabi_entry_queue_time_seconds_count")))
}

async fn throughput(requests: usize) -> Result<()> {
    let setup = start(Millis::ZERO).await?;
    for (what, tokens, requests) in [("requests", 1, requests * 5), ("stream", 10_000, 400)] {
        for (via, address) in
            [("direct", setup.standin.address()), ("entry", setup.daemon.callers())]
        {
            let address = address.to_string();
            batch(&address, 64, 128, tokens).await?;
            let batch = batch(&address, 64, requests, tokens).await?;
            let seconds = batch.time.as_secs_f64();
            println!(
                "what={what} via={via} requests_per_s={:.0} mb_per_s={:.1}",
                batch.first.len() as f64 / seconds,
                batch.bytes as f64 / 1e6 / seconds
            );
        }
    }
    Ok(())
}

/// Measures the CPU time of an entry without callers. Its stand-in announces itself every second.
async fn idle() -> Result<()> {
    let setup = start(Millis::ZERO).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = cpu_time_ticks()?;
    tokio::time::sleep(IDLE_PERIOD).await;
    let used = cpu_time_ticks()? - before;
    // The kernel counts CPU time in ticks of 10 ms.
    let share = used as f64 / 100.0 / IDLE_PERIOD.as_secs_f64();
    println!("idle_cpu_percent={:.2} (entry and stand-in in one process)", share * 100.0);
    drop(setup);
    Ok(())
}

/// Measures the memory of open streams. The stand-in and the callers run in this process too, so
/// the memory of direct streams is measured first and subtracted.
async fn memory() -> Result<()> {
    let setup = start(Millis(5_000)).await?;
    let direct = memory_of_streams(&setup.standin.address().to_string()).await?;
    let through = memory_of_streams(&setup.daemon.callers().to_string()).await?;
    println!(
        "streams={IDLE_STREAMS} direct_bytes={direct} entry_bytes={through} \
         bytes_per_stream_in_entry={}",
        through.saturating_sub(direct) / IDLE_STREAMS
    );
    Ok(())
}

/// Opens idle streams, receives the first token of each, and returns the growth in resident memory.
async fn memory_of_streams(address: &str) -> Result<usize> {
    let client = client();
    let before = resident_bytes()?;
    let opens = (0..IDLE_STREAMS).map(|_| async {
        let body = r#"{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"x"}]}"#;
        let mut response = client
            .post(format!("http://{address}/v1/chat/completions"))
            .insert_header(("authorization", format!("Bearer {TOKEN}")))
            .send_body(body)
            .await
            .map_err(|error| error.to_string())?;
        match response.next().await {
            Some(Ok(_)) => Ok(response),
            other => Err(format!("no first token received: {other:?}")),
        }
    });
    let open = join_all(opens).await.into_iter().collect::<Result<Vec<_>, _>>()?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let grown = resident_bytes()?.saturating_sub(before);
    drop(open);
    Ok(grown)
}

fn resident_bytes() -> Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .ok_or("no VmRSS in /proc/self/status")?;
    Ok(kib.parse::<usize>()? * 1024)
}

fn cpu_time_ticks() -> Result<u64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |index: usize| -> Result<u64> {
        Ok(fields.get(index).ok_or("too few fields in /proc/self/stat")?.parse()?)
    };
    Ok(field(11)? + field(12)?)
}

fn settings(contracts: &Path) -> String {
    format!(
        "name: e1\nregion: r\ndata_centre: d\ntraffic_threads: 1\n\
         listen: {{callers: 127.0.0.1:0, peers: 127.0.0.1:0, metrics: 127.0.0.1:0}}\n\
         contracts: {}\n",
        contracts.display()
    )
}

fn contract(digest: &str) -> String {
    format!(
        "- organisation: o\n  token_digests: [\"{digest}\"]\n  share: 1\n\
         \x20 limits: {{requests_per_s: 1000000, tokens_per_s: 4000000000, concurrency: 100000}}\n\
         \x20 routes:\n\
         \x20 - {{name: r, tier: 0, target: {{model: {{name: m}}}}, repeat: idempotent, \
         first_token_ms: 2000, between_tokens_ms: 60000, deadline_ms: 600000}}\n"
    )
}
