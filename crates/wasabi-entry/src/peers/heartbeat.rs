//! Heartbeats to the other entries, and what follows from their answers.

use std::{rc::Rc, time::Duration};

use jsonrpsee::{core::client::ClientT as _, rpc_params};
use wasabi_protocol::{
    clock::Millis,
    id,
    rpc::{Heartbeat, method},
};
use wasabi_scheduler::pool::Event;

use crate::{
    fetch::{self, plan::Source},
    shell::Shell,
};

/// Time between two heartbeats to a peer.
const EVERY: Millis = Millis(500);

/// Longest time for an answer on one connection. A second connection is tried after it, and both
/// together stay below the bound after which a peer counts as lost.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Sends heartbeats until the process ends.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut interval = tokio::time::interval(EVERY.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let due = shell.peers.borrow_mut().start_beats();
        for name in due {
            actix_rt::spawn(beat(Rc::clone(&shell), name));
        }
    }
}

async fn beat(shell: Rc<Shell>, name: id::Entry) {
    for is_last in [false, true] {
        let sent = shell.now();
        if let Some(answer) = ask(&shell, &name).await {
            shell.peers.borrow_mut().end_beat(&name, Some((sent, answer.revision)));
            heard(&shell, &answer);
            return;
        }
        // The connection may have gone silent while the peer is well: judge by a new one.
        shell.peers.borrow_mut().set_link(&name, None);
        if is_last {
            tracing::debug!(peer = %name, "no answer on a new connection either");
        }
    }
    shell.peers.borrow_mut().end_beat(&name, None);
}

async fn ask(shell: &Rc<Shell>, name: &id::Entry) -> Option<Heartbeat> {
    let client = shell.link(name).await?;
    let own = shell.heartbeat();
    let call = client.request::<Heartbeat, _>(method::PEER_HEARTBEAT, rpc_params![own]);
    tokio::time::timeout(ANSWER_TIME, call).await.ok()?.ok()
}

/// Takes over what a peer tells, in a heartbeat or in the answer to one.
pub(crate) fn heard(shell: &Rc<Shell>, heartbeat: &Heartbeat) {
    shell.extend_by_majority();
    let now = shell.now();
    shell.lender.borrow_mut().hear(now, &heartbeat.from, &heartbeat.lent);
    if !heartbeat.suspects.is_empty() {
        let suspects = &heartbeat.suspects;
        let effects = shell.pools.borrow_mut().step_all(now, || Event::Suspects(suspects));
        shell.perform(effects);
    }
    fetch::run::named(shell, Source::Peer(heartbeat.from.clone()), heartbeat.revision);
}
