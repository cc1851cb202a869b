//! Checks a configuration and reports all its problems at once.

use std::collections::BTreeSet;

use jackdawchute_yaml::Problem;

use crate::{
    bounds::{BoundedValue, TargetKind},
    Configuration, Defaults, Exception, Override, Route, Target,
};

/// The maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 100;
/// The maximum length of a reason, in bytes.
const REASON_BYTES_MAX: usize = 2_000;
/// The most groups that jobs are spread over.
const JOB_PARTITIONS_MAX: u32 = 256;
/// The most routes of a configuration, and likewise the most exceptions.
const ENTRIES_MAX: usize = 10_000;

impl Configuration {
    /// Returns every problem with the path of its field; none if the configuration is valid.
    ///
    /// ```
    /// use jackdawchute_configuration::{Configuration, Exception};
    ///
    /// let mut configuration = Configuration::embedded()?;
    /// configuration.exceptions.push(Exception::default());
    /// assert!(configuration.check().iter().any(|it| it.field == "exceptions[0].reason"));
    /// # Ok::<(), jackdawchute_configuration::Error>(())
    /// ```
    pub fn check(&self) -> Vec<Problem> {
        let mut checker = Checker::default();
        checker.check_names(self);
        checker.check_job_partitions(self.job_partitions);
        checker.check_bounds("defaults", self.defaults.bounded_values());
        for (id, class) in &self.classes {
            checker.check_override(&format!("classes.{id}"), &class.as_override());
        }
        checker.check_routes(self);
        checker.check_exceptions(self);
        checker.check_times(&self.defaults);
        checker.check_floors(self);
        checker.problems
    }

    /// Returns a problem for each field that differs from the accepted version `old` and must not
    /// change.
    pub(crate) fn check_change(&self, old: &Self) -> Vec<Problem> {
        if old.version == 0 || self.job_partitions == old.job_partitions {
            return Vec::new();
        }
        let rule = format!(
            "must stay {}: each job's group is derived from it",
            old.job_partitions
        );
        vec![Problem::new("job_partitions", rule)]
    }
}

