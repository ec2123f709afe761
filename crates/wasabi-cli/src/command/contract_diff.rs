//! `wasabi contract diff`

use std::{
    collections::{BTreeMap, BTreeSet},
    path::PathBuf,
};

use argh::FromArgs;
use serde::Serialize;
use serde_json::Value;

use crate::{client::Control, exit::Failure, output, yaml};

/// Shows the changes that applying a contract file would make.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Arguments {
    /// path of the contract file (YAML)
    #[argh(positional)]
    file: PathBuf,
}

/// A field whose value in the file differs from the one in force.
#[derive(Debug)]
#[derive(Serialize)]
struct Difference {
    field: String,
    in_force: Option<Value>,
    in_file: Option<Value>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the file is invalid or the contract in force cannot be fetched.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let contract = yaml::contract(&self.file)?;
        let config = control.status().await?.config;
        let current =
            config.contracts.iter().find(|current| current.organisation == contract.organisation);
        let in_force = current.map(fields).transpose()?.unwrap_or_default();
        let in_file = fields(&contract)?;
        let names: BTreeSet<_> = in_force.keys().chain(in_file.keys()).collect();
        let differences: Vec<_> = names
            .into_iter()
            .filter(|name| in_force.get(*name) != in_file.get(*name))
            .map(|name| Difference {
                field: name.clone(),
                in_force: in_force.get(name).cloned(),
                in_file: in_file.get(name).cloned(),
            })
            .collect();
        if json {
            return output::json(&serde_json::json!({
                "revision": config.revision,
                "differences": differences,
            }));
        }
        println!("revision {} is in force", config.revision);
        for difference in &differences {
            let text = |value: &Option<Value>| {
                value.as_ref().map_or_else(|| "absent".to_owned(), Value::to_string)
            };
            let (old, new) = (text(&difference.in_force), text(&difference.in_file));
            println!("{}: {old} -> {new}", difference.field);
        }
        if differences.is_empty() {
            println!("no difference");
        }
        Ok(())
    }
}

/// Returns the scalar values of a document by their paths, such as `routes[2].tier`.
fn fields(document: &impl Serialize) -> Result<BTreeMap<String, Value>, Failure> {
    let value =
        serde_json::to_value(document).map_err(|error| Failure::Internal(error.to_string()))?;
    let mut fields = BTreeMap::new();
    collect_fields(String::new(), value, &mut fields);
    Ok(fields)
}

fn collect_fields(path: String, value: Value, fields: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) => {
            for (name, value) in map {
                let path = if path.is_empty() { name } else { format!("{path}.{name}") };
                collect_fields(path, value, fields);
            }
        }
        Value::Array(items) => {
            for (index, value) in items.into_iter().enumerate() {
                collect_fields(format!("{path}[{index}]"), value, fields);
            }
        }
        value => {
            fields.insert(path, value);
        }
    }
}
