//! `wasabi-entryd`: the entry daemon.

use std::{path::PathBuf, process::ExitCode};

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};
use wasabi_entry::Daemon;
use wasabi_settings::{entry::Settings, file};
use wasabi_telemetry::log;

/// Entry daemon: serves callers and schedules the pools that it owns.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings in YAML
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
    /// path of a file that gets the bound caller address once the daemon listens
    #[argh(option)]
    address_file: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wasabi-entryd: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let settings: Settings = file::read(&arguments.settings)?;
    if arguments.check {
        return Ok(());
    }
    let _logs = log::start(&settings.log)?;
    let daemon = Daemon::start(settings)?;
    tracing::info!(
        callers = %daemon.callers(),
        peers = %daemon.peers(),
        metrics = %daemon.metrics(),
        "listening"
    );
    if let Some(path) = &arguments.address_file {
        std::fs::write(path, daemon.callers().to_string())?;
    }
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        // Further signals only repeat the request to drain; none of them cuts a stream.
        loop {
            tokio::select! {
                _ = terminate.recv() => daemon.drain(),
                _ = interrupt.recv() => daemon.drain(),
                () = ended(&daemon) => return std::io::Result::Ok(()),
            }
        }
    })?;
    daemon.join()?;
    Ok(())
}

/// Resolves when the daemon has ended.
async fn ended(daemon: &Daemon) {
    while !daemon.is_ended() {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
}
