//! `jackdawchute config apply`: makes a file the accepted configuration.

use getopts::{Matches, Options};
use jackdawchute_entry::ApplyRequest;
use rand::Rng;
use smol_str::{format_smolstr, SmolStr};

use super::{file, read_file};
use crate::{
    command_line::required, operators_api, operators_api::OperatorsApi, runtime::block_on, Command,
    Result,
};

/// The `config apply` command.
pub(super) const COMMAND: Command = Command {
    brief: "Makes FILE the accepted configuration, unless another was accepted since the version \
            that FILE names.\n\n\
            Usage: jackdawchute config apply [--address IP:PORT] --author NAME --reason TEXT FILE",
    options: add_options,
    action: apply,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optopt("u", "author", "who changes it", "NAME");
    options.optopt("r", "reason", "why", "TEXT");
    let help = "the id of an earlier attempt, to find out what became of it";
    options.optopt("w", "write-id", help, "ID");
}

fn apply(matches: &Matches) -> Result<()> {
    let api = OperatorsApi::from_matches(matches)?;
    let author = SmolStr::new(required(matches, "author")?);
    let write_id = matches.opt_str("write-id").map(SmolStr::from);
    let request = ApplyRequest {
        candidate: read_file(file(&matches.free)?)?,
        reason: required(matches, "reason")?,
        write_id: write_id.unwrap_or_else(|| new_write_id(&author)),
        author,
    };
    let accepted = block_on(api.apply(&request))?;
    println!("version {} accepted", accepted.version);
    Ok(())
}

/// Returns a unique id for a change, which begins with its author.
fn new_write_id(author: &str) -> SmolStr {
    format_smolstr!("{author}-{:016x}", rand::rng().random::<u64>())
}
