//! Requests that crash endpoints: suspects, isolated runs, quarantine, and reports between peers.

use std::{cmp::Reverse, collections::HashMap};

use wasabi_protocol::{clock::Millis, fingerprint::Body, id, rpc::Suspect};

/// Minimum number of crashes for a quarantine.
pub const CRASHES_MIN: u32 = 2;

/// Minimum weight for a quarantine. Each crash adds the reciprocal of its batch size.
pub const WEIGHT_MIN: f64 = 1.0;

/// Time after its last crash for which a request remains suspect or quarantined.
pub const RETENTION: Millis = Millis::from_secs(600);

/// Age at which a suspect is no longer reported to peers nor accepted from them.
///
/// Reported ages do not include the time in transit, so peers that exchanged suspects up to the end
/// of their retention could keep them alive for each other forever.
pub const REPORT_AGE_MAX: Millis = Millis::from_secs(540);

/// Maximum number of suspects in a table, including quarantined and cleared ones.
pub const SUSPECTS_MAX: usize = 1_024;

/// Maximum delay of a peer's report. A reported crash that is at most this much later than the
/// clearance may be an echo of the crash before it.
pub const REPORT_DELAY_MAX: Millis = Millis(2_000);

/// Tolerance for rounding errors in weights, such as the sum of three thirds.
const WEIGHT_TOLERANCE: f64 = 1e-9;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Without restrictions.
    Free,
    /// Alone on its endpoint, and only while no other suspect of the pool runs.
    Alone,
    /// Not now, because another suspect of the pool is running.
    Wait,
    /// Not before the end of its quarantine.
    Refused {
        /// The end of the quarantine.
        until: Millis,
    },
}

/// How far the answer to a request had come when its endpoint crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It had not begun, as far as is known.
    Waiting,
    /// It had begun, so that the request is an unlikely cause.
    Begun,
}

/// The requests that were in flight on crashed endpoints.
#[derive(Debug, Clone, Default)]
pub struct Table {
    records: HashMap<Body, Record>,
    alone: Option<(Body, id::Attempt)>,
}

#[derive(Debug, Clone)]
struct Record {
    organisation: id::Organisation,
    crashes: u32,
    weight: f64,
    /// Whether it crashed an endpoint before its answer began.
    is_likely: bool,
    /// Time of the last crash plus [`RETENTION`]. The crash itself may have happened before the origin
    /// of this process's clock.
    until: Millis,
    cleared: Option<Millis>,
    /// Number of partial reports with this record since its counts last rose.
    reports_sent: u32,
}

impl Record {
    fn is_retained(&self, now: Millis) -> bool {
        now < self.until
    }

    fn age(&self, now: Millis) -> Millis {
        RETENTION - self.until.since(now)
    }

    fn is_quarantined(&self) -> bool {
        CRASHES_MIN <= self.crashes && WEIGHT_MIN - WEIGHT_TOLERANCE <= self.weight
    }

    /// Returns whether it must run alone. A request whose answer had begun is held back only once
    /// it was part of a second crash.
    fn is_suspect(&self) -> bool {
        self.cleared.is_none() && (self.is_likely || CRASHES_MIN <= self.crashes)
    }

    fn is_reported(&self, now: Millis) -> bool {
        self.is_suspect() && self.age(now) < REPORT_AGE_MAX
    }

    /// Sort key for the likelihood that the request crashes endpoints.
    fn rank(&self) -> (bool, u32) {
        (self.is_quarantined(), self.crashes)
    }

    fn suspect(&self, now: Millis, fingerprint: Body) -> Suspect {
        Suspect {
            fingerprint,
            organisation: self.organisation.clone(),
            crashes: self.crashes,
            weight: self.weight,
            age: self.age(now),
        }
    }

    /// Sort key for eviction: cleared records first, quarantined ones last, then the oldest first.
    fn eviction_key(&self) -> (bool, bool, Millis) {
        (self.cleared.is_none(), self.is_quarantined(), self.until)
    }
}

impl Table {
    /// Records that an endpoint crashed with these requests in flight, whose answers had not begun as
    /// far as is known. Each must be listed only once.
    pub fn record_crash(&mut self, now: Millis, batch: &[(Body, &id::Organisation)]) {
        for member in batch {
            self.add_crash(now, batch.len(), *member, Progress::Waiting);
        }
        self.enforce_limit(now);
    }

    /// Records that a request was in flight on an endpoint that crashed with `size` requests.
    pub fn record_member(
        &mut self,
        now: Millis,
        size: usize,
        member: (Body, &id::Organisation),
        progress: Progress,
    ) {
        self.add_crash(now, size, member, progress);
        self.enforce_limit(now);
    }

