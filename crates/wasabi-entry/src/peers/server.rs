//! The JSON-RPC server that peers call. It passes each question to the control thread.

use std::{io, net::TcpListener, time::Duration};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use serde::de::DeserializeOwned;
use wasabi_protocol::{
    id,
    rpc::{Acquire, Heartbeat, Holdings, Left, Lend, MESSAGE_BYTES_MAX, Preempt, Release, method},
};

use crate::message::{Handle, Message, Peer};

/// Connections of peers and operators at one time.
const CONNECTIONS_MAX: u32 = 4_096;

/// Answers that wait to be written to one peer.
const BUFFERED_MAX: u32 = 16_384;

/// Longest time for the first request on a connection.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(10);

/// The JSON-RPC code for an answer that cannot be given since the process ends.
const STOPPING: i32 = -32_001;

/// The JSON-RPC code for a message that the owner of a pool did not take.
const NOT_TAKEN: i32 = -32_002;

type Answer<T> = Result<T, ErrorObjectOwned>;

/// Starts the server.
///
/// # Errors
///
/// Returns an error when the listener cannot be used.
pub(crate) fn start(listener: TcpListener, handle: &Handle) -> io::Result<ServerHandle> {
    listener.set_nonblocking(true)?;
    let config = ServerConfig::builder()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(MESSAGE_BYTES_MAX)
        .max_response_body_size(MESSAGE_BYTES_MAX)
        .set_message_buffer_capacity(BUFFERED_MAX)
        .set_first_request_timeout(Some(FIRST_REQUEST_TIME))
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let module = module(handle.clone()).map_err(io::Error::other)?;
    Ok(server.start(module))
}

fn module(handle: Handle) -> Result<RpcModule<Handle>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(handle);
    module.register_async_method(method::ACQUIRE, |params, handle, _| async move {
        let acquire: Acquire = one(&params)?;
        told(handle.ask(|reply| Peer::Acquire(Box::new(acquire), reply)).await)
    })?;
    module.register_async_method(method::RELEASE, |params, handle, _| async move {
        let release: Release = one(&params)?;
        handle.send(Message::Peer(Peer::Release(Box::new(release))));
        Answer::Ok(())
    })?;
    module.register_async_method(method::REPORT, |params, handle, _| async move {
        let holdings: Holdings = one(&params)?;
        handle.send(Message::Peer(Peer::Report(Box::new(holdings))));
        Answer::Ok(())
    })?;
    module.register_async_method(method::PREEMPT, |params, handle, _| async move {
        let preempt: Preempt = one(&params)?;
        handle.send(Message::Peer(Peer::Preempt(preempt)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::ANNOUNCE, |params, handle, _| async move {
        let announcement = Box::new(one(&params)?);
        handle.send(Message::Peer(Peer::Announce(announcement)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEAVE, |params, handle, _| async move {
        let endpoint: id::Endpoint = one(&params)?;
        handle.send(Message::Peer(Peer::Leave(endpoint)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEFT, |params, handle, _| async move {
        let left: Vec<Left> = one(&params)?;
        handle.send(Message::Peer(Peer::Left(left)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::ANNOUNCE_THROUGH, |params, handle, _| async move {
        let announcement = Box::new(one(&params)?);
        handle.send(Message::Peer(Peer::AnnounceThrough(announcement)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEAVE_THROUGH, |params, handle, _| async move {
        let endpoint: id::Endpoint = one(&params)?;
        handle.send(Message::Peer(Peer::LeaveThrough(endpoint)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::REGISTER, |params, handle, _| async move {
        let announcement = Box::new(one(&params)?);
        handle.send(Message::Announce(announcement));
        Answer::Ok(())
    })?;
    module.register_async_method(method::RETIRE, |params, handle, _| async move {
        let endpoint: id::Endpoint = one(&params)?;
        let is_taken = told(handle.ask(|reply| Peer::Retire(endpoint, reply)).await)?;
        if is_taken { Answer::Ok(()) } else { Err(not_taken()) }
    })?;
    module.register_async_method(method::PEER_HEARTBEAT, |params, handle, _| async move {
        let heartbeat: Heartbeat = one(&params)?;
        told(handle.ask(|reply| Peer::Heartbeat(Box::new(heartbeat), reply)).await)
    })?;
    module.register_async_method(method::CONFIG, |params, handle, _| async move {
        let held = params.sequence().optional_next()?;
        told(handle.ask(|reply| Peer::Config(held, reply)).await)
    })?;
    module.register_async_method(method::LEND, |params, handle, _| async move {
        let lend: Lend = one(&params)?;
        told(handle.ask(|reply| Peer::Lend(lend, reply)).await)
    })?;
    Ok(module)
}

fn one<T: DeserializeOwned>(params: &Params<'_>) -> Answer<T> {
    params.one()
}

fn not_taken() -> ErrorObjectOwned {
    let message = "the owner of a pool did not take it; send it again";
    ErrorObjectOwned::owned(NOT_TAKEN, message, None::<()>)
}

fn told<T>(answer: Option<T>) -> Answer<T> {
    answer.ok_or_else(|| ErrorObjectOwned::owned(STOPPING, "the entry is stopping", None::<()>))
}
