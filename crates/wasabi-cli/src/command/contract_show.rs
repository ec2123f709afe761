//! `wasabi contract show`

use argh::FromArgs;

use crate::{client::Control, exit::Failure, output};

/// Shows the contracts in force, or one of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct Arguments {
    /// the organisation
    #[argh(positional)]
    organisation: Option<String>,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why nothing can be shown.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let config = control.status().await?.config;
        let is_asked = |name: &str| self.organisation.as_deref().is_none_or(|asked| asked == name);
        let contracts: Vec<_> = config
            .contracts
            .iter()
            .filter(|contract| is_asked(contract.organisation.as_str()))
            .collect();
        if let (Some(asked), true) = (&self.organisation, contracts.is_empty()) {
            return Err(Failure::Input(format!("no contract of {asked} is in force")));
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
