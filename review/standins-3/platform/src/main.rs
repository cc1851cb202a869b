//! Plays the platform, its minions and its clients for the cases of the third review.
//!
//! `review-platform-3 CASE RECORD`: exits with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod minion;
mod record;
mod store;

use std::{fs, process, thread, time::Duration};

/// The longest time that a case may take.
const CASE_MAX: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: review-platform-3 CASE RECORD");
        process::exit(2);
    };
    if let Err(cause) = record::begin(path) {
        eprintln!("{path}: {cause}");
        process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    note!("case {case}, trouble {trouble}");
    let folder = cell::folder();
    if let Err(cause) = fs::create_dir_all(&folder) {
        cell::unable(&cause.to_string());
    }
    std::panic::set_hook(Box::new(|panic| cell::unable(&panic.to_string())));
    thread::spawn(|| {
        thread::sleep(CASE_MAX);
        cell::unable("it takes too long");
    });
    let broken = cases::run(case, trouble, &folder);
    cell::end_all();
    let _ = fs::remove_dir_all(&folder);
    match &broken {
        Some(what) => note!("rule broken: {what}"),
        None => note!("the rule held"),
    }
    println!("{}", broken.as_deref().unwrap_or("the rule held"));
    process::exit(i32::from(broken.is_some()));
}
