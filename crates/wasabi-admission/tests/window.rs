//! Tests of limits with a burst in a sliding window, across changes of lenders and pool owners.

use wasabi_admission::{lender::Lender, limit::Account};
use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits, Tier},
    id,
    rpc::{Lent, Usage},
};

/// A limit with a burst in a sliding window, as a contract states it.
const WINDOWED: Limits = Limits {
    requests_per_s: 1 << 20,
    tokens_per_s: 10_000,
    concurrency: 1 << 20,
    burst: Some(Burst { tokens: 10_000, window: Millis(8_000) }),
};

const NONE_WAITING: (u32, u64) = (0, 0);

/// Lends the requested slice to the account of a pool owner if a usage report is due. `waiting` is
/// the number and the tokens of its waiting requests.
fn lend(lender: &mut Lender, owner: &str, account: &mut Account, at: Millis, waiting: (u32, u64)) {
    if let Some(used) = account.take_usage(at, waiting.0, waiting.1) {
        let borrower = (&"pool".into(), &owner.into());
        let slice = lender.lend(at, &"org".into(), &WINDOWED, borrower, &used);
        account.lend(at, &slice);
    }
}

/// Simulates an organisation that requests `demand` tokens a second under a windowed limit, and
/// returns the tokens started in each 100 ms.
fn windowed(demand: impl Fn(u64) -> u64, span: u64) -> Vec<u64> {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; span as usize / 100];
    for now in 0..span {
        let at = Millis(now);
        if now % 20 == 0 {
            let tokens = demand(now) / 50;
            if 0 < tokens && account.token_wait(Tier::TOP, 0).is_none() && account.may_start(at) {
                account.start(at, tokens);
                started[now as usize / 100] += tokens;
                account.end();
            }
        }
        lend(&mut lender, "owner", &mut account, at, NONE_WAITING);
    }
    started
}

/// Guards against an organisation that is refused permanently once it has exceeded its limit: without
/// started requests, nothing was lent to repay the overdraft.
#[test]
fn an_organisation_below_its_limit_is_served_again_after_a_burst() {
    let started = windowed(|now| if now < 8_000 { 80_000 } else { 5_000 }, 30_000);
    let later: u64 = started[200..].iter().sum();
    assert!(45_000 <= later, "{later} of 50,000 tokens were started in the last 10 s");
}

/// Guards against windows that exceed the limit and against windows that leave much of it unused.
#[test]
fn each_window_uses_about_the_limit() {
    let started = windowed(|_| 80_000, 40_000);
    let most: u64 = 90_000;
    for window in started.windows(80).skip(80) {
        let sum: u64 = window.iter().sum();
        assert!(sum <= most + 10_000, "{sum} tokens in a window of {most}");
        assert!(most * 8 / 10 <= sum, "{sum} tokens in a window of {most}");
    }
}

/// Guards against a limit that is exhausted by the least urgent requests of an organisation, which
/// are the most frequent ones, while its urgent requests are refused.
#[test]
fn an_exhausted_limit_goes_to_the_urgent_tier_first() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut served = [0_u32; 2];
    for now in 0..24_000 {
        let at = Millis(now);
        // Each tier alone requests four fifths of the limit.
        for (tier, served) in served.iter_mut().enumerate() {
            let tier = Tier(2 * tier as u8);
            if now % 50 == 0 && account.token_wait(tier, 0).is_none() && account.may_start(at) {
                account.start(at, 400);
                account.end();
                *served += u32::from(8_000 <= now);
            }
        }
        lend(&mut lender, "owner", &mut account, at, NONE_WAITING);
    }
    assert!(300 <= served[0], "{} of 320 urgent requests were served", served[0]);
    assert!(0 < served[1], "no less urgent request was served");
}

/// Guards against two entries that alternate as lenders, as on a lossy link, and each lend the whole
/// limit.
#[test]
fn alternating_lenders_share_one_limit() {
    let (mut lenders, mut account) =
        ([Lender::new(), Lender::new()], Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0_u64; 400];
    for now in 0..40_000_u64 {
        let at = Millis(now);
        if now % 20 == 0 && account.token_wait(Tier::TOP, 0).is_none() && account.may_start(at) {
            account.start(at, 1_000);
            account.end();
            started[now as usize / 100] += 1_000;
        }
        lend(&mut lenders[now as usize / 700 % 2], "owner", &mut account, at, NONE_WAITING);
    }
    for window in started.windows(80) {
        let sum: u64 = window.iter().sum();
        assert!(sum <= 100_000, "{sum} tokens in a window of 90,000");
    }
}

