//! Generator of the message types.

use std::error::Error;

use schemars_typify::schema::RootSchema;
use typify::{TypeSpace, TypeSpaceSettings};

/// Returns the Rust source of the types defined by a schema.
pub(crate) fn source(schema: &str) -> Result<String, Box<dyn Error>> {
    let schema: RootSchema = serde_json::from_str(schema)?;
    let mut space = TypeSpace::new(TypeSpaceSettings::default().with_struct_builder(false));
    space.add_ref_types(schema.definitions)?;
    let file = syn::parse2::<syn::File>(space.to_stream())?;
    Ok(prettyplease::unparse(&file))
}
