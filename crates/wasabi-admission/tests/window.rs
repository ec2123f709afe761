//! Tests of limits with a burst in a sliding window, through changes of lenders and pool owners.

use wasabi_admission::{lender::Lender, limit::Account};
use wasabi_protocol::{
    clock::Millis,
    contract::{Burst, Limits, Tier},
    id,
    rpc::{Lent, Usage},
};

/// A limit with a burst in a sliding window, as operators of a site state it.
const WINDOWED: Limits = Limits {
    requests_per_s: 1 << 20,
    tokens_per_s: 10_000,
    concurrency: 1 << 20,
    burst: Some(Burst { tokens: 10_000, window: Millis(8_000) }),
};

const NONE_WAITING: (u32, u64) = (0, 0);

/// Lends to the account of an owner of the pool what it asks for, if it asks now. `waiting` is the
/// number and the tokens of its waiting requests.
fn lend(lender: &mut Lender, owner: &str, account: &mut Account, at: Millis, waiting: (u32, u64)) {
    if let Some(used) = account.take_usage(at, waiting.0, waiting.1) {
        let borrower = (&"pool".into(), &owner.into());
        let slice = lender.lend(at, &"org".into(), &WINDOWED, borrower, &used);
        account.lend(at, &slice);
    }
}

/// Runs an organisation that wants `demand` tokens a second against a windowed limit, refused when
/// the account says so, and returns the tokens started in each 100 ms.
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

/// Guards against an organisation that is refused for good after it once went past its limit: with
/// nothing started there was nothing to pay its overdraft for.
#[test]
fn an_organisation_below_its_limit_is_served_again_after_a_burst() {
    let started = windowed(|now| if now < 8_000 { 80_000 } else { 5_000 }, 30_000);
    let later: u64 = started[200..].iter().sum();
    assert!(45_000 <= later, "{later} of 50,000 tokens were started in the last 10 s");
}

/// Guards against windows that hold more than the limit and against ones that are left half used.
#[test]
fn each_window_holds_about_the_limit() {
    let started = windowed(|_| 80_000, 40_000);
    let most: u64 = 90_000;
    for window in started.windows(80).skip(80) {
        let sum: u64 = window.iter().sum();
        assert!(sum <= most + 10_000, "{sum} tokens in a window of {most}");
        assert!(most * 8 / 10 <= sum, "{sum} tokens in a window of {most}");
    }
}

/// Guards against a limit that is used up by the least urgent requests of an organisation, which
/// come most often, while its urgent ones are refused.
#[test]
fn a_limit_that_is_used_up_goes_to_the_urgent_tier_first() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut served = [0_u32; 2];
    for now in 0..24_000 {
        let at = Millis(now);
        // Each tier alone wants four fifths of the limit.
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
    assert!(0 < served[1], "the rest of the limit is left for the others");
}

