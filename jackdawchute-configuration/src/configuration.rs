//! The document that operators write: the configuration of the whole fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{SystemTime, UNIX_EPOCH},
};

use jackdawchute_types::{ClassId, ConfigurationVersion, ServiceId, TeamId};
use jackdawchute_yaml::Problems;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{unix_ms, Class, Defaults, Error, Exception, Result, Route};

/// The YAML of the configuration that `jackdawchute try` starts with.
const EMBEDDED: &str = include_str!("embedded.yaml");

/// One version of the fleet's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Configuration {
    /// The number of this version, 0 for none; in a candidate, the accepted version that it was
    /// made from.
    pub version: ConfigurationVersion,
    /// The operator who wrote this version.
    pub author: SmolStr,
    /// Why this version was written, in the author's words.
    pub reason: String,
    /// When this version was accepted, by the clock of the instance that accepted it.
    #[serde(with = "unix_ms", rename = "written_unix_ms")]
    pub written: SystemTime,
    /// The values that apply wherever no exception sets another one.
    pub defaults: Defaults,
    /// The services that routes and exceptions may name.
    pub services: BTreeSet<ServiceId>,
    /// The classes that routes, exceptions and jobs may name.
    pub classes: BTreeMap<ClassId, Class>,
    /// The most capacity units that each team may use at a time; a team not listed has no bound.
    pub quotas: BTreeMap<TeamId, u32>,
    /// The number of groups that jobs are spread over; it cannot change after the first version,
    /// because each job's group is derived from it.
    pub job_partitions: u32,
    /// The routes, which map requests to services, classes and teams.
    pub routes: Vec<Route>,
    /// Deviations from the defaults, each with a reason.
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
    /// Parses and checks a YAML document.
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
    /// [`Error::Refused`] with every problem of the document.
    pub fn parse(yaml: &str) -> Result<Self> {
        let (configuration, mut problems) = jackdawchute_yaml::parse::<Self>(yaml);
        if let Some(configuration) = &configuration {
            let found = configuration.check().into_iter();
            let unparsed: BTreeSet<String> = problems.iter().map(|it| it.field.clone()).collect();
            problems.extend(found.filter(|problem| !unparsed.contains(&problem.field)));
        }
        match configuration {
            Some(configuration) if problems.is_empty() => Ok(configuration),
            _ => Err(Error::Refused(Problems(problems))),
        }
    }

    /// Returns the configuration of the embedded platform, with services of both example users.
    ///
    /// ```
    /// let configuration = jackdawchute_configuration::Configuration::embedded()?;
    /// assert!(configuration.services.contains("repair-desk"));
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    ///
    /// # Errors
    /// The embedded document is invalid; a test checks that it is valid.
    pub fn embedded() -> Result<Self> {
        Self::parse(EMBEDDED)
    }

    /// Returns the configuration as YAML that [`Configuration::parse`] accepts.
    ///
    /// # Errors
    /// [`Error::Row`] if the YAML library cannot serialize it.
    pub fn to_yaml(&self) -> Result<String> {
        serde_yaml_ng::to_string(self)
            .map_err(|error| Error::Row("write configuration", "yaml".into(), error.to_string()))
    }
}
