//! The header names and formats that callers and endpoints of a deployment use.

use std::net::SocketAddr;

use actix_http::{
    StatusCode,
    header::{HeaderMap, HeaderName},
};
use wasabi_protocol::{clock::Millis, id};

pub use crate::dispatch::notices::{Notices, Rate, Rest};

/// The addresses and the dialect of a gateway.
#[derive(Debug, Clone)]
pub struct Gateway {
    /// Address for callers' requests.
    pub front: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory, which tells callers where to connect.
    pub directory: SocketAddr,
    /// Time for which callers may cache the directory's response, in milliseconds.
    pub list_lifetime: Millis,
    /// The header names and formats of the deployment.
    pub dialect: Dialect,
}

/// The header names and formats that callers and endpoints of a deployment use.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// The request id that the caller chooses and the endpoint echoes.
    pub request: HeaderName,
    /// The caller's timeout in milliseconds.
    pub deadline: HeaderName,
    /// The key of the caller's organisation.
    pub key: HeaderName,
    /// The organisation of the request, sent to the endpoint.
    pub organisation: HeaderName,
    /// The name of the intended endpoint, since addresses are reused.
    pub endpoint: HeaderName,
    /// The id of the last event that the receiver of a stream has.
    pub last_event: HeaderName,
    /// Response header that states that the endpoint did not run the request.
    pub not_run: HeaderName,
    /// Reads what the head of an endpoint's response says about further requests.
    pub notices: fn(StatusCode, &HeaderMap) -> Notices,
    /// Headers that only this system sets; they are removed from callers' requests.
    pub reserved: Vec<HeaderName>,
    /// Reads the size of a request from its headers, if it states one.
    pub size: fn(&HeaderMap) -> Option<Size>,
    /// The path of the readiness check.
    pub ready_path: &'static str,
    /// The path of the directory.
    pub directory_path: &'static str,
    /// Reads the caller's data centre from the query of a directory request.
    pub data_centre: fn(&str) -> Option<id::DataCentre>,
    /// Returns the JSON body of a directory response with these addresses and this lifetime.
    pub list: fn(&[String], Millis) -> String,
}

/// The size of a request as stated by its caller.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Size {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub output_tokens: u32,
    /// The parts of the prompt in order.
    pub parts: Vec<Part>,
}

/// A part of a prompt that other prompts may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identifies the text: equal for parts with equal text.
    pub id: u64,
    /// Number of tokens.
    pub tokens: u32,
}
