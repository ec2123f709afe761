//! Check-ins with the control leader: liveness, evidence and the configuration in force.

use std::rc::Rc;

use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Checked, Checkin},
};

use crate::shell::Shell;

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
                if config.site.is_none() {
                    config.site.clone_from(&shell.shared.in_force().config.site);
                }
                shell.apply(&config);
            }
            shell.control_heard.set(Some(sent));
            confirm(shell, revision, sent);
        }
        Some(Checked::NotLeader { .. }) | None => {
            // Evidence counts from check-in to check-in, so what was not taken is sent again.
            shell.unsent.borrow_mut().extend(checkin.evidence);
            if shell.shared.in_force().config.view.entries.is_empty()
                && let Some(config) = shell.control.fetch().await
            {
                // It may be old, so it names the peers, and nothing is served before a leader is heard.
                tracing::info!(revision = %config.revision, "a member's configuration, not confirmed");
                shell.apply(&config);
            }
        }
    }
}

/// Extends the serving time after a leader named the revision in force.
///
/// A process serves from the first time on that it holds what a leader named: nothing that was
/// acknowledged before its start is newer.
fn confirm(shell: &Shell, revision: id::Revision, heard: Millis) {
    let held = shell.shared.in_force().config.revision;
    if revision <= held && !shell.is_confirmed.replace(true) {
        tracing::info!(revision = %held, "confirmed by the leader");
    }
    if shell.is_confirmed.get() {
        shell.shared.extend_serving(heard);
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
    }
}
