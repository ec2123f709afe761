//! The connections of entries, operators and other members.

use std::{net::SocketAddr, sync::mpsc, thread};

use jsonrpsee::{
    RpcModule,
    server::{PingConfig, RegisterMethodError, Server, ServerConfig, ServerHandle},
    types::{ErrorObjectOwned, Params, error::ErrorCode},
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt as _, Snafu};
use tokio::sync::oneshot;
use wasabi_protocol::rpc::method;

use crate::{input::Input, member::Member, options::Options};

/// Most connections at one time: entries, members and operators.
const CONNECTIONS_MAX: u32 = 4_096;

/// Longest message, in bytes.
const MESSAGE_BYTES_MAX: u32 = 64 * 1024 * 1024;

/// Why a member cannot start or had to end.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be bound. Remedy: correct `listen`, or end the process that uses it.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// A method is registered twice.
    #[snafu(display("cannot register the methods: {source}"))]
    Methods {
        /// The cause.
        source: RegisterMethodError,
    },
    /// The control thread cannot be started.
    #[snafu(display("cannot start the control thread: {source}"))]
    Thread {
        /// The cause.
        source: std::io::Error,
    },
}

/// A running member.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    server: ServerHandle,
    inputs: mpsc::Sender<Input>,
    ended: oneshot::Receiver<()>,
}

impl Running {
    /// Starts a member. Its connections are served by the runtime of the calling thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let config = ServerConfig::builder()
            .max_connections(CONNECTIONS_MAX)
            .max_request_body_size(MESSAGE_BYTES_MAX)
            .max_response_body_size(MESSAGE_BYTES_MAX)
            .enable_ws_ping(PingConfig::default())
            .build();
        let listen = options.listen;
        let server = Server::builder()
            .set_config(config)
            .build(listen)
            .await
            .context(ListenSnafu { address: listen })?;
        let address = server.local_addr().context(ListenSnafu { address: listen })?;
        let (inputs, receiver) = mpsc::channel();
        let module = methods(inputs.clone()).context(MethodsSnafu)?;
        let (end, ended) = oneshot::channel();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                Member::new(options).run(&receiver);
                let _ = end.send(());
            })
            .context(ThreadSnafu)?;
        Ok(Self { address, server: server.start(module), inputs, ended })
    }

    /// Returns the address that is listened on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a planned stop.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::Stop);
    }

    /// Waits until the control thread has ended.
    pub async fn ended(&mut self) {
        let _ = (&mut self.ended).await;
        let _ = self.server.stop();
    }
}

type Inputs = mpsc::Sender<Input>;

fn methods(inputs: Inputs) -> Result<RpcModule<Inputs>, RegisterMethodError> {
    let mut module = RpcModule::new(inputs);
    serve(&mut module, method::CONTROL_HEARTBEAT, Input::Checkin)?;
    serve(&mut module, method::PROPOSE, Input::Propose)?;
    serve(&mut module, method::OPERATE, Input::Operate)?;
    serve(&mut module, method::STATUS, Input::Inquire)?;
    serve(&mut module, method::MEMBERS, Input::ChangeMembers)?;
    serve(&mut module, method::DRAIN, Input::Drain)?;
    module.register_async_method(method::CONFIG, |_, inputs, _| async move {
        ask(&inputs, Input::Config).await
    })?;
    Ok(module)
}

/// Registers a method with one parameter that the control thread answers.
fn serve<Q, A>(
    module: &mut RpcModule<Inputs>,
    name: &'static str,
    input: fn(Q, oneshot::Sender<A>) -> Input,
) -> Result<(), RegisterMethodError>
where
    Q: DeserializeOwned + Send + 'static,
    A: Serialize + Clone + Send + 'static,
{
    module.register_async_method(name, move |params, inputs, _| async move {
        let question: Q = read(&params)?;
        ask(&inputs, |reply| input(question, reply)).await
    })?;
    Ok(())
}

/// Reads the only parameter, which stands in a list or alone.
fn read<Q: DeserializeOwned>(params: &Params<'_>) -> Result<Q, ErrorObjectOwned> {
    params.one().or_else(|_| params.parse())
}

async fn ask<A>(
    inputs: &Inputs,
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
