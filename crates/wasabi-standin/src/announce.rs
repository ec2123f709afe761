//! Announcement to the entries: registration, renewal and deregistration.

use std::time::Duration;

use wasabi_protocol::{
    endpoint::{ANNOUNCE_INTERVAL, Announcement, Load},
    id,
};

use crate::server::Shared;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces the stand-in to every entry at a fixed interval until the task is cancelled.
pub(crate) async fn run(shared: std::sync::Arc<Shared>, address: String) {
    let client = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if !shared.is_announcing() {
            continue;
        }
        let announcement = announcement(&shared, &address);
        let entries = shared.entries();
        let requests = entries.iter().map(|entry| {
            let request =
                client.post(format!("http://{entry}/v1/endpoints")).send_json(&announcement);
            async move {
                if let Err(error) = request.await {
                    tracing::debug!(%entry, %error, "cannot announce the endpoint to the entry");
                }
            }
        });
        futures_util::future::join_all(requests).await;
    }
}

/// Deregisters the stand-in at every entry.
pub(crate) async fn deregister(entries: &[String], name: &id::Endpoint) {
    let client = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let requests = entries.iter().map(|entry| {
        let request = client.delete(format!("http://{entry}/v1/endpoints/{name}")).send();
        async move {
            if let Err(error) = request.await {
                tracing::warn!(%entry, %error, "cannot deregister the endpoint at the entry");
            }
        }
    });
    futures_util::future::join_all(requests).await;
}

fn announcement(shared: &Shared, address: &str) -> Announcement {
    let settings = &shared.settings;
    Announcement {
        name: settings.name.clone(),
        incarnation: shared.incarnation,
        address: address.to_owned(),
        data_centre: settings.data_centre.clone(),
        kind: settings.kind,
        backend: settings.backend.clone(),
        version: settings.version.clone(),
        adapters: Vec::new(),
        hardware: settings.hardware.clone(),
        concurrency: settings.concurrency,
        abilities: settings.abilities,
        load: Load { running: shared.open_requests(), waiting: 0, kv_used: 0.0 },
    }
}