/// Collects the problems of one configuration; a `path` leads to the entry that a check is for.
#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn add_problem(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.problems.push(Problem::new(field, problem));
    }

    fn check_names(&mut self, configuration: &Configuration) {
        for id in &configuration.services {
            self.check_name(&format!("services.{id}"), id);
        }
        for id in configuration.classes.keys() {
            self.check_name(&format!("classes.{id}"), id);
        }
        for id in configuration.quotas.keys() {
            self.check_name(&format!("quotas.{id}"), id);
        }
        if configuration.reason.len() > REASON_BYTES_MAX {
            self.add_problem(
                "reason",
                format!("must have at most {REASON_BYTES_MAX} bytes"),
            );
        }
        if configuration.author.len() > NAME_BYTES_MAX {
            self.add_problem(
                "author",
                format!("must have at most {NAME_BYTES_MAX} bytes"),
            );
        }
    }

    fn check_name(&mut self, field: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
            let rule = format!("must have 1 to {NAME_BYTES_MAX} letters, digits, `-`, `_` or `.`");
            self.add_problem(field, rule);
        }
    }

    fn check_job_partitions(&mut self, count: u32) {
        if count == 0 || count > JOB_PARTITIONS_MAX {
            self.add_problem(
                "job_partitions",
                format!("must be 1 to {JOB_PARTITIONS_MAX}"),
            );
        }
    }

    fn check_override(&mut self, path: &str, values: &Override) {
        self.check_bounds(
            path,
            values.bounded_values().into_iter().map(|(_, value)| value),
        );
    }

    fn check_bounds(&mut self, path: &str, values: impl IntoIterator<Item = BoundedValue>) {
        for value in values {
            if value.value < value.min || value.value > value.max {
                let rule = format!("must be {} to {}", value.min, value.max);
                self.add_problem(format!("{path}.{}", value.field), rule);
            }
        }
    }

    fn check_routes(&mut self, configuration: &Configuration) {
        if configuration.routes.len() > ENTRIES_MAX {
            self.add_problem("routes", format!("must have at most {ENTRIES_MAX} entries"));
        }
        let mut seen = BTreeSet::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_route(&path, route, configuration);
            let host = route.host.as_deref().map(str::to_ascii_lowercase);
            let prefix = route.path.as_deref().unwrap_or("/").trim_end_matches('/');
            if !seen.insert((host, prefix)) {
                self.add_problem(path, "has the host and path of an earlier route");
            }
        }
    }

    fn check_route(&mut self, path: &str, route: &Route, configuration: &Configuration) {
        if route.host.is_none() && route.path.is_none() {
            self.add_problem(path, "must have a host or a path");
        }
        if route.host.as_deref().is_some_and(str::is_empty) {
            self.add_problem(format!("{path}.host"), "must not be empty");
        }
        if route
            .path
            .as_deref()
            .is_some_and(|prefix| !prefix.starts_with('/'))
        {
            self.add_problem(format!("{path}.path"), "must begin with `/`");
        }
        if !configuration.services.contains(&route.service) {
            self.add_problem(
                format!("{path}.service"),
                format!("`{}` is no service", route.service),
            );
        }
        if !configuration.classes.contains_key(&route.class) {
            self.add_problem(
                format!("{path}.class"),
                format!("`{}` is no class", route.class),
            );
        }
        self.check_name(&format!("{path}.team"), &route.team);
        for (index, method) in route.non_idempotent_methods.iter().enumerate() {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                let field = format!("{path}.non_idempotent_methods[{index}]");
                self.add_problem(field, "must be a method in upper case");
            }
        }
        let bounded_fields = Override {
            deadline: route.deadline,
            body_bytes: route.body_bytes,
            ..Override::default()
        };
        self.check_override(path, &bounded_fields);
    }

    fn check_exceptions(&mut self, configuration: &Configuration) {
        if configuration.exceptions.len() > ENTRIES_MAX {
            self.add_problem(
                "exceptions",
                format!("must have at most {ENTRIES_MAX} entries"),
            );
        }
        let mut seen = BTreeSet::new();
        for (index, exception) in configuration.exceptions.iter().enumerate() {
            let path = format!("exceptions[{index}]");
            self.check_reason_and_set(&path, exception);
            self.check_override(&format!("{path}.set"), &exception.set);
            let Some(target) = exception.target() else {
                let rule = "must name exactly one service, class, team or failure_domain";
                self.add_problem(path, rule);
                continue;
            };
            self.check_target(&path, &target, configuration);
            for (kind, value) in exception.set.bounded_values() {
                self.check_target_kind(&path, value.field, kind, &target);
                if !seen.insert((target.clone(), value.field)) {
                    let field = format!("{path}.set.{}", value.field);
                    self.add_problem(field, "is set by an earlier exception");
                }
            }
        }
    }

    fn check_reason_and_set(&mut self, path: &str, exception: &Exception) {
        let length = exception.reason.trim().len();
        if length == 0 || length > REASON_BYTES_MAX {
            let rule = format!("must be a written reason of 1 to {REASON_BYTES_MAX} bytes");
            self.add_problem(format!("{path}.reason"), rule);
        }
        if exception.set == Override::default() {
            self.add_problem(format!("{path}.set"), "must set a value");
        }
    }

    fn check_target(&mut self, path: &str, target: &Target, configuration: &Configuration) {
        match target {
            Target::Service(id) if !configuration.services.contains(id) => {
                self.add_problem(format!("{path}.service"), format!("`{id}` is no service"));
            }
            Target::Class(id) if !configuration.classes.contains_key(id) => {
                self.add_problem(format!("{path}.class"), format!("`{id}` is no class"));
            }
            Target::Team(id) => self.check_name(&format!("{path}.team"), id),
            Target::FailureDomain(id) => self.check_name(&format!("{path}.failure_domain"), id),
            Target::Service(_) | Target::Class(_) => {}
        }
    }

    fn check_target_kind(&mut self, path: &str, field: &str, allowed: TargetKind, target: &Target) {
        if allowed != TargetKind::of(target) {
            let rule = format!("may be set only for a {}", allowed.field_name());
            self.add_problem(format!("{path}.set.{field}"), rule);
        }
    }

    /// Checks the default times that limit each other.
    fn check_times(&mut self, defaults: &Defaults) {
        if defaults.grant_send_within >= defaults.grant_life {
            self.add_problem(
                "defaults.grant_send_within_ms",
                "must be below grant_life_ms",
            );
        }
        if defaults.answer_retention > defaults.key_retention {
            self.add_problem(
                "defaults.answer_retention_ms",
                "must be at most key_retention_ms",
            );
        }
    }

    /// Checks that the floors of all classes, with their exceptions, add up to 100 per cent at
    /// most.
    fn check_floors(&mut self, configuration: &Configuration) {
        let classes = configuration.classes.keys();
        let floors = classes.filter_map(|id| configuration.class(id));
        let sum: u64 = floors.map(|class| u64::from(class.floor_percent)).sum();
        if sum > 100 {
            let rule = format!("the floor_percent of all classes add up to {sum}, above 100");
            self.add_problem("classes", rule);
        }
    }
}
