//! Lease that makes one control member at a time the issuer of orders to the platform.

use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, command::Outcome, contract::Problem, id};

/// Divisor of a lease span that gives the allowance for clock drift.
const DRIFT_DIVISOR: u64 = 10;

/// Lease for orders to the platform.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Lease {
    fence: id::Fence,
    holder: Option<id::Member>,
    /// End of the lease in log time.
    until: Millis,
    /// Longest span that was granted to the holder.
    span: Millis,
    /// Log time before which the holder gives no order.
    not_before: Millis,
}

impl Lease {
    /// Grants or renews the lease, or returns its current holder.
    ///
    /// After the grant a new holder waits for the old holder's whole span plus drift. The old
    /// holder requested its last renewal before the grant, so its lease has ended by then even if
    /// the wall clocks of two leaders differ and the log time has jumped past the end of the lease.
    pub(crate) fn grant(&mut self, holder: &id::Member, span: Millis, now: Millis) -> Outcome {
        if span == Millis::ZERO {
            return Outcome::Refused {
                problems: vec![Problem {
                    field: "span".to_owned(),
                    message: "must be at least 1 ms".to_owned(),
                }],
            };
        }
        match &self.holder {
            Some(current) if current == holder => self.span = self.span.max(span),
            Some(current) if now < self.until => {
                return Outcome::LeaseHeld {
                    holder: current.clone(),
                    remaining: self.until.since(now),
                };
            }
            current => {
                let wait = if current.is_some() {
                    self.span + Millis(self.span.0.div_ceil(DRIFT_DIVISOR))
                } else {
                    Millis::ZERO
                };
                // A holder that lost the lease during its own wait has given no order, but the
                // holder before it may still give orders.
                self.not_before = self.not_before.max(now + wait);
                self.fence = self.fence.next();
                self.holder = Some(holder.clone());
                self.span = span;
            }
        }
        self.until = now + span;
        Outcome::Leased { fence: self.fence, wait: self.not_before.since(now) }
    }
}
