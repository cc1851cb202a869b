//! Compares two versions of the configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Configuration, Error, Result};

/// The fields that describe the version itself; they are no part of its content.
const METADATA_FIELDS: [&str; 4] = ["version", "author", "reason", "written_unix_ms"];

/// The two versions to compare.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The version to compare with.
    pub old: &'a Configuration,
    /// The version whose changes from `old` are listed.
    pub new: &'a Configuration,
}

/// A field whose values differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The path of the field, such as `classes.counter.priority`.
    pub field: String,
    /// The field's value in the old version, as JSON; `None` if that version has no such field.
    pub old: Option<String>,
    /// The field's value in the new version, as JSON; `None` if that version has no such field.
    pub new: Option<String>,
}

/// The result of [`diff`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The fields that differ, in the order of their paths.
    pub changes: Vec<Change>,
}

/// Compares two versions field by field, except their numbers, authors, reasons and times.
///
/// ```
/// use jackdawchute_configuration::{diff::{diff, Options}, Configuration};
///
/// let old = Configuration::embedded()?;
/// let mut new = old.clone();
/// new.defaults.retry_budget_percent = 5;
/// let outcome = diff(Options { old: &old, new: &new })?;
/// assert_eq!(outcome.changes[0].field, "defaults.retry_budget_percent");
/// # Ok::<(), jackdawchute_configuration::Error>(())
/// ```
///
/// # Errors
/// [`Error::Row`] if a version cannot be serialized as JSON.
pub fn diff(options: Options<'_>) -> Result<Outcome> {
    let old = content_fields(options.old)?;
    let new = content_fields(options.new)?;
    let mut paths: Vec<&String> = old.keys().chain(new.keys()).collect();
    paths.sort();
    paths.dedup();
    let changes = paths
        .into_iter()
        .filter(|path| old.get(*path) != new.get(*path))
        .map(|path| Change {
            field: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        });
    Ok(Outcome {
        changes: changes.collect(),
    })
}

/// Returns the fields of the content, as JSON by path.
fn content_fields(configuration: &Configuration) -> Result<BTreeMap<String, String>> {
    let value = serde_json::to_value(configuration)
        .map_err(|error| Error::Row("compare versions", "json".into(), error.to_string()))?;
    let mut fields = BTreeMap::new();
    collect("", &value, &mut fields);
    fields.retain(|path, _| !METADATA_FIELDS.contains(&path.as_str()));
    Ok(fields)
}

/// Adds the leaves below `value` to `fields`; an array without objects is one leaf.
fn collect(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(entries) if !entries.is_empty() => {
            for (key, entry) in entries {
                let dot = if path.is_empty() { "" } else { "." };
                collect(&format!("{path}{dot}{key}"), entry, fields);
            }
        }
        Value::Array(entries) if entries.iter().any(Value::is_object) => {
            for (index, entry) in entries.iter().enumerate() {
                collect(&format!("{path}[{index}]"), entry, fields);
            }
        }
        leaf => {
            fields.insert(path.to_owned(), leaf.to_string());
        }
    }
}
