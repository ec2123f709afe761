//! Simultaneous restarts of a control group and its entries.

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

/// The organisation that only the older configuration contains.
const OLD_ORGANISATION: &str = "hospital";

/// The token that the newest configuration accepts and the older one does not.
const NEW_TOKEN: &str = "kozani-school";

/// Commands between two snapshots of a member.
const SNAPSHOT_EVERY: u64 = 20;

/// Index of the member that runs alone while the group has no quorum.
const LONE_MEMBER: usize = 0;

/// Index of the entry that misses the last changes.
const LATE_ENTRY: usize = 2;

/// Time without a quorum: several check-ins and heartbeats, which entries send every 500 ms.
const WITHOUT_QUORUM: Duration = Duration::from_secs(4);

/// Time for which an entry serves after an answer of the leader.
const SERVING_TIME: Duration = Duration::from_secs(2);

/// Longest time until all entries serve the newest configuration once the group has a quorum.
const RECOVERY_BOUND: Duration = Duration::from_secs(15);

fn contract(organisation: &str, token: &str) -> Contract {
    let mut contracts: Vec<Contract> = serde_json::from_value(contracts()).unwrap();
    let mut contract = contracts.remove(0);
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

/// How often entries gave each answer to the revoked and to the added token.
#[derive(Debug, Default)]
struct Answers {
    revoked: BTreeMap<String, u32>,
    added: BTreeMap<String, u32>,
}

impl Answers {
    /// Sends a request with each token to each entry. Returns whether all entries apply the newest
    /// configuration.
    async fn probe(&mut self, callers: &[Caller]) -> bool {
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

    /// Returns whether an entry applied the older configuration.
    fn has_older(&self) -> bool {
        let is_refusal = |answer: &&String| answer.starts_with("503") || answer.starts_with("401");
        let accepts_revoked = self.revoked.keys().any(|answer| !is_refusal(&answer));
        accepts_revoked || self.added.keys().any(|answer| answer.starts_with("401"))
    }
}

/// Starts a site with a service, and returns once a snapshot of the member that will run alone
/// contains the older configuration.
async fn start() -> (Site, Standin) {
    let mut site = Site::start(SNAPSHOT_EVERY);
    let mut settings = wasabi_standin::Settings::new("s1", Kind::Service, "desk");
    settings.entries = site.addresses();
    let service = Standin::start(settings).unwrap();
    let old = contract(OLD_ORGANISATION, TOKEN);
    site.apply_change(|order| Command::ApplyContract { order, contract: old.clone() }).await;
    for caller in callers(&site) {
        wait_until("the entry serves", async || {
            send(&caller, TOKEN).await.status == StatusCode::OK
        })
        .await;
    }
    let taken = site.snapshots(LONE_MEMBER);
    let mut share = 0;
    while site.snapshots(LONE_MEMBER) == taken {
        share += 1;
        let other = Contract { share, ..contract("yard", "yard") };
        site.apply_change(|order| Command::ApplyContract { order, contract: other.clone() }).await;
    }
    (site, service)
}

/// Revokes one token and adds another, and returns once these entries apply both changes.
async fn change_tokens(site: &mut Site, entries: &[usize]) {
    site.apply_change(|order| Command::RemoveContract {
        order,
        organisation: OLD_ORGANISATION.into(),
    })
    .await;
    let new = contract("school", NEW_TOKEN);
    site.apply_change(|order| Command::ApplyContract { order, contract: new.clone() }).await;
    let callers = callers(site);
    for entry in entries {
        wait_until("the newest configuration is in force", async || {
            Answers::default().probe(&callers[*entry..=*entry]).await
        })
        .await;
    }
}

/// Kills all members and these entries, and starts these entries and one member again, so that the
/// group has no quorum.
async fn restart_without_quorum(site: &mut Site, entries: &[usize]) {
    site.kill(entries);
    site.start_member(LONE_MEMBER);
    for entry in entries {
        site.start_entry(*entry);
    }
    site.wait_until_entries_listen().await;
    wait_until("a member answers with the older configuration", async || {
        let config = site.config(LONE_MEMBER).await.unwrap_or_default();
        config.contracts.iter().any(|contract| contract.organisation == OLD_ORGANISATION.into())
    })
    .await;
}

/// Probes the entries for [`WITHOUT_QUORUM`] and checks that none applies the older configuration.
async fn probe_without_quorum(site: &Site, callers: &[Caller]) -> Answers {
    let mut answers = Answers::default();
    let started = Instant::now();
    while started.elapsed() < WITHOUT_QUORUM {
        answers.probe(callers).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("without a leader: {answers:?}");
    assert!(!answers.has_older(), "{answers:?}\n{}", site.logs());
    answers
}

/// Starts the other members, and waits until all entries apply the newest configuration.
async fn recover(site: &mut Site, mut answers: Answers) {
    for member in (0..MEMBER_COUNT).filter(|member| *member != LONE_MEMBER) {
        site.start_member(member);
    }
    let callers = callers(site);
    let started = Instant::now();
    while !answers.probe(&callers).await {
        assert!(
            started.elapsed() < RECOVERY_BOUND,
            "newest configuration not in force: {answers:?}\n{}",
            site.logs()
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("newest configuration in force after {:?}: {answers:?}", started.elapsed());
    assert!(!answers.has_older(), "{answers:?}\n{}", site.logs());
}

/// Guards against entries that accept the revoked token and refuse the added one after all processes
/// have restarted: a member answers with its last snapshot, and entries that agree on it serve.
#[actix_rt::test]
async fn no_older_configuration_is_served_after_a_restart_of_all_processes() {
    let (mut site, service) = start().await;
    change_tokens(&mut site, &[0, 1, 2]).await;
    let before = support::run_count(&service.counts(), TOKEN);
    restart_without_quorum(&mut site, &[0, 1, 2]).await;
    let answers = probe_without_quorum(&site, &callers(&site)).await;
    recover(&mut site, answers).await;
    assert_eq!(
        support::run_count(&service.counts(), TOKEN),
        before,
        "a request with the revoked token ran"
    );
}

/// Guards against an entry that missed the last changes and goes on serving its outdated
/// configuration, because restarted entries that know of nothing newer keep it in service.
#[actix_rt::test]
async fn restarted_entries_do_not_keep_an_outdated_entry_in_service() {
    let (mut site, service) = start().await;
    site.signal(LATE_ENTRY, Signal::Stop);
    let stopped = Instant::now();
    change_tokens(&mut site, &[0, 1]).await;
    let before = support::run_count(&service.counts(), TOKEN);
    restart_without_quorum(&mut site, &[0, 1]).await;
    // Waits until the entry may no longer serve because of the leader's last answer.
    tokio::time::sleep(SERVING_TIME.saturating_sub(stopped.elapsed())).await;
    site.signal(LATE_ENTRY, Signal::Continue);
    let late = &callers(&site)[LATE_ENTRY..=LATE_ENTRY];
    let answers = probe_without_quorum(&site, late).await;
    recover(&mut site, answers).await;
    assert_eq!(
        support::run_count(&service.counts(), TOKEN),
        before,
        "a request with the revoked token ran"
    );
}
