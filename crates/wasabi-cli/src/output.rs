//! Output of the commands: text for people, or one JSON document for scripts.

use serde::Serialize;
use wasabi_protocol::{
    command::{Move, Stage},
    id,
    rpc::{MemberStatus, RevisionStatus, Role},
};

use crate::exit::Failure;

/// Prints a JSON document.
///
/// # Errors
///
/// Returns a failure when the document cannot be serialized as JSON.
pub(crate) fn json(document: &impl Serialize) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(document)
        .map_err(|error| Failure::Internal(error.to_string()))?;
    println!("{text}");
    Ok(())
}

/// Prints the failure of a command to standard error, and as JSON to standard output if `is_json`.
pub(crate) fn failure(failure: &Failure, is_json: bool) {
    if is_json {
        println!("{}", serde_json::json!({ "error": failure.to_string() }));
    }
    eprintln!("{failure}");
}

/// An accepted change, as printed for scripts.
#[derive(Debug)]
#[derive(Serialize)]
struct Accepted<'a> {
    revision: id::Revision,
    force: &'a RevisionStatus,
}

/// Prints the revision of a change and the entries at which it is in force.
///
/// # Errors
///
/// Returns a failure when the document cannot be serialized as JSON.
pub(crate) fn in_force(
    revision: id::Revision,
    force: &RevisionStatus,
    is_json: bool,
) -> Result<(), Failure> {
    if is_json {
        return json(&Accepted { revision, force });
    }
    println!("revision {revision} is in force at {} entries", force.confirmed.len());
    if !force.stopped.is_empty() {
        let names: Vec<_> = force.stopped.iter().map(id::Entry::as_str).collect();
        println!("not serving: {}", names.join(", "));
    }
    Ok(())
}

/// Prints rows with aligned columns.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain(header.get(column).map(|cell| cell.len())).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let text: Vec<_> =
            cells.zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        println!("{}", text.join("  ").trim_end());
    };
    line(&mut header.iter().copied());
    for row in rows {
        line(&mut row.iter().map(String::as_str));
    }
}

/// Prints the members of the control group as a table.
pub(crate) fn members(members: &[MemberStatus]) {
    let row = |member: &MemberStatus| {
        let role = match member.role {
            Role::Leader => "leader",
            Role::Voter => "voter",
            Role::Learner => "learner",
        };
        vec![
            member.member.to_string(),
            member.address.clone(),
            role.to_owned(),
            member.matched.to_string(),
        ]
    };
    let rows: Vec<_> = members.iter().map(row).collect();
    table(&["MEMBER", "ADDRESS", "ROLE", "MATCHED INDEX"], &rows);
}

/// Returns a description of the stage of a version move.
pub(crate) fn stage(version_move: &Move) -> String {
    match version_move.stage {
        Stage::Share(permille) => {
            format!("share {}.{}%", permille / 10, permille % 10)
        }
        Stage::Watching { .. } => "all traffic moved, under observation".to_owned(),
        Stage::Done => "done".to_owned(),
        Stage::TakenBack => "rolled back".to_owned(),
    }
}
