//! The values in force: defaults, changed by the exceptions that apply.

use std::{collections::BTreeSet, time::Duration};

use jackdawchute_admission::Limits;
use jackdawchute_types::{ClassId, FailureDomainId, ServiceId};

use crate::{Class, Configuration, Override, Route, Target};

/// What holds for the requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceConfiguration {
    /// The most bytes of a request's body.
    pub body_bytes: u64,
    /// The longest deadline that a caller may ask for.
    pub deadline_max: Duration,
    /// The largest answer that is kept, in bytes.
    pub answer_bytes_max: u64,
}

/// What holds for the workers of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerConfiguration {
    /// The lease under which a worker runs a task.
    pub task_lease: Duration,
    /// The most workers in quarantine, in per cent of a group.
    pub quarantine_share_percent: u32,
    /// Whether they get no new work.
    pub leaving: bool,
}

impl Configuration {
    /// The route for `path` at `host`: the most precise one that matches.
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
            .max_by_key(|route| route.precision())
    }

    /// What a class gets, or `None` if there is no such class.
    pub fn class(&self, class: &ClassId) -> Option<Class> {
        let mut resolved = self.classes.get(class)?.clone();
        for set in self.overrides(&Target::Class(class.clone())) {
            replace(&mut resolved.priority, set.priority);
            replace(&mut resolved.queue_max, set.queue_max);
            replace(&mut resolved.floor_percent, set.floor_percent);
            replace(&mut resolved.deadline, set.deadline);
        }
        Some(resolved)
    }

    /// The retries of a class in per cent of its requests.
    pub fn retry_budget_percent(&self, class: &ClassId) -> u32 {
        let mut budget = self.defaults.retry_budget_percent;
        for set in self.overrides(&Target::Class(class.clone())) {
            replace(&mut budget, set.retry_budget_percent);
        }
        budget
    }

    /// The bounds of all classes and teams, as admission takes them.
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

    /// What holds for the requests of a service.
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
        for set in self.overrides(&Target::Service(service.clone())) {
            replace(&mut resolved.body_bytes, set.body_bytes);
            replace(&mut resolved.deadline_max, set.deadline_max);
        }
        resolved
    }

    /// What holds for the workers of a failure domain.
    pub fn worker_configuration(&self, failure_domain: &FailureDomainId) -> WorkerConfiguration {
        let mut resolved = WorkerConfiguration {
            task_lease: self.defaults.task_lease,
            quarantine_share_percent: self.defaults.quarantine_share_percent,
            leaving: false,
        };
        for set in self.overrides(&Target::FailureDomain(failure_domain.clone())) {
            replace(&mut resolved.leaving, set.leaving);
        }
        resolved
    }

    /// The failure domains whose workers and minions get no new work.
    pub fn leaving_domains(&self) -> BTreeSet<FailureDomainId> {
        let domains = self
            .exceptions
            .iter()
            .filter_map(|it| it.failure_domain.clone());
        domains
            .filter(|domain| self.worker_configuration(domain).leaving)
            .collect()
    }

    /// The deadline of a request on `route` that asked for `asked`.
    pub fn deadline(&self, route: &Route, asked: Option<Duration>) -> Duration {
        let class = self.class(&route.class).unwrap_or_default();
        let unasked = route.deadline.unwrap_or(class.deadline);
        let most = self.service_configuration(&route.service).deadline_max;
        asked.unwrap_or(unasked).min(most)
    }

    /// The most bytes of a request's body on `route`.
    pub fn body_bytes(&self, route: &Route) -> u64 {
        let most = self.service_configuration(&route.service).body_bytes;
        route.body_bytes.unwrap_or(most)
    }

    fn overrides<'a>(&'a self, target: &'a Target) -> impl Iterator<Item = &'a Override> {
        self.exceptions
            .iter()
            .filter(move |exception| exception.target().as_ref() == Some(target))
            .map(|exception| &exception.set)
    }
}

fn replace<T>(value: &mut T, other: Option<T>) {
    if let Some(other) = other {
        *value = other;
    }
}
