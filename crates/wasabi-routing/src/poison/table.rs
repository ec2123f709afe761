//! The crashes whose cause may be a part, and the parts that were found.

use std::{
    cmp::Reverse,
    collections::{HashMap, VecDeque},
};

use wasabi_protocol::{
    clock::Millis,
    fingerprint::Part,
    id,
    rpc::{Answered, Crash, Poison, Suspected, Verdict},
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    answers::Answers,
    crash::{CRASH_RETENTION, CRASHES_MAX, ISOLATION_TIME, Record},
    finding::{FINDING_RETENTION, FINDINGS_MAX, Finding, ORGANISATIONS_MIN, REPORT_MARGIN, pause},
};

/// Number of steps of one second by which tables delay their trials, so that one of them is first.
const STAGGER_STEPS: u64 = 32;

/// Whether a request with certain parts may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// It may run.
    Free,
    /// It may run alone, as the trial of its quarantined parts or because it is not yet known which of
    /// several parts crashes endpoints.
    Trial,
    /// It may not run.
    Refused {
        /// The quarantined part.
        part: Part,
        /// When the part may be tried again.
        until: Millis,
    },
}

/// A change that the driver logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A part was found to crash endpoints.
    Quarantined {
        /// The part.
        part: Part,
        /// Number of crashes that led to it; zero if a peer found it.
        crashes: u32,
    },
    /// A request is sent to find out whether the part still crashes endpoints.
    Tried {
        /// The part.
        part: Part,
    },
    /// An answer to the part began.
    Released {
        /// The part.
        part: Part,
    },
}

/// The crashes whose cause may be a part, and the parts that were found.
#[derive(Debug, Clone, Default)]
pub struct Table {
    pub(super) answers: Answers,
    pub(super) crashes: VecDeque<Record>,
    pub(super) findings: HashMap<Part, Finding>,
    /// Parts that can't be told apart from others by their crashes, with the time of the last one.
    pub(super) isolated: HashMap<Part, Millis>,
    /// Delay of this table's trials.
    stagger: Millis,
    pub(super) changes: Vec<Change>,
}

impl Table {
    /// Returns a table whose trials are delayed by a time derived from its name, so that of several
    /// tables one is first and the others hear of its trial.
    pub fn new(name: &str) -> Self {
        let steps = xxh3_64(name.as_bytes()) % STAGGER_STEPS;
        Self { stagger: Millis::from_secs(steps), ..Self::default() }
    }

    /// Returns whether a request with these parts may run now.
    pub fn permit(&self, now: Millis, organisation: &id::Organisation, parts: &[Part]) -> Permit {
        if self.findings.is_empty() && self.isolated.is_empty() {
            return Permit::Free;
        }
        let organisation = digest(organisation);
        let is_isolated = |part: &Part| self.is_isolated(now, *part);
        let mut permit = if parts.iter().any(is_isolated) { Permit::Trial } else { Permit::Free };
        for part in parts {
            let Some(finding) = self.findings.get(part) else { continue };
            if !finding.holds_for(organisation) {
                continue;
            }
            let until = finding.until + self.stagger;
            if now < until {
                return Permit::Refused { part: *part, until };
            }
            permit = Permit::Trial;
        }
        permit
    }

    /// Returns whether one of these parts is quarantined, which explains the crash that a request
    /// with them was part of.
    pub fn explains(&self, parts: &[Part]) -> bool {
        let is_quarantined = |part| self.is_quarantined(part);
        parts.iter().copied().any(is_quarantined)
    }

    /// Records that a request is sent as the trial of its quarantined parts.
    pub fn start_trial(&mut self, now: Millis, parts: &[Part]) {
        for part in parts {
            let Some(finding) = self.findings.get_mut(part) else { continue };
            if finding.verdict == Verdict::Quarantined {
                finding.trials = finding.trials.saturating_add(1);
                finding.until = now + pause(finding.trials);
                finding.expires = now + FINDING_RETENTION;
                finding.reports_sent = 0;
                self.changes.push(Change::Tried { part: *part });
            }
        }
    }

