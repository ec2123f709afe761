//! An index of the active site configuration for looking up routes, keys and back ends.

use std::{collections::HashMap, sync::Arc};

use wasabi_protocol::{
    fingerprint,
    site::{Backend, Config, Organisation, Route},
};

/// The routes, organisations and back ends of a site.
#[derive(Debug)]
pub(crate) struct Index {
    /// Routes by host and path prefix.
    hosts: HashMap<String, HashMap<String, Arc<Route>>>,
    /// Organisations by the digest of each of their keys.
    organisations: HashMap<String, Arc<Organisation>>,
    backends: HashMap<String, Backend>,
    /// Whether the site has any organisations, so that callers need a key.
    pub(crate) has_keys: bool,
    /// Size limit of request bodies, in bytes.
    pub(crate) body_bytes: usize,
}

impl Index {
    pub(crate) fn new(config: &Config) -> Self {
        let mut hosts: HashMap<String, HashMap<_, _>> = HashMap::new();
        for route in &config.routes {
            let paths = hosts.entry(route.host.to_ascii_lowercase()).or_default();
            paths.insert(route.path_prefix.clone(), Arc::new(route.clone()));
        }
        let mut organisations = HashMap::new();
        for organisation in &config.organisations {
            let shared = Arc::new(organisation.clone());
            for digest in &organisation.key_digests {
                organisations.insert(digest.clone(), Arc::clone(&shared));
            }
        }
        let backends = config.backends.iter();
        Self {
            hosts,
            organisations,
            backends: backends.map(|one| (one.name.as_str().to_owned(), one.clone())).collect(),
            has_keys: !config.organisations.is_empty(),
            body_bytes: config.limits.body_bytes,
        }
    }

    /// Returns the route of a host with the longest prefix that matches the path.
    pub(crate) fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let paths = self.hosts.get(&without_port(host).to_ascii_lowercase())?;
        let mut prefixes = path.rmatch_indices('/').map(|(at, _)| &path[..=at]);
        prefixes.find_map(|prefix| paths.get(prefix))
    }

    /// Returns the organisation that holds a key.
    pub(crate) fn organisation(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.organisations.get(&fingerprint::token(key))
    }

    pub(crate) fn backend(&self, name: &str) -> Option<&Backend> {
        self.backends.get(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