/// Guards against two entries that take turns as lenders, as on a link that loses packets, and lend
/// the whole limit each.
#[test]
fn lenders_that_take_turns_hold_one_limit() {
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

/// Starts what an account allows from `from` to `to`, in requests of 1,000 tokens every 20 ms, and
/// adds what was started to the 100 ms in which it was.
fn press(lender: &mut Lender, account: &mut Account, (from, to): (u64, u64), started: &mut [u64]) {
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

/// Most tokens in a window of [`WINDOWED`] after a take-over: a tenth over the limit, and the 72,000
/// tokens that the users allow besides to an organisation with 115,000 tokens a second, in
/// proportion.
const WINDOW_MOST: u64 = 99_000 + 72_000 * 10_000 / 115_000;

fn assert_one_limit(started: &[u64]) {
    for window in started.windows(80) {
        let sum: u64 = window.iter().sum();
        assert!(sum <= WINDOW_MOST, "{sum} tokens in a window of 90,000");
    }
}

/// Guards against a limit that is lent twice when the owners of the pool and of the budget are lost
/// together: neither successor knew what was started in the window.
#[test]
fn successors_of_both_owners_hold_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut first, &mut account, (0, 8_500), &mut started);
    let mut next = Lender::new();
    // The last heartbeat of the lost entry is half a second old.
    next.record_report(Millis(8_500), &"first".into(), &first.report(Millis(8_500)));
    press(&mut first, &mut account, (8_500, 9_000), &mut started);
    let mut account = Account::new(Millis(9_000), WINDOWED);
    press(&mut next, &mut account, (9_000, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is lent twice when a lender is lost, its successor is lost soon after, and
/// the third one, or the first one anew, has heard only the second: it must be told what both lent.
#[test]
fn the_successor_of_a_successor_holds_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut first, &mut account, (0, 3_000), &mut started);
    let mut next = Lender::new();
    next.record_report(Millis(3_100), &"first".into(), &first.report(Millis(3_000)));
    let mut account = Account::new(Millis(3_100), WINDOWED);
    press(&mut next, &mut account, (3_100, 6_000), &mut started);
    let mut third = Lender::restarted(Millis(5_500));
    third.record_report(Millis(6_100), &"next".into(), &next.report(Millis(6_000)));
    let mut account = Account::new(Millis(6_100), WINDOWED);
    press(&mut third, &mut account, (6_100, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against what a lender lent after its last report: an organisation that has just begun to press
/// started it while lender and owner of the pool changed together, and nobody else knew of it.
#[test]
fn what_was_lent_after_the_last_report_counts() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut first, &mut account, (8_000, 8_500), &mut started);
    let mut next = Lender::new();
    next.record_report(Millis(8_500), &"first".into(), &first.report(Millis(8_500)));
    press(&mut first, &mut account, (8_500, 9_000), &mut started);
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

/// Guards against an owner of a pool that was killed and is back under its name: what it started
/// before, only the lender before knew.
#[test]
fn an_owner_that_is_back_under_its_name_holds_one_limit() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut first, &mut account, (0, 9_000), &mut started);
    let report = first.report(Millis(9_000));
    let mut next = Lender::restarted(Millis(9_000));
    let mut account = Account::new(Millis(9_000), WINDOWED);
    press(&mut next, &mut account, (9_000, 9_300), &mut started);
    next.record_report(Millis(9_300), &"first".into(), &report);
    press(&mut next, &mut account, (9_300, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is lent twice when every process is killed while an organisation
/// presses on its limit, so that nobody knows what was started, and against one that is held below
/// its usual load after the kill.
#[test]
fn a_lender_that_knows_nothing_assumes_that_half_of_the_limit_was_used() {
    let (mut first, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut first, &mut account, (0, 1_500), &mut started);
    let before: u64 = started.iter().sum();
    let (mut next, mut account) =
        (Lender::restarted(Millis(3_000)), Account::new(Millis(3_000), WINDOWED));
    press(&mut next, &mut account, (3_000, 40_000), &mut started);
    let usual: u64 = started[30..110].iter().sum();
    assert!(45_000 <= usual, "{usual} tokens were started in the window after the restart");
    // Half of the limit at once, the other half at its rate, and the overdraft of one slice.
    let most = before + 45_000 + 45_000 * 5 / 8 + 2_500 + 1_000;
    let across: u64 = started[..80].iter().sum();
    assert!(across <= most, "{across} tokens in the window of the kill, {most} expected at most");
}

/// Guards against a window that is forgotten when an organisation is quiet for less than the
/// window: it then starts its limit twice.
#[test]
fn a_quiet_organisation_keeps_its_window() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let mut started = vec![0; 400];
    press(&mut lender, &mut account, (0, 1_500), &mut started);
    // What the account owes is paid, then nothing is asked for.
    for now in 1_500..3_000 {
        lend(&mut lender, "owner", &mut account, Millis(now), NONE_WAITING);
    }
    lender.expire(Millis(5_500));
    // The pool drops accounts that are settled.
    if account.is_settled(Millis(5_500)) {
        account = Account::new(Millis(5_500), WINDOWED);
    }
    press(&mut lender, &mut account, (5_500, 40_000), &mut started);
    assert_one_limit(&started);
}

/// Guards against a limit that is used up by slices that nothing was started with: requests that
/// wait for an endpoint ask for budget too, and were refused later as beyond a limit of which their
/// organisation had used a half.
#[test]
fn requests_that_wait_for_an_endpoint_do_not_use_up_the_limit() {
    let (mut lender, mut account) = (Lender::new(), Account::new(Millis::ZERO, WINDOWED));
    let (mut refused, mut started) = (0, 0);
    for now in 0..30_000 {
        let at = Millis(now);
        // The endpoints take half of what the limit allows; 200 requests wait for them.
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
    assert_eq!(refused, 0, "no request is beyond the limit");
}

/// Guards against a limit that is started twice while entries do not reach each other and a pool has
/// two owners: what the one did not start is not what the other did not start.
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

/// Guards against an assumption that stays whole until the window ends: on a clock that begins with
/// the process, an organisation near its limit was refused from the sixth to the eighth second after
/// each start.
#[test]
fn what_is_assumed_after_a_start_leaves_the_window_evenly() {
    let (mut lender, mut account) =
        (Lender::restarted(Millis::ZERO), Account::new(Millis(500), WINDOWED));
    let mut refused = 0;
    // Nine tenths of what the limit allows for good.
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

/// Guards against a report of which only the first pool counts: an organisation uses an engine and a
/// plain service at once, and what it started at the second one would be lent again.
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
