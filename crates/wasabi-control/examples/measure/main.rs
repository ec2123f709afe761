//! Benchmarks of the control daemon: `cargo run --release -p wasabi-control --example measure --
//! PART` with the parts `commits`, `leader`, `restart`, `state` and `entries`. Build the daemon
//! first with `cargo build --release -p wasabi-control`.
#![allow(clippy::unwrap_used, reason = "a benchmark stops at the first error")]

mod commits;
mod entries;
mod group;
mod leader;
mod restart;
mod state;

fn main() {
    let part = std::env::args().nth(1).unwrap_or_default();
    let cores = std::thread::available_parallelism().map_or(0, std::num::NonZero::get);
    println!("cores: {cores}");
    match part.as_str() {
        "commits" => commits::run(),
        "leader" => leader::run(),
        "restart" => restart::run(),
        "state" => state::run(),
        "entries" => entries::run(),
        _ => println!("expected one of: commits, leader, restart, state, entries"),
    }
}
