//! Graceful stop: off the list at once, old callers served, every stream finished.

use std::{rc::Rc, time::Duration};

use actix_server::ServerHandle;
use futures_util::future::join_all;
use tokio::sync::oneshot;
use wasabi_protocol::clock::Millis;

use crate::{
    callers::server::SHUTDOWN_TIMEOUT_S,
    control::checkin,
    shared::{Mode, Shared},
    shell::Shell,
};

/// Time within which the other entries stop naming an entry that drains: one check-in and one
/// heartbeat, each sent twice.
const ELSEWHERE: Millis = Millis::from_secs(3);

/// Time between two looks at the open requests.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time between two log lines about what a drain waits for, in milliseconds.
const SAY_EVERY: Millis = Millis(1_000);

/// Time for the connections of callers to close, in milliseconds.
const CLOSE_TIME: Millis = Millis(300);

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
            let end = finish(&shell.shared).await;
            // The last bytes of answers may still be on their way.
            let left = match (end, shell.shared.cuts_at()) {
                (End::Drained, Some(cuts_at)) => cuts_at.since(shell.now()) + CLOSE_TIME,
                (End::Drained, None) => Millis::from_secs(SHUTDOWN_TIMEOUT_S) + CLOSE_TIME,
                (End::Cut, _) => CLOSE_TIME,
            };
            let stopping = stop(&self.servers, end == End::Drained);
            if tokio::time::timeout(left.duration(), stopping).await.is_err() {
                tracing::warn!("connections are still open; ending without them");
            }
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

/// How a drain ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Every request has ended.
    Drained,
    /// The bound of the settings has passed.
    Cut,
}

/// Waits until the last list that names this entry has run out and every request has ended, or
/// until the bound of the settings.
async fn finish(shared: &Shared) -> End {
    let mut said = shared.clock.now();
    loop {
        let now = shared.clock.now();
        let open = shared.open_count();
        let listed_ms = shared.listed_until().since(now).0;
        if listed_ms == 0 && open == 0 {
            tracing::info!("drained");
            return End::Drained;
        }
        if shared.cuts_at().is_some_and(|cuts_at| cuts_at <= now) {
            tracing::warn!(cut = open, "drain.bound has passed; open requests are cut");
            return End::Cut;
        }
        if SAY_EVERY <= now.since(said) {
            said = now;
            tracing::info!(
                open,
                listed_ms,
                "waiting for open requests and lists that name this entry"
            );
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}
