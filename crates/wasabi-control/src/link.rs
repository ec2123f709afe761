//! Links to the other members.
//!
//! Each link has a bound on progress: a request that is not answered within [`ANSWER_BOUND`] ends
//! its connection, and a new one is opened before the consensus node's own timeouts judge the
//! peer. Messages of an ended connection are lost; the node sends again by itself.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use jsonrpsee::{
    core::client::{ClientT as _, Error},
    rpc_params,
    ws_client::{WsClient, WsClientBuilder},
};
use tokio::sync::mpsc;
use tracing::{debug, info};
use wasabi_consensus::Message;
use wasabi_protocol::{
    id,
    rpc::{Step, method},
};

/// Longest time until a request is answered or a connection is open.
///
/// With a heartbeat every 100 ms a silent connection is replaced within half of the shortest
/// election timeout (600 ms). The answer comes from the peer's network thread and does not wait
/// for its disk.
const ANSWER_BOUND: Duration = Duration::from_millis(300);

/// Pause after a connection could not be opened.
const PAUSE: Duration = Duration::from_millis(100);

/// Time without messages after which a link is closed.
const UNUSED_AFTER: Duration = Duration::from_secs(30);

/// Most requests without an answer on one link.
const OPEN_MAX: usize = 64;

/// Most batches that wait for a link; later ones are dropped.
const QUEUE_MAX: usize = 256;

/// Messages for one member.
#[derive(Debug)]
pub(crate) struct Parcel {
    pub(crate) to: id::Member,
    pub(crate) address: String,
    pub(crate) messages: Vec<Message>,
}

/// Sends parcels until the control thread has ended.
pub(crate) async fn run(
    name: id::Member,
    own_address: String,
    proofs: Vec<String>,
    mut parcels: mpsc::UnboundedReceiver<Parcel>,
) {
    let mut links: BTreeMap<(id::Member, String), Link> = BTreeMap::new();
    while let Some(parcel) = parcels.recv().await {
        let Ok(bytes) = postcard::to_stdvec(&parcel.messages) else { continue };
        let step = Step {
            from: name.clone(),
            address: own_address.clone(),
            proofs: proofs.clone(),
            to: parcel.to.clone(),
            messages: STANDARD.encode(bytes),
        };
        // Heartbeats go to every member, so that a link without messages is one to a former member.
        links.retain(|_, link| link.used.elapsed() < UNUSED_AFTER);
        let link = links.entry((parcel.to, parcel.address)).or_insert_with_key(|(to, address)| {
            let (steps, receiver) = mpsc::channel(QUEUE_MAX);
            actix_rt::spawn(serve(to.clone(), address.clone(), receiver));
            Link { steps, used: Instant::now() }
        });
        link.used = Instant::now();
        if link.steps.try_send(step).is_err() {
            debug!("a link is full; its messages are dropped");
        }
    }
}

/// The way to one member; its task ends when this is dropped.
struct Link {
    steps: mpsc::Sender<Step>,
    used: Instant,
}

/// Returns the messages of a step, or `None` when they cannot be read.
pub(crate) fn messages(step: &Step) -> Option<Vec<Message>> {
    postcard::from_bytes(&STANDARD.decode(&step.messages).ok()?).ok()
}

/// Serves one link: opens connections and replaces silent ones.
async fn serve(to: id::Member, address: String, mut steps: mpsc::Receiver<Step>) {
    let url = format!("ws://{address}");
    let mut last = String::new();
    while !steps.is_closed() || !steps.is_empty() {
        let client = WsClientBuilder::default()
            .connection_timeout(ANSWER_BOUND)
            .request_timeout(ANSWER_BOUND)
            .max_concurrent_requests(OPEN_MAX)
            .build(&url)
            .await;
        let error = match client {
            Ok(client) => match use_connection(&client, &mut steps).await {
                Some(error) => error.to_string(),
                None => return,
            },
            Err(error) => {
                // What waited is out of date by the time a connection opens.
                while steps.try_recv().is_ok() {}
                actix_rt::time::sleep(PAUSE).await;
                error.to_string()
            }
        };
        // A member that is gone fails in the same way until it is removed.
        if error == last {
            debug!(%to, address, %error, "replacing a connection that is silent or broken");
            continue;
        }
        info!(%to, address, %error, "replacing a connection that is silent or broken");
        last = error;
    }
}

/// Sends steps over one connection until it makes no progress. Returns why, or none when no more
/// come.
async fn use_connection(client: &WsClient, steps: &mut mpsc::Receiver<Step>) -> Option<Error> {
    let mut open = FuturesUnordered::new();
    loop {
        tokio::select! {
            step = steps.recv(), if open.len() < OPEN_MAX => {
                let step = step?;
                open.push(client.request::<(), _>(method::CONSENSUS, rpc_params![step]));
            }
            Some(answer) = open.next() => {
                if let Err(error) = answer {
                    return Some(error);
                }
            }
        }
    }
}
