//! `wasabi drain`

use std::time::{Duration, Instant};

use argh::FromArgs;
use wasabi_protocol::{
    command::Duty,
    rpc::{Drain, Drained, method},
};

use crate::{
    client::{Control, Step},
    exit::Failure,
    output,
};

/// Time between two looks at the entry, in milliseconds.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Drains an entry: it leaves all lists at once and finishes what it has. A silent entry counts
/// as ended from then on.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Arguments {
    /// the entry
    #[argh(positional)]
    entry: String,
    /// wait until the entry has ended
    #[argh(switch)]
    follow: bool,
}

impl Arguments {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns why the entry does not drain.
    pub(crate) async fn run(self, control: &Control, json: bool) -> Result<(), Failure> {
        let drain =
            Drain { credential: control.credential.clone(), entry: self.entry.as_str().into() };
        let until = Instant::now() + control.timeout;
        let read = |answer| match answer {
            Drained::Ordered { revision } => Ok(Step::Done(revision)),
            Drained::NotLeader { leader } => Ok(Step::NotLeader(leader)),
            Drained::Unknown => Ok(Step::Unknown),
            Drained::Refused(fault) => Err(Failure::of(fault)),
        };
        let revision =
            control.call(method::DRAIN, &drain, until, read).await.map_err(|lost| lost.failure)?;
        if self.follow {
            self.wait_for_end(control).await?;
        }
        if json {
            return output::json(&serde_json::json!({
                "entry": self.entry,
                "revision": revision,
                "duty": Duty::Draining,
            }));
        }
        println!("{} is on no list from revision {revision} on", self.entry);
        Ok(())
    }

    async fn wait_for_end(&self, control: &Control) -> Result<(), Failure> {
        loop {
            let view = control.status().await?.config.view;
            if !view.entries.iter().any(|entry| entry.name.as_str() == self.entry) {
                return Ok(());
            }
            eprintln!("{} finishes what it has", self.entry);
            actix_rt::time::sleep(LOOK_EVERY).await;
        }
    }
}