/// Starts requests of 1,000 tokens every 20 ms from `from` to `to` while the account allows it, and
/// adds their tokens to the totals of each 100 ms.
fn saturate(
    lender: &mut Lender,
    account: &mut Account,
    (from, to): (u64, u64),
    started: &mut [u64],
) {
    for now in from..to {
        let at = Millis(now);
        if now % 20 == 0 && account.token_wait(Tier::TOP, 0).is_none() && account.may_start(at) {
            account.start(at, 1_000);
            account.end();
            started[now as usize / 100] += 1_000;
        }
        lend(lender, "owner", account, at, NONE_WAITING);
    }
}

/// Most tokens in a window of [`WINDOWED`] after a takeover: a tenth over the limit, plus the excess
/// that users accept, in proportion to the limit: 72,000 tokens at 115,000 tokens a second.
const WINDOW_MOST: u64 = 99_000 + 72_000 * 10_000 / 115_000;

fn assert_one_limit(started: &[u64]) {
    for window in started.windows(80) {
        let sum: u64 = window.iter().sum();
        assert!(sum <= WINDOW_MOST, "{sum} tokens in a window of 90,000");
    }
}

/// Guards against a limit that is lent twice when the pool owner and the lender fail together:
/// neither successor knew what was started in the window.
#[test]
fn successors_of_both_owners_hold_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut first, &mut account, (0, 8_500), &mut started);
    let mut next = Lender::new();
    // The last heartbeat of the failed entry is half a second old.
    next.record_report(Millis(8_500), &"first".into(), &first.report(Millis(8_500)));
    saturate(&mut first, &mut account, (8_500, 9_000), &mut started);
    let mut account = Account::new(Millis(9_000), WINDOWED);
    saturate(&mut next, &mut account, (9_000, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is lent twice when a lender and soon afterwards its successor fail. The
/// third lender has reports of the second one only, which must include what the first one lent.
#[test]
fn the_successor_of_a_successor_holds_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut first, &mut account, (0, 3_000), &mut started);
    let mut next = Lender::new();
    next.record_report(Millis(3_100), &"first".into(), &first.report(Millis(3_000)));
    let mut account = Account::new(Millis(3_100), WINDOWED);
    saturate(&mut next, &mut account, (3_100, 6_000), &mut started);
    let mut third = Lender::restarted(Millis(5_500));
    third.record_report(Millis(6_100), &"next".into(), &next.report(Millis(6_000)));
    let mut account = Account::new(Millis(6_100), WINDOWED);
    saturate(&mut third, &mut account, (6_100, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against ignoring what a lender lent after its last report: an organisation that has just
/// begun to use its whole limit started these tokens, and then lender and pool owner failed together.
#[test]
fn tokens_lent_after_the_last_report_count() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut first, &mut account, (8_000, 8_500), &mut started);
    let mut next = Lender::new();
    next.record_report(Millis(8_500), &"first".into(), &first.report(Millis(8_500)));
    saturate(&mut first, &mut account, (8_500, 9_000), &mut started);
    let mut account = Account::new(Millis(9_000), WINDOWED);
    let borrower = (&"pool".into(), &"next".into());
    for now in 9_000..40_000 {
        let at = Millis(now);
        if now % 500 == 200 {
            next.record_report(at, &"first".into(), &first.report(at));
        }
        if now % 20 == 0 && account.token_wait(Tier::TOP, 0).is_none() && account.may_start(at) {
            account.start(at, 1_000);
            account.end();
            started[now as usize / 100] += 1_000;
        }
        if let Some(used) = account.take_usage(at, 0, 0) {
            account.lend(at, &next.lend(at, &"org".into(), &WINDOWED, borrower, &used));
        }
    }
    assert_one_limit(&started);
}

/// Guards against a pool owner that was killed and restarts under the same name: only the previous
/// lender knew what it had started.
#[test]
fn an_owner_that_restarts_under_its_name_holds_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut first, &mut account, (0, 9_000), &mut started);
    let report = first.report(Millis(9_000));
    let mut next = Lender::restarted(Millis(9_000));
    let mut account = Account::new(Millis(9_000), WINDOWED);
    saturate(&mut next, &mut account, (9_000, 9_300), &mut started);
    next.record_report(Millis(9_300), &"first".into(), &report);
    saturate(&mut next, &mut account, (9_300, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is lent twice when all processes are killed while an organisation uses
/// its whole limit, so that no record of the started tokens remains, and against an organisation
/// that is held below its usual load after the restart.
#[test]
fn a_lender_without_reports_assumes_that_half_of_the_limit_was_used() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut first, &mut account, (0, 1_500), &mut started);
    let before: u64 = started.iter().sum();
    let (mut next, mut account) =
        (Lender::restarted(Millis(3_000)), Account::new(Millis(3_000), WINDOWED));
    saturate(&mut next, &mut account, (3_000, 40_000), &mut started);
    let usual: u64 = started[30..110].iter().sum();
    assert!(45_000 <= usual, "{usual} tokens were started in the window after the restart");
    // Half of the limit at once, the other half at the limit's rate, and the overdraft of one slice.
    let most = before + 45_000 + 45_000 * 5 / 8 + 2_500 + 1_000;
    let across: u64 = started[..80].iter().sum();
    assert!(
        across <= most,
        "{across} tokens in the window of the restart, at most {most} expected"
    );
}

