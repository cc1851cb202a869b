//! Whether a version is in force at every instance.

use std::collections::BTreeMap;

use jackdawchute_types::{ConfigurationVersion, IncarnationId};
use serde::{Deserialize, Serialize};

/// What is asked for, and what the instances reported.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The version that should be in force.
    pub version: ConfigurationVersion,
    /// What each unfenced incarnation last reported; 0 for nothing yet.
    pub reported: &'a BTreeMap<IncarnationId, ConfigurationVersion>,
}

/// An incarnation that does not apply the version yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// The incarnation.
    pub incarnation: IncarnationId,
    /// The version that it reported; 0 for none.
    pub version: ConfigurationVersion,
}

/// Where the version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// Every unfenced incarnation applies it or a higher one.
    InForce,
    /// These do not yet.
    Lagging {
        /// In the order of their ids.
        incarnations: Vec<Lagging>,
    },
}

/// Tells whether every unfenced incarnation applies the version or a higher one.
///
/// ```
/// use std::collections::BTreeMap;
///
/// use jackdawchute_configuration::wait::{in_force, Options, Outcome};
///
/// let reported = BTreeMap::from([("entry-1".into(), 3), ("entry-2".into(), 4)]);
/// assert_eq!(in_force(Options { version: 3, reported: &reported }), Outcome::InForce);
/// assert_ne!(in_force(Options { version: 4, reported: &reported }), Outcome::InForce);
/// ```
pub fn in_force(options: Options<'_>) -> Outcome {
    let incarnations: Vec<Lagging> = options
        .reported
        .iter()
        .filter(|(_, version)| **version < options.version)
        .map(|(incarnation, version)| Lagging {
            incarnation: incarnation.clone(),
            version: *version,
        })
        .collect();
    if incarnations.is_empty() && !options.reported.is_empty() {
        return Outcome::InForce;
    }
    Outcome::Lagging { incarnations }
}
