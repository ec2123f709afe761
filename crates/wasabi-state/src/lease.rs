use serde::{Deserialize, Serialize};
use wasabi_protocol::{clock::Millis, command::Outcome, contract::Problem, id};

/// Part of a lease span that is allowed for clock drift: one tenth.
const DRIFT_DIVISOR: u64 = 10;

/// The lease for orders to the platform.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct Lease {
    fence: id::Fence,
    holder: Option<id::Member>,
    /// End of the lease in the time of the log.
    until: Millis,
    /// Longest span that the holder was granted.
    span: Millis,
    /// Time of the log before which the holder gives no order.
    not_before: Millis,
}

impl Lease {
    /// Grants or renews the lease, or tells who holds it.
    ///
    /// A new holder waits the old holder's whole span plus drift from the grant on. The last
    /// renewal of the old holder was requested before the grant, so this holds even when the wall
    /// clocks of two leaders differ and the log's time jumped past the end of the lease.
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
                // A holder that lost the lease while it still waited has given no order, but the
                // one before it may still give some.
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
