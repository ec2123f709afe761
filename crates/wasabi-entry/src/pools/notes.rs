//! Logs and counts crashes of endpoints, and what became of the requests on them.

use wasabi_protocol::{id, request::End, rpc::Release};
use wasabi_routing::poison;
use wasabi_scheduler::pool::{Note, Summary};

use crate::metrics::Metrics;

/// Maximum number of requests of one crash that are logged.
const LOGGED_REQUESTS_MAX: usize = 8;

/// Logs an attempt whose connection broke, and whether its answer had begun.
pub(crate) fn log_broken(pool: &id::Pool, release: &Release) {
    if release.report.end != End::Broken {
        return;
    }
    let Release { endpoint, attempt, route, report, .. } = release;
    let has_begun = report.first_token.is_some();
    tracing::info!(%pool, %endpoint, %attempt, %route, has_begun, "connection of an attempt broke");
}

/// Logs and counts what happened in a pool.
pub(crate) fn record(metrics: &Metrics, pool: &id::Pool, note: Note) {
    match note {
        Note::Crashed { endpoint, sign, requests } => {
            metrics.crashes.inc();
            let count = requests.len();
            let first: Vec<_> =
                requests.iter().take(LOGGED_REQUESTS_MAX).map(ToString::to_string).collect();
            tracing::info!(%pool, %endpoint, ?sign, count, ?first, "endpoint crashed");
        }
        Note::Rate { endpoint, per_1000_s } => {
            let per_s = per_1000_s.map(|rate| rate as f64 / 1_000.0);
            tracing::info!(%pool, %endpoint, per_s, "rate of an endpoint changed");
        }
        Note::Load(load) => log_load(pool, &load),
        Note::Poison(change) => log_poison(metrics, pool, change),
        Note::Isolated { endpoint, suspect, queued } => {
            metrics.isolated.inc();
            let queued_ms = queued.0;
            tracing::info!(%pool, %endpoint, %suspect, queued_ms, "suspect runs alone");
        }
    }
}

fn log_load(pool: &id::Pool, load: &Summary) {
    tracing::info!(
        %pool,
        time_ms = load.time.0,
        waiting = load.waiting,
        running = load.running,
        capacity = load.capacity,
        granted = load.granted,
        refused = load.refused,
        held_ms = load.held.0,
        at_endpoint_ms = load.at_endpoint.0,
        "load of a pool"
    );
}

fn log_poison(metrics: &Metrics, pool: &id::Pool, change: poison::Change) {
    match change {
        poison::Change::Quarantined { part, crashes } => {
            metrics.quarantined_parts.inc();
            tracing::warn!(%pool, %part, crashes, "part of prompts quarantined: it crashes endpoints");
        }
        poison::Change::Tried { part } => {
            tracing::info!(%pool, %part, "trying a quarantined part of prompts");
        }
        poison::Change::Released { part } => {
            metrics.released_parts.inc();
            tracing::info!(%pool, %part, "part of prompts released: an answer to it began");
        }
    }
}
