//! `wasabi-standin`: a simulated endpoint as a process.

use std::{path::PathBuf, process::ExitCode, sync::Arc};

use argh::FromArgs;
use tokio::signal::unix::{SignalKind, signal};
use wasabi_standin::{Settings, Standin};

/// Runs a simulated endpoint: a model engine or a service, depending on its settings.
#[derive(FromArgs)]
struct Arguments {
    /// path of the settings file (YAML)
    #[argh(option)]
    settings: PathBuf,
    /// path of a file to which the bound address is written once requests are accepted
    #[argh(option)]
    address_file: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wasabi-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(&arguments.settings)?;
    let settings: Settings = serde_saphyr::from_str(&text)?;
    let mut standin = Standin::start_with_crash(settings, Arc::new(|| std::process::abort()))?;
    if let Some(path) = &arguments.address_file {
        std::fs::write(path, standin.address().to_string())?;
    }
    println!("address={}", standin.address());
    actix_rt::System::new().block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        standin.leave().await;
        standin.server().stop(true).await;
        std::io::Result::Ok(())
    })?;
    standin.join();
    Ok(())
}
