//! `jackdawchute try`: runs the example input through a small embedded cell.

mod cell;
mod input;
mod run;

use getopts::{Matches, Options};

use crate::{logging, Command, Error, Result};

/// The `try` command.
pub(crate) const COMMAND: Command = Command {
    brief: "Runs a small cell in this process, sends it the example input of both users and \
            prints each outcome.\n\nUsage: jackdawchute try [--verbose]",
    options: add_options,
    action: start,
};

fn add_options(options: &mut Options) {
    options.optflag("v", "verbose", "log what the instances do");
}

fn start(matches: &Matches) -> Result<()> {
    let verbose = matches.opt_present("verbose");
    logging::start(if verbose {
        jackdawchute_settings::LogLevel::Info
    } else {
        jackdawchute_settings::LogLevel::Error
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Process("start runtime", cause))?;
    runtime.block_on(run::run())
}
