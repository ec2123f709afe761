//! Graceful shutdown: the entry leaves the list at once, still serves callers that hold an older list,
//! and finishes every stream.

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

/// Time within which the other entries stop listing an entry that drains: one check-in and one
/// heartbeat, each sent twice.
const UNLISTING_TIME: Millis = Millis::from_secs(3);

/// Interval at which the open requests are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the log lines about what a drain waits for.
const LOG_INTERVAL: Millis = Millis(1_000);

/// Time for callers to read the last answers of a drain without a bound.
const READING_TIME: Millis = Millis::from_secs(2);

/// Longest time for the connections of callers to close.
const CONNECTION_CLOSE_TIMEOUT_MAX: Millis = Millis(300);

/// Longest time for the last releases and outcomes to be delivered.
const FINAL_MESSAGES_TIME_MAX: Millis = Millis(200);

/// Fraction of a short drain that each of these two takes, as a divisor, so that the process ends
/// before it is killed.
const CLOSING_DIVISOR: u64 = 20;

/// What a shutdown needs: the servers for callers, and the signal that ends the control thread.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// The servers for callers.
    pub(crate) servers: Vec<ServerHandle>,
    /// Ends the control thread.
    pub(crate) ended: oneshot::Sender<()>,
}

impl Shutdown {
    /// Stops at once.
    pub(crate) fn kill(self) {
        actix_rt::spawn(async move {
            stop(&self.servers, false).await;
            let _ = self.ended.send(());
        });
    }

    /// Drains the entry in the background.
    pub(crate) fn run(self, shell: Rc<Shell>) {
        let unlisting_time = match shell.shared.mode {
            Mode::Controlled => UNLISTING_TIME,
            Mode::StandAlone => Millis::ZERO,
        };
        shell.shared.drain(unlisting_time);
        tracing::info!(open = shell.shared.open_count(), "draining");
        actix_rt::spawn(async move {
            if shell.shared.mode == Mode::Controlled {
                checkin::check_in(&shell).await;
            }
            let end = finish(&shell.shared).await;
            let share = shell.shared.drain_bound().map(|bound| Millis(bound.0 / CLOSING_DIVISOR));
            let at_most = |time: Millis| share.map_or(time, |share| share.min(time));
            let closing = at_most(CONNECTION_CLOSE_TIMEOUT_MAX);
            // The last bytes of answers may still be in transit.
            let close_timeout = match (end, shell.shared.cuts_at()) {
                (End::Drained, Some(cuts_at)) => cuts_at.since(shell.now()) + closing,
                (End::Drained, None) => READING_TIME + closing,
                (End::Cut, _) => closing,
            };
            let stopping = stop(&self.servers, end == End::Drained);
            if tokio::time::timeout(close_timeout.duration(), stopping).await.is_err() {
                tracing::warn!("connections did not close in time; stopping anyway");
            }
            tokio::time::sleep(at_most(FINAL_MESSAGES_TIME_MAX).duration()).await;
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
    /// The bound in the settings has passed.
    Cut,
}

/// Waits until the last list that names this entry has expired and every request has ended, or until
/// the bound in the settings has passed.
async fn finish(shared: &Shared) -> End {
    let mut last_logged = shared.clock.now();
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
        if LOG_INTERVAL <= now.since(last_logged) {
            last_logged = now;
            tracing::info!(
                open,
                listed_ms,
                "waiting for open requests and lists that name this entry"
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
