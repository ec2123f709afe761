//! Heartbeats to the other entries, and what follows from their answers.

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

/// Time without an answer after which a second connection is tried beside the first.
const SECOND_AFTER: Duration = Duration::from_millis(400);

/// Longest time for a second connection, which is two round trips. A peer that answers late takes
/// none in the time that work waits for one.
const SECOND_TIME: Duration = Duration::from_secs(3);

/// Longest time for an answer on either connection. Any answer before that counts, so that late ones
/// prove that the process runs.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Sends heartbeats until the process ends.
pub(crate) async fn run(shell: Rc<Shell>) {
    let mut interval = tokio::time::interval(HEARTBEAT_INTERVAL.duration());
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        shell.renew_suspects();
        let now = shell.now();
        let due = shell.peers.borrow_mut().start_beats(now);
        for name in due {
            actix_rt::spawn(beat(Rc::clone(&shell), name, now));
        }
    }
}

async fn beat(shell: Rc<Shell>, name: id::Entry, started: Millis) {
    let answer = tokio::time::timeout(ANSWER_TIME, ask(&shell, &name, started)).await;
    shell.peers.borrow_mut().end_beat(&name, started);
    if let Ok(Some((sent, answer))) = answer {
        let now = shell.now();
        shell.peers.borrow_mut().heard(now, &name, sent, &answer);
        heard(&shell, &answer);
    }
}

/// Asks on the link to a peer, and now and then on a new connection as well when that takes long: the
/// link may have gone silent while the peer is well. The first answer counts, with the time of its
/// question; the connection that it came on is the link from then on.
async fn ask(shell: &Rc<Shell>, name: &id::Entry, started: Millis) -> Option<(Millis, Heartbeat)> {
    let mut on_link = pin!(async {
        let client = shell.link(name).await?;
        ask_on(shell, name, &client).await
    });
    let first = tokio::time::timeout(SECOND_AFTER, &mut on_link).await;
    if let Ok(Some(answer)) = first {
        return Some(answer);
    }
    let now = shell.now();
    if !shell.peers.borrow_mut().start_second(now, name, started) {
        return if first.is_err() { on_link.await } else { None };
    }
    let mut on_new = pin!(async {
        let client = shell.open_link(name, SECOND_TIME).await?;
        let answer = ask_on(shell, name, &client).await;
        answer.is_some().then(|| shell.keep_link(name, client));
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

async fn ask_on(
    shell: &Rc<Shell>,
    name: &id::Entry,
    client: &WsClient,
) -> Option<(Millis, Heartbeat)> {
    let sent = shell.now();
    let own = shell.heartbeat(name);
    let call = client.request::<Heartbeat, _>(method::PEER_HEARTBEAT, rpc_params![own]);
    call.await.ok().map(|answer| (sent, answer))
}

/// Takes over what a peer tells, in a heartbeat or in the answer to one.
pub(crate) fn heard(shell: &Rc<Shell>, heartbeat: &Heartbeat) {
    let now = shell.now();
    shell.peers.borrow_mut().told(now, heartbeat);
    shell.extend_by_majority();
    shell.lender.borrow_mut().record_report(now, &heartbeat.from, &heartbeat.lent);
    if !heartbeat.suspects.is_empty() {
        let suspects = &heartbeat.suspects;
        shell.suspects.borrow_mut().hear(now, suspects);
        let effects = shell.pools.borrow_mut().step_all(now, || Event::Suspects(suspects));
        shell.perform(effects);
    }
    fetch::run::named(shell, Source::Peer(heartbeat.from.clone()), heartbeat.revision);
}
