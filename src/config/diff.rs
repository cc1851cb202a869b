//! `jackdawchute config diff`: compares two versions, or a version and a file.

use getopts::{Matches, Options};
use jackdawchute_configuration::diff::{self, Change};

use super::{file, number, read_file};
use crate::{operators_api, operators_api::OperatorsApi, runtime::block_on, Command, Result};

/// The `config diff` command.
pub(super) const COMMAND: Command = Command {
    brief: "Compares FILE, or the version --to, with the accepted version, or that of --from.\n\n\
            Usage: jackdawchute config diff [--address IP:PORT] [--from N] FILE\n       \
            jackdawchute config diff [--address IP:PORT] [--from N] --to N",
    options: add_options,
    action: compare,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optopt("f", "from", "the version before", "N");
    options.optopt("o", "to", "the version after", "N");
}

fn compare(matches: &Matches) -> Result<()> {
    let api = OperatorsApi::from_matches(matches)?;
    let version = |name: &str| {
        let text = matches.opt_str(name);
        text.map(|text| number(name, &text)).transpose()
    };
    let (from, to) = (version("from")?, version("to")?);
    let candidate = match to {
        Some(_) => None,
        None => Some(read_file(file(&matches.free)?)?),
    };
    let (old, new) = block_on(async {
        let old = match from {
            Some(version) => api.version(version).await?,
            None => api.accepted().await?,
        };
        let new = match (candidate, to) {
            (Some(candidate), _) => candidate,
            (None, Some(version)) => api.version(version).await?,
            (None, None) => api.accepted().await?,
        };
        Ok((old, new))
    })?;
    let outcome = diff::diff(diff::Options {
        old: &old,
        new: &new,
    })?;
    outcome.changes.iter().for_each(print);
    Ok(())
}

fn print(change: &Change) {
    println!("{}", change.field);
    if let Some(old) = &change.old {
        println!("  - {old}");
    }
    if let Some(new) = &change.new {
        println!("  + {new}");
    }
}
