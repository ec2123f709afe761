//! Metrics of the entry.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use wasabi_protocol::{clock::Millis, contract::Tier, fault::Kind, rpc::Extent};

use crate::fetch::plan::{End, Source};

/// Labels of metrics by tier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct ByTier {
    /// The tier.
    pub(crate) tier: u32,
}

impl From<Tier> for ByTier {
    fn from(tier: Tier) -> Self {
        Self { tier: u32::from(tier.0) }
    }
}

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct ByKind {
    /// The kind of error.
    pub(crate) kind: String,
    /// The tier, or `unknown` when the request was refused before its tier was known.
    pub(crate) tier: String,
}

/// Labels of a fetch of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
pub(crate) struct ByEnd {
    /// The kind of source.
    source: &'static str,
    /// How it ended.
    end: &'static str,
}

/// Labels of the bytes that a fetch received.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(EncodeLabelSet)]
struct ByExtent {
    /// How much of the configuration was received.
    extent: &'static str,
}

/// The metrics of an entry. Clones share their values.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    /// Complete answers within the deadline and, for streams, within the first-token target.
    pub(crate) goodput: Family<ByTier, Counter>,
    /// Complete answers.
    pub(crate) finished: Family<ByTier, Counter>,
    /// Errors returned to callers.
    pub(crate) refusals: Family<ByKind, Counter>,
    /// Prompt tokens of sent attempts that ended without a complete answer.
    pub(crate) wasted_prefill: Counter,
    /// Time from arrival to grant, in seconds.
    pub(crate) queue_time: Family<ByTier, Histogram>,
    /// Attempts sent to endpoints.
    pub(crate) dispatches: Family<ByTier, Counter>,
    /// Attempts after the first of a request.
    pub(crate) retries: Counter,
    /// Streams resumed from an offset.
    pub(crate) resumes: Counter,
    /// Refusals of endpoints that ask for a rest.
    pub(crate) rests: Counter,
    /// Refusals of endpoints that ask for an invalid rest.
    pub(crate) invalid_rests: Counter,
    /// Responses of endpoints that name an invalid rate.
    pub(crate) invalid_rates: Counter,
    /// Grants that were returned because their owner did not know the rate of the endpoint.
    pub(crate) unpaced_grants: Counter,
    /// Crashes of endpoints that the owned pools noticed.
    pub(crate) crashes: Counter,
    /// Grants of suspects, which run alone.
    pub(crate) isolated: Counter,
    /// Parts of prompts that the owned pools quarantined.
    pub(crate) quarantined_parts: Counter,
    /// Parts of prompts that the owned pools released.
    pub(crate) released_parts: Counter,
    /// Open requests.
    pub(crate) open: Gauge,
    /// The revision in force.
    pub(crate) revision: Gauge,
    /// Finished fetches of the configuration.
    pub(crate) fetches: Family<ByEnd, Counter>,
    /// Bytes received for fetches of the configuration.
    fetched_bytes: Family<ByExtent, Counter>,
    /// Configuration updates that did not yield the sender's configuration.
    pub(crate) unfit: Counter,
    /// Time from the first notice of a newer revision until it is in force, in seconds.
    behind: Histogram,
}

