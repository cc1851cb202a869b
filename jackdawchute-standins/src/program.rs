//! What the stand-in programs share: options, the line that names their addresses, and their end.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr};

use getopts::{Matches, Options};
use serde::Serialize;
use tokio::signal::unix::{signal, SignalKind};

use crate::{Error, Result};

/// An option that takes a value.
#[derive(Clone, Copy, Debug)]
pub struct ProgramOption {
    /// The long name.
    pub name: &'static str,
    /// What it does.
    pub help: &'static str,
    /// Its value if it is not given; required without one.
    pub default: Option<&'static str>,
}

/// The options of a program as they were given.
#[derive(Debug)]
pub struct ProgramOptions {
    matches: Matches,
    options: &'static [ProgramOption],
}

impl ProgramOptions {
    /// Reads the command line; `None` after printing the help.
    ///
    /// # Errors
    /// An option is unknown or missing.
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

    /// Every value of an option.
    pub fn all(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// The value of an option, or its default.
    ///
    /// # Errors
    /// It is required and missing, or not of its type.
    pub fn get<T: FromStr>(&self, name: &str) -> Result<T> {
        let option = self.options.iter().find(|option| option.name == name);
        let default = option.and_then(|option| option.default);
        let text = self
            .matches
            .opt_str(name)
            .or(default.map(str::to_owned))
            .ok_or_else(|| invalid(name, "is required"))?;
        text.parse()
            .map_err(|_| invalid(name, "has a value that cannot be read"))
    }
}

fn invalid(name: &str, problem: &str) -> Error {
    Error::Invalid("read command line", format!("--{name}"), problem.into())
}

/// The line that names a program's addresses.
#[derive(Debug, Serialize)]
struct Announcement<'a> {
    event: &'static str,
    #[serde(flatten)]
    addresses: &'a BTreeMap<&'a str, SocketAddr>,
}

/// Prints the addresses of a program as one line of JSON on the standard output.
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

/// Waits until the program is told to end.
///
/// # Errors
/// The signal handlers could not be installed.
pub async fn wait_for_end() -> Result<()> {
    let failed = |cause| Error::Io("install signal handler", "process".into(), cause);
    let mut terminated = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupted = signal(SignalKind::interrupt()).map_err(failed)?;
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    Ok(())
}
