//! How long the requests of each route took lately, to tell whether another one still fits into the
//! time that is left.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, id};

/// Length of a window, in milliseconds. The longest duration of two windows counts, and nothing is
/// known before one has passed.
const WINDOW: Millis = Millis(10_000);

/// Most routes that are kept.
const ROUTES_MAX: usize = 4_096;

/// The longest durations by route.
#[derive(Debug, Default)]
pub struct Durations {
    by_route: HashMap<id::Route, Window>,
}

#[derive(Debug)]
struct Window {
    /// When the route was first seen, without a pause of two windows since.
    first: Millis,
    since: Millis,
    longest: Millis,
    /// The longest duration of the window before.
    before: Millis,
}

impl Durations {
    /// Takes into account how long a request took that was answered.
    pub fn add(&mut self, now: Millis, route: &id::Route, took: Millis) {
        if let Some(window) = self.by_route.get_mut(route) {
            if window.is_over(now) {
                *window = Window::new(now);
            }
            window.turn(now);
            window.longest = window.longest.max(took);
            return;
        }
        if ROUTES_MAX <= self.by_route.len() {
            self.by_route.retain(|_, window| !window.is_over(now));
        }
        if self.by_route.len() < ROUTES_MAX {
            self.by_route.insert(route.clone(), Window { longest: took, ..Window::new(now) });
        }
    }

    /// Returns the longest duration of a route's requests in the last one to two windows. It is not
    /// known before the route was watched for a whole window: long requests end last.
    pub fn longest(&self, now: Millis, route: &id::Route) -> Option<Millis> {
        let window = self.by_route.get(route).filter(|window| !window.is_over(now))?;
        (window.first + WINDOW <= now).then(|| window.longest.max(window.before))
    }
}

impl Window {
    const fn new(now: Millis) -> Self {
        Self { first: now, since: now, longest: Millis::ZERO, before: Millis::ZERO }
    }

    fn turn(&mut self, now: Millis) {
        if now < self.since + WINDOW {
            return;
        }
        self.before = self.longest;
        self.longest = Millis::ZERO;
        self.since = now;
    }

    fn is_over(&self, now: Millis) -> bool {
        self.since + WINDOW + WINDOW <= now
    }
}
