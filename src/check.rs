//! `jackdawchute check`: checks files without starting anything.

use getopts::{Matches, Options};
use jackdawchute_settings::Settings;

use crate::{config::read_file, Command, Error, Result};

/// The `check` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Checks settings and configuration files and prints all their problems.\n\n\
            Usage: jackdawchute check [--settings FILE]... [--configuration FILE]...",
    options: add_options,
    action: check,
};

fn add_options(options: &mut Options) {
    options.optmulti("s", "settings", "the settings of a process", "FILE");
    options.optmulti(
        "c",
        "configuration",
        "the configuration of the fleet",
        "FILE",
    );
}

fn check(matches: &Matches) -> Result<()> {
    let settings = matches.opt_strs("settings");
    let configurations = matches.opt_strs("configuration");
    if settings.is_empty() && configurations.is_empty() || !matches.free.is_empty() {
        let problem = "give files with `--settings` and `--configuration`";
        return Err(Error::Usage(problem.to_owned()));
    }
    let settings = settings
        .iter()
        .map(|path| report(path, Settings::load(path).map(drop).map_err(Error::from)));
    let configurations = configurations
        .iter()
        .map(|path| report(path, read_file(path).map(drop)));
    let invalid_files = settings
        .chain(configurations)
        .filter(|is_valid| !is_valid)
        .count();
    match invalid_files {
        0 => Ok(()),
        invalid_files => Err(Error::Refused(
            "check",
            format!("{invalid_files} files have problems"),
        )),
    }
}

/// Prints the result of one file and returns whether the file is valid.
fn report(path: &str, result: Result<()>) -> bool {
    match &result {
        Ok(()) => println!("{path}: no problems"),
        Err(error) => println!("{path}: {error}"),
    }
    result.is_ok()
}
