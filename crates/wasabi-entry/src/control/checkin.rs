//! Check-ins with the control leader: liveness, evidence and the revision in force.
//!
//! The answer holds no configuration, so that it comes in time however large that is.

use std::rc::Rc;

use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Checked, Checkin},
};

use crate::{
    control::confirmation::Confirmation,
    fetch::{self, plan::Source},
    shell::Shell,
};

/// Time between two check-ins.
const EVERY: Millis = Millis(500);

/// Checks in until the process ends.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut interval = tokio::time::interval(EVERY.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        check_in(&shell).await;
    }
}

/// Checks in once.
pub(crate) async fn check_in(shell: &Rc<Shell>) {
    // The answer proves that control heard the entry after this moment.
    let sent = shell.now();
    let checkin = checkin(shell);
    match shell.control.check_in(&checkin).await {
        Some(Checked::Heard { revision, config, members }) => {
            shell.control.learn(members);
            if let Some(mut config) = config {
                // Only a leader of an earlier version sends it.
                if config.site.is_none() {
                    config.site.clone_from(&shell.shared.in_force().config.site);
                }
                shell.apply(&config);
            }
            shell.control_heard.set(Some(sent));
            confirm(shell, revision, sent);
            name(shell, revision);
        }
        Some(Checked::NotLeader { .. }) | None => {
            // Evidence counts from check-in to check-in, so what was not taken is sent again.
            shell.unsent.borrow_mut().extend(checkin.evidence);
            let in_force = shell.shared.in_force();
            if in_force.config.view.entries.is_empty() {
                // What a member holds may be old, so it names the peers, and nothing is served
                // before a leader is heard.
                ask_members(shell, in_force.config.revision.next());
            }
        }
    }
}

/// Takes into account that a leader named a revision in the answer to a question sent at `sent`.
fn confirm(shell: &Shell, revision: id::Revision, sent: Millis) {
    let held = shell.shared.in_force().config.revision;
    prove(shell, |confirmation| confirmation.record_answer(revision, sent, held));
}

/// Takes into account that a revision is in force here.
pub(crate) fn hold(shell: &Shell, revision: id::Revision) {
    prove(shell, |confirmation| confirmation.record_held(revision));
}

/// Extends the serving time when that proves that this entry holds what a leader named.
fn prove(shell: &Shell, step: impl FnOnce(&mut Confirmation) -> Option<Millis>) {
    let mut confirmation = shell.confirmation.borrow_mut();
    let is_first = !confirmation.is_confirmed();
    let Some(from) = step(&mut confirmation) else { return };
    if is_first {
        tracing::info!("confirmed by the leader");
    }
    shell.shared.extend_serving(from);
}

/// Fetches the revision that the leader named, if it is newer. An entry without a view asks any
/// member: when all entries start at one time, the leader would have to send it to each of them.
fn name(shell: &Rc<Shell>, revision: id::Revision) {
    if shell.shared.in_force().config.view.entries.is_empty() {
        ask_members(shell, revision);
    } else if let Some(leader) = shell.control.leader() {
        fetch::run::named(shell, Source::Member(leader), revision);
    }
}

/// Asks the members, in an order of this process's own, for a revision that they may hold.
fn ask_members(shell: &Rc<Shell>, revision: id::Revision) {
    let mut members = shell.control.members();
    fastrand::shuffle(&mut members);
    for member in members {
        fetch::run::named(shell, Source::Member(member), revision);
    }
}

fn checkin(shell: &Shell) -> Checkin {
    let now = shell.now();
    let mut pools = shell.pools.borrow_mut();
    let mut evidence = std::mem::take(&mut *shell.unsent.borrow_mut());
    evidence.extend(pools.evidence());
    Checkin {
        entry: shell.shared.checked_entry(),
        revision: shell.shared.in_force().config.revision,
        site: shell.shared.in_force().config.site.as_ref().map(|site| site.version),
        known: shell.peers.borrow().known(now),
        evidence,
        endpoints: pools.endpoints(),
        suspects: shell.suspects.borrow().worst(now),
        degraded: shell.degraded(),
        fetches: true,
    }
}
