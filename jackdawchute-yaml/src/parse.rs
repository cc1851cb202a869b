//! Reads a document and goes on after a refused field.

use serde::de::DeserializeOwned;
use serde_yaml_ng::{Error, Value};

use crate::{blank::without_field_at, Problem};

/// The longest document in bytes.
pub const TEXT_BYTES_MAX: usize = 1024 * 1024;
/// The most problems that one document reports.
const PROBLEMS_MAX: usize = 50;
/// The most bytes that are read for one document, all readings together.
const READ_BYTES_MAX: usize = 2 * TEXT_BYTES_MAX;
/// The deepest nesting of brackets; the YAML library's time grows with its square.
const BRACKETS_DEPTH_MAX: usize = 32;

/// Reads `text`, with all the problems of its fields.
///
/// A refused field is left out and the rest read again, so fields should have defaults and
/// required ones be checked afterwards. The value is absent if the rest cannot be read either.
///
/// ```
/// #[derive(serde::Deserialize)]
/// #[serde(default, deny_unknown_fields)]
/// #[derive(Default)]
/// struct Size { width: u32, height: u32 }
///
/// let (size, problems) = jackdawchute_yaml::parse::<Size>("width: wide\nheight: 3\ndepth: 4\n");
/// assert_eq!(size.map(|size| size.height), Some(3));
/// assert_eq!(problems.len(), 2);
/// assert_eq!(problems[0].line, Some(1));
/// ```
pub fn parse<T: DeserializeOwned>(text: &str) -> (Option<T>, Vec<Problem>) {
    if let Err(problem) = check_cost(text) {
        return (None, vec![problem]);
    }
    // The untyped reading finds what a map type would pass over, such as a key given twice.
    if let Err(error) = serde_yaml_ng::from_str::<Value>(text) {
        return (None, vec![describe(&error)]);
    }
    parse_without_refused_fields(text.to_owned())
}

/// Reads `text` as it is, up to its first problem.
///
/// ```
/// let sum: Result<u32, _> = jackdawchute_yaml::parse_first("[1, 2]");
/// assert_eq!(sum.unwrap_err().line, Some(1));
/// ```
///
/// # Errors
/// The first problem, also if the text is too costly to read.
pub fn parse_first<T: DeserializeOwned>(text: &str) -> Result<T, Problem> {
    check_cost(text)?;
    serde_yaml_ng::from_str(text).map_err(|error| describe(&error))
}

/// Refuses what the YAML library takes long to read.
fn check_cost(text: &str) -> Result<(), Problem> {
    if text.len() > TEXT_BYTES_MAX {
        let problem = format!("is longer than {TEXT_BYTES_MAX} bytes");
        return Err(Problem::new("", problem));
    }
    if brackets_depth(text) > BRACKETS_DEPTH_MAX {
        let problem = format!("has more than {BRACKETS_DEPTH_MAX} brackets open at a time");
        return Err(Problem::new("", problem));
    }
    Ok(())
}

fn parse_without_refused_fields<T: DeserializeOwned>(
    mut text: String,
) -> (Option<T>, Vec<Problem>) {
    let mut problems = Vec::new();
    let readings_max = READ_BYTES_MAX / text.len().max(1);
    loop {
        let error = match serde_yaml_ng::from_str::<T>(&text) {
            Ok(value) => return (Some(value), problems),
            Err(error) => error,
        };
        let line = error.location().map(|location| location.line());
        if problems.is_empty() || serde_yaml_ng::from_str::<Value>(&text).is_ok() {
            problems.push(describe(&error));
        }
        let rest = line.and_then(|line| without_field_at(&text, line));
        match rest {
            Some(rest) if problems.len() < PROBLEMS_MAX.min(readings_max) => text = rest,
            _ => return (None, problems),
        }
    }
}

/// Counts brackets in quoted text and comments too, so it may say more than there are.
fn brackets_depth(text: &str) -> usize {
    let mut depth: usize = 0;
    let mut deepest = 0;
    for character in text.chars() {
        match character {
            '[' | '{' => depth += 1,
            ']' | '}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

/// The library writes `PATH: CAUSE at line L column C`.
fn describe(error: &Error) -> Problem {
    let mut message = error.to_string();
    if let Some(location) = error.location() {
        let place = format!(" at line {} column {}", location.line(), location.column());
        message = message.replacen(&place, "", 1);
    }
    let (field, problem) = match message.split_once(": ") {
        Some((path, cause)) if is_path(path) => (path.to_owned(), cause.to_owned()),
        _ => (String::new(), message),
    };
    Problem {
        line: error.location().map(|location| location.line()),
        field,
        problem,
    }
}

fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || "_-.[]".contains(character))
}
