//! Tests of what lenders tell each other of the tokens that they lent.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

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

/// Lenders that send each other a report every half second.
const LENDERS: usize = 12;
const EVERY: u64 = 500;

/// Time of a report on its way, in milliseconds.
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

/// Lenders and their reports on the way.
struct Site {
    lenders: Vec<Lender>,
    sent: VecDeque<(u64, usize, Vec<Lent>)>,
    /// The largest report, in bytes of JSON.
    largest: usize,
}

impl Site {
    fn new() -> Self {
        let lenders = (0..LENDERS).map(|_| Lender::new()).collect();
        Self { lenders, sent: VecDeque::new(), largest: 0 }
    }

    /// Delivers the reports that are due, sends those of the lenders whose turn it is, and sweeps.
    fn step(&mut self, now: u64) {
        let at = Millis(now);
        while let Some((_, from, report)) = self.sent.pop_front_if(|(due, ..)| *due <= now) {
            for (_, lender) in self.lenders.iter_mut().enumerate().filter(|(to, _)| *to != from) {
                lender.record_report(at, &name(from), &report);
            }
        }
        for (index, lender) in self.lenders.iter_mut().enumerate() {
            if now % EVERY == index as u64 * 40 {
                let report = lender.report(at);
                self.largest = self.largest.max(serde_json::to_vec(&report).unwrap().len());
                self.sent.push_back((now + DELAY, index, report));
            }
            if now.is_multiple_of(50) {
                lender.expire(at);
            }
        }
    }
}

/// Guards against lenders that tell each other for ever what nobody has lent in the window: after a
/// change of lender the former ones reported what they had heard, and the next lender refused an
/// organisation that was below its limit.
#[test]
fn what_lenders_hear_from_each_other_leaves_the_window() {
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

/// Guards against amounts that become younger with each lender that tells them on, while each of the
/// lenders is asked now and then, as behind links that lose packets.
#[test]
fn lenders_that_take_turns_tell_no_more_than_was_lent() {
    let mut site = Site::new();
    let mut asked = 0;
    for now in 0..60_000_u64 {
        // Tokens are asked for in the first 2 s, and budgets are kept open after that.
        let tokens = if now < 2_000 { 4_000 } else { 0 };
        if now.is_multiple_of(150) {
            let used = Usage { tokens, ..Usage::default() };
            let borrower = (&"pool".into(), &"owner".into());
            asked = (asked + 1) % LENDERS;
            let lender = &mut site.lenders[asked];
            lender.lend(Millis(now), &"org".into(), &LIMITS, borrower, &used);
        }
        site.step(now);
        if 2_000 + 2 * WINDOW.0 < now {
            let of = |lender: &mut Lender| {
                let lent = lender.report(Millis(now));
                lent.iter().flat_map(|one| &one.tokens).sum::<u64>()
            };
            let most = site.lenders.iter_mut().map(of).max().unwrap();
            // Each ask lends a token at least; the window has 54 of them.
            assert!(most <= 200, "{most} tokens are told of at {now} ms");
        }
    }
}

/// Guards against heartbeats that grow with the organisations, pools and owners of pools in the window:
/// with 16, 2 and 6 of them a report took 23 KB.
#[test]
fn a_report_is_bounded_and_tells_the_largest_amounts() {
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
    assert!(REPORT_BYTES_MAX / 2 < bytes, "{bytes} bytes: the room is used");
}
