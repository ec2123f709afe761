//! Top-level command line: global options and dispatch to the commands.

use std::{env, fs, path::PathBuf, time::Duration};

use argh::FromArgs;

use super::{
    contract_apply, contract_diff, contract_remove, contract_show, drain, endpoints, entries,
    members_add, members_list, members_remove, move_back, move_list, move_start, move_watch,
    quarantine, status,
};
use crate::{client::Control, exit::Failure};

/// Operates wasabidoor: manages contracts, version moves, entries and the control group.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    /// comma-separated addresses of control members (default: WASABI_CONTROL)
    #[argh(option)]
    control: Option<String>,
    /// path of a file with the operator's credential (default: the credential in WASABI_CREDENTIAL)
    #[argh(option)]
    credential_file: Option<PathBuf>,
    /// the operator's name, which is recorded with each change (default: USER)
    #[argh(option)]
    operator: Option<String>,
    /// timeout of the command, in seconds (default: 15)
    #[argh(option, default = "15")]
    timeout: u64,
    /// print the result as a JSON document
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Contract(Contract),
    Move(Move),
    Endpoints(endpoints::Arguments),
    Entries(entries::Arguments),
    Quarantine(quarantine::Arguments),
    Status(status::Arguments),
    Members(Members),
    Drain(drain::Arguments),
}

/// Shows and changes contracts.
#[derive(FromArgs)]
#[argh(subcommand, name = "contract")]
struct Contract {
    #[argh(subcommand)]
    command: ContractCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ContractCommand {
    Apply(contract_apply::Arguments),
    Show(contract_show::Arguments),
    Diff(contract_diff::Arguments),
    Remove(contract_remove::Arguments),
}

/// Starts, follows and rolls back version moves.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
struct Move {
    #[argh(subcommand)]
    command: MoveCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MoveCommand {
    Start(move_start::Arguments),
    Watch(move_watch::Arguments),
    Back(move_back::Arguments),
    List(move_list::Arguments),
}

/// Shows and changes the control group.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
struct Members {
    #[argh(subcommand)]
    command: MembersCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum MembersCommand {
    Add(members_add::Arguments),
    Remove(members_remove::Arguments),
    List(members_list::Arguments),
}

/// Runs the command that the arguments name.
///
/// # Errors
///
/// Returns a failure when an argument is invalid or the command does not succeed.
pub(crate) async fn run(arguments: Arguments) -> Result<(), Failure> {
    let control = control_client(&arguments)?;
    let (control, json) = (&control, arguments.json);
    match arguments.command {
        Command::Contract(contract) => match contract.command {
            ContractCommand::Apply(arguments) => arguments.run(control, json).await,
            ContractCommand::Show(arguments) => arguments.run(control, json).await,
            ContractCommand::Diff(arguments) => arguments.run(control, json).await,
            ContractCommand::Remove(arguments) => arguments.run(control, json).await,
        },
        Command::Move(version_move) => match version_move.command {
            MoveCommand::Start(arguments) => arguments.run(control, json).await,
            MoveCommand::Watch(arguments) => arguments.run(control, json).await,
            MoveCommand::Back(arguments) => arguments.run(control, json).await,
            MoveCommand::List(arguments) => arguments.run(control, json).await,
        },
        Command::Endpoints(arguments) => arguments.run(control, json).await,
        Command::Entries(arguments) => arguments.run(control, json).await,
        Command::Quarantine(arguments) => arguments.run(control, json).await,
        Command::Status(arguments) => arguments.run(control, json).await,
        Command::Members(members) => match members.command {
            MembersCommand::Add(arguments) => arguments.run(control, json).await,
            MembersCommand::Remove(arguments) => arguments.run(control, json).await,
            MembersCommand::List(arguments) => arguments.run(control, json).await,
        },
        Command::Drain(arguments) => arguments.run(control, json).await,
    }
}

fn control_client(arguments: &Arguments) -> Result<Control, Failure> {
    let addresses = arguments.control.clone().or_else(|| env::var("WASABI_CONTROL").ok());
    let Some(addresses) = addresses else {
        let message = "no control address; pass --control or set WASABI_CONTROL";
        return Err(Failure::Input(message.to_owned()));
    };
    let credential = match &arguments.credential_file {
        Some(path) => fs::read_to_string(path)
            .map_err(|error| Failure::Input(format!("cannot read {}: {error}", path.display())))?,
        None => env::var("WASABI_CREDENTIAL").map_err(|_| {
            let message = "no credential; pass --credential-file or set WASABI_CREDENTIAL";
            Failure::Input(message.to_owned())
        })?,
    };
    let operator = arguments.operator.clone().or_else(|| env::var("USER").ok());
    Ok(Control {
        addresses: addresses.split(',').map(|address| address.trim().to_owned()).collect(),
        credential: credential.trim().to_owned(),
        operator: operator.unwrap_or_else(|| "operator".to_owned()),
        timeout: Duration::from_secs(arguments.timeout),
    })
}
