//! The JSON-RPC server for peers. It passes each call to the control thread.

use std::{io, net::TcpListener, time::Duration};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params},
};
use serde::de::DeserializeOwned;
use wasabi_protocol::{
    id,
    rpc::{
        Acquire, Departure, Heartbeat, Holdings, Lend, MESSAGE_BYTES_MAX, Preempt, RateReport,
        Release, method,
    },
};

use crate::message::{Handle, Message, Peer};

/// Maximum number of concurrent connections of peers and operators.
const CONNECTIONS_MAX: u32 = 4_096;

/// Maximum number of answers buffered for one peer.
const BUFFERED_ANSWERS_MAX: u32 = 16_384;

/// Timeout for the first request on a connection.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// The JSON-RPC error code for a call that is not answered because the process is stopping.
const STOPPING: i32 = -32_001;

/// The JSON-RPC error code for a message that a pool owner did not acknowledge.
const NOT_ACKNOWLEDGED: i32 = -32_002;

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
        .set_message_buffer_capacity(BUFFERED_ANSWERS_MAX)
        .set_first_request_timeout(Some(FIRST_REQUEST_TIMEOUT))
        .set_tcp_no_delay(true)
        .build();
    let server = Server::builder().set_config(config).build_from_tcp(listener)?;
    let module = module(handle.clone()).map_err(io::Error::other)?;
    Ok(server.start(module))
}

fn module(handle: Handle) -> Result<RpcModule<Handle>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(handle);
    module.register_async_method(method::ACQUIRE, |params, handle, _| async move {
        let acquire: Acquire = parse_param(&params)?;
        or_stopping(handle.call(|reply| Peer::Acquire(Box::new(acquire), reply)).await)
    })?;
    module.register_async_method(method::RELEASE, |params, handle, _| async move {
        let release: Release = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Release(Box::new(release))));
        Answer::Ok(())
    })?;
    module.register_async_method(method::REPORT, |params, handle, _| async move {
        let holdings: Holdings = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Report(Box::new(holdings))));
        Answer::Ok(())
    })?;
    module.register_async_method(method::PREEMPT, |params, handle, _| async move {
        let preempt: Preempt = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Preempt(preempt)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::ANNOUNCE, |params, handle, _| async move {
        let announcement = Box::new(parse_param(&params)?);
        handle.send(Message::Peer(Peer::Announce(announcement)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEAVE, |params, handle, _| async move {
        let endpoint: id::Endpoint = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Leave(endpoint)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEFT, |params, handle, _| async move {
        let left: Vec<Departure> = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Left(left)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::RATES, |params, handle, _| async move {
        let report: RateReport = parse_param(&params)?;
        handle.send(Message::Peer(Peer::Rates(report)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::ANNOUNCE_THROUGH, |params, handle, _| async move {
        let announcement = Box::new(parse_param(&params)?);
        handle.send(Message::Peer(Peer::AnnounceThrough(announcement)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::LEAVE_THROUGH, |params, handle, _| async move {
        let endpoint: id::Endpoint = parse_param(&params)?;
        handle.send(Message::Peer(Peer::LeaveThrough(endpoint)));
        Answer::Ok(())
    })?;
    module.register_async_method(method::REGISTER, |params, handle, _| async move {
        let announcement = Box::new(parse_param(&params)?);
        handle.send(Message::Announce(announcement));
        Answer::Ok(())
    })?;
    module.register_async_method(method::RETIRE, |params, handle, _| async move {
        let endpoint: id::Endpoint = parse_param(&params)?;
        let is_acknowledged =
            or_stopping(handle.call(|reply| Peer::Retire(endpoint, reply)).await)?;
        if is_acknowledged { Answer::Ok(()) } else { Err(not_acknowledged()) }
    })?;
    module.register_async_method(method::PEER_HEARTBEAT, |params, handle, _| async move {
        let heartbeat: Heartbeat = parse_param(&params)?;
        or_stopping(handle.call(|reply| Peer::Heartbeat(Box::new(heartbeat), reply)).await)
    })?;
    module.register_async_method(method::CONFIG, |params, handle, _| async move {
        let held = params.sequence().optional_next()?;
        or_stopping(handle.call(|reply| Peer::Config(held, reply)).await)
    })?;
    module.register_async_method(method::LEND, |params, handle, _| async move {
        let lend: Lend = parse_param(&params)?;
        or_stopping(handle.call(|reply| Peer::Lend(lend, reply)).await)
    })?;
    Ok(module)
}

fn parse_param<T: DeserializeOwned>(params: &Params<'_>) -> Answer<T> {
    params.one()
}

fn not_acknowledged() -> ErrorObjectOwned {
    let message = "the owner of a pool did not acknowledge the message; send it again";
    ErrorObjectOwned::owned(NOT_ACKNOWLEDGED, message, None::<()>)
}

fn or_stopping<T>(answer: Option<T>) -> Answer<T> {
    answer.ok_or_else(|| ErrorObjectOwned::owned(STOPPING, "the entry is stopping", None::<()>))
}
