//! Requests that crash endpoints: suspects, running alone, quarantine, and what peers report.

use std::{cmp::Reverse, collections::HashMap};

use wasabi_protocol::{clock::Millis, fingerprint::Body, id, rpc::Suspect};

/// Crashes from which on a request can be quarantined.
pub const CRASHES_MIN: u32 = 2;

/// Weight from which on a request can be quarantined.
pub const WEIGHT_MIN: f64 = 1.0;

/// Time after its last crash for which a request stays suspect or quarantined.
pub const RETENTION: Millis = Millis::from_secs(600);

/// Age from which on a suspect is neither reported to peers nor taken from them.
///
/// The age grows stale on the way, so peers that still exchanged suspects in their last moments
/// could keep them alive for each other without end.
pub const REPORT_AGE_MAX: Millis = Millis::from_secs(540);

/// Most suspects that a table holds, quarantined and cleared ones included.
pub const SUSPECTS_MAX: usize = 1_024;

/// Longest delay of a peer's report. A report of a crash that is at most this much younger than
/// the clearance may be an echo of the crash before it.
pub const REPORT_DELAY_MAX: Millis = Millis(2_000);

/// Rounding error allowed in sums of parts of batches, such as three thirds.
const WEIGHT_ERROR: f64 = 1e-9;

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permit {
    /// Like any other.
    Free,
    /// Alone on its endpoint, and no other suspect of the pool beside it.
    Alone,
    /// Not now: another suspect of the pool runs alone.
    Wait,
    /// Not before this time.
    Refused {
        /// The end of the quarantine.
        until: Millis,
    },
}

/// The requests that were in flight on endpoints that died.
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
    /// The last crash plus [`RETENTION`]. The time of the crash itself may lie before the origin
    /// of this process's clock.
    until: Millis,
    cleared: Option<Millis>,
    /// Parts for peers that it was in since its counts rose.
    told: u32,
}

impl Record {
    fn is_live(&self, now: Millis) -> bool {
        now < self.until
    }

    fn age(&self, now: Millis) -> Millis {
        RETENTION - self.until.since(now)
    }

    fn is_quarantined(&self) -> bool {
        CRASHES_MIN <= self.crashes && WEIGHT_MIN - WEIGHT_ERROR <= self.weight
    }

    fn is_reported(&self, now: Millis) -> bool {
        self.cleared.is_none() && self.age(now) < REPORT_AGE_MAX
    }

    /// How likely it is that the request crashes endpoints.
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

    /// Order of removal: cleared ones first, quarantined ones last, then the oldest.
    fn value(&self) -> (bool, bool, Millis) {
        (self.cleared.is_none(), self.is_quarantined(), self.until)
    }
}

impl Table {
    /// Notes that an endpoint died with these requests in flight, each at most once in the list.
    pub fn record_crash(&mut self, now: Millis, batch: &[(Body, &id::Organisation)]) {
        let weight = 1.0 / batch.len().max(1) as f64;
        for (fingerprint, organisation) in batch {
            self.expire_one(now, *fingerprint);
            let record = self.records.entry(*fingerprint).or_insert_with(|| Record {
                organisation: (*organisation).clone(),
                crashes: 0,
                weight: 0.0,
                until: now + RETENTION,
                cleared: None,
                told: 0,
            });
            record.crashes = record.crashes.saturating_add(1);
            record.weight += weight;
            record.until = now + RETENTION;
            record.cleared = None;
            record.told = 0;
        }
        self.shrink(now);
    }

