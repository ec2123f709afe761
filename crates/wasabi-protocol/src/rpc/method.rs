//! Names of the RPC methods.

/// Requests a grant from a pool owner; answered once the grant is given or refused.
pub const ACQUIRE: &str = "pool.acquire";
/// Releases a grant and reports on its attempt.
pub const RELEASE: &str = "pool.release";
/// Revokes a grant from its holder before the first token.
pub const PREEMPT: &str = "pool.preempt";
/// Reports the grants that a holder still uses to a new pool owner.
pub const REPORT: &str = "pool.report";
/// Relays an endpoint's announcement to the pool owner.
pub const ANNOUNCE: &str = "endpoint.announce";
/// Relays the departure of an endpoint.
pub const LEAVE: &str = "endpoint.leave";
/// Sends recent departures of endpoints to the new owner of a pool.
pub const LEFT: &str = "endpoint.left";
/// Reports rates that endpoints named to the owner of their pool.
pub const RATES: &str = "endpoint.rates";
/// Requests that an entry relay an announcement to a pool owner that the sender can't reach.
pub const ANNOUNCE_THROUGH: &str = "endpoint.announce_through";
/// Requests that an entry relay a departure to a pool owner that the sender can't reach.
pub const LEAVE_THROUGH: &str = "endpoint.leave_through";
/// Passes on an announcement received by another process, to be forwarded to the pool owner.
pub const REGISTER: &str = "endpoint.register";
/// Reports the departure of an endpoint, to be forwarded to all entries.
pub const RETIRE: &str = "endpoint.retire";
/// Requests a slice from the owner of an organisation's budget.
pub const LEND: &str = "budget.lend";
/// Exchanges liveness and status between entries.
pub const PEER_HEARTBEAT: &str = "peer.heartbeat";
/// Fetches the configuration in force at a peer or at control, without the parts that the requester
/// already has.
pub const CONFIG: &str = "config.fetch";
/// Exchanges liveness between an entry and the control leader.
pub const CONTROL_HEARTBEAT: &str = "control.heartbeat";
/// Proposes a command to the control leader.
pub const PROPOSE: &str = "control.propose";
/// Returns the leader of the control group; needs no credential.
pub const LEADER: &str = "control.leader";
/// Forwards a site configuration to the leader on behalf of a control host's caller.
pub const PUT_SITE: &str = "site.put";
/// Reads the site configuration from the leader on behalf of a control host's caller.
pub const SITE: &str = "site.read";
/// Forwards a request for a version move to the leader on behalf of a control host's caller.
pub const START_MOVE: &str = "move.start";
/// Reads the last version move from the leader on behalf of a control host's caller.
pub const LAST_MOVE: &str = "move.last";
/// Carries consensus messages between control members.
pub const CONSENSUS: &str = "consensus.step";
/// Asks a member whether it has ever received a message from the sender, before the sender creates
/// a new group.
pub const HELLO: &str = "consensus.hello";
/// Asks the control leader to add the sender to its group.
pub const JOIN: &str = "consensus.join";
/// Submits an operator's command.
pub const OPERATE: &str = "operator.command";
/// Returns contracts, moves, entries, endpoints and degraded components.
pub const STATUS: &str = "operator.status";
/// Changes the members of the control group.
pub const MEMBERS: &str = "operator.members";
/// Drains an entry.
pub const DRAIN: &str = "operator.drain";
