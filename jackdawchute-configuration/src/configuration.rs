//! The configuration of the whole fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{SystemTime, UNIX_EPOCH},
};

use jackdawchute_types::{ClassId, ConfigurationVersion, ServiceId, TeamId};
use jackdawchute_yaml::Problems;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{unix_ms, Class, Defaults, Error, Exception, Result, Route};

/// The configuration that `jackdawchute try` starts with.
const EMBEDDED: &str = include_str!("embedded.yaml");

/// One version of the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The version; in a candidate, the accepted version that it was made from.
    pub version: ConfigurationVersion,
    /// Who wrote it.
    pub author: SmolStr,
    /// Why it was written.
    pub reason: String,
    /// When it was accepted.
    #[serde(with = "unix_ms", rename = "written_unix_ms")]
    pub written: SystemTime,
    /// What holds wherever no exception says otherwise.
    pub defaults: Defaults,
    /// The services that routes may name.
    pub services: BTreeSet<ServiceId>,
    /// The classes that routes and jobs may name.
    pub classes: BTreeMap<ClassId, Class>,
    /// The most capacity units of each team at a time; a team not named has no bound.
    pub quotas: BTreeMap<TeamId, u32>,
    /// The number of groups that jobs are spread over; it never changes.
    pub job_partitions: u32,
    /// Which requests are what.
    pub routes: Vec<Route>,
    /// Deviations from the defaults, each with its reason.
    pub exceptions: Vec<Exception>,
}

impl Default for Configuration {
    fn default() -> Self {
        Self {
            version: 0,
            author: SmolStr::default(),
            reason: String::new(),
            written: UNIX_EPOCH,
            defaults: Defaults::default(),
            services: BTreeSet::new(),
            classes: BTreeMap::new(),
            quotas: BTreeMap::new(),
            job_partitions: 8,
            routes: Vec::new(),
            exceptions: Vec::new(),
        }
    }
}

impl Configuration {
    /// Reads and checks YAML.
    ///
    /// ```
    /// use jackdawchute_configuration::Configuration;
    ///
    /// let configuration = Configuration::parse("classes: { counter: { priority: 0 } }\n")?;
    /// assert_eq!(configuration.classes["counter"].priority, 0);
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    ///
    /// # Errors
    /// The content is refused, with all the reasons.
    pub fn parse(yaml: &str) -> Result<Self> {
        let (configuration, mut problems) = jackdawchute_yaml::parse::<Self>(yaml);
        if let Some(configuration) = &configuration {
            let found = configuration.check().into_iter();
            let refused: BTreeSet<String> = problems.iter().map(|it| it.field.clone()).collect();
            problems.extend(found.filter(|problem| !refused.contains(&problem.field)));
        }
        match configuration {
            Some(configuration) if problems.is_empty() => Ok(configuration),
            _ => Err(Error::Refused(Problems(problems))),
        }
    }

    /// The configuration of the embedded platform, with services of both example users.
    ///
    /// ```
    /// let configuration = jackdawchute_configuration::Configuration::embedded()?;
    /// assert!(configuration.services.contains("repair-desk"));
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    ///
    /// # Errors
    /// Never for a released program; a test reads it.
    pub fn embedded() -> Result<Self> {
        Self::parse(EMBEDDED)
    }

    /// The configuration as YAML that [`Configuration::parse`] reads again.
    ///
    /// # Errors
    /// The YAML library refused to write it.
    pub fn to_yaml(&self) -> Result<String> {
        serde_yaml_ng::to_string(self)
            .map_err(|error| Error::Row("write configuration", "yaml".into(), error.to_string()))
    }
}