    /// Records that an answer to these parts began, which releases them if they have not crashed an
    /// endpoint since.
    pub fn record_answer(&mut self, now: Millis, began: Millis, parts: &[Part]) {
        self.answers.record(began, parts);
        for part in parts {
            let Some(finding) = self.findings.get_mut(part) else { continue };
            if finding.verdict == Verdict::Quarantined && finding.last_crash < began {
                finding.verdict = Verdict::Released;
                finding.expires = now + FINDING_RETENTION;
                finding.reports_sent = 0;
                self.changes.push(Change::Released { part: *part });
                self.judge_neighbours(now, *part);
            }
        }
    }

    /// Records that an endpoint crashed before its answer to a request began. `answered` is what the
    /// holder of the request knows of the parts.
    pub fn record_crash(
        &mut self,
        now: Millis,
        (endpoint, incarnation): (&id::Endpoint, u64),
        organisation: &id::Organisation,
        parts: &[Part],
        answered: &[Answered],
    ) {
        self.learn_answers(now, answered);
        let organisation = digest(organisation);
        for part in parts {
            if let Some(finding) = self.findings.get_mut(part)
                && finding.verdict == Verdict::Quarantined
            {
                finding.last_crash = now;
                finding.crashes = finding.crashes.saturating_add(1);
                finding.add_organisation(organisation);
            }
        }
        let suspected: Vec<_> =
            parts.iter().map(|part| Suspected { part: *part, organisation }).collect();
        self.add_crash(now, (endpoint, incarnation), &suspected);
        // The part with the most crashes explains those that it shares with others.
        let mut parts = parts.to_vec();
        parts.sort_by_cached_key(|part| Reverse(self.charges(now, *part).len()));
        for part in parts {
            self.judge(now, part);
        }
    }

    /// Merges what a peer reports, and returns whether any of its crashes and findings was news.
    /// Reports may be lost, repeated and arrive in any order.
    ///
    /// Crashes of other pools convict no part by themselves, but count with the next one here: this
    /// table may not know of the answers there.
    pub fn merge(
        &mut self,
        now: Millis,
        crashes: &[Crash],
        poisons: &[Poison],
        answered: &[Answered],
    ) -> bool {
        self.learn_answers(now, answered);
        let mut has_news = false;
        for poison in poisons {
            has_news |= self.merge_poison(now, poison);
        }
        for crash in crashes.iter().filter(|crash| crash.age < CRASH_RETENTION) {
            let name = (&crash.endpoint, crash.incarnation);
            has_news |= self.add_crash(now - crash.age, name, &crash.suspected);
        }
        has_news
    }

    /// Returns the parts whose crashes have no known cause.
    pub fn suspected_parts(&self, now: Millis) -> Vec<Part> {
        let suspected = self.unexplained(now).flat_map(|record| &record.suspected);
        let mut parts: Vec<_> = suspected.map(|suspected| suspected.part).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    }

    /// Returns at most `limit` crashes without a known cause, the newest first.
    pub fn report_crashes(&self, now: Millis, limit: usize) -> Vec<Crash> {
        self.unexplained(now).take(limit).map(|record| record.report(now)).collect()
    }

    /// Returns at most `limit` findings, those reported least often since they last changed first.
    pub fn report_findings(&mut self, now: Millis, limit: usize) -> Vec<Poison> {
        let is_reported = |finding: &Finding| REPORT_MARGIN < finding.expires.since(now);
        let mut order: Vec<_> = self
            .findings
            .iter()
            .filter(|(_, finding)| is_reported(finding))
            .map(|(part, finding)| (finding.reports_sent, *part))
            .collect();
        order.sort_unstable();
        order.truncate(limit);
        let mut report = Vec::new();
        for (_, part) in order {
            if let Some(finding) = self.findings.get_mut(&part) {
                finding.reports_sent = finding.reports_sent.saturating_add(1);
                report.push(finding.report(now, part));
            }
        }
        report
    }

    /// Returns what changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Forgets crashes and findings whose retention has ended.
    pub fn expire(&mut self, now: Millis) {
        self.crashes.retain(|record| record.is_recent(now));
        self.findings.retain(|_, finding| now < finding.expires);
        self.isolated.retain(|_, since| now.since(*since) < ISOLATION_TIME);
    }

