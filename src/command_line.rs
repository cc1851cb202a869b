//! Subcommands, parsed with `getopts`.

use getopts::{Matches, Options};

use crate::{Error, Result};

/// A subcommand with its help, options and action.
pub(crate) struct Command {
    /// The description and usage lines that begin the help.
    pub(crate) brief: &'static str,
    /// Adds the options of the command.
    pub(crate) options: fn(&mut Options),
    /// Runs the command with its parsed options.
    pub(crate) action: fn(&Matches) -> Result<()>,
}

impl Command {
    /// Parses `arguments` and runs the command, or prints its help.
    ///
    /// # Errors
    /// The action failed or the arguments were not understood; a usage error ends with the help.
    pub(crate) fn run(&self, arguments: &[String]) -> Result<()> {
        let mut options = Options::new();
        (self.options)(&mut options);
        options.optflag("h", "help", "print this help");
        let usage = || options.usage(self.brief);
        let matches = options
            .parse(arguments)
            .map_err(|error| Error::Usage(format!("{error}\n\n{}", usage())))?;
        if matches.opt_present("help") {
            print!("{}", usage());
            return Ok(());
        }
        match (self.action)(&matches) {
            Err(Error::Usage(problem)) => Err(Error::Usage(format!("{problem}\n\n{}", usage()))),
            outcome => outcome,
        }
    }
}

/// Returns the value of a required option.
pub(crate) fn required(matches: &Matches, name: &str) -> Result<String> {
    matches
        .opt_str(name)
        .ok_or_else(|| Error::Usage(format!("option `--{name}` is missing")))
}