    /// Notes that a request finished, which clears it unless it is quarantined already.
    pub fn record_finish(&mut self, now: Millis, fingerprint: Body) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && !record.is_quarantined()
        {
            record.crashes = 0;
            record.weight = 0.0;
            record.cleared = Some(now);
        }
    }

    /// Returns how a request may run now.
    pub fn permit(&self, now: Millis, fingerprint: Body) -> Permit {
        let Some(record) = self.live(now, fingerprint) else { return Permit::Free };
        if record.is_quarantined() {
            return Permit::Refused { until: record.until };
        }
        if self.alone.is_some() { Permit::Wait } else { Permit::Alone }
    }

    /// Returns whether the request is quarantined, and so explains crashes that it was part of.
    pub fn is_quarantined(&self, now: Millis, fingerprint: Body) -> bool {
        self.live(now, fingerprint).is_some_and(Record::is_quarantined)
    }

    /// Notes that a suspect was granted an endpoint of its own.
    pub fn start_alone(&mut self, fingerprint: Body, attempt: id::Attempt) {
        self.alone = Some((fingerprint, attempt));
    }

    /// Notes that an attempt ended, in whatever way; the next suspect may run when it was the one
    /// that ran alone.
    pub fn end_attempt(&mut self, attempt: id::Attempt) {
        if self.alone.is_some_and(|(_, alone)| alone == attempt) {
            self.alone = None;
        }
    }

    /// Returns the suspect that runs alone now.
    pub fn alone(&self) -> Option<(Body, id::Attempt)> {
        self.alone
    }

    /// Takes over what a peer reports.
    ///
    /// The highest counts win, so that an echo of the own report changes nothing. Only higher
    /// counts renew the time of the last crash.
    pub fn merge(&mut self, now: Millis, reported: &[Suspect]) {
        for suspect in reported {
            self.merge_one(now, suspect);
        }
        self.shrink(now);
    }

    /// Takes over what another table of the same process knows, which is never an echo: what it
    /// cleared, unless this table heard of a later crash, and its counts.
    pub fn sync_from(&mut self, now: Millis, other: &Self) {
        for (fingerprint, theirs) in &other.records {
            let Some(own) = self.records.get_mut(fingerprint) else {
                if theirs.is_live(now) && theirs.cleared.is_none() {
                    self.records.insert(*fingerprint, Record { told: 0, ..theirs.clone() });
                }
                continue;
            };
            match theirs.cleared {
                Some(cleared) if own.until <= cleared + RETENTION && !own.is_quarantined() => {
                    *own = Record { told: own.told, ..theirs.clone() };
                }
                Some(_) => {}
                None if own.cleared.is_some_and(|cleared| cleared + RETENTION < theirs.until) => {
                    *own = Record { told: 0, ..theirs.clone() };
                }
                None => self.merge_one(now, &theirs.suspect(now, *fingerprint)),
            }
        }
        self.shrink(now);
    }

    /// Returns the suspects and quarantined requests to report to peers.
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

    /// Returns at most `most` of them: those that were in the fewest parts since their counts rose,
    /// and among these the likeliest ones first. Parts in a row go through the whole table, so that
    /// messages stay small however many requests are suspects.
    ///
    /// Half of each part is kept for quarantined ones, so that a message that gets lost does not
    /// hide them until the next time through the table.
    pub fn report_part(&mut self, now: Millis, most: usize) -> Vec<Suspect> {
        let mut order: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_reported(now))
            .map(|(fingerprint, record)| (record.told, Reverse(record.rank()), *fingerprint))
            .collect();
        order.sort_unstable();
        let is_quarantined = |(_, Reverse((is_quarantined, _)), _): &_| *is_quarantined;
        let (mut chosen, rest): (Vec<_>, Vec<_>) = order.into_iter().partition(is_quarantined);
        let mut others = chosen.split_off(chosen.len().min(most / 2));
        others.extend(rest);
        others.sort_unstable();
        others.truncate(most - chosen.len());
        chosen.extend(others);
        chosen.sort_unstable();
        let mut part = Vec::new();
        for (_, _, fingerprint) in chosen {
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.told = record.told.saturating_add(1);
                part.push(record.suspect(now, fingerprint));
            }
        }
        part
    }

    /// Returns at most `most` suspects, the likeliest ones first.
    pub fn report_worst(&self, now: Millis, most: usize) -> Vec<Suspect> {
        let reported = self.records.iter().filter(|(_, record)| record.is_reported(now));
        let mut order: Vec<_> = reported
            .map(|(fingerprint, record)| (Reverse(record.rank()), *fingerprint, record))
            .collect();
        order.sort_unstable_by_key(|(rank, fingerprint, _)| (*rank, *fingerprint));
        let worst = order.into_iter().take(most);
        worst.map(|(_, fingerprint, record)| record.suspect(now, fingerprint)).collect()
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, record| record.is_live(now));
    }

    /// Returns how many requests the table holds, cleared ones included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn live(&self, now: Millis, fingerprint: Body) -> Option<&Record> {
        self.records
            .get(&fingerprint)
            .filter(|record| record.cleared.is_none() && record.is_live(now))
    }

    fn merge_one(&mut self, now: Millis, suspect: &Suspect) {
        let is_sound = suspect.weight.is_finite() && 0.0 <= suspect.weight;
        if REPORT_AGE_MAX <= suspect.age || suspect.crashes == 0 || !is_sound {
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
                    until,
                    cleared: None,
                    told: 0,
                },
            );
            return;
        };
        if record.cleared.is_some_and(|cleared| until <= cleared + RETENTION + REPORT_DELAY_MAX) {
            return;
        }
        if record.crashes < suspect.crashes || record.weight + WEIGHT_ERROR < weight {
            record.until = record.until.max(until);
            record.cleared = None;
            record.told = 0;
        }
        record.crashes = record.crashes.max(suspect.crashes);
        record.weight = record.weight.max(weight);
    }

    fn expire_one(&mut self, now: Millis, fingerprint: Body) {
        if self.records.get(&fingerprint).is_some_and(|record| !record.is_live(now)) {
            self.records.remove(&fingerprint);
        }
    }

    fn shrink(&mut self, now: Millis) {
        if self.records.len() <= SUSPECTS_MAX {
            return;
        }
        self.expire(now);
        let surplus = self.records.len().saturating_sub(SUSPECTS_MAX);
        let mut order = self
            .records
            .iter()
            .map(|(fingerprint, record)| (record.value(), *fingerprint))
            .collect::<Vec<_>>();
        order.sort_unstable();
        for (_, fingerprint) in order.into_iter().take(surplus) {
            self.records.remove(&fingerprint);
        }
    }
}
