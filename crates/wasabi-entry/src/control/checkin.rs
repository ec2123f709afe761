//! Check-ins with the control leader: liveness, evidence and the configuration in force.

use std::rc::Rc;

use wasabi_protocol::{
    clock::Millis,
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
        Some(Checked::Heard { config, members, .. }) => {
            shell.control.learn(members);
            if let Some(mut config) = config {
                if config.site.is_none() {
                    config.site.clone_from(&shell.shared.in_force().config.site);
                }
                shell.apply(&config);
            }
            shell.control_heard.set(Some(sent));
            shell.shared.extend_serving(sent);
        }
        Some(Checked::NotLeader { .. }) | None => {
            // Evidence counts from check-in to check-in, so what was not taken is sent again.
            shell.unsent.borrow_mut().extend(checkin.evidence);
            if shell.shared.in_force().config.view.entries.is_empty()
                && let Some(config) = shell.control.fetch().await
            {
                // It names the peers, and nothing is served until most of them are heard.
                shell.apply(&config);
            }
        }
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
