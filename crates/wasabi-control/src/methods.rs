//! The methods that connections of entries, operators and members call.

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
    rpc::{Forwarded, Hello, Join, Met, Step, method},
};

use crate::{
    heard::Heard,
    input::{self, Input},
    link,
    options::Contacts,
    parts::Assembly,
};

/// What connections need.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) inputs: mpsc::Sender<Input>,
    pub(crate) heard: Arc<Mutex<Heard>>,
    /// This member's name, once it is known.
    pub(crate) name: watch::Receiver<Option<id::Member>>,
    /// The proofs that members of this group send.
    pub(crate) proofs: Arc<[String]>,
    /// Members that sent messages for another member of this address.
    pub(crate) callers: Contacts,
    /// Parts of messages.
    pub(crate) assembly: Arc<Mutex<Assembly>>,
}

impl Shared {
    /// Returns an error unless one of the proofs is a member's.
    fn check(&self, proofs: &[String]) -> Result<(), ErrorObjectOwned> {
        if proofs.iter().any(|proof| self.proofs.contains(proof)) {
            return Ok(());
        }
        let message = "the sender is not known to be a member";
        Err(ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>))
    }
}

/// Returns the methods of a member.
///
/// # Errors
///
/// Returns an error when a name is registered twice.
pub(crate) fn methods(shared: Shared) -> Result<RpcModule<Shared>, RegisterMethodError> {
    let mut module = RpcModule::new(shared);
    serve(&mut module, method::CONTROL_HEARTBEAT, whole, Input::Checkin)?;
    serve(&mut module, method::PROPOSE, whole, Input::Propose)?;
    serve(&mut module, method::OPERATE, whole, Input::Operate)?;
    serve(&mut module, method::STATUS, whole, Input::Inquire)?;
    serve(&mut module, method::MEMBERS, whole, Input::ChangeMembers)?;
    serve(&mut module, method::DRAIN, whole, Input::Drain)?;
    serve(&mut module, method::PUT_SITE, forwarded, Input::PutSite)?;
    serve(&mut module, method::SITE, forwarded, |(), reply| Input::Site(reply))?;
    serve(&mut module, method::START_MOVE, forwarded, Input::StartMove)?;
    serve(&mut module, method::LAST_MOVE, forwarded, Input::LastMove)?;
    module.register_async_method(method::LEADER, |_, shared, _| async move {
        ask(&shared.inputs, Input::Lead).await
    })?;
    serve(&mut module, method::JOIN, proved, Input::Join)?;
    module.register_async_method(method::CONFIG, |params, shared, _| async move {
        let held = params.sequence().optional_next()?;
        ask(&shared.inputs, |reply| Input::Config(held, reply)).await
    })?;
    module.register_method(method::CONSENSUS, |params, shared, _| step(&read(&params)?, shared))?;
    module.register_method(method::HELLO, |params, shared, _| {
        let hello: Hello = read(&params)?;
        let heard = shared.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let met = if heard.contains(&hello.from) { Met::Before } else { Met::Never };
        Ok::<_, ErrorObjectOwned>(met)
    })?;
    Ok(module)
}

/// Passes messages of another member on, if they are meant for this one.
fn step(step: &Step, shared: &Shared) -> Result<(), ErrorObjectOwned> {
    let refused = |message: &str| ErrorObjectOwned::owned(INVALID_PARAMS_CODE, message, None::<()>);
    shared.check(&step.proofs)?;
    if shared.name.borrow().as_ref() != Some(&step.to) {
        // The leader still sends to the one that lost its disk here.
        shared.callers.add(&step.address);
        return Err(refused("the message is for another member"));
    }
    let messages = link::messages(step, &shared.assembly)
        .map_err(|_| refused("the messages cannot be read"))?;
    if messages.is_empty() {
        return Ok(());
    }
    let input = input::Step { from: step.from.clone(), address: step.address.clone(), messages };
    shared.inputs.send(Input::Step(input)).map_err(|_| refused("the control thread has ended"))
}

/// Registers a method with one parameter, from which `open` takes what the control thread is asked.
fn serve<P, Q, A>(
    module: &mut RpcModule<Shared>,
    name: &'static str,
    open: fn(P, &Shared) -> Result<Q, ErrorObjectOwned>,
    input: fn(Q, oneshot::Sender<A>) -> Input,
) -> Result<(), RegisterMethodError>
where
    P: DeserializeOwned + Send + 'static,
    Q: Send + 'static,
    A: Serialize + Clone + Send + 'static,
{
    module.register_async_method(name, move |params, shared, _| async move {
        let question = open(read(&params)?, &shared)?;
        ask(&shared.inputs, |reply| input(question, reply)).await
    })?;
    Ok(())
}

/// Takes a question as it is; where it needs a credential, the control thread checks that.
fn whole<Q>(question: Q, _: &Shared) -> Result<Q, ErrorObjectOwned> {
    Ok(question)
}

/// Takes the call that a control host makes for its own caller.
fn forwarded<Q>(forwarded: Forwarded<Q>, shared: &Shared) -> Result<Q, ErrorObjectOwned> {
    shared.check(&forwarded.proofs)?;
    Ok(forwarded.call)
}

fn proved(join: Join, shared: &Shared) -> Result<Join, ErrorObjectOwned> {
    shared.check(&join.proofs)?;
    Ok(join)
}

/// Reads the only parameter, which stands in a list or alone.
fn read<Q: DeserializeOwned>(params: &Params<'_>) -> Result<Q, ErrorObjectOwned> {
    params.one().or_else(|_| params.parse())
}

async fn ask<A>(
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
