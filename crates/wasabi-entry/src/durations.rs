//! Recent request durations by route, to judge whether another request can finish in the remaining
//! time.

use std::collections::HashMap;

use wasabi_protocol::{clock::Millis, id};

/// Length of a window. The longest duration within two windows counts; none is known until the first
/// window has passed.
const WINDOW_LENGTH: Millis = Millis(10_000);

/// Maximum number of tracked routes.
const ROUTES_MAX: usize = 4_096;

/// The longest recent durations by route.
#[derive(Debug, Default)]
pub struct Durations {
    by_route: HashMap<id::Route, Window>,
}

#[derive(Debug)]
struct Window {
    /// When the route's first request ended, not counting those before a gap of two windows.
    watched_since: Millis,
    started: Millis,
    longest: Millis,
    /// The longest duration in the previous window.
    previous: Millis,
}

impl Durations {
    /// Adds the duration of an answered request.
    pub fn add(&mut self, now: Millis, route: &id::Route, took: Millis) {
        if let Some(window) = self.by_route.get_mut(route) {
            if window.is_expired(now) {
                *window = Window::new(now);
            }
            window.rotate(now);
            window.longest = window.longest.max(took);
            return;
        }
        if ROUTES_MAX <= self.by_route.len() {
            self.by_route.retain(|_, window| !window.is_expired(now));
        }
        if self.by_route.len() < ROUTES_MAX {
            self.by_route.insert(route.clone(), Window { longest: took, ..Window::new(now) });
        }
    }

    /// Returns the longest duration of a route's requests in the last one to two windows. It is none
    /// until the route was watched for a whole window: long requests end last.
    pub fn longest(&self, now: Millis, route: &id::Route) -> Option<Millis> {
        let window = self.by_route.get(route).filter(|window| !window.is_expired(now))?;
        (window.watched_since + WINDOW_LENGTH <= now).then(|| window.longest.max(window.previous))
    }
}

impl Window {
    const fn new(now: Millis) -> Self {
        Self { watched_since: now, started: now, longest: Millis::ZERO, previous: Millis::ZERO }
    }

    fn rotate(&mut self, now: Millis) {
        if now < self.started + WINDOW_LENGTH {
            return;
        }
        self.previous = self.longest;
        self.longest = Millis::ZERO;
        self.started = now;
    }

    fn is_expired(&self, now: Millis) -> bool {
        self.started + WINDOW_LENGTH + WINDOW_LENGTH <= now
    }
}
