//! Check-ins with the control leader: liveness, evidence and the revision in force.
//!
//! The answer holds no configuration, so that a large configuration cannot delay it.

use std::{rc::Rc, sync::Arc};

use tokio::sync::Semaphore;
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Checkin, CheckinReply},
};

use crate::{
    control::confirmation::Confirmation,
    fetch::{self, plan::Source},
    shell::Shell,
};

/// Interval between two check-ins.
const CHECKIN_INTERVAL: Millis = Millis(500);

/// Most check-ins that wait for their answers. A late answer does not delay the next check-in.
const CHECKINS_MAX: usize = 4;

/// Checks in until the process ends.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut interval = tokio::time::interval(CHECKIN_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let free = Arc::new(Semaphore::new(CHECKINS_MAX));
    loop {
        interval.tick().await;
        let Ok(permit) = Arc::clone(&free).try_acquire_owned() else { continue };
        let shell = Rc::clone(&shell);
        actix_rt::spawn(async move {
            check_in(&shell).await;
            drop(permit);
        });
    }
}

/// Checks in once.
pub(crate) async fn check_in(shell: &Rc<Shell>) {
    // The answer proves that the leader heard this entry after this moment.
    let sent = shell.now();
    let checkin = build_checkin(shell);
    match shell.control.check_in(&checkin).await {
        Some(CheckinReply::Heard { revision, config, members }) => {
            shell.control.set_members(members);
            if let Some(mut config) = config {
                // Only leaders of earlier software versions send a configuration here.
                if config.site.is_none() {
                    config.site.clone_from(&shell.shared.in_force().config.site);
                }
                shell.apply(&config);
            }
            shell.answered_checkin.set(Some(sent));
            record_answer(shell, revision, sent);
            fetch_named(shell, revision);
        }
        Some(CheckinReply::NotLeader { .. }) | None => {
            // Each check-in carries the evidence since the one before, so evidence that was not
            // accepted is sent again.
            shell.unsent_evidence.borrow_mut().extend(checkin.evidence);
            let in_force = shell.shared.in_force();
            if in_force.config.view.entries.is_empty() {
                // The configuration of a member may be stale. It is used to find the peers; this
                // entry does not serve before it hears a leader.
                fetch_from_members(shell, in_force.config.revision.next());
            }
        }
    }
}

/// Records the revision that a leader named in its answer to a check-in sent at `sent`.
fn record_answer(shell: &Shell, revision: id::Revision, sent: Millis) {
    let held = shell.shared.in_force().config.revision;
    extend_serving(shell, |confirmation| confirmation.record_answer(revision, sent, held));
}

/// Records that a revision is in force on this entry.
pub(crate) fn config_applied(shell: &Shell, revision: id::Revision) {
    extend_serving(shell, |confirmation| confirmation.record_held(revision));
}

/// Applies `step` and extends the serving time when it proves that this entry holds the revision
/// that a leader named.
fn extend_serving(shell: &Shell, step: impl FnOnce(&mut Confirmation) -> Option<Millis>) {
    let mut confirmation = shell.confirmation.borrow_mut();
    let is_first = !confirmation.is_confirmed();
    let Some(from) = step(&mut confirmation) else { return };
    if is_first {
        tracing::info!("configuration confirmed by the control leader");
    }
    shell.shared.extend_serving(from);
}

/// Fetches the revision that the leader named, if it is newer. An entry without a view fetches it
/// from any member: when all entries start at once, the leader would have to send it to each of them.
fn fetch_named(shell: &Rc<Shell>, revision: id::Revision) {
    if shell.shared.in_force().config.view.entries.is_empty() {
        fetch_from_members(shell, revision);
    } else if let Some(leader) = shell.control.leader() {
        fetch::run::revision_announced(shell, Source::Member(leader), revision);
    }
}

/// Fetches a revision that the members may hold, in random order.
fn fetch_from_members(shell: &Rc<Shell>, revision: id::Revision) {
    let mut members = shell.control.members();
    fastrand::shuffle(&mut members);
    for member in members {
        fetch::run::revision_announced(shell, Source::Member(member), revision);
    }
}

fn build_checkin(shell: &Shell) -> Checkin {
    let now = shell.now();
    let mut pools = shell.pools.borrow_mut();
    let mut evidence = std::mem::take(&mut *shell.unsent_evidence.borrow_mut());
    evidence.extend(pools.evidence());
    Checkin {
        entry: shell.shared.checked_entry(),
        revision: shell.shared.in_force().config.revision,
        site: shell.shared.in_force().config.site.as_ref().map(|site| site.version),
        known: shell.peers.borrow().known_revisions(now),
        evidence,
        endpoints: pools.endpoints(),
        suspects: shell.suspects.borrow().worst(now),
        degraded: shell.degraded(),
        fetches: true,
    }
}
