//! Writes the border types anew from their schema.

use std::{error::Error, fs};

#[path = "../tests/generator/mod.rs"]
mod generator;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/");
    let schema = fs::read_to_string(format!("{folder}schema/callers.json"))?;
    fs::write(format!("{folder}src/generated.rs"), generator::source(&schema)?)?;
    Ok(())
}
