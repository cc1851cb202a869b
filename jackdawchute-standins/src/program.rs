//! Command line, address line and shutdown, shared by the stand-in programs.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use getopts::{Matches, Options};
use serde::Serialize;
use tokio::signal::unix::{signal, SignalKind};

use crate::{Error, Result};

/// A command-line option that takes a value.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOption {
    /// The long name, without dashes.
    pub name: &'static str,
    /// The text for `--help`.
    pub help: &'static str,
    /// The value if the option is not given; `None` makes the option required.
    pub default: Option<&'static str>,
}

/// The parsed command line of a program.
#[derive(Debug)]
pub struct ProgramOptions {
    matches: Matches,
    options: &'static [ProgramOption],
}

impl ProgramOptions {
    /// Parses the command line; returns `None` after printing the help.
    ///
    /// # Errors
    /// An option is unknown or lacks its value.
    pub fn parse(options: &'static [ProgramOption]) -> Result<Option<Self>> {
        let mut parser = Options::new();
        parser.optflag("h", "help", "print this help");
        for option in options {
            parser.optmulti("", option.name, option.help, "VALUE");
        }
        let mut arguments = std::env::args();
        let program = arguments.next().unwrap_or_default();
        let matches = parser.parse(arguments).map_err(|cause| {
            Error::Invalid("read command line", program.clone(), cause.to_string())
        })?;
        if matches.opt_present("help") {
            print!("{}", parser.usage(&format!("Usage: {program} [options]")));
            return Ok(None);
        }
        Ok(Some(Self { matches, options }))
    }

    /// Returns every value of a repeatable option, in the order given.
    pub fn all(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// Returns the parsed value of an option, or of its default.
    ///
    /// # Errors
    /// The option is required and missing, or its value cannot be parsed as a `T`.
    pub fn get<T: FromStr>(&self, name: &str) -> Result<T> {
        let option = self.options.iter().find(|option| option.name == name);
        let default = option.and_then(|option| option.default);
        let text = self
            .matches
            .opt_str(name)
            .or(default.map(str::to_owned))
            .ok_or_else(|| invalid(name, "is required"))?;
        text.parse()
            .map_err(|_| invalid(name, "has a value that cannot be parsed"))
    }
}

fn invalid(name: &str, problem: &str) -> Error {
    Error::Invalid("read command line", format!("--{name}"), problem.into())
}

/// The JSON line with a program's addresses, for the process that started it.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    event: &'static str,
    #[serde(flatten)]
    addresses: &'a BTreeMap<&'a str, SocketAddr>,
}

/// Prints the addresses of a program, by name, as one line of JSON on standard output.
pub fn announce(addresses: &[(&str, SocketAddr)]) {
    let announcement = Announcement {
        event: "listening",
        addresses: &addresses.iter().copied().collect(),
    };
    println!(
        "{}",
        serde_json::to_string(&announcement).unwrap_or_default()
    );
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// The signal handlers could not be installed.
pub async fn wait_for_end_signal() -> Result<()> {
    let install_failed = |cause| Error::Io("install signal handler", "process".into(), cause);
    let mut terminated = signal(SignalKind::terminate()).map_err(install_failed)?;
    let mut interrupted = signal(SignalKind::interrupt()).map_err(install_failed)?;
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    Ok(())
}
