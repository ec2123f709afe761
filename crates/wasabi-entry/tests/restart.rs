//! Restarts of a control group and of its entries at the same time.

#![allow(clippy::unwrap_used, reason = "a fault here fails the test")]

mod support;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use awc::http::StatusCode;
use support::{
    Answer, Caller, TOKEN, contracts,
    site::{MEMBER_COUNT, Site},
    wait_until,
};
use wasabi_protocol::{command::Command, contract::Contract, endpoint::Kind, fingerprint};
use wasabi_standin::Standin;
use wasabi_testkit::process::Signal;

/// The organisation that only the older configuration knows.
const OLD: &str = "hospital";

/// The token that the newest configuration takes and the older one does not.
const NEW_TOKEN: &str = "kozani-school";

/// Commands from snapshot to snapshot of a member.
const SNAPSHOT_EVERY: u64 = 20;

/// The member that runs alone while the group is held back.
const ALONE: usize = 0;

/// The entry that misses the last changes.
const LATE: usize = 2;

/// Time for which the group is held back: entries check in every 500 ms and hear each other as often.
const HELD_BACK: Duration = Duration::from_secs(4);

/// Time for which an entry serves after it heard the leader.
const SERVING_SPAN: Duration = Duration::from_secs(2);

/// Longest time until everything serves again once the group has a quorum.
const BOUND: Duration = Duration::from_secs(15);

fn contract(organisation: &str, token: &str) -> Contract {
    let mut all: Vec<Contract> = serde_json::from_value(contracts()).unwrap();
    let mut contract = all.remove(0);
    contract.organisation = organisation.into();
    contract.token_digests = vec![fingerprint::token(token)];
    contract
}

fn callers(site: &Site) -> Vec<Caller> {
    site.addresses().into_iter().map(Caller::new).collect()
}

async fn send(caller: &Caller, token: &str) -> Answer {
    let request = caller
        .request("POST", "/services/desk/repeatable")
        .insert_header(("authorization", format!("Bearer {token}")))
        .insert_header(("x-wasabi-deadline-ms", "1000"));
    caller.send(request, token.to_owned()).await
}

/// What entries answered to a token, with the number of times.
#[derive(Debug, Default)]
struct Seen {
    revoked: BTreeMap<String, u32>,
    added: BTreeMap<String, u32>,
}

impl Seen {
    /// Sends a request with each token to each entry. Returns whether each one obeys the newest
    /// configuration.
    async fn ask(&mut self, callers: &[Caller]) -> bool {
        let mut is_newest = true;
        for caller in callers {
            let revoked = send(caller, TOKEN).await;
            let added = send(caller, NEW_TOKEN).await;
            is_newest &= revoked.status == StatusCode::UNAUTHORIZED;
            is_newest &= added.status == StatusCode::OK;
            let text = |answer: &Answer| format!("{} {}", answer.status.as_u16(), answer.kind());
            *self.revoked.entry(text(&revoked)).or_default() += 1;
            *self.added.entry(text(&added)).or_default() += 1;
        }
        is_newest
    }

    /// Returns whether a request was handled as only the older configuration allows.
    fn has_older(&self) -> bool {
        let is_known = |answer: &&String| answer.starts_with("503") || answer.starts_with("401");
        let ran = self.revoked.keys().any(|answer| !is_known(&answer));
        ran || self.added.keys().any(|answer| answer.starts_with("401"))
    }
}

/// Starts a site with a service, and returns once the snapshot of the member that will run alone
/// holds the older configuration.
async fn start() -> (Site, Standin) {
    let mut site = Site::start(SNAPSHOT_EVERY);
    let mut settings = wasabi_standin::Settings::new("s1", Kind::Service, "desk");
    settings.entries = site.addresses();
    let service = Standin::start(settings).unwrap();
    let old = contract(OLD, TOKEN);
    site.apply_change(|order| Command::ApplyContract { order, contract: old.clone() }).await;
    for caller in callers(&site) {
        wait_until("the entry serves", async || {
            send(&caller, TOKEN).await.status == StatusCode::OK
        })
        .await;
    }
    let taken = site.snapshots(ALONE);
    let mut share = 0;
    while site.snapshots(ALONE) == taken {
        share += 1;
        let other = Contract { share, ..contract("yard", "yard") };
        site.apply_change(|order| Command::ApplyContract { order, contract: other.clone() }).await;
    }
    (site, service)
}

