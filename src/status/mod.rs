//! `jackdawchute status`: shows the status of instances.

mod page;
mod view;

use getopts::{Matches, Options};
use serde_json::Value;

pub(crate) use view::InstanceStatus;

use crate::{
    operators_api, operators_api::OperatorsApi, runtime::block_on, Command, Error, Result,
};

/// The `status` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Shows instances, groups and owners, queues, refusals, quarantined workers and \
            configuration versions. Queues, refusals and quarantine are those of the instances \
            that are asked.\n\n\
            Usage: jackdawchute status [--address IP:PORT]... [--json]",
    options: add_options,
    action: status,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optflag(
        "j",
        "json",
        "for programs: an array with one object for each instance",
    );
}

fn status(matches: &Matches) -> Result<()> {
    let instances = OperatorsApi::all_from_matches(matches)?;
    let (answers, failures) = block_on(ask_all(&instances))?;
    if matches.opt_present("json") {
        let json = serde_json::to_string_pretty(&answers).unwrap_or_default();
        println!("{json}");
    } else {
        print!("{}", page::render(&parse(answers)?));
    }
    if failures.is_empty() {
        return Ok(());
    }
    Err(Error::Refused("ask for status", failures.join("\n")))
}

/// Calls all instances; returns the statuses, and a line for each instance that failed.
async fn ask_all(instances: &[OperatorsApi]) -> Result<(Vec<Value>, Vec<String>)> {
    let (mut answers, mut failures) = (Vec::new(), Vec::new());
    for instance in instances {
        match instance.status().await {
            Ok(answer) => answers.push(answer),
            Err(error) => failures.push(format!("{}: {error}", instance.address())),
        }
    }
    Ok((answers, failures))
}

fn parse(answers: Vec<Value>) -> Result<Vec<InstanceStatus>> {
    let parsed = answers.into_iter().map(serde_json::from_value);
    parsed
        .collect::<std::result::Result<_, _>>()
        .map_err(|error| Error::Refused("read status", error.to_string()))
}
