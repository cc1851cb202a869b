//! Resolves the values that apply to a target: the defaults, changed by the target's exceptions.

use std::{collections::BTreeSet, time::Duration};

use jackdawchute_admission::Limits;
use jackdawchute_types::{ClassId, FailureDomainId, ServiceId};

use crate::{Class, Configuration, Override, Route, Target};

/// The values that apply to the requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfiguration {
    /// The maximum size of a request's body, in bytes.
    pub body_bytes: u64,
    /// The longest deadline that a caller may ask for.
    pub deadline_max: Duration,
    /// The maximum size of a retained answer, in bytes.
    pub answer_bytes_max: u64,
}

/// The values that apply to the workers of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfiguration {
    /// The length of a task lease: how long a worker may run a task without a renewal.
    pub task_lease: Duration,
    /// The most workers of a group that may be in quarantine, in per cent of its workers.
    pub quarantine_share_percent: u32,
    /// Whether the workers get no new work.
    pub leaving: bool,
}

impl Configuration {
    /// Returns the most specific route that matches `path` at `host`.
    ///
    /// ```
    /// let configuration = jackdawchute_configuration::Configuration::embedded()?;
    ///
    /// let route = configuration.route("127.0.0.1:8080", "/repair-desk/orders/7");
    /// assert_eq!(route.map(|route| route.service.as_str()), Some("repair-desk"));
    /// assert!(configuration.route("127.0.0.1:8080", "/repair-desk/ordersheet").is_none());
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.matches(host, path))
            .max_by_key(|route| route.specificity())
    }

    /// Returns the limits of a class, or `None` if there is no such class.
    pub fn class(&self, class: &ClassId) -> Option<Class> {
        let mut resolved = self.classes.get(class)?.clone();
        for values in self.overrides(&Target::Class(class.clone())) {
            replace_if_set(&mut resolved.priority, values.priority);
            replace_if_set(&mut resolved.queue_max, values.queue_max);
            replace_if_set(&mut resolved.floor_percent, values.floor_percent);
            replace_if_set(&mut resolved.deadline, values.deadline);
        }
        Some(resolved)
    }

    /// Returns the most retries of a class, in per cent of its requests.
    pub fn retry_budget_percent(&self, class: &ClassId) -> u32 {
        let mut percent = self.defaults.retry_budget_percent;
        for values in self.overrides(&Target::Class(class.clone())) {
            replace_if_set(&mut percent, values.retry_budget_percent);
        }
        percent
    }

    /// Returns the limits of all classes and teams in the form that admission uses.
    pub fn limits(&self) -> Limits {
        let classes = self.classes.keys();
        let mut limits = Limits {
            classes: classes
                .filter_map(|id| Some((id.clone(), self.class(id)?.limits())))
                .collect(),
            quotas: self.quotas.clone(),
        };
        for exception in &self.exceptions {
            if let (Some(Target::Team(team)), Some(quota)) =
                (exception.target(), exception.set.quota)
            {
                limits.quotas.insert(team, quota);
            }
        }
        limits
    }

    /// Returns the values that apply to the requests of a service.
    ///
    /// ```
    /// let configuration = jackdawchute_configuration::Configuration::embedded()?;
    ///
    /// let resolved = configuration.service_configuration(&"forecast".into());
    /// assert_eq!(resolved.body_bytes, configuration.defaults.body_bytes);
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    pub fn service_configuration(&self, service: &ServiceId) -> ServiceConfiguration {
        let defaults = &self.defaults;
        let mut resolved = ServiceConfiguration {
            body_bytes: defaults.body_bytes,
            deadline_max: defaults.deadline_max,
            answer_bytes_max: defaults.answer_bytes_max,
        };
        for values in self.overrides(&Target::Service(service.clone())) {
            replace_if_set(&mut resolved.body_bytes, values.body_bytes);
            replace_if_set(&mut resolved.deadline_max, values.deadline_max);
        }
        resolved
    }

    /// Returns the values that apply to the workers of a failure domain.
    pub fn worker_configuration(&self, failure_domain: &FailureDomainId) -> WorkerConfiguration {
        let mut resolved = WorkerConfiguration {
            task_lease: self.defaults.task_lease,
            quarantine_share_percent: self.defaults.quarantine_share_percent,
            leaving: false,
        };
        for values in self.overrides(&Target::FailureDomain(failure_domain.clone())) {
            replace_if_set(&mut resolved.leaving, values.leaving);
        }
        resolved
    }

    /// Returns the failure domains whose workers and minions get no new work.
    pub fn leaving_domains(&self) -> BTreeSet<FailureDomainId> {
        let domains = self
            .exceptions
            .iter()
            .filter_map(|exception| exception.failure_domain.clone());
        domains
            .filter(|domain| self.worker_configuration(domain).leaving)
            .collect()
    }

    /// Returns the deadline of a request on `route` whose caller asked for `requested`.
    ///
    /// If the caller asked for none, it is the deadline of the route or else of the class. A
    /// deadline above the maximum of the service is shortened to that.
    pub fn deadline(&self, route: &Route, requested: Option<Duration>) -> Duration {
        let class = self.class(&route.class).unwrap_or_default();
        let default_deadline = route.deadline.unwrap_or(class.deadline);
        let max = self.service_configuration(&route.service).deadline_max;
        requested.unwrap_or(default_deadline).min(max)
    }

    /// Returns the maximum size of a request's body on `route`, in bytes.
    pub fn body_bytes(&self, route: &Route) -> u64 {
        let service_max = self.service_configuration(&route.service).body_bytes;
        route.body_bytes.unwrap_or(service_max)
    }

    fn overrides<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Override> {
        self.exceptions
            .iter()
            .filter(move |exception| exception.target().as_ref() == Some(target))
            .map(|exception| &exception.set)
    }
}

fn replace_if_set<T>(value: &mut T, replacement: Option<T>) {
    if let Some(replacement) = replacement {
        *value = replacement;
    }
}
