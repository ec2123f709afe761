//! The commands, one per file.

mod contract_apply;
mod contract_diff;
mod contract_remove;
mod contract_show;
mod drain;
mod endpoints;
mod entries;
mod members_add;
mod members_list;
mod members_remove;
mod move_back;
mod move_list;
mod move_start;
mod move_watch;
mod quarantine;
mod run;
mod status;

pub(crate) use run::{Arguments, run};
