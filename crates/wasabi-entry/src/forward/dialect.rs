//! The names and forms that callers and endpoints of a deployment use.

use std::net::SocketAddr;

use actix_http::header::{HeaderMap, HeaderName};
use wasabi_protocol::{clock::Millis, id};

/// Where requests that are passed on come in, and in which dialect.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// Callers' requests.
    pub front: SocketAddr,
    /// Checks whether this entry takes new callers.
    pub ready: SocketAddr,
    /// Questions of callers where to connect.
    pub directory: SocketAddr,
    /// Time for which callers may keep the answer to such a question, in milliseconds.
    pub list_lifetime: Millis,
    /// The names and forms.
    pub dialect: Dialect,
}

/// The names and forms that callers and endpoints of a deployment use.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The caller's id of its request, which the endpoint sends back.
    pub request: HeaderName,
    /// Milliseconds until the caller gives up.
    pub deadline: HeaderName,
    /// The key of the caller's organisation.
    pub key: HeaderName,
    /// Tells the endpoint the organisation.
    pub organisation: HeaderName,
    /// Tells the endpoint which one is meant, since addresses are used again.
    pub endpoint: HeaderName,
    /// The last event of a stream that the receiver has.
    pub last_event: HeaderName,
    /// In an answer: the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Headers that only this system sets; a caller's are dropped.
    pub reserved: Vec<HeaderName>,
    /// Reads the size of a request from its headers; none when it states no size.
    pub size: fn(&HeaderMap) -> Option<Size>,
    /// The path of the check whether this entry takes new callers.
    pub ready_path: &'static str,
    /// The path of questions where to connect.
    pub directory_path: &'static str,
    /// Reads the caller's data centre from the query of such a question.
    pub data_centre: fn(&str) -> Option<id::DataCentre>,
    /// Returns the answer to such a question, as JSON.
    pub list: fn(&[String], Millis) -> String,
}

/// The size of a request, as its caller states it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Size {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Most output tokens.
    pub output_tokens: u32,
    /// The parts of the prompt in order.
    pub parts: Vec<Part>,
}

/// A part of a prompt, which other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Equal for parts with equal text.
    pub id: u64,
    /// Its tokens.
    pub tokens: u32,
}
