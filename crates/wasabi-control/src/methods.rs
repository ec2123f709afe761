//! JSON-RPC methods for entries, operators and other members.

use std::sync::{Arc, Mutex, PoisonError, mpsc};

use jsonrpsee::{
    RpcModule,
    server::RegisterMethodError,
    types::{
        ErrorObjectOwned, Params,
        error::{ErrorCode, INVALID_PARAMS_CODE},
    },
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::{oneshot, watch};
use wasabi_protocol::{
    id,
    rpc::{Forwarded, Hello, HelloReply, Join, Step, method},
};

use crate::{
    input::{self, Input},
    link,
    options::Contacts,
    parts::Assembly,
    seen_members::SeenMembers,
};

/// State shared by all connections.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) seen_members: Arc<Mutex<SeenMembers>>,
    /// This member's name, once it is known.
    pub(crate) name: watch::Receiver<Option<id::Member>>,
    /// Proofs that members of this group send.
    pub(crate) proofs: Arc<[String]>,
    /// Addresses of members that sent messages for a former member at this address.
    pub(crate) callers: Contacts,
    /// Incomplete messages.
    pub(crate) assembly: Arc<Mutex<Assembly>>,
}

impl Shared {
    /// Returns an error unless one of the proofs belongs to a member.
    fn check_proofs(&self, proofs: &[String]) -> Result<(), ErrorObjectOwned> {
        if proofs.iter().any(|proof| self.proofs.contains(proof)) {
            return Ok(());
        }
        let message = "the sender did not present a valid member proof";
        Err(ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>))
    }
}

/// Returns the RPC module of a member.
///
/// # Errors
///
/// Returns an error when a method is registered twice.
pub(crate) fn methods(shared: Shared) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    serve(&mut module, method::CONTROL_HEARTBEAT, as_is, Input::Checkin)?;
    serve(&mut module, method::PROPOSE, as_is, Input::Propose)?;
    serve(&mut module, method::OPERATE, as_is, Input::Operate)?;
    serve(&mut module, method::STATUS, as_is, Input::Inquire)?;
    serve(&mut module, method::MEMBERS, as_is, Input::ChangeMembers)?;
    serve(&mut module, method::DRAIN, as_is, Input::Drain)?;
    serve(&mut module, method::PUT_SITE, unwrap_forwarded, Input::PutSite)?;
    serve(&mut module, method::SITE, unwrap_forwarded, |(), reply| Input::Site(reply))?;
    serve(&mut module, method::START_MOVE, unwrap_forwarded, Input::StartMove)?;
    serve(&mut module, method::LAST_MOVE, unwrap_forwarded, Input::LastMove)?;
    module.register_async_method(method::LEADER, |_, shared, _| async move {
        send_input(&shared.inputs, Input::Lead).await
    })?;
    serve(&mut module, method::JOIN, checked_join, Input::Join)?;
    module.register_async_method(method::CONFIG, |params, shared, _| async move {
        let held = params.sequence().optional_next()?;
        send_input(&shared.inputs, |reply| Input::Config(held, reply)).await
    })?;
    module
        .register_method(method::CONSENSUS, |params, shared, _| step(&parse(&params)?, shared))?;
    module.register_method(method::HELLO, |params, shared, _| {
        let hello: Hello = parse(&params)?;
        let seen_members = shared.seen_members.lock().unwrap_or_else(PoisonError::into_inner);
        let met =
            if seen_members.contains(&hello.from) { HelloReply::Before } else { HelloReply::Never };
        Ok::<_, ErrorObjectOwned>(met)
    })?;
    Ok(module)
}

/// Passes messages of another member to the control thread, if they are addressed to this member.
fn step(step: &Step, shared: &Shared) -> Result<(), ErrorObjectOwned> {
    let refused = |message: &str| ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>);
    shared.check_proofs(&step.proofs)?;
    if shared.name.borrow().as_ref() != Some(&step.to) {
        // The leader still addresses the former member whose disk was lost on this host.
        shared.callers.add(&step.address);
        return Err(refused("the message is addressed to another member"));
    }
    let messages = link::messages(step, &shared.assembly)
        .map_err(|_| refused("the messages cannot be decoded"))?;
    if messages.is_empty() {
        return Ok(());
    }
    let input = input::Step { from: step.from.clone(), address: step.address.clone(), messages };
    shared.inputs.send(Input::Step(input)).map_err(|_| refused("the control thread has ended"))
}

/// Registers a method with one parameter, from which `extract` takes the control thread's input.
fn serve<P, Q, A>(
    module: &mut RpcModule<Shared>,
    name: &'static str,
    extract: fn(P, &Shared) -> Result<Q, ErrorObjectOwned>,
    input: fn(Q, oneshot::Sender<A>) -> Input,
) -> Result<(), RegisterMethodError>
where
    P: DeserializeOwned + Send + 'static,
    Q: Send + 'static,
    A: Serialize + Clone + Send + 'static,
{
    module.register_async_method(name, move |params, shared, _| async move {
        let call = extract(parse(&params)?, &shared)?;
        send_input(&shared.inputs, |reply| input(call, reply)).await
    })?;
    Ok(())
}

/// Accepts a call without a check; the control thread verifies credentials where needed.
fn as_is<Q>(call: Q, _: &Shared) -> Result<Q, ErrorObjectOwned> {
    Ok(call)
}

/// Verifies and unwraps a call that a control host forwards for its own caller.
fn unwrap_forwarded<Q>(forwarded: Forwarded<Q>, shared: &Shared) -> Result<Q, ErrorObjectOwned> {
    shared.check_proofs(&forwarded.proofs)?;
    Ok(forwarded.call)
}

fn checked_join(join: Join, shared: &Shared) -> Result<Join, ErrorObjectOwned> {
    shared.check_proofs(&join.proofs)?;
    Ok(join)
}

/// Parses the only parameter, which is passed in a list or by itself.
fn parse<Q: DeserializeOwned>(params: &Params<'_>) -> Result<Q, ErrorObjectOwned> {
    params.one().or_else(|_| params.parse())
}

async fn send_input<A>(
    inputs: &mpsc::Sender<Input>,
    input: impl FnOnce(oneshot::Sender<A>) -> Input,
) -> Result<A, ErrorObjectOwned> {
    let ended = |_| {
        let message = "the control thread has ended";
        ErrorObjectOwned::owned(ErrorCode::InternalError.code(), message, None::<()>)
    };
    let (reply, answer) = oneshot::channel();
    inputs.send(input(reply)).map_err(|_| ended(()))?;
    answer.await.map_err(|_| ended(()))
}
