//! Determines whether every instance uses a version.

use std::collections::BTreeMap;

use jackdawchute_types::{ConfigurationVersion, IncarnationId};
use serde::{Deserialize, Serialize};

/// The expected version, and the versions that the instances reported.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The version that every instance should use, or a higher one.
    pub version: ConfigurationVersion,
    /// The version that each unfenced incarnation last reported; 0 for none yet.
    pub reported: &'a BTreeMap<IncarnationId, ConfigurationVersion>,
}

/// An incarnation that uses a lower version than the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lagging {
    /// The id of the incarnation.
    pub incarnation: IncarnationId,
    /// The version that the incarnation last reported; 0 for none yet.
    pub version: ConfigurationVersion,
}

/// The result of [`in_force`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum Outcome {
    /// Every unfenced incarnation uses the expected version or a higher one.
    InForce,
    /// Some unfenced incarnations use a lower version, or none is known.
    Lagging {
        /// The incarnations with a lower version, in the order of their ids.
        incarnations: Vec<Lagging>,
    },
}

/// Returns whether every unfenced incarnation uses the expected version or a higher one, and which
/// ones do not.
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
