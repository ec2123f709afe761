//! The `wasabi` command line for operators.

use std::process::ExitCode;

mod client;
mod command;
mod exit;
mod output;
mod yaml;

fn main() -> ExitCode {
    let arguments: command::Arguments = argh::from_env();
    let is_json = arguments.json;
    let result = actix_rt::System::new().block_on(command::run(arguments));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::failure(&failure, is_json);
            failure.code()
        }
    }
}
