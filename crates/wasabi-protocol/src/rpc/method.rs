//! Names of the methods.

/// Asks a pool owner for a grant; answered when one is given or refused.
pub const ACQUIRE: &str = "pool.acquire";
/// Gives a grant back with its report.
pub const RELEASE: &str = "pool.release";
/// Takes a grant back from its holder before the first token.
pub const PREEMPT: &str = "pool.preempt";
/// Tells a new pool owner the grants that a holder still uses.
pub const REPORT: &str = "pool.report";
/// Relays an endpoint's announcement to the pool owner.
pub const ANNOUNCE: &str = "endpoint.announce";
/// Relays that an endpoint leaves.
pub const LEAVE: &str = "endpoint.leave";
/// Tells the new owner of a pool which endpoints left lately.
pub const LEFT: &str = "endpoint.left";
/// Asks an entry to relay an announcement to a pool owner that the asker does not reach.
pub const ANNOUNCE_THROUGH: &str = "endpoint.announce_through";
/// Asks an entry to relay a leave to a pool owner that the asker does not reach.
pub const LEAVE_THROUGH: &str = "endpoint.leave_through";
/// Announces an endpoint that another process heard, to be passed to the pool owner.
pub const REGISTER: &str = "endpoint.register";
/// States that an endpoint leaves, to be passed to all entries.
pub const RETIRE: &str = "endpoint.retire";
/// Asks the owner of an organisation's budget for a slice.
pub const LEND: &str = "budget.lend";
/// Exchanges liveness and summaries between entries.
pub const PEER_HEARTBEAT: &str = "peer.heartbeat";
/// Returns the configuration in force at a peer or at control, without what the asker says that it
/// holds.
pub const CONFIG: &str = "config.fetch";
/// Exchanges liveness between an entry and the control leader.
pub const CONTROL_HEARTBEAT: &str = "control.heartbeat";
/// Proposes a command to the control leader.
pub const PROPOSE: &str = "control.propose";
/// Asks who leads the control group; needs no credential.
pub const LEADER: &str = "control.leader";
/// Passes a site configuration to the leader for a control host's caller.
pub const PUT_SITE: &str = "site.put";
/// Reads the site configuration at the leader for a control host's caller.
pub const SITE: &str = "site.read";
/// Passes the order of a version move to the leader for a control host's caller.
pub const START_MOVE: &str = "move.start";
/// Reads the last version move at the leader for a control host's caller.
pub const LAST_MOVE: &str = "move.last";
/// Carries a message of the agreement between control members.
pub const CONSENSUS: &str = "consensus.step";
/// Asks a member whether it ever heard the asker, before the asker founds a group.
pub const HELLO: &str = "consensus.hello";
/// Asks the control leader to be a member of its group.
pub const JOIN: &str = "consensus.join";
/// Gives an operator's command.
pub const OPERATE: &str = "operator.command";
/// Returns contracts, moves, entries, endpoints and degraded parts.
pub const STATUS: &str = "operator.status";
/// Changes the members of the control group.
pub const MEMBERS: &str = "operator.members";
/// Drains an entry.
pub const DRAIN: &str = "operator.drain";
