//! Time bounds that may change while an entry runs.

use wasabi_protocol::clock::Millis;
use wasabi_settings::entry::Settings;

/// Time bounds of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time after which an entry that shuts down closes the remaining streams. If there is none, it
    /// waits for them to end.
    pub drain_bound: Option<Millis>,
    /// How long callers may keep a list that names this entry.
    pub list_lifetime: Millis,
    /// How long callers may cache a response of the directory, if the entry serves one.
    pub directory_lifetime: Millis,
}

impl Timing {
    /// Returns the bounds of an entry that starts with these settings.
    pub(crate) fn new(settings: &Settings, directory_lifetime: Millis) -> Self {
        Self {
            drain_bound: settings.drain.bound.as_ref().map(|bound| **bound),
            list_lifetime: *settings.callers.list_lifetime,
            directory_lifetime,
        }
    }
}
