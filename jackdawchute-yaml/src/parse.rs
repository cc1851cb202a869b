//! Parses a document and continues after an invalid field.

use serde::de::DeserializeOwned;
use serde_yaml_ng::{Error, Value};

use crate::{blank::without_field_at, Problem};

/// The longest document in bytes.
pub const TEXT_BYTES_MAX: usize = 1024 * 1024;
/// The most problems that are reported for one document.
const PROBLEMS_MAX: usize = 50;
/// The most bytes that are parsed for one document, over all passes.
const PARSED_BYTES_MAX: usize = 2 * TEXT_BYTES_MAX;
/// The deepest nesting of brackets; the YAML library's time grows with the square of the depth.
const BRACKETS_DEPTH_MAX: usize = 32;

/// Parses `text` and returns its value with the problems of all its fields.
///
/// An invalid field is blanked and the rest parsed again, so fields should have defaults, and
/// required ones should be checked afterwards. The value is `None` if the rest cannot be parsed
/// either.
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
    // Untyped parsing finds errors that a map type would ignore, such as a duplicate key.
    if let Err(error) = serde_yaml_ng::from_str::<Value>(text) {
        return (None, vec![describe(&error)]);
    }
    parse_without_invalid_fields(text.to_owned())
}

/// Parses `text` in one pass, up to its first problem.
///
/// ```
/// let sum: Result<u32, _> = jackdawchute_yaml::parse_first("[1, 2]");
/// assert_eq!(sum.unwrap_err().line, Some(1));
/// ```
///
/// # Errors
/// Returns the first problem, also if the text is too costly to parse.
pub fn parse_first<T: DeserializeOwned>(text: &str) -> Result<T, Problem> {
    check_cost(text)?;
    serde_yaml_ng::from_str(text).map_err(|error| describe(&error))
}

/// Refuses text that the YAML library takes long to parse.
fn check_cost(text: &str) -> Result<(), Problem> {
    if text.len() > TEXT_BYTES_MAX {
        let problem = format!("is longer than {TEXT_BYTES_MAX} bytes");
        return Err(Problem::new("", problem));
    }
    if bracket_depth(text) > BRACKETS_DEPTH_MAX {
        let problem = format!("has more than {BRACKETS_DEPTH_MAX} brackets open at a time");
        return Err(Problem::new("", problem));
    }
    Ok(())
}

/// Parses `text` in passes, each without the field that the pass before reported.
fn parse_without_invalid_fields<T: DeserializeOwned>(
    mut text: String,
) -> (Option<T>, Vec<Problem>) {
    let mut problems = Vec::new();
    let passes_max = PARSED_BYTES_MAX / text.len().max(1);
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
            Some(rest) if problems.len() < PROBLEMS_MAX.min(passes_max) => text = rest,
            _ => return (None, problems),
        }
    }
}

/// Returns the deepest nesting of brackets, also counting those in quoted text and comments.
fn bracket_depth(text: &str) -> usize {
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

/// Converts an error of the YAML library, whose text is `PATH: CAUSE at line L column C`.
fn describe(error: &Error) -> Problem {
    let mut message = error.to_string();
    if let Some(location) = error.location() {
        let location_text = format!(" at line {} column {}", location.line(), location.column());
        message = message.replacen(&location_text, "", 1);
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

/// Returns whether the text consists of the characters of a field path.
fn is_path(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|character| character.is_ascii_alphanumeric() || "_-.[]".contains(character))
}