impl Metrics {
    /// Returns the metrics, registered in `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            goodput: Family::default(),
            finished: Family::default(),
            refusals: Family::default(),
            wasted_prefill: Counter::default(),
            queue_time: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 2.0, 16))
            }),
            dispatches: Family::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            rests: Counter::default(),
            invalid_rests: Counter::default(),
            invalid_rates: Counter::default(),
            unpaced_grants: Counter::default(),
            crashes: Counter::default(),
            isolated: Counter::default(),
            quarantined_parts: Counter::default(),
            released_parts: Counter::default(),
            open: Gauge::default(),
            revision: Gauge::default(),
            fetches: Family::default(),
            fetched_bytes: Family::default(),
            unfit: Counter::default(),
            behind: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
        };
        let prefix = registry.sub_registry_with_prefix("wasabi_entry");
        prefix.register("goodput", "Whole answers within their targets", metrics.goodput.clone());
        prefix.register("finished", "Whole answers", metrics.finished.clone());
        prefix.register("refusals", "Errors answered to callers", metrics.refusals.clone());
        prefix.register(
            "wasted_prefill_tokens",
            "Prompt tokens of sent attempts without a whole answer",
            metrics.wasted_prefill.clone(),
        );
        prefix.register(
            "queue_time_seconds",
            "Time from arrival to grant",
            metrics.queue_time.clone(),
        );
        prefix.register("dispatches", "Attempts sent to endpoints", metrics.dispatches.clone());
        prefix.register("retries", "Attempts after the first", metrics.retries.clone());
        prefix.register("resumes", "Streams resumed from an offset", metrics.resumes.clone());
        prefix.register(
            "endpoint_rests",
            "Refusals of endpoints that ask for a rest",
            metrics.rests.clone(),
        );
        prefix.register(
            "endpoint_rests_invalid",
            "Refusals of endpoints that ask for an invalid rest",
            metrics.invalid_rests.clone(),
        );
        prefix.register(
            "endpoint_rates_invalid",
            "Responses of endpoints that name an invalid rate",
            metrics.invalid_rates.clone(),
        );
        prefix.register(
            "unpaced_grants",
            "Grants returned because their owner did not know the rate of the endpoint",
            metrics.unpaced_grants.clone(),
        );
        prefix.register(
            "endpoint_crashes",
            "Crashes of endpoints with requests in flight",
            metrics.crashes.clone(),
        );
        prefix.register(
            "isolated_grants",
            "Grants of requests that may crash endpoints and run alone",
            metrics.isolated.clone(),
        );
        prefix.register(
            "quarantined_parts",
            "Parts of prompts that were quarantined in an owned pool",
            metrics.quarantined_parts.clone(),
        );
        prefix.register(
            "released_parts",
            "Parts of prompts that were released in an owned pool",
            metrics.released_parts.clone(),
        );
        prefix.register("open", "Open requests", metrics.open.clone());
        prefix.register("revision", "Revision in force", metrics.revision.clone());
        prefix.register(
            "config_fetches",
            "Ended fetches of the configuration",
            metrics.fetches.clone(),
        );
        prefix.register(
            "config_fetched_bytes",
            "Bytes received for fetches of the configuration",
            metrics.fetched_bytes.clone(),
        );
        prefix.register(
            "config_unfit",
            "Answers with a configuration that did not lead to the answerer's",
            metrics.unfit.clone(),
        );
        prefix.register(
            "config_behind_seconds",
            "Time from the first naming of a newer revision to its being in force",
            metrics.behind.clone(),
        );
        metrics
    }

    /// Counts a fetch of the configuration.
    pub(crate) fn fetched(&self, source: &Source, end: End) {
        let source = match source {
            Source::Member(_) => "control",
            Source::Peer(_) => "peer",
        };
        let end = match end {
            End::Taken => "taken",
            End::Failed => "failed",
            End::Gone => "gone",
        };
        self.fetches.get_or_create(&ByEnd { source, end }).inc();
    }

    /// Observes the time from the first notice of a newer revision until it is in force.
    pub(crate) fn behind(&self, time: Millis) {
        self.behind.observe(time.seconds());
    }

    /// Counts bytes received for a fetch of the configuration.
    pub(crate) fn fetched_bytes(&self, extent: Extent, bytes: u64) {
        let labels = ByExtent { extent: extent.as_str() };
        self.fetched_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts an error returned to a caller.
    pub(crate) fn refused(&self, kind: Kind, tier: Option<Tier>) {
        let tier = tier.map_or_else(|| "unknown".to_owned(), |tier| tier.0.to_string());
        let labels = ByKind { kind: kind.as_str().to_owned(), tier };
        self.refusals.get_or_create(&labels).inc();
    }
}