    fn add_crash(
        &mut self,
        now: Millis,
        size: usize,
        (fingerprint, organisation): (Body, &id::Organisation),
        progress: Progress,
    ) {
        self.expire_one(now, fingerprint);
        let record = self.records.entry(fingerprint).or_insert_with(|| Record {
            organisation: organisation.clone(),
            crashes: 0,
            weight: 0.0,
            is_likely: false,
            until: now + RETENTION,
            cleared: None,
            reports_sent: 0,
        });
        record.crashes = record.crashes.saturating_add(1);
        record.weight += 1.0 / size.max(1) as f64;
        record.is_likely |= progress == Progress::Waiting;
        record.until = now + RETENTION;
        record.cleared = None;
        record.reports_sent = 0;
    }

    /// Records that a request finished, which clears it unless it is already quarantined.
    pub fn record_finish(&mut self, now: Millis, fingerprint: Body) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && !record.is_quarantined()
        {
            record.crashes = 0;
            record.weight = 0.0;
            record.is_likely = false;
            record.cleared = Some(now);
        }
    }

    /// Returns whether and how a request may run now.
    pub fn permit(&self, now: Millis, fingerprint: Body) -> Permit {
        let Some(record) = self.active_record(now, fingerprint) else { return Permit::Free };
        if record.is_quarantined() {
            return Permit::Refused { until: record.until };
        }
        if !record.is_suspect() {
            return Permit::Free;
        }
        if self.alone.is_some() { Permit::Wait } else { Permit::Alone }
    }

    /// Returns how a request may run that must run alone for another reason than a crash.
    pub fn permit_trial(&self, now: Millis, fingerprint: Body) -> Permit {
        match self.permit(now, fingerprint) {
            Permit::Free if self.alone.is_some() => Permit::Wait,
            Permit::Free => Permit::Alone,
            permit => permit,
        }
    }

    /// Returns whether the request is quarantined, which explains the crashes that it was part of.
    pub fn is_quarantined(&self, now: Millis, fingerprint: Body) -> bool {
        self.active_record(now, fingerprint).is_some_and(Record::is_quarantined)
    }

    /// Records that a suspect was granted an endpoint of its own.
    pub fn start_alone(&mut self, fingerprint: Body, attempt: id::Attempt) {
        self.alone = Some((fingerprint, attempt));
    }

    /// Records the end of an attempt. If it was the suspect that ran alone, the next one may run.
    pub fn end_attempt(&mut self, attempt: id::Attempt) {
        if self.alone.is_some_and(|(_, alone)| alone == attempt) {
            self.alone = None;
        }
    }

    /// Returns the suspect that is running alone.
    pub fn alone(&self) -> Option<(Body, id::Attempt)> {
        self.alone
    }

    /// Merges the report of a peer.
    ///
    /// The highest counts win, so that an echo of this table's own report changes nothing. Only
    /// higher counts update the time of the last crash.
    pub fn merge(&mut self, now: Millis, reported: &[Suspect]) {
        for suspect in reported {
            self.merge_one(now, suspect);
        }
        self.enforce_limit(now);
    }

    /// Merges another table of the same process, whose records are never echoes: its clearances,
    /// unless this table has a later crash, and its counts.
    pub fn sync_from(&mut self, now: Millis, other: &Self) {
        for (fingerprint, theirs) in &other.records {
            let Some(own) = self.records.get_mut(fingerprint) else {
                if theirs.is_retained(now) && theirs.cleared.is_none() {
                    self.records.insert(*fingerprint, Record { reports_sent: 0, ..theirs.clone() });
                }
                continue;
            };
            match theirs.cleared {
                Some(cleared) if own.until <= cleared + RETENTION && !own.is_quarantined() => {
                    *own = Record { reports_sent: own.reports_sent, ..theirs.clone() };
                }
                Some(_) => {}
                None if own.cleared.is_some_and(|cleared| cleared + RETENTION < theirs.until) => {
                    *own = Record { reports_sent: 0, ..theirs.clone() };
                }
                None => self.merge_one(now, &theirs.suspect(now, *fingerprint)),
            }
        }
        self.enforce_limit(now);
    }

    /// Returns all suspects and quarantined requests to report to peers.
    pub fn report(&self, now: Millis) -> Vec<Suspect> {
        let mut suspects = self
            .records
            .iter()
            .filter(|(_, record)| record.is_reported(now))
            .map(|(fingerprint, record)| record.suspect(now, *fingerprint))
            .collect::<Vec<_>>();
        suspects.sort_by_key(|suspect| suspect.fingerprint);
        suspects
    }

    /// Returns at most `limit` suspects to report to peers: those reported least often since their
    /// counts last rose, and among these the most likely ones first. Successive calls cover the whole
    /// table, so that messages stay small regardless of the number of suspects.
    ///
    /// Half of each part is reserved for quarantined requests, so that a lost message does not hide
    /// them until the whole table has been reported again.
    pub fn report_part(&mut self, now: Millis, limit: usize) -> Vec<Suspect> {
        let mut order: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_reported(now))
            .map(|(fingerprint, record)| {
                (record.reports_sent, Reverse(record.rank()), *fingerprint)
            })
            .collect();
        order.sort_unstable();
        let is_quarantined = |(_, Reverse((is_quarantined, _)), _): &_| *is_quarantined;
        let (mut chosen, rest): (Vec<_>, Vec<_>) = order.into_iter().partition(is_quarantined);
        let mut others = chosen.split_off(chosen.len().min(limit / 2));
        others.extend(rest);
        others.sort_unstable();
        others.truncate(limit - chosen.len());
        chosen.extend(others);
        chosen.sort_unstable();
        let mut part = Vec::new();
        for (_, _, fingerprint) in chosen {
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.reports_sent = record.reports_sent.saturating_add(1);
                part.push(record.suspect(now, fingerprint));
            }
        }
        part
    }

    /// Returns at most `limit` suspects, the most likely ones first.
    pub fn report_worst(&self, now: Millis, limit: usize) -> Vec<Suspect> {
        let reported = self.records.iter().filter(|(_, record)| record.is_reported(now));
        let mut order: Vec<_> = reported
            .map(|(fingerprint, record)| (Reverse(record.rank()), *fingerprint, record))
            .collect();
        order.sort_unstable_by_key(|(rank, fingerprint, _)| (*rank, *fingerprint));
        let worst = order.into_iter().take(limit);
        worst.map(|(_, fingerprint, record)| record.suspect(now, fingerprint)).collect()
    }

    /// Removes records whose retention has ended.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, record| record.is_retained(now));
    }

    /// Returns the number of requests in the table, including cleared ones.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn active_record(&self, now: Millis, fingerprint: Body) -> Option<&Record> {
        self.records
            .get(&fingerprint)
            .filter(|record| record.cleared.is_none() && record.is_retained(now))
    }

    fn merge_one(&mut self, now: Millis, suspect: &Suspect) {
        let is_valid = suspect.weight.is_finite() && 0.0 <= suspect.weight;
        if REPORT_AGE_MAX <= suspect.age || suspect.crashes == 0 || !is_valid {
            return;
        }
        self.expire_one(now, suspect.fingerprint);
        let until = now + (RETENTION - suspect.age);
        let weight = suspect.weight.min(f64::from(suspect.crashes));
        let Some(record) = self.records.get_mut(&suspect.fingerprint) else {
            self.records.insert(
                suspect.fingerprint,
                Record {
                    organisation: suspect.organisation.clone(),
                    crashes: suspect.crashes,
                    weight,
                    is_likely: true,
                    until,
                    cleared: None,
                    reports_sent: 0,
                },
            );
            return;
        };
        if record.cleared.is_some_and(|cleared| until <= cleared + RETENTION + REPORT_DELAY_MAX) {
            return;
        }
        if record.crashes < suspect.crashes || record.weight + WEIGHT_TOLERANCE < weight {
            record.is_likely = true;
            record.until = record.until.max(until);
            record.cleared = None;
            record.reports_sent = 0;
        }
        record.crashes = record.crashes.max(suspect.crashes);
        record.weight = record.weight.max(weight);
    }

    fn expire_one(&mut self, now: Millis, fingerprint: Body) {
        if self.records.get(&fingerprint).is_some_and(|record| !record.is_retained(now)) {
            self.records.remove(&fingerprint);
        }
    }

    fn enforce_limit(&mut self, now: Millis) {
        if self.records.len() <= SUSPECTS_MAX {
            return;
        }
        self.expire(now);
        let surplus = self.records.len().saturating_sub(SUSPECTS_MAX);
        let mut order = self
            .records
            .iter()
            .map(|(fingerprint, record)| (record.eviction_key(), *fingerprint))
            .collect::<Vec<_>>();
        order.sort_unstable();
        for (_, fingerprint) in order.into_iter().take(surplus) {
            self.records.remove(&fingerprint);
        }
    }
}
