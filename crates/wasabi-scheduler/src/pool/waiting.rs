//! Requests that wait for a grant.

use std::collections::HashMap;

use wasabi_protocol::{id, request::Request};

/// The waiting requests of a pool, by ticket and by attempt.
#[derive(Debug, Default)]
pub(super) struct WaitingRequests {
    requests: HashMap<u64, Request>,
    tickets: HashMap<id::Attempt, u64>,
}

impl WaitingRequests {
    pub(super) fn insert(&mut self, ticket: u64, request: Request) {
        self.tickets.insert(request.attempt, ticket);
        self.requests.insert(ticket, request);
    }

    pub(super) fn remove(&mut self, ticket: u64) -> Option<Request> {
        let request = self.requests.remove(&ticket)?;
        if self.ticket(request.attempt) == Some(ticket) {
            self.tickets.remove(&request.attempt);
        }
        Some(request)
    }

    pub(super) fn get(&self, ticket: u64) -> Option<&Request> {
        self.requests.get(&ticket)
    }

    /// Returns the ticket under which an attempt waits.
    pub(super) fn ticket(&self, attempt: id::Attempt) -> Option<u64> {
        self.tickets.get(&attempt).copied()
    }

    /// Returns the tickets in ascending order, which is the order of arrival.
    pub(super) fn tickets(&self) -> Vec<u64> {
        let mut tickets: Vec<_> = self.requests.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }
}
