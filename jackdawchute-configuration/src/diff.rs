//! What differs between two versions.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{Configuration, Error, Result};

/// The fields that each version has of its own.
const OWN_FIELDS: [&str; 4] = ["version", "author", "reason", "written_unix_ms"];

/// The two versions to compare.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The one before.
    pub old: &'a Configuration,
    /// The one after.
    pub new: &'a Configuration,
}

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The path of the field, such as `classes.counter.priority`.
    pub field: String,
    /// Its value before, as JSON, if it was there.
    pub old: Option<String>,
    /// Its value after, as JSON, if it is there.
    pub new: Option<String>,
}

/// All that differs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// The fields in the order of their paths.
    pub changes: Vec<Change>,
}

/// Compares two versions field by field, without their numbers, authors, reasons and times.
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
/// A version cannot be written as JSON.
pub fn diff(options: Options<'_>) -> Result<Outcome> {
    let old = fields(options.old)?;
    let new = fields(options.new)?;
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

fn fields(configuration: &Configuration) -> Result<BTreeMap<String, String>> {
    let value = serde_json::to_value(configuration)
        .map_err(|error| Error::Row("compare versions", "json".into(), error.to_string()))?;
    let mut fields = BTreeMap::new();
    collect("", &value, &mut fields);
    fields.retain(|path, _| !OWN_FIELDS.contains(&path.as_str()));
    Ok(fields)
}

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
