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
    /// The region of the host.
    pub region: String,
    /// The data centre of the host.
    pub data_centre: String,
    /// Listening addresses.
    pub listen: Listen,
    /// CPU time that the host allots to the entry, in thousandths of a core. If there are many entries,
    /// those with more CPU time own the pools.
    pub capacity: Scalar<u32>,
    /// Addresses of the control daemons. If empty, the entry runs stand-alone with `contracts`.
    pub control: Vec<Scalar<SocketAddr>>,
    /// A YAML file with a list of contracts, for stand-alone mode only.
    pub contracts: Option<PathBuf>,
    /// Limits on callers' requests and connections.
    pub callers: Callers,
    /// Shutdown of the entry.
    pub drain: Drain,
    /// TLS for callers. If unset, plain HTTP is served.
    pub tls: Option<Tls>,
    /// Number of threads that serve callers.
    pub traffic_threads: Threads,
    /// Logs and traces.
    pub log: Log,
}

/// Listening addresses of an entry.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Listen {
    /// Address for callers and endpoints (HTTP).
    #[garde(dive)]
    pub callers: Scalar<SocketAddr>,
    /// Address for other entries (JSON-RPC).
    #[garde(dive)]
    pub peers: Scalar<SocketAddr>,
    /// Address for metrics (HTTP).
    #[garde(dive)]
    pub metrics: Scalar<SocketAddr>,
}

impl Default for Listen {
    fn default() -> Self {
        let port = |port| Scalar::new(SocketAddr::from(([127, 0, 0, 1], port)));
        Self { callers: port(7100), peers: port(7101), metrics: port(7102) }
    }
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Callers {
    /// Maximum size of a request body, in bytes.
    #[garde(dive)]
    pub body_bytes: Scalar<usize>,
    /// Timeout for receiving a request head.
    #[garde(dive)]
    pub head_time: Scalar<Millis>,
    /// Timeout for receiving a request body.
    #[garde(dive)]
    pub body_time: Scalar<Millis>,
    /// Idle timeout of callers' connections, where requests are proxied.
    #[garde(dive)]
    pub idle_time: Scalar<Millis>,
    /// How long callers may cache the list of entries.
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

/// Shutdown of an entry.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize, JsonSchema, Validate)]
#[serde(default)]
pub struct Drain {
    /// Time after which an entry that shuts down closes the remaining streams. If unset, it waits for
    /// them to end.
    #[garde(dive)]
    pub bound: Option<Scalar<Millis>>,
}

/// A number of threads, at least 1.
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
    /// Requires exactly one source of contracts, since two could contradict each other.
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
