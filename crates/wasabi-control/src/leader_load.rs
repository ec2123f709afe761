//! What a leader does for other processes, for one log line a second.

use tracing::info;
use wasabi_protocol::{clock::Millis, rpc::Extent};

/// Time between two log lines.
const LOG_INTERVAL: Millis = Millis::from_secs(1);

/// The requests that a leader answered since its last log line.
#[derive(Debug, Default)]
pub(crate) struct LeaderLoad {
    since: Millis,
    checkins: u32,
    leader_queries: u32,
    reads: u32,
    whole_configs: u32,
    whole_bytes: usize,
    partial_configs: u32,
    partial_bytes: usize,
    longest_turn: Millis,
}

impl LeaderLoad {
    /// Counts a heartbeat of an entry.
    pub(crate) const fn count_checkin(&mut self) {
        self.checkins += 1;
    }

    /// Counts a query for the leader.
    pub(crate) const fn count_leader_query(&mut self) {
        self.leader_queries += 1;
    }

    /// Counts a read of the state for a caller of a control host.
    pub(crate) const fn count_read(&mut self) {
        self.reads += 1;
    }

    /// Counts an answer with the configuration.
    pub(crate) const fn count_config(&mut self, extent: Extent, bytes: usize) {
        match extent {
            Extent::Whole => {
                self.whole_configs += 1;
                self.whole_bytes += bytes;
            }
            _ => {
                self.partial_configs += 1;
                self.partial_bytes += bytes;
            }
        }
    }

    /// Records how long a turn of the control thread took.
    pub(crate) fn record_turn(&mut self, time: Millis) {
        self.longest_turn = self.longest_turn.max(time);
    }

    /// Logs and resets the counts once a second.
    pub(crate) fn log(&mut self, now: Millis) {
        let time = now.since(self.since);
        if time < LOG_INTERVAL {
            return;
        }
        let load = std::mem::replace(self, Self { since: now, ..Self::default() });
        info!(
            time_ms = time.0,
            checkins = load.checkins,
            leader_queries = load.leader_queries,
            reads = load.reads,
            whole_configs = load.whole_configs,
            whole_bytes = load.whole_bytes,
            partial_configs = load.partial_configs,
            partial_bytes = load.partial_bytes,
            longest_turn_ms = load.longest_turn.0,
            "load of the leader"
        );
    }
}
