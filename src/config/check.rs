//! `jackdawchute config check`: checks a file without calling an instance.

use getopts::{Matches, Options};

use super::{file, read_file};
use crate::{Command, Result};

/// The `config check` command.
pub(super) const COMMAND: Command = Command {
    brief: "Checks a file and prints all its problems; no instance is asked.\n\n\
            Usage: jackdawchute config check FILE",
    options: add_options,
    action: check,
};

fn add_options(_options: &mut Options) {}

fn check(matches: &Matches) -> Result<()> {
    let path = file(&matches.free)?;
    read_file(path)?;
    println!("{path}: no problems");
    Ok(())
}
