//! Whether the crashes that a part was in convict it.

use wasabi_protocol::{clock::Millis, fingerprint::Part, rpc::Verdict};

use super::{
    crash::{ISOLATION_TIME, Record},
    finding::{FINDING_RETENTION, Finding, pause},
    table::{Change, Table},
};

/// Minimum number of crashes that convict a part to which no answer has begun.
const CRASHES_MIN: usize = 2;

/// Minimum time between the first and the last of these crashes. Endpoints that share a cause, such
/// as a rack, crash together.
const CRASHES_SPAN: Millis = Millis(100);

/// The same while another such part was in as many of these crashes.
const CRASHES_MIN_OF_RIVALS: usize = 3;

/// Minimum time between the first and the last of these crashes, in which holders report the answers
/// that tell the parts apart.
const CRASHES_SPAN_OF_RIVALS: Millis = Millis(1_500);

/// Minimum number of crashes since the last answer that convict a part to which answers had begun.
const CRASHES_MIN_OF_ANSWERED: usize = 4;

/// Minimum time between the first and the last of these crashes.
const CRASHES_SPAN_OF_ANSWERED: Millis = Millis(1_500);

impl Table {
    /// Judges the parts that were in crashes which a released part explained until now.
    pub(super) fn judge_neighbours(&mut self, now: Millis, part: Part) {
        for neighbour in self.neighbours(part) {
            self.judge(now, neighbour);
        }
    }

    /// Returns the other parts that were in the crashes of a part.
    fn neighbours(&self, part: Part) -> Vec<Part> {
        let with_part = self.crashes.iter().filter(|record| record.suspects(part));
        let others = with_part.flat_map(|record| &record.suspected).map(|other| other.part);
        let mut others: Vec<_> = others.filter(|other| *other != part).collect();
        others.sort_unstable();
        others.dedup();
        others
    }

    /// Returns the times of the crashes that speak against a part: no other part explains them, and
    /// no answer to it has begun since.
    pub(super) fn charges(&self, now: Millis, part: Part) -> Vec<Millis> {
        let answered = self.answers.last(now, part);
        let counts = |record: &&Record| {
            record.is_recent(now)
                && record.suspects(part)
                && answered.is_none_or(|answered| answered < record.at)
                && !self.is_explained(record, Some(part))
        };
        self.crashes.iter().filter(counts).map(|record| record.at).collect()
    }

    /// Returns whether another part without answers was in as many of the crashes of a part.
    fn has_rival(&self, now: Millis, part: Part, charges: usize) -> bool {
        self.neighbours(part).into_iter().any(|other| {
            let is_shared = |record: &&Record| record.suspects(part) && record.suspects(other);
            let shared = self.crashes.iter().filter(is_shared).count();
            charges <= shared && self.answers.last(now, other).is_none()
        })
    }

    /// Returns whether requests with a part must run alone, until an answer to it begins.
    pub(super) fn is_isolated(&self, now: Millis, part: Part) -> bool {
        let Some(since) = self.isolated.get(&part) else { return false };
        now.since(*since) < ISOLATION_TIME
            && self.answers.last(now, part).is_none()
            && !self.is_quarantined(part)
            && !self.charges(now, part).is_empty()
    }

    /// Quarantines a part if enough crashes speak against it.
    pub(super) fn judge(&mut self, now: Millis, part: Part) {
        if self.is_quarantined(part) {
            return;
        }
        let charges = self.charges(now, part);
        let (first, last) = (charges.iter().min(), charges.iter().max());
        let span = last.zip(first).map_or(Millis::ZERO, |(last, first)| last.since(*first));
        let count = charges.len();
        let has_rival = self.has_rival(now, part, count);
        let (count_min, span_min) = match self.answers.last(now, part) {
            Some(_) => (CRASHES_MIN_OF_ANSWERED, CRASHES_SPAN_OF_ANSWERED),
            None if has_rival => (CRASHES_MIN_OF_RIVALS, CRASHES_SPAN_OF_RIVALS),
            None => (CRASHES_MIN, CRASHES_SPAN),
        };
        if count < count_min || span < span_min {
            if has_rival && CRASHES_MIN <= count && CRASHES_SPAN <= span {
                self.isolated.insert(part, now);
            }
            return;
        }
        self.convict(now, part, charges.len() as u32);
    }

    fn convict(&mut self, now: Millis, part: Part, crashes: u32) {
        let number = self.findings.get(&part).map_or(0, |finding| finding.number);
        let mut finding = Finding {
            number: number.saturating_add(1),
            verdict: Verdict::Quarantined,
            organisations: Vec::new(),
            crashes,
            trials: 0,
            last_crash: now,
            until: now + pause(0),
            expires: now + FINDING_RETENTION,
            reports_sent: 0,
        };
        let suspected = self.crashes.iter().flat_map(|record| &record.suspected);
        for suspected in suspected.filter(|suspected| suspected.part == part) {
            finding.add_organisation(suspected.organisation);
        }
        self.insert(part, finding);
        self.changes.push(Change::Quarantined { part, crashes });
    }
}
