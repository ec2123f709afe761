//! Links to the other members.
//!
//! Each link has a bound on progress: a request that is not answered within [`ANSWER_BOUND`] ends
//! its connection, and a new one is opened before the consensus node's own timeouts judge the
//! peer. Messages of an ended connection are lost; the node sends again by itself.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::{Mutex, PoisonError},
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
    rpc::{Part, Step, method},
};

use crate::parts::{self, Assembly};

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

/// Bytes without an answer from which on a link sends no more: twice a part, so that one is on its way
/// while the other is answered.
const OPEN_BYTES_MAX: usize = 2 * parts::PART_BYTES;

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
        let step = |(part, piece): (Option<Part>, &[u8])| Step {
            from: name.clone(),
            address: own_address.clone(),
            proofs: proofs.clone(),
            to: parcel.to.clone(),
            part,
            messages: STANDARD.encode(piece),
        };
        let mut batch = Vec::new();
        for bytes in encode(&parcel.messages) {
            batch.extend(parts::cut(&bytes, fastrand::u64(..)).into_iter().map(step));
        }
        // Heartbeats go to every member, so that a link without messages is one to a former member.
        links.retain(|_, link| link.used.elapsed() < UNUSED_AFTER);
        let link =
            links.entry((parcel.to.clone(), parcel.address)).or_insert_with_key(|(to, address)| {
                let (steps, receiver) = mpsc::channel(QUEUE_MAX);
                actix_rt::spawn(serve(to.clone(), address.clone(), receiver));
                Link { steps, used: Instant::now() }
            });
        link.used = Instant::now();
        if link.steps.try_send(batch).is_err() {
            debug!("a link is full; its messages are dropped");
        }
    }
}

/// The way to one member; its task ends when this is dropped.
struct Link {
    steps: mpsc::Sender<Vec<Step>>,
    used: Instant,
}

/// Returns the messages as they are sent: together when they fit one request, or else each by
/// itself, so that one that is lost takes no other with it.
fn encode(messages: &[Message]) -> Vec<Vec<u8>> {
    match postcard::to_stdvec(messages) {
        Ok(bytes) if bytes.len() <= parts::PART_BYTES || messages.len() <= 1 => vec![bytes],
        _ => {
            messages.iter().filter_map(|message| postcard::to_stdvec(&[message][..]).ok()).collect()
        }
    }
}

/// Returns the messages that a step holds or completes.
///
/// # Errors
///
/// Returns an error when the messages cannot be read.
pub(crate) fn messages(
    step: &Step,
    assembly: &Mutex<Assembly>,
) -> Result<Vec<Message>, Unreadable> {
    let mut bytes = STANDARD.decode(&step.messages).map_err(|_| Unreadable)?;
    if let Some(part) = step.part {
        let mut assembly = assembly.lock().unwrap_or_else(PoisonError::into_inner);
        match assembly.add(&step.from, part, bytes) {
            Some(whole) => bytes = whole,
            None => return Ok(Vec::new()),
        }
    }
    postcard::from_bytes(&bytes).map_err(|_| Unreadable)
}

/// The messages of a step cannot be read.
#[derive(Debug)]
pub(crate) struct Unreadable;

/// Serves one link: opens connections and replaces silent ones.
async fn serve(to: id::Member, address: String, mut steps: mpsc::Receiver<Vec<Step>>) {
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
async fn use_connection(client: &WsClient, steps: &mut mpsc::Receiver<Vec<Step>>) -> Option<Error> {
    let mut waiting = VecDeque::new();
    let mut open = FuturesUnordered::new();
    let mut open_bytes = 0;
    loop {
        while open.len() < OPEN_MAX
            && open_bytes < OPEN_BYTES_MAX
            && let Some(step) = waiting.pop_front()
        {
            let step: Step = step;
            let bytes = step.messages.len();
            open_bytes += bytes;
            open.push(async move {
                let answer = client.request::<(), _>(method::CONSENSUS, rpc_params![step]).await;
                (bytes, answer)
            });
        }
        tokio::select! {
            batch = steps.recv(), if waiting.is_empty() => waiting.extend(batch?),
            Some((bytes, answer)) = open.next() => {
                open_bytes -= bytes;
                if let Err(error) = answer {
                    return Some(error);
                }
            }
        }
    }
}
