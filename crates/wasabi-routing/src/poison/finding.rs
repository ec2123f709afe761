//! Parts that were found to crash endpoints.

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Part,
    rpc::{Poison, Verdict},
};

/// Time after which a finding is forgotten.
pub(super) const FINDING_RETENTION: Millis = Millis::from_secs(600);

/// Remaining retention up to which a finding is reported. Peers that learn of it forget it earlier
/// than the reporter, so that they do not keep it alive for each other.
pub(super) const REPORT_MARGIN: Millis = Millis::from_secs(60);

/// Time from a conviction to the first trial. It doubles with each further trial.
const TRIAL_PAUSE: Millis = Millis::from_secs(30);

/// Maximum number of times that the pause doubles.
const TRIAL_DOUBLINGS_MAX: u32 = 4;

/// Number of organisations with crashes of their own from which a part is refused to all. Below it,
/// one organisation could have the requests of another refused.
pub(super) const ORGANISATIONS_MIN: usize = 2;

/// Maximum number of findings.
pub const FINDINGS_MAX: usize = 256;

/// A part that was found to crash endpoints.
#[derive(Debug, Clone)]
pub(super) struct Finding {
    /// How often the part was found. A later finding replaces an earlier one.
    pub(super) number: u32,
    pub(super) verdict: Verdict,
    /// Digests of the organisations whose requests crashed endpoints with it.
    pub(super) organisations: Vec<u64>,
    pub(super) crashes: u32,
    pub(super) trials: u32,
    pub(super) last_crash: Millis,
    /// When it may be tried.
    pub(super) until: Millis,
    pub(super) expires: Millis,
    /// Number of reports since it last changed.
    pub(super) reports_sent: u32,
}

impl Finding {
    /// Returns whether requests of an organisation are refused.
    pub(super) fn holds_for(&self, organisation: u64) -> bool {
        self.verdict == Verdict::Quarantined
            && (ORGANISATIONS_MIN <= self.organisations.len()
                || self.organisations.contains(&organisation))
    }

    /// Adds an organisation whose request crashed an endpoint with the part.
    pub(super) fn add_organisation(&mut self, organisation: u64) {
        if self.organisations.len() < ORGANISATIONS_MIN
            && !self.organisations.contains(&organisation)
        {
            self.organisations.push(organisation);
            self.reports_sent = 0;
        }
    }

    /// Sort key for eviction: released ones first, then those with the fewest crashes.
    pub(super) fn eviction_key(&self) -> (bool, u32, Millis) {
        (self.verdict == Verdict::Quarantined, self.crashes, self.expires)
    }

    /// Returns the report of the finding to peers.
    pub(super) fn report(&self, now: Millis, part: Part) -> Poison {
        Poison {
            part,
            finding: self.number,
            verdict: self.verdict,
            organisations: self.organisations.clone(),
            crashes: self.crashes,
            trials: self.trials,
            left: self.until.since(now),
        }
    }
}

/// Returns the time until the next trial after so many of them.
pub(super) fn pause(trials: u32) -> Millis {
    Millis(TRIAL_PAUSE.0 << trials.min(TRIAL_DOUBLINGS_MAX))
}
