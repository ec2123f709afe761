//! `wasabi contract show`

use argh::FromArgs;

use crate::{client::Control, exit::Failure, output};

/// Shows the contracts in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Arguments {
    /// the name of the organisation (default: all)
    #[argh(positional)]
    organisation: Option<String>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns a failure when the status cannot be fetched or printed.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let config = control.status().await?.config;
        let is_selected =
            |name: &str| self.organisation.as_deref().is_none_or(|selected| selected == name);
        let contracts: Vec<_> = config
            .contracts
            .iter()
            .filter(|contract| is_selected(contract.organisation.as_str()))
            .collect();
        if let (Some(organisation), true) = (&self.organisation, contracts.is_empty()) {
            return Err(Failure::Input(format!("no contract of {organisation} is in force")));
        }
        if json {
            return output::json(&serde_json::json!({
                "revision": config.revision,
                "contracts": contracts,
            }));
        }
        println!("# revision {}", config.revision);
        for contract in contracts {
            let text = serde_saphyr::to_string(contract)
                .map_err(|error| Failure::Internal(error.to_string()))?;
            println!("---\n{}", text.trim_end());
        }
        Ok(())
    }
}
