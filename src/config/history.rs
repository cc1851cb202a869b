//! `jackdawchute config history`: lists the newest versions.

use std::time::{SystemTime, UNIX_EPOCH};

use getopts::{Matches, Options};
use jackdawchute_configuration::history::Entry;

use super::number;
use crate::{
    operators_api, operators_api::OperatorsApi, runtime::block_on, text_table::TextTable, Command,
    Result,
};

/// The default number of listed entries; the help text of `--count` repeats it.
const DEFAULT_ENTRIES: u64 = 20;

/// The `config history` command.
pub(super) const COMMAND: Command = Command {
    brief: "Lists the newest versions: who changed the configuration, when and why.\n\n\
            Usage: jackdawchute config history [--address IP:PORT] [--count N] [--json]",
    options: add_options,
    action: history,
};

fn add_options(options: &mut Options) {
    operators_api::add_options(options);
    options.optopt("c", "count", "the most versions (20)", "N");
    options.optflag("j", "json", "for programs");
}

fn history(matches: &Matches) -> Result<()> {
    let api = OperatorsApi::from_matches(matches)?;
    let count = matches.opt_str("count");
    let count = count.map(|text| number("--count", &text)).transpose()?;
    let outcome = block_on(api.history(count.unwrap_or(DEFAULT_ENTRIES)))?;
    if matches.opt_present("json") {
        let json = serde_json::to_string_pretty(&outcome).unwrap_or_default();
        println!("{json}");
        return Ok(());
    }
    let mut table = TextTable::new(["VERSION", "SECONDS AGO", "AUTHOR", "WRITE ID", "REASON"]);
    for entry in &outcome.entries {
        table.add(row(entry));
    }
    print!("{table}");
    Ok(())
}

/// Returns the table row of an entry; its age is `unknown` if it has no time.
fn row(entry: &Entry) -> [String; 5] {
    let age = SystemTime::now().duration_since(entry.written);
    let age = age.unwrap_or_default().as_secs();
    let ago = if entry.written == UNIX_EPOCH {
        "unknown".to_owned()
    } else {
        age.to_string()
    };
    [
        entry.version.to_string(),
        ago,
        entry.author.to_string(),
        entry.write_id.to_string(),
        entry.reason.clone(),
    ]
}
