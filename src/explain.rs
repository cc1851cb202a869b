//! `jackdawchute explain`: shows what happened to a job or a keyed request, and why.

use getopts::{Matches, Options};
use serde_json::Value;

use crate::{
    operators_api, operators_api::OperatorsApi, runtime::block_on, Command, Error, Result,
};

/// The `explain` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Tells what the owners know of a job's id or a request's idempotency key.\n\n\
            Usage: jackdawchute explain [--address IP:PORT] ID",
    options: add_options,
    action: explain,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
}

fn explain(matches: &Matches) -> Result<()> {
    let [id] = matches.free.as_slice() else {
        return Err(Error::Usage("one ID is needed".to_owned()));
    };
    let instance = OperatorsApi::from_matches(matches)?;
    let answer = block_on(instance.explain(id))?;
    println!(
        "{}",
        serde_json::to_string_pretty(&answer).unwrap_or_default()
    );
    let is_known = answer["known"]
        .as_array()
        .is_some_and(|known| !known.is_empty());
    if is_known {
        return Ok(());
    }
    let all_answered = answer["unreachable"].as_array().is_some_and(Vec::is_empty);
    let problem = if all_answered {
        format!("no owner knows {id}")
    } else {
        format!("no owner that answers knows {id}")
    };
    Err(Error::Refused("explain", problem))
}

/// The instance's answer, which is printed unchanged.
pub(crate) type Explanation = Value;
