//! Runs the exhaustive state-space search with larger bounds than the tests.
//!
//! Arguments: the maximum term (default 4) and the maximum number of proposals (default 0).

#[path = "../tests/support/mod.rs"]
mod support;

use std::{env, error, thread};

use support::search::{Bounds, search};
use wasabi_consensus::Rules;

const STATES_MAX: usize = 2_000_000;

fn main() -> Result<(), Box<dyn error::Error>> {
    let mut arguments = env::args().skip(1);
    let terms = arguments.next().map_or(Ok(4), |text| text.parse())?;
    let proposals = arguments.next().map_or(Ok(0), |text| text.parse())?;
    println!("cores: {}", thread::available_parallelism()?);
    let bounds = Bounds { terms, proposals, states: STATES_MAX };
    println!("{bounds:?}: {:?}", search(Rules::ALL, bounds));
    Ok(())
}