/// Guards against a window that is dropped when an organisation sends no requests for less than the
/// window, which lets it use its limit twice.
#[test]
fn a_quiet_organisation_keeps_its_window() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    saturate(&mut lender, &mut account, (0, 1_500), &mut started);
    // The account repays its overdraft and then requests nothing more.
    for now in 1_500..3_000 {
        lend(&mut lender, "owner", &mut account, Millis(now), NONE_WAITING);
    }
    lender.expire(Millis(5_500));
    // The pool drops settled accounts.
    if account.is_settled(Millis(5_500)) {
        account = Account::new(Millis(5_500), WINDOWED);
    }
    saturate(&mut lender, &mut account, (5_500, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is exhausted by unused slices: tokens are also requested for requests
/// that wait for an endpoint, and later requests were refused although the organisation had used only
/// half of its limit.
#[test]
fn requests_that_wait_for_an_endpoint_do_not_exhaust_the_limit() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let (mut refused, mut started) = (0, 0);
    for now in 0..30_000 {
        let at = Millis(now);
        // The endpoints process half of what the limit allows, and 200 requests wait for them.
        if now % 100 == 0 {
            refused += u32::from(account.token_wait(Tier(4), 200_000).is_some());
            if account.may_start(at) {
                account.start(at, 500);
                account.end();
                started += 1;
            }
        }
        lend(&mut lender, "owner", &mut account, at, (200, 200_000));
    }
    assert!(295 <= started, "{started} of 300 requests were started");
    assert_eq!(refused, 0, "requests within the limit were refused");
}

/// Guards against a limit that is used twice while a network partition gives a pool two owners:
/// tokens that one owner did not start may have been started by the other.
#[test]
fn two_owners_of_a_pool_hold_one_limit() {
    let mut lender = Lender::new();
    let new = || Account::new(Millis::ZERO, WINDOWED);
    let mut owners = [("first", new()), ("second", new())];
    let mut started = vec![0_u64; 300];
    for now in 0..30_000_u64 {
        let at = Millis(now);
        for (index, (owner, account)) in owners.iter_mut().enumerate() {
            // The second owner gets a tenth of the requests.
            let pause = if index == 0 { 20 } else { 200 };
            if now % pause == 0
                && account.token_wait(Tier::TOP, 0).is_none()
                && account.may_start(at)
            {
                account.start(at, 1_000);
                account.end();
                started[now as usize / 100] += 1_000;
            }
            lend(&mut lender, owner, account, at, NONE_WAITING);
        }
    }
    assert_one_limit(&started);
}

/// Guards against assumed usage that stays constant until the window ends: on a clock that starts with
/// the process, an organisation near its limit was refused from the sixth to the eighth second after
/// each start.
#[test]
fn usage_assumed_after_a_start_leaves_the_window_evenly() {
    let (mut lender, mut account) =
        (Lender::restarted(Millis::ZERO), Account::new(Millis(500), WINDOWED));
    let mut refused = 0;
    // Nine tenths of the sustained rate of the limit.
    for now in 500..20_000 {
        let at = Millis(now);
        if now % 50 == 0 {
            if account.token_wait(Tier::TOP, 0).is_none() && account.may_start(at) {
                account.start(at, 500);
                account.end();
            } else {
                refused += 1;
            }
        }
        lend(&mut lender, "owner", &mut account, at, NONE_WAITING);
    }
    assert_eq!(refused, 0);
}

/// Guards against a report of which only the first pool counts: when an organisation uses an engine
/// and a plain service, the tokens started at the second one would be lent again.
#[test]
fn a_report_counts_for_each_pool_of_an_organisation() {
    let mut lender = Lender::restarted(Millis(20_000));
    let organisation: id::Organisation = "org".into();
    let headroom = |lender: &mut Lender| {
        let borrower = (&"third".into(), &"owner".into());
        let at = Millis(20_200);
        lender.lend(at, &organisation, &WINDOWED, borrower, &Usage::default()).headroom
    };
    headroom(&mut lender);
    let lent = |pool: &str| Lent {
        organisation: "org".into(),
        pool: pool.into(),
        owner: "lost".into(),
        tokens: vec![30_000],
    };
    lender.record_report(Millis(20_100), &"before".into(), &[lent("engine"), lent("service")]);
    let left = headroom(&mut lender);
    assert!((0.3..0.35).contains(&left), "{left} of the limit is left after two thirds were lent");
}
