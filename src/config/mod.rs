//! `jackdawchute config`: shows and changes the fleet's configuration.

mod apply;
mod check;
mod diff;
mod history;
mod show;
mod wait;

use jackdawchute_configuration::Configuration;

use crate::{Error, Result};

const USAGE: &str = "\
Looks at the fleet's configuration and changes it.

Usage: jackdawchute config COMMAND [OPTIONS]

Commands:
  show     print a version as YAML
  check    check a file without applying it
  diff     compare a file or a version with another version
  apply    make a file the accepted version
  history  list who changed it, when and why
  wait     wait until a version is in force everywhere

`jackdawchute config COMMAND --help` tells more.
";

/// Runs the subcommand that is the first argument.
pub(crate) fn run(arguments: &[String]) -> Result<()> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(Error::Usage(USAGE.to_owned()));
    };
    match name.as_str() {
        "show" => show::COMMAND.run(rest),
        "check" => check::COMMAND.run(rest),
        "diff" => diff::COMMAND.run(rest),
        "apply" => apply::COMMAND.run(rest),
        "history" => history::COMMAND.run(rest),
        "wait" => wait::COMMAND.run(rest),
        "--help" | "-h" | "help" => {
            print!("{USAGE}");
            Ok(())
        }
        _ => Err(Error::Usage(format!("unknown command `{name}`\n\n{USAGE}"))),
    }
}

/// Reads and checks a configuration file.
pub(crate) fn read_file(path: &str) -> Result<Configuration> {
    let text =
        std::fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    Ok(Configuration::parse(&text)?)
}

/// Returns the only positional argument, the FILE.
fn file(free: &[String]) -> Result<&str> {
    match free {
        [path] => Ok(path),
        _ => Err(Error::Usage("one FILE is needed".to_owned())),
    }
}

/// Parses a whole number; `name` is the option or argument that an error mentions.
fn number(name: &str, text: &str) -> Result<u64> {
    let number = text.parse();
    number.map_err(|_| Error::Usage(format!("{name} `{text}` is no whole number")))
}
