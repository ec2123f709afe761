//! Metrics of one member.

use std::sync::{Arc, atomic::AtomicU64};

use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue},
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::Registry,
};
use wasabi_protocol::{clock::Millis, id, rpc::Extent};

/// Metrics of a member. Clones share their values.
#[derive(Debug, Clone, Default)]
pub struct Metrics {
    pub(crate) leading: Gauge,
    pub(crate) revision: Gauge,
    pub(crate) applied_index: Gauge,
    pub(crate) log_bytes: Gauge,
    pub(crate) keys: Gauge,
    pub(crate) key_bytes: Gauge,
    pub(crate) serving_entries: Gauge,
    pub(crate) voters: Gauge,
    pub(crate) short_seconds: Gauge<f64, AtomicU64>,
    pub(crate) commits: Counter,
    forwarded: Family<ForwardedLabels, Counter>,
    replaced: Family<ReplacedLabels, Counter>,
    under_way_bytes: Family<ConnectionLabels, Gauge>,
    unanswered_seconds: Family<ConnectionLabels, Gauge<f64, AtomicU64>>,
    config_answers: Family<ExtentLabels, Counter>,
    config_answer_bytes: Family<ExtentLabels, Counter>,
}

/// Traffic class of a connection to another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub(crate) enum Kind {
    /// Heartbeats, votes and answers.
    Small,
    /// Entries and snapshots.
    Bulk,
}

/// Why a connection to another member was replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub(crate) enum Cause {
    /// It stopped answering, and a candidate connected first.
    Silent,
    /// It was closed.
    Broken,
}

/// Labels of replaced connections.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ReplacedLabels {
    kind: Kind,
    cause: Cause,
}

/// Labels of a connection to one member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ConnectionLabels {
    member: String,
    kind: Kind,
}

/// Labels of configuration answers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ExtentLabels {
    /// Which extent of the configuration the answer held.
    extent: &'static str,
}

/// Labels of calls that this host forwarded to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ForwardedLabels {
    call: &'static str,
    end: CallResult,
}

/// Result of a forwarded call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(EncodeLabelValue)]
pub(crate) enum CallResult {
    /// The leader answered.
    Answered,
    /// No leader was found, or it did not answer in time.
    Unavailable,
}

impl Metrics {
    /// Returns a registry with all metrics of the member.
    pub fn registry(&self) -> Arc<Registry> {
        let mut registry = Registry::with_prefix("wasabi_control");
        for (name, help, gauge) in [
            ("leading", "1 while this member leads", &self.leading),
            ("revision", "Configuration revision that this member holds", &self.revision),
            ("applied_index", "Last log index in the state machine", &self.applied_index),
            ("log_bytes", "Bytes of log segments on disk", &self.log_bytes),
            ("keys", "At-most-once records", &self.keys),
            ("key_bytes", "Bytes accounted to at-most-once records", &self.key_bytes),
            ("serving_entries", "Entries of the view that take new callers", &self.serving_entries),
            ("voters", "Voters of the control group that this member knows", &self.voters),
        ] {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "short_seconds",
            "Time for which the group that this member leads has been short of a member, in seconds",
            self.short_seconds.clone(),
        );
        registry.register(
            "forwarded_calls",
            "Operators' calls that this host made at the leader, by their end",
            self.forwarded.clone(),
        );
        registry.register(
            "replaced_connections",
            "Connections to other members that were replaced, by cause",
            self.replaced.clone(),
        );
        registry.register(
            "under_way_bytes",
            "Bytes of messages for a member that wait or have no answer",
            self.under_way_bytes.clone(),
        );
        registry.register(
            "unanswered_seconds",
            "Age of the oldest request to a member without an answer, in seconds",
            self.unanswered_seconds.clone(),
        );
        registry.register(
            "config_answers",
            "Answers with the configuration, by how much of it they held",
            self.config_answers.clone(),
        );
        registry.register(
            "config_answer_bytes",
            "Bytes of answers with the configuration",
            self.config_answer_bytes.clone(),
        );
        registry.register("commits", "Committed log entries", self.commits.clone());
        Arc::new(registry)
    }

    /// Counts a configuration answer.
    pub(crate) fn count_answer(&self, extent: Extent, bytes: usize) {
        let labels = ExtentLabels { extent: extent.as_str() };
        self.config_answers.get_or_create(&labels).inc();
        self.config_answer_bytes.get_or_create(&labels).inc_by(bytes as u64);
    }

    pub(crate) fn count_forwarded(&self, call: &'static str, end: CallResult) {
        self.forwarded.get_or_create(&ForwardedLabels { call, end }).inc();
    }

    pub(crate) fn count_replaced(&self, kind: Kind, cause: Cause) {
        self.replaced.get_or_create(&ReplacedLabels { kind, cause }).inc();
    }

    pub(crate) fn set_connection(
        &self,
        member: &id::Member,
        kind: Kind,
        bytes: usize,
        oldest: Millis,
    ) {
        let labels = ConnectionLabels { member: member.as_str().to_owned(), kind };
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.under_way_bytes.get_or_create(&labels).set(bytes);
        self.unanswered_seconds.get_or_create(&labels).set(oldest.seconds());
    }

    /// Removes the values of a closed connection.
    pub(crate) fn remove_connection(&self, member: &id::Member, kind: Kind) {
        let labels = ConnectionLabels { member: member.as_str().to_owned(), kind };
        self.under_way_bytes.remove(&labels);
        self.unanswered_seconds.remove(&labels);
    }
}
