//! Announcement to the entries: first, renewal and leaving.

use std::time::Duration;

use wasabi_protocol::{
    endpoint::{ANNOUNCE_INTERVAL, Announcement, Load},
    id,
};

use crate::server::Shared;

/// Longest time that one announcement may take.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces the stand-in to every entry until the task is dropped.
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
        let sends = entries.iter().map(|entry| {
            let send = client.post(format!("http://{entry}/v1/endpoints")).send_json(&announcement);
            async move {
                if let Err(error) = send.await {
                    tracing::debug!(%entry, %error, "announcement not delivered");
                }
            }
        });
        futures_util::future::join_all(sends).await;
    }
}

/// Tells every entry that the stand-in leaves.
pub(crate) async fn leave(entries: &[String], name: &id::Endpoint) {
    let client = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let sends = entries.iter().map(|entry| {
        let send = client.delete(format!("http://{entry}/v1/endpoints/{name}")).send();
        async move {
            if let Err(error) = send.await {
                tracing::warn!(%entry, %error, "leaving not delivered");
            }
        }
    });
    futures_util::future::join_all(sends).await;
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
        load: Load { running: shared.running(), waiting: 0, kv_used: 0.0 },
    }
}
