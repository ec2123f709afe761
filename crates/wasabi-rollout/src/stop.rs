//! The pool owner's watch over a move: its own evidence, and the stop of a bad version.

use std::collections::BTreeMap;

use wasabi_protocol::{clock::Millis, fingerprint::Body, id, rpc};

use crate::{
    evidence::{Book, Count, Observation},
    sequential::Verdict,
    trial::Trial,
};

/// One move as the owner of one pool sees it.
///
/// The owner stops the new version as soon as its own evidence rejects it, before control knows.
/// A stop is final: it is reported with every piece of evidence until control takes the move back.
#[derive(Debug, Clone)]
pub struct Watch {
    book: Book,
    trials: BTreeMap<id::Route, Trial>,
    unreported: BTreeMap<id::Route, [Count; 2]>,
    routes: usize,
    stopped: Option<id::Route>,
}

impl Watch {
    /// Returns a watch over a move that concerns `routes` routes.
    pub fn new(routes: usize) -> Self {
        Self {
            book: Book::default(),
            trials: BTreeMap::new(),
            unreported: BTreeMap::new(),
            routes,
            stopped: None,
        }
    }

    /// Takes an ended request into account.
    pub fn observe(&mut self, now: Millis, seen: Observation<'_>) {
        self.book.observe(now, seen);
        self.judge(now);
    }

    /// Counts lost connections whose cause is settled; see [`Book::settle`].
    pub fn settle(&mut self, now: Millis, is_quarantined: impl Fn(Body) -> bool) {
        self.book.settle(now, is_quarantined);
        self.judge(now);
    }

    /// Returns the route whose evidence stopped the new version.
    pub const fn stopped(&self) -> Option<&id::Route> {
        self.stopped.as_ref()
    }

    /// Returns what a route shows so far.
    pub fn verdict(&self, route: &id::Route) -> Verdict {
        self.trials.get(route).map_or(Verdict::Open, Trial::verdict)
    }

    /// Returns the trial of a route, for reports.
    pub fn trial(&self, route: &id::Route) -> Option<&Trial> {
        self.trials.get(route)
    }

    /// Returns the evidence since the last call, for the check-in with control.
    pub fn drain(
        &mut self,
        name: &id::Move,
        old: &id::Version,
        new: &id::Version,
    ) -> Vec<rpc::Evidence> {
        if let Some(route) = &self.stopped {
            self.unreported.entry(route.clone()).or_default();
        }
        let stopped = self.stopped.is_some();
        std::mem::take(&mut self.unreported)
            .into_iter()
            .flat_map(|(route, counts)| {
                let message = |version: &id::Version, count: Count, stopped| rpc::Evidence {
                    name: name.clone(),
                    route: route.clone(),
                    version: version.clone(),
                    requests: count.requests,
                    errors: count.errors,
                    slow: count.slow,
                    stopped,
                };
                [message(old, counts[0], false), message(new, counts[1], stopped)]
            })
            .collect()
    }

    fn judge(&mut self, now: Millis) {
        for (route, counts) in self.book.take() {
            let trial = self.trials.entry(route.clone()).or_insert_with(|| Trial::new(self.routes));
            trial.add_old(now, counts[0]);
            trial.add_new(now, counts[1]);
            if self.stopped.is_none() && trial.verdict() == Verdict::Rejected {
                self.stopped = Some(route.clone());
            }
            let unreported = self.unreported.entry(route).or_default();
            unreported[0].add(counts[0]);
            unreported[1].add(counts[1]);
        }
    }
}