/// Revokes one token and adds another, and returns once these entries obey it.
async fn change(site: &mut Site, entries: &[usize]) {
    site.apply_change(|order| Command::RemoveContract { order, organisation: OLD.into() }).await;
    let new = contract("school", NEW_TOKEN);
    site.apply_change(|order| Command::ApplyContract { order, contract: new.clone() }).await;
    let callers = callers(site);
    for entry in entries {
        wait_until("the newest configuration is in force", async || {
            Seen::default().ask(&callers[*entry..=*entry]).await
        })
        .await;
    }
}

/// Kills all members and these entries, and starts them again without the group's quorum.
async fn restart(site: &mut Site, entries: &[usize]) {
    site.kill(entries);
    site.start_member(ALONE);
    for entry in entries {
        site.start_entry(*entry);
    }
    site.wait_until_entries_listen().await;
    wait_until("a member answers with the older configuration", async || {
        let config = site.config(ALONE).await.unwrap_or_default();
        config.contracts.iter().any(|contract| contract.organisation == OLD.into())
    })
    .await;
}

/// Asks for as long as the group is held back.
async fn watch(site: &Site, callers: &[Caller]) -> Seen {
    let mut seen = Seen::default();
    let started = Instant::now();
    while started.elapsed() < HELD_BACK {
        seen.ask(callers).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("without a leader: {seen:?}");
    assert!(!seen.has_older(), "{seen:?}\n{}", site.logs());
    seen
}

/// Starts the other members, and waits until all entries obey the newest configuration.
async fn recover(site: &mut Site, mut seen: Seen) {
    for member in (0..MEMBER_COUNT).filter(|member| *member != ALONE) {
        site.start_member(member);
    }
    let callers = callers(site);
    let started = Instant::now();
    while !seen.ask(&callers).await {
        assert!(started.elapsed() < BOUND, "not in force again: {seen:?}\n{}", site.logs());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("in force again after {:?}: {seen:?}", started.elapsed());
    assert!(!seen.has_older(), "{seen:?}\n{}", site.logs());
}

/// Guards against entries that run what was revoked, and refuse what was added, after everything
/// restarted at once: a member answers with its last snapshot, and entries that agree on it serve.
#[actix_rt::test]
async fn nothing_older_is_served_after_a_restart_of_everything() {
    let (mut site, service) = start().await;
    change(&mut site, &[0, 1, 2]).await;
    let before = support::run_count(&service.counts(), TOKEN);
    restart(&mut site, &[0, 1, 2]).await;
    let seen = watch(&site, &callers(&site)).await;
    recover(&mut site, seen).await;
    assert_eq!(
        support::run_count(&service.counts(), TOKEN),
        before,
        "a revoked token's request ran"
    );
}

/// Guards against an entry that missed the last changes and goes on with what it holds, kept serving
/// by entries that restarted and know nothing newer.
#[actix_rt::test]
async fn restarted_entries_do_not_keep_another_one_serving_what_is_older() {
    let (mut site, service) = start().await;
    site.signal(LATE, Signal::Stop);
    let stopped = Instant::now();
    change(&mut site, &[0, 1]).await;
    let before = support::run_count(&service.counts(), TOKEN);
    restart(&mut site, &[0, 1]).await;
    // What it heard from the leader keeps it serving for so long.
    tokio::time::sleep(SERVING_SPAN.saturating_sub(stopped.elapsed())).await;
    site.signal(LATE, Signal::Continue);
    let late = &callers(&site)[LATE..=LATE];
    let seen = watch(&site, late).await;
    recover(&mut site, seen).await;
    assert_eq!(
        support::run_count(&service.counts(), TOKEN),
        before,
        "a revoked token's request ran"
    );
}
