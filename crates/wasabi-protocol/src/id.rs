//! Identifiers: names and numbers.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// An organisation: a customer with one contract.
    Organisation
);
name!(
    /// A route of a contract, such as `hospital-query`.
    Route
);
name!(
    /// An endpoint: one engine replica or one application replica.
    Endpoint
);
name!(
    /// An entry process.
    Entry
);
name!(
    /// A model or a plain service that endpoints provide.
    Backend
);
name!(
    /// A version of a model or service.
    Version
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A region: data centres that share one control group.
    Region
);
name!(
    /// A pool: up to 64 endpoints of one model or service, owned by one entry at a time.
    Pool
);
name!(
    /// A version move.
    Move
);
name!(
    /// A member of the control group.
    Member
);
name!(
    /// An idempotency key chosen by the caller.
    Key
);
name!(
    /// An operator's command. Each intended change has its own id, so that resending it is safe.
    Command
);

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

number!(
    /// A configuration revision, incremented by each accepted change.
    Revision
);
number!(
    /// The number of an entry view, incremented by each change of the live entries.
    View
);
number!(
    /// A fencing token, increased with each granted order lease.
    Fence
);
number!(
    /// A grant issued by a pool owner.
    Grant
);

/// One attempt to run a request on one endpoint.
///
/// It is sent to the endpoint, which must echo it in the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct Attempt(pub u128);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<Attempt> for String {
    fn from(attempt: Attempt) -> Self {
        attempt.to_string()
    }
}

impl From<String> for Attempt {
    /// Reads 32 hexadecimal digits; any other text becomes attempt 0, which is never issued.
    fn from(text: String) -> Self {
        Self(u128::from_str_radix(&text, 16).unwrap_or(0))
    }
}
