//! The `jackdawchute` program: the command line of the scheduler's crates.
#![deny(missing_docs, unsafe_code, rust_2018_idioms)]

mod cell;
mod check;
mod command_line;
mod config;
mod error;
mod explain;
mod http_api;
mod log_output;
mod logging;
mod operators_api;
mod runtime;
mod serve;
mod status;
mod submit;
mod text_table;
mod trial;

use std::process::ExitCode;

use command_line::Command;
use error::{Error, Result};

/// A leader makes thousands of short-lived allocations a second, at which the C library is slow.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const USAGE: &str = "\
jackdawchute: a cluster scheduler for services, batch jobs and gangs

Usage: jackdawchute COMMAND [OPTIONS]

Commands:
  serve    run an entry instance
  cell     run an instance that schedules a cell on the users' platform
  try      run a small embedded cell and the example input through it
  submit   submit, watch or cancel a job
  config   look at the fleet's configuration and change it
  check    check settings and configuration files
  status   show what instances know and do
  explain  tell what happened to a job or a keyed request

`jackdawchute COMMAND --help` tells more. Exit codes: 0 success, 1 failure, 2 usage.
";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("jackdawchute: {error}");
            error.exit_code()
        }
    }
}

fn run(arguments: &[String]) -> Result<()> {
    let Some((name, rest)) = arguments.split_first() else {
        return Err(Error::Usage(USAGE.to_owned()));
    };
    match name.as_str() {
        "serve" => serve::COMMAND.run(rest),
        "cell" => cell::COMMAND.run(rest),
        "try" => trial::COMMAND.run(rest),
        "submit" => submit::COMMAND.run(rest),
        "config" => config::run(rest),
        "check" => check::COMMAND.run(rest),
        "status" => status::COMMAND.run(rest),
        "explain" => explain::COMMAND.run(rest),
        "--help" | "-h" | "help" => {
            print!("{USAGE}");
            Ok(())
        }
        "--version" | "-V" => {
            println!("jackdawchute {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        _ => Err(Error::Usage(format!("unknown command `{name}`\n\n{USAGE}"))),
    }
}