    /// Returns the number of findings, including released ones.
    pub fn len(&self) -> usize {
        self.findings.len()
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    pub(super) fn is_quarantined(&self, part: Part) -> bool {
        let finding = self.findings.get(&part);
        finding.is_some_and(|finding| finding.verdict == Verdict::Quarantined)
    }

    /// Returns whether a quarantined part other than `part` explains a crash.
    pub(super) fn is_explained(&self, record: &Record, part: Option<Part>) -> bool {
        let mut suspected = record.suspected.iter().map(|suspected| suspected.part);
        suspected.any(|other| Some(other) != part && self.is_quarantined(other))
    }

    /// Records what another entry knows of answers.
    fn learn_answers(&mut self, now: Millis, answered: &[Answered]) {
        for known in answered {
            self.answers.record(now - known.age, &[known.part]);
        }
    }

    /// Returns the crashes without a known cause, the newest first.
    fn unexplained(&self, now: Millis) -> impl Iterator<Item = &Record> {
        let counts =
            move |record: &&Record| record.is_recent(now) && !self.is_explained(record, None);
        self.crashes.iter().rev().filter(counts)
    }

    fn add_crash(
        &mut self,
        at: Millis,
        (endpoint, incarnation): (&id::Endpoint, u64),
        suspected: &[Suspected],
    ) -> bool {
        let is_same =
            |record: &Record| record.incarnation == incarnation && record.endpoint == *endpoint;
        let index = self.crashes.iter().position(is_same).unwrap_or_else(|| {
            if CRASHES_MAX <= self.crashes.len() {
                self.crashes.pop_front();
            }
            let (endpoint, suspected) = (endpoint.clone(), Vec::new());
            self.crashes.push_back(Record { endpoint, incarnation, at, suspected });
            self.crashes.len() - 1
        });
        let record = &mut self.crashes[index];
        suspected.iter().filter(|suspected| record.add(**suspected)).count() != 0
    }

    /// Adds a finding, and forgets the least one when there are too many.
    pub(super) fn insert(&mut self, part: Part, finding: Finding) {
        self.findings.insert(part, finding);
        if FINDINGS_MAX < self.findings.len() {
            let worst = self.findings.iter().min_by_key(|(_, finding)| finding.eviction_key());
            if let Some(part) = worst.map(|(part, _)| *part) {
                self.findings.remove(&part);
            }
        }
    }

    fn merge_poison(&mut self, now: Millis, theirs: &Poison) -> bool {
        let left = theirs.left.min(pause(u32::MAX));
        let own = self.findings.get(&theirs.part);
        let rank = (theirs.finding, theirs.verdict);
        if own.is_none_or(|own| (own.number, own.verdict) < rank) {
            let mut organisations = theirs.organisations.clone();
            organisations.truncate(ORGANISATIONS_MIN);
            let finding = Finding {
                number: theirs.finding,
                verdict: theirs.verdict,
                organisations,
                crashes: theirs.crashes,
                trials: theirs.trials,
                last_crash: now,
                until: now + left,
                expires: now + (FINDING_RETENTION - REPORT_MARGIN),
                reports_sent: 0,
            };
            self.insert(theirs.part, finding);
            self.changes.push(match theirs.verdict {
                Verdict::Quarantined => Change::Quarantined { part: theirs.part, crashes: 0 },
                Verdict::Released => Change::Released { part: theirs.part },
            });
            return true;
        }
        let Some(own) = self.findings.get_mut(&theirs.part) else { return false };
        if (own.number, own.verdict) != rank {
            return false;
        }
        let before = (own.trials, own.organisations.len());
        if own.trials < theirs.trials {
            own.trials = theirs.trials;
            own.until = now + left;
            own.reports_sent = 0;
        }
        for organisation in theirs.organisations.iter().take(ORGANISATIONS_MIN) {
            own.add_organisation(*organisation);
        }
        own.crashes = own.crashes.max(theirs.crashes);
        before != (own.trials, own.organisations.len())
    }
}

fn digest(organisation: &id::Organisation) -> u64 {
    xxh3_64(organisation.as_str().as_bytes())
}
