//! Tests of the reports of lent tokens that lenders exchange.

#![allow(clippy::unwrap_used, reason = "a failure here fails the test")]

use std::collections::VecDeque;

use wasabi_admission::{lender::Lender, report::REPORT_BYTES_MAX};
use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits},
    id,
    rpc::{Lent, Usage},
};

const WINDOW: Millis = Millis(8_000);

const LIMITS: Limits = Limits {
    requests_per_s: 1 << 20,
    tokens_per_s: 10_000,
    concurrency: 1 << 20,
    burst: Some(Burst { tokens: 10_000, window: WINDOW }),
};

/// Number of lenders that exchange reports.
const LENDERS: usize = 12;

/// Interval between the reports of one lender, in milliseconds.
const REPORT_INTERVAL: u64 = 500;

/// Delivery time of a report, in milliseconds.
const DELAY: u64 = 100;

/// Lends 1,000 tokens to the owner of a pool.
fn lend(lender: &mut Lender, at: Millis, organisation: &str, pool: &str, owner: &str) {
    let used = Usage { tokens: 1_000, ..Usage::default() };
    let borrower = (&pool.into(), &owner.into());
    lender.lend(at, &organisation.into(), &LIMITS, borrower, &used);
}

fn name(lender: usize) -> id::Entry {
    format!("lender-{lender}").as_str().into()
}

/// Lenders and the reports in transit between them.
struct Site {
    lenders: Vec<Lender>,
    in_transit: VecDeque<(u64, usize, Vec<Lent>)>,
    /// The largest report, in bytes of JSON.
    largest: usize,
}

impl Site {
    fn new() -> Self {
        let lenders = (0..LENDERS).map(|_| Lender::new()).collect();
        Self { lenders, in_transit: VecDeque::new(), largest: 0 }
    }

    /// Delivers and sends the reports that are due, and calls [`Lender::expire`] every 50 ms.
    fn step(&mut self, now: u64) {
        let at = Millis(now);
        while let Some((_, from, report)) = self.in_transit.pop_front_if(|(due, ..)| *due <= now) {
            for (_, lender) in self.lenders.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                lender.record_report(at, &name(from), &report);
            }
        }
        for (index, lender) in self.lenders.iter_mut().enumerate() {
            if now % REPORT_INTERVAL == index as u64 * 40 {
                let report = lender.report(at);
                self.largest = self.largest.max(serde_json::to_vec(&report).unwrap().len());
                self.in_transit.push_back((now + DELAY, index, report));
            }
            if now.is_multiple_of(50) {
                lender.expire(at);
            }
        }
    }
}

/// Guards against lenders that keep reporting amounts to each other after they have left the window:
/// after a change of lender, former lenders repeated received reports as their own, and the new one
/// refused an organisation that was below its limit.
#[test]
fn amounts_reported_between_lenders_leave_the_window() {
    let mut site = Site::new();
    for now in 0..2_000_u64 {
        if now.is_multiple_of(250) {
            for lender in &mut site.lenders {
                lend(lender, Millis(now), "org", "pool", "owner");
            }
        }
        site.step(now);
    }
    for now in 2_000..2_000 + 2 * WINDOW.0 {
        site.step(now);
    }
    let end = Millis(2_000 + 2 * WINDOW.0);
    for lender in &mut site.lenders {
        assert_eq!(lender.report(end), []);
    }
}

/// Guards against amounts that lose age each time a lender passes them on, while requests for slices
/// alternate between the lenders, as they do on lossy links.
#[test]
fn alternating_lenders_report_no_more_than_was_lent() {
    let mut site = Site::new();
    let mut turn = 0;
    for now in 0..60_000_u64 {
        // Tokens are requested in the first 2 s; after that the budgets are only kept active.
        let tokens = if now < 2_000 { 4_000 } else { 0 };
        if now.is_multiple_of(150) {
            let used = Usage { tokens, ..Usage::default() };
            let borrower = (&"pool".into(), &"owner".into());
            turn = (turn + 1) % LENDERS;
            let lender = &mut site.lenders[turn];
            lender.lend(Millis(now), &"org".into(), &LIMITS, borrower, &used);
        }
        site.step(now);
        if 2_000 + 2 * WINDOW.0 < now {
            let reported = |lender: &mut Lender| {
                let lent = lender.report(Millis(now));
                lent.iter().flat_map(|one| &one.tokens).sum::<u64>()
            };
            let most = site.lenders.iter_mut().map(reported).max().unwrap();
            // Each request lends at least one token, and a window holds 54 requests.
            assert!(most <= 200, "a lender reports {most} tokens at {now} ms");
        }
    }
}

/// Guards against heartbeats that grow with the number of organisations, pools and pool owners in the
/// window: with 16, 2 and 6 of them a report took 23 KB.
#[test]
fn a_report_is_bounded_and_holds_the_largest_amounts() {
    let mut site = Site::new();
    for now in 0..4_000_u64 {
        if now.is_multiple_of(250) {
            for organisation in 0..16 {
                for (pool, owner) in (0..2).flat_map(|pool| (0..6).map(move |owner| (pool, owner)))
                {
                    let (organisation, pool, owner) = (
                        format!("organisation-{organisation}"),
                        format!("model-{pool}/region/0"),
                        format!("front-data-centre-{owner}"),
                    );
                    lend(&mut site.lenders[0], Millis(now), &organisation, &pool, &owner);
                }
            }
        }
        site.step(now);
    }
    lend(&mut site.lenders[0], Millis(4_000), "largest", "pool", "owner");
    let used = Usage { tokens: 90_000, ..Usage::default() };
    let borrower = (&"pool".into(), &"owner".into());
    site.lenders[0].lend(Millis(4_001), &"largest".into(), &LIMITS, borrower, &used);
    let report = site.lenders[0].report(Millis(4_002));
    let bytes = serde_json::to_vec(&report).unwrap().len().max(site.largest);
    assert!(bytes <= REPORT_BYTES_MAX, "{bytes} bytes");
    assert_eq!(report[0].organisation.as_str(), "largest");
    assert!(
        REPORT_BYTES_MAX / 2 < bytes,
        "{bytes} bytes: the report leaves too much of the limit unused"
    );
}
