//! Rates that endpoints name in their responses.

use serde::{Deserialize, Serialize};

use crate::{clock::Millis, id};

/// The rate of requests that an endpoint accepts from all hosts together, as it said in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NamedRate {
    /// Requests per second; `None` when the response named no rate, so that none holds.
    pub per_s: Option<f64>,
    /// Time since the response arrived, in milliseconds.
    pub age: Millis,
}

/// A named rate, with the endpoint that it holds for.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRate {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// The incarnation that named the rate. Others are not affected.
    pub incarnation: u64,
    /// What it said.
    pub named: NamedRate,
}

/// Rates of endpoints, as an entry reports them to the owner of their pool.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateReport {
    /// The pool.
    pub pool: id::Pool,
    /// The rates.
    pub rates: Vec<EndpointRate>,
}
