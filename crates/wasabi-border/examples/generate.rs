//! Regenerates the message types from their schema.

use std::{error::Error, fs};

#[path = "../tests/generator/mod.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let schema = fs::read_to_string(format!("{directory}schema/callers.json"))?;
    fs::write(format!("{directory}src/generated.rs"), generator::source(&schema)?)?;
    Ok(())
}
