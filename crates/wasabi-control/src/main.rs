//! Entry point of the control daemon.

use std::{net::TcpListener, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};
use tracing::{error, info};
use wasabi_control::{Batching, Options, Running};
use wasabi_settings::{control::Settings, file};
use wasabi_telemetry::{log, metrics};

/// Runs one member of the control group.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
    /// validate the settings and exit
    #[argh(switch)]
    check: bool,
    /// commit each proposal before accepting the next; only for comparison in benchmarks
    #[argh(switch)]
    without_batching: bool,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let settings: Settings = match file::read(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    if settings.tls.is_some() {
        eprintln!(
            "`tls` is not served yet; remove the setting, or connections would be unencrypted without notice"
        );
        return ExitCode::from(2);
    }
    if arguments.check {
        return ExitCode::SUCCESS;
    }
    let _logs = match log::start(&settings.log) {
        Ok(logs) => logs,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    actix_rt::System::new().block_on(run(&settings, arguments.without_batching))
}

async fn run(settings: &Settings, without_batching: bool) -> ExitCode {
    let mut options = Options::from(settings);
    if without_batching {
        options.batching = Batching::Single;
    }
    let registry = options.metrics.registry();
    let server = TcpListener::bind(*settings.metrics)
        .and_then(|listener| metrics::serve(listener, registry));
    if let Err(error) = server {
        error!(%error, address = %*settings.metrics, "cannot serve metrics");
        return ExitCode::FAILURE;
    }
    let mut running = match Running::start(options).await {
        Ok(running) => running,
        Err(error) => {
            error!(%error, "cannot start the control member");
            return ExitCode::FAILURE;
        }
    };
    info!(address = %running.address(), "listening");
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        error!("cannot install signal handlers");
        return ExitCode::FAILURE;
    };
    loop {
        tokio::select! {
            _ = terminate.recv() => running.stop(),
            _ = interrupt.recv() => running.stop(),
            end = running.ended() => {
                return match end {
                    Ok(()) => ExitCode::SUCCESS,
                    Err(error) => {
                        error!(%error, "the control member ended with an error");
                        ExitCode::FAILURE
                    }
                };
            }
        }
    }
}
