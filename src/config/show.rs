//! `jackdawchute config show`: prints a version as YAML.

use getopts::{Matches, Options};

use super::number;
use crate::{operators_api, operators_api::OperatorsApi, runtime::block_on, Command, Result};

/// The `config show` command.
pub(super) const COMMAND: Command = Command {
    brief: "Prints the accepted configuration, or another version, as YAML.\n\n\
            Usage: jackdawchute config show [--address IP:PORT] [--version N | --in-use]",
    options: add_options,
    action: show,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optopt("n", "version", "an older version", "N");
    options.optflag("u", "in-use", "the version that the instance uses");
}

fn show(matches: &Matches) -> Result<()> {
    let api = OperatorsApi::from_matches(matches)?;
    let version = matches.opt_str("version");
    let version = version.map(|text| number("--version", &text)).transpose()?;
    let configuration = block_on(async {
        match version {
            Some(version) => api.version(version).await,
            None if matches.opt_present("in-use") => api.in_use().await,
            None => api.accepted().await,
        }
    })?;
    print!("{}", configuration.to_yaml()?);
    Ok(())
}
