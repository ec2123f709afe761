//! Sends heartbeats to the other entries and applies those that it receives.

use std::{pin::pin, rc::Rc, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params, ws_client::WsClient};
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Heartbeat, method},
};
use wasabi_routing::liveness::HEARTBEAT_INTERVAL;
use wasabi_scheduler::pool::Event;

use crate::{
    fetch::{self, plan::Source},
    shell::Shell,
};

/// Time without an answer after which a second connection is opened in parallel.
const SECOND_CONNECTION_DELAY: Duration = Duration::from_millis(400);

/// Timeout for a second connection, which takes two round trips. A slow peer does not accept one
/// within the shorter timeout that applies to calls.
const SECOND_CONNECTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for an answer on either connection. It is long so that late answers still prove that the
/// process runs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends heartbeats until the process ends.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shell.refresh_suspects();
        let now = shell.now();
        let due = shell.peers.borrow_mut().start_heartbeats(now);
        for name in due {
            actix_rt::spawn(send_heartbeat(Rc::clone(&shell), name, now));
        }
    }
}

async fn send_heartbeat(shell: Rc<Shell>, name: id::Entry, started: Millis) {
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, exchange(&shell, &name, started)).await;
    shell.peers.borrow_mut().end_heartbeat(&name, started);
    if let Ok(Some((sent, answer))) = answer {
        let now = shell.now();
        shell.peers.borrow_mut().record_heartbeat(now, &name, sent, &answer);
        apply(&shell, &answer);
    }
}

/// Sends a heartbeat on the link to a peer. When the answer is late, it is from time to time also sent
/// on a new connection, since the link may be dead while the peer is healthy.
///
/// Returns the first answer with the time at which its heartbeat was sent. The connection on which it
/// arrived becomes the link.
async fn exchange(
    shell: &Rc<Shell>,
    name: &id::Entry,
    started: Millis,
) -> Option<(Millis, Heartbeat)> {
    let mut on_link = pin!(async {
        let client = shell.link(name).await?;
        exchange_on(shell, name, &client).await
    });
    let first = tokio::time::timeout(SECOND_CONNECTION_DELAY, &mut on_link).await;
    if let Ok(Some(answer)) = first {
        return Some(answer);
    }
    let now = shell.now();
    if !shell.peers.borrow_mut().start_second_connection(now, name, started) {
        return if first.is_err() { on_link.await } else { None };
    }
    let mut on_new = pin!(async {
        let client = shell.open_link(name, SECOND_CONNECTION_TIMEOUT).await?;
        let answer = exchange_on(shell, name, &client).await;
        answer.is_some().then(|| shell.replace_link(name, client));
        answer
    });
    if first.is_ok() {
        return on_new.await;
    }
    tokio::select! {
        answer = &mut on_link => match answer {
            Some(answer) => Some(answer),
            None => on_new.await,
        },
        answer = &mut on_new => match answer {
            Some(answer) => Some(answer),
            None => on_link.await,
        },
    }
}

async fn exchange_on(
    shell: &Rc<Shell>,
    name: &id::Entry,
    client: &WsClient,
) -> Option<(Millis, Heartbeat)> {
    let sent = shell.now();
    let own = shell.heartbeat(name);
    let call = client.request::<Heartbeat, _>(method::PEER_HEARTBEAT, rpc_params![own]);
    call.await.ok().map(|answer| (sent, answer))
}

/// Applies a heartbeat of a peer, or its answer to one.
pub(crate) fn apply(shell: &Rc<Shell>, heartbeat: &Heartbeat) {
    let now = shell.now();
    shell.peers.borrow_mut().record_readiness(now, heartbeat);
    shell.extend_by_majority();
    shell.lender.borrow_mut().record_report(now, &heartbeat.from, &heartbeat.lent);
    if !heartbeat.suspects.is_empty() {
        let suspects = &heartbeat.suspects;
        shell.suspects.borrow_mut().merge(now, suspects);
        let effects = shell.pools.borrow_mut().step_all(now, || Event::Suspects(suspects));
        shell.perform(effects);
    }
    let (crashes, poisons) = (&heartbeat.crashes, &heartbeat.poisons);
    let has_news = shell.suspects.borrow_mut().merge_poison(now, crashes, poisons);
    if has_news || !heartbeat.answered.is_empty() {
        shell.apply_poison(crashes, poisons, &heartbeat.answered);
    }
    fetch::run::revision_announced(shell, Source::Peer(heartbeat.from.clone()), heartbeat.revision);
}
