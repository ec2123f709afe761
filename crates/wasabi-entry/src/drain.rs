//! Graceful stop: off the list at once, old callers served, every stream finished.

use std::{rc::Rc, time::Duration};

use actix_server::ServerHandle;
use futures_util::future::join_all;
use tokio::sync::oneshot;
use wasabi_protocol::clock::Millis;

use crate::{
    control::checkin,
    shared::{Mode, Shared},
    shell::Shell,
};

/// Time within which the other entries stop naming an entry that drains: one check-in and one
/// heartbeat, each sent twice.
const ELSEWHERE: Millis = Millis::from_secs(3);

/// Time between two looks at the open requests.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time for the last releases and outcomes to reach their owners.
const LAST_MESSAGES: Duration = Duration::from_millis(200);

/// What is needed to stop: the servers for callers, and the signal that ends the control thread.
#[derive(Debug)]
pub(crate) struct Start {
    /// The servers for callers.
    pub(crate) servers: Vec<ServerHandle>,
    /// Ends the control thread.
    pub(crate) ended: oneshot::Sender<()>,
}

impl Start {
    /// Stops at once.
    pub(crate) fn kill(self) {
        actix_rt::spawn(async move {
            stop(&self.servers, false).await;
            let _ = self.ended.send(());
        });
    }

    /// Drains the entry in the background.
    pub(crate) fn run(self, shell: Rc<Shell>) {
        let elsewhere = match shell.shared.mode {
            Mode::Controlled => ELSEWHERE,
            Mode::StandAlone => Millis::ZERO,
        };
        shell.shared.drain(elsewhere);
        tracing::info!(open = shell.shared.open_count(), "draining");
        actix_rt::spawn(async move {
            if shell.shared.mode == Mode::Controlled {
                checkin::check_in(&shell).await;
            }
            finish(&shell.shared).await;
            stop(&self.servers, true).await;
            tokio::time::sleep(LAST_MESSAGES).await;
            if self.ended.send(()).is_err() {
                tracing::debug!("the control thread has ended already");
            }
        });
    }
}

async fn stop(servers: &[ServerHandle], graceful: bool) {
    join_all(servers.iter().map(|server| server.stop(graceful))).await;
}

/// Waits until the last list that names this entry has run out and every request has ended, or
/// until the bound of the settings.
async fn finish(shared: &Shared) {
    let started = shared.clock.now();
    let bound = shared.settings.drain.bound.as_ref().map(|bound| **bound);
    loop {
        let now = shared.clock.now();
        let open = shared.open_count();
        if shared.listed_until() < now && open == 0 {
            tracing::info!("drained");
            return;
        }
        if bound.is_some_and(|bound| bound <= now.since(started)) {
            tracing::warn!(cut = open, "drain.bound has passed; open requests are cut");
            return;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
