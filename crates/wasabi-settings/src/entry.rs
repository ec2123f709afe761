//! Settings of the entry daemon.

use std::{net::SocketAddr, path::PathBuf};

use garde::{Path, Report, Validate};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use wasabi_protocol::clock::Millis;

use crate::{log::Log, scalar::Scalar, tls::Tls};

/// Settings of `wasabi-entryd`.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(default)]
pub struct Settings {
    /// The entry's name, unique among all entries.
    pub name: String,
    /// The region that the host is in.
    pub region: String,
    /// The data centre that the host is in.
    pub data_centre: String,
    /// Where the entry listens.
    pub listen: Listen,
    /// Processor time that the host gives the entry, in thousandths of a core. Entries with more own
    /// the pools where there are many entries.
    pub capacity: Scalar<u32>,
    /// Addresses of the control daemons; none means stand-alone mode with `contracts`.
    pub control: Vec<Scalar<SocketAddr>>,
    /// A YAML file with a list of contracts, for stand-alone mode only.
    pub contracts: Option<PathBuf>,
    /// Limits on what one caller can make the entry hold.
    pub callers: Callers,
    /// How the entry stops.
    pub drain: Drain,
    /// TLS for callers; none means plain HTTP.
    pub tls: Option<Tls>,
    /// Threads that carry callers' traffic.
    pub traffic_threads: Threads,
    /// Logs and traces.
    pub log: Log,
}

/// Where the entry listens.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Listen {
    /// Callers and endpoints (HTTP).
    #[garde(dive)]
    pub callers: Scalar<SocketAddr>,
    /// Other entries (JSON-RPC).
    #[garde(dive)]
    pub peers: Scalar<SocketAddr>,
    /// Metrics (HTTP).
    #[garde(dive)]
    pub metrics: Scalar<SocketAddr>,
}

impl Default for Listen {
    fn default() -> Self {
        let port = |port| Scalar::new(SocketAddr::from(([127, 0, 0, 1], port)));
        Self { callers: port(7100), peers: port(7101), metrics: port(7102) }
    }
}

/// Limits on what one caller can make the entry hold.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Callers {
    /// Largest request body, in bytes.
    #[garde(dive)]
    pub body_bytes: Scalar<usize>,
    /// Longest time for a request head to arrive.
    #[garde(dive)]
    pub head_time: Scalar<Millis>,
    /// Longest time for a request body to arrive.
    #[garde(dive)]
    pub body_time: Scalar<Millis>,
    /// Longest time that a caller's connection may be idle, where requests are passed on.
    #[garde(dive)]
    pub idle_time: Scalar<Millis>,
    /// Time for which callers may keep the list of entries.
    #[garde(dive)]
    pub list_lifetime: Scalar<Millis>,
}

impl Default for Callers {
    fn default() -> Self {
        Self {
            body_bytes: Scalar::new(4 * 1024 * 1024),
            head_time: Scalar::new(Millis::from_secs(10)),
            body_time: Scalar::new(Millis::from_secs(30)),
            idle_time: Scalar::new(Millis::from_secs(20)),
            list_lifetime: Scalar::new(Millis::from_secs(30)),
        }
    }
}

/// How the entry stops.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Drain {
    /// Time after which a stopping entry cuts the streams that are left; none means never.
    #[garde(dive)]
    pub bound: Option<Scalar<Millis>>,
}

/// Number of threads.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(transparent)]
#[garde(transparent)]
pub struct Threads(#[garde(dive)] pub Scalar<u16>);

impl Default for Threads {
    fn default() -> Self {
        Self(Scalar::new(1))
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            region: String::new(),
            data_centre: String::new(),
            listen: Listen::default(),
            capacity: Scalar::new(1_000),
            control: Vec::new(),
            contracts: None,
            callers: Callers::default(),
            drain: Drain::default(),
            tls: None,
            traffic_threads: Threads::default(),
            log: Log::default(),
        }
    }
}

impl Validate for Settings {
    type Context = ();

    fn validate_into(&self, context: &(), parent: &mut dyn FnMut() -> Path, report: &mut Report) {
        for (field, value) in
            [("name", &self.name), ("region", &self.region), ("data_centre", &self.data_centre)]
        {
            if value.is_empty() {
                report.append(parent().join(field), garde::Error::new("is required"));
            }
        }
        self.listen.validate_into(context, &mut || parent().join("listen"), report);
        for (index, address) in self.control.iter().enumerate() {
            let mut path = || parent().join("control").join(index);
            address.validate_into(context, &mut path, report);
        }
        self.callers.validate_into(context, &mut || parent().join("callers"), report);
        self.drain.validate_into(context, &mut || parent().join("drain"), report);
        self.log.validate_into(context, &mut || parent().join("log"), report);
        if let Some(tls) = &self.tls {
            tls.validate_into(context, &mut || parent().join("tls"), report);
        }
        self.capacity.validate_into(context, &mut || parent().join("capacity"), report);
        let threads = &self.traffic_threads.0;
        threads.validate_into(context, &mut || parent().join("traffic_threads"), report);
        if **threads == 0 {
            let error = garde::Error::new("must be at least 1");
            report.append(parent().join("traffic_threads"), error);
        }
        let listen = &self.listen;
        crate::file::distinct_addresses(
            &[("callers", *listen.callers), ("peers", *listen.peers), ("metrics", *listen.metrics)],
            &mut || parent().join("listen"),
            report,
        );
        self.check_contract_source(parent, report);
    }
}

impl Settings {
    /// Requires exactly one source of contracts, since two could disagree.
    fn check_contract_source(&self, parent: &mut dyn FnMut() -> Path, report: &mut Report) {
        let message = match (self.control.is_empty(), &self.contracts) {
            (true, None) => "is required; without it, `contracts` must name a file",
            (false, Some(_)) => "must be empty when `contracts` names a file",
            (true, Some(path)) => {
                if let Err(error) = crate::file::existing_file(path, &()) {
                    report.append(parent().join("contracts"), error);
                }
                return;
            }
            (false, None) => return,
        };
        report.append(parent().join("control"), garde::Error::new(message));
    }
}
