//! Traces: spans for the hops of a request, propagated with W3C Trace Context.

use std::{fmt, time::Instant};

use wasabi_protocol::clock;

/// The `tracing` target of span events, which separates them from log events.
pub const TARGET: &str = "wasabi::span";

/// The name of the header that carries the trace context.
pub const HEADER: &str = "traceparent";

/// The trace context of a hop, as carried by the `traceparent` header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Context {
    /// The id of the trace, shared by all hops of a request.
    pub trace: u128,
    /// The id of the span of the hop that sends the header.
    pub span: u64,
    /// Whether the trace is recorded.
    pub sampled: Sampled,
}

/// Whether a trace is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sampled {
    /// It is recorded.
    Yes,
    /// It is not recorded.
    No,
}

impl Context {
    /// Creates the context of a new, recorded trace.
    pub fn root() -> Self {
        Self { trace: fastrand::u128(1..), span: fastrand::u64(1..), sampled: Sampled::Yes }
    }

    /// Parses a `traceparent` header. Returns `None` if it is malformed.
    pub fn parse(header: &str) -> Option<Self> {
        let mut parts = header.trim().split('-');
        let version = parts.next()?;
        let trace = parse_hex(parts.next()?, 32)?;
        let span = u64::try_from(parse_hex(parts.next()?, 16)?).ok()?;
        let flags = parse_hex(parts.next()?, 2)?;
        // Version 00 has exactly four parts; later versions may add more.
        let is_known = version != "00" || parts.next().is_none();
        if parse_hex(version, 2)? == 0xff || trace == 0 || span == 0 || !is_known {
            return None;
        }
        let sampled = if flags & 1 == 1 { Sampled::Yes } else { Sampled::No };
        Some(Self { trace, span, sampled })
    }

    /// Creates the context of a child span.
    #[must_use]
    pub fn child(self) -> Self {
        Self { span: fastrand::u64(1..), ..self }
    }
}

impl fmt::Display for Context {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let flags = u8::from(self.sampled == Sampled::Yes);
        write!(f, "00-{:032x}-{:016x}-{flags:02x}", self.trace, self.span)
    }
}

/// A span of a hop of a request. It is written as one line when dropped.
#[derive(Debug)]
pub struct Span {
    name: &'static str,
    context: Context,
    parent: Option<u64>,
    started_unix_ms: u64,
    started: Instant,
    outcome: String,
}

impl Span {
    /// Starts the first span of a request in this system, as a child of the caller's context if there
    /// is one.
    pub fn start(name: &'static str, caller: Option<Context>) -> Self {
        match caller {
            Some(caller) => Self::new(name, caller.child(), Some(caller.span)),
            None => Self::new(name, Context::root(), None),
        }
    }

    /// Starts a child span.
    pub fn child(&self, name: &'static str) -> Self {
        Self::new(name, self.context.child(), Some(self.context.span))
    }

    /// Returns the context to be sent to the next hop.
    pub fn context(&self) -> Context {
        self.context
    }

    /// Sets the outcome of the hop, such as an endpoint's name or an error kind.
    pub fn set_outcome(&mut self, outcome: impl Into<String>) {
        self.outcome = outcome.into();
    }

    fn new(name: &'static str, context: Context, parent: Option<u64>) -> Self {
        Self {
            name,
            context,
            parent,
            started_unix_ms: clock::unix_now().0,
            started: Instant::now(),
            outcome: String::new(),
        }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        if self.context.sampled == Sampled::No {
            return;
        }
        let trace = format_args!("{:032x}", self.context.trace);
        let span = format_args!("{:016x}", self.context.span);
        let parent = format_args!("{:016x}", self.parent.unwrap_or(0));
        let duration_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        tracing::info!(
            target: TARGET,
            name = self.name,
            trace = %trace,
            span = %span,
            parent = %parent,
            start_unix_ms = self.started_unix_ms,
            duration_us,
            outcome = self.outcome.as_str(),
        );
    }
}

fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_lower_hex = text.bytes().all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'));
    if text.len() != digits || !is_lower_hex {
        return None;
    }
    u128::from_str_radix(text, 16).ok()
}
