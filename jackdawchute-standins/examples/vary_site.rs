//! Varies numbers of a site file of the bench and prints the result.
//!
//! Run with `cargo run -p jackdawchute-standins --example vary_site -- SITE [--seed N] KEY=VALUE...`.
//! Each number of a `KEY` in a `jobs` table becomes VALUE; with a seed other than 0 it is multiplied
//! by a factor from 0.8 to 1.2. The copy has to lie in a folder with the files that the site names.

use rand::{rngs::StdRng, Rng, SeedableRng};

/// What begins the table of a class's jobs.
const JOBS_TABLE: &str = "jobs = {";
/// The factors with which values are multiplied.
const FACTORS: std::ops::RangeInclusive<f64> = 0.8..=1.2;

fn main() {
    match run(std::env::args().skip(1).collect()) {
        Ok(site) => print!("{site}"),
        Err(error) => {
            eprintln!("vary_site: {error}");
            std::process::exit(2);
        }
    }
}

fn run(arguments: Vec<String>) -> Result<String, String> {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "varies each value", "N");
    let matches = options
        .parse(arguments)
        .map_err(|error| error.to_string())?;
    let seed: u64 = matches
        .opt_get_default("seed", 0)
        .map_err(|error| format!("--seed: {error}"))?;
    let Some((path, changes)) = matches.free.split_first() else {
        return Err("SITE is missing".into());
    };
    let mut site = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    let mut random = StdRng::seed_from_u64(seed);
    for change in changes {
        let (key, value) = change
            .split_once('=')
            .ok_or_else(|| format!("{change}: not of the form KEY=VALUE"))?;
        let value: f64 = value
            .parse()
            .map_err(|error| format!("{change}: {error}"))?;
        let draw = || {
            if seed == 0 {
                value
            } else {
                value * random.random_range(FACTORS)
            }
        };
        site = with_value(&site, key, draw).ok_or_else(|| format!("{key}: in no jobs table"))?;
    }
    Ok(site)
}

/// Returns the site with another number for a key in each jobs table; `None` if none has it.
fn with_value(site: &str, key: &str, mut draw: impl FnMut() -> f64) -> Option<String> {
    let pattern = format!(" {key} = ");
    let mut changed = false;
    let lines: Vec<String> = site
        .lines()
        .map(|line| {
            let at = line.find(JOBS_TABLE);
            let at = at.and_then(|table| Some(table + line[table..].find(&pattern)?));
            let Some(at) = at else {
                return line.to_owned();
            };
            changed = true;
            let (before, rest) = line.split_at(at + pattern.len());
            let is_number = |it: char| it.is_ascii_digit() || it == '.' || it == '-';
            let rest = rest.trim_start_matches(is_number);
            format!("{before}{:.3}{rest}", draw())
        })
        .collect();
    changed.then(|| lines.join("\n") + "\n")
}
