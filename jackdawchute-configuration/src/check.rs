//! Everything that is wrong with a configuration, at once.

use std::collections::BTreeSet;

use jackdawchute_yaml::Problem;

use crate::{
    bounds::{TargetKind, Value},
    Configuration, Defaults, Exception, Override, Route, Target,
};

/// The longest name in bytes.
const NAME_BYTES_MAX: usize = 100;
/// The longest reason in bytes.
const REASON_BYTES_MAX: usize = 2_000;
/// The most groups that jobs are spread over.
const JOB_PARTITIONS_MAX: u32 = 256;
/// The most routes, and the most exceptions.
const ENTRIES_MAX: usize = 10_000;

impl Configuration {
    /// Finds all that is wrong, each with the path of its field; empty if it may be accepted.
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
        checker.names(self);
        checker.partitions(self.job_partitions);
        checker.bounds("defaults", self.defaults.values());
        for (id, class) in &self.classes {
            checker.values(&format!("classes.{id}"), &class.as_override());
        }
        checker.routes(self);
        checker.exceptions(self);
        checker.times(&self.defaults);
        checker.floors(self);
        checker.problems
    }

    /// Finds what may not change from the accepted version `old` to this one.
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

#[derive(Default)]
struct Checker {
    problems: Vec<Problem>,
}

impl Checker {
    fn refuse(&mut self, field: impl Into<String>, problem: impl Into<String>) {
        self.problems.push(Problem::new(field, problem));
    }

    fn names(&mut self, configuration: &Configuration) {
        for id in &configuration.services {
            self.name(&format!("services.{id}"), id);
        }
        for id in configuration.classes.keys() {
            self.name(&format!("classes.{id}"), id);
        }
        for id in configuration.quotas.keys() {
            self.name(&format!("quotas.{id}"), id);
        }
        if configuration.reason.len() > REASON_BYTES_MAX {
            self.refuse(
                "reason",
                format!("must have at most {REASON_BYTES_MAX} bytes"),
            );
        }
        if configuration.author.len() > NAME_BYTES_MAX {
            self.refuse(
                "author",
                format!("must have at most {NAME_BYTES_MAX} bytes"),
            );
        }
    }

    fn name(&mut self, field: &str, name: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || name.len() > NAME_BYTES_MAX || !name.chars().all(allowed) {
            let rule = format!("must have 1 to {NAME_BYTES_MAX} letters, digits, `-`, `_` or `.`");
            self.refuse(field, rule);
        }
    }

    fn partitions(&mut self, count: u32) {
        if count == 0 || count > JOB_PARTITIONS_MAX {
            self.refuse(
                "job_partitions",
                format!("must be 1 to {JOB_PARTITIONS_MAX}"),
            );
        }
    }

    fn values(&mut self, path: &str, set: &Override) {
        self.bounds(path, set.values().into_iter().map(|(_, value)| value));
    }

    fn bounds(&mut self, path: &str, values: impl IntoIterator<Item = Value>) {
        for value in values {
            if value.value < value.least || value.value > value.most {
                let rule = format!("must be {} to {}", value.least, value.most);
                self.refuse(format!("{path}.{}", value.field), rule);
            }
        }
    }

    fn routes(&mut self, configuration: &Configuration) {
        if configuration.routes.len() > ENTRIES_MAX {
            self.refuse("routes", format!("must have at most {ENTRIES_MAX} entries"));
        }
        let mut seen = BTreeSet::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.route(&path, route, configuration);
            let host = route.host.as_deref().map(str::to_ascii_lowercase);
            let prefix = route.path.as_deref().unwrap_or("/").trim_end_matches('/');
            if !seen.insert((host, prefix)) {
                self.refuse(path, "has the host and path of an earlier route");
            }
        }
    }

    fn route(&mut self, path: &str, route: &Route, configuration: &Configuration) {
        if route.host.is_none() && route.path.is_none() {
            self.refuse(path, "must have a host or a path");
        }
        if route.host.as_deref().is_some_and(str::is_empty) {
            self.refuse(format!("{path}.host"), "must not be empty");
        }
        if route
            .path
            .as_deref()
            .is_some_and(|prefix| !prefix.starts_with('/'))
        {
            self.refuse(format!("{path}.path"), "must begin with `/`");
        }
        if !configuration.services.contains(&route.service) {
            self.refuse(
                format!("{path}.service"),
                format!("`{}` is no service", route.service),
            );
        }
        if !configuration.classes.contains_key(&route.class) {
            self.refuse(
                format!("{path}.class"),
                format!("`{}` is no class", route.class),
            );
        }
        self.name(&format!("{path}.team"), &route.team);
        for (index, method) in route.non_idempotent_methods.iter().enumerate() {
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                let field = format!("{path}.non_idempotent_methods[{index}]");
                self.refuse(field, "must be a method in upper case");
            }
        }
        let own = Override {
            deadline: route.deadline,
            body_bytes: route.body_bytes,
            ..Override::default()
        };
        self.values(path, &own);
    }

    fn exceptions(&mut self, configuration: &Configuration) {
        if configuration.exceptions.len() > ENTRIES_MAX {
            self.refuse(
                "exceptions",
                format!("must have at most {ENTRIES_MAX} entries"),
            );
        }
        let mut seen = BTreeSet::new();
        for (index, exception) in configuration.exceptions.iter().enumerate() {
            let path = format!("exceptions[{index}]");
            self.reason(&path, exception);
            self.values(&format!("{path}.set"), &exception.set);
            let Some(target) = exception.target() else {
                let rule = "must name exactly one service, class, team or failure_domain";
                self.refuse(path, rule);
                continue;
            };
            self.target(&path, &target, configuration);
            for (kind, value) in exception.set.values() {
                self.kind(&path, value.field, kind, &target);
                if !seen.insert((target.clone(), value.field)) {
                    let field = format!("{path}.set.{}", value.field);
                    self.refuse(field, "is set by an earlier exception");
                }
            }
        }
    }

    fn reason(&mut self, path: &str, exception: &Exception) {
        let length = exception.reason.trim().len();
        if length == 0 || length > REASON_BYTES_MAX {
            let rule = format!("must be a written reason of 1 to {REASON_BYTES_MAX} bytes");
            self.refuse(format!("{path}.reason"), rule);
        }
        if exception.set == Override::default() {
            self.refuse(format!("{path}.set"), "must set a value");
        }
    }

    fn target(&mut self, path: &str, target: &Target, configuration: &Configuration) {
        match target {
            Target::Service(id) if !configuration.services.contains(id) => {
                self.refuse(format!("{path}.service"), format!("`{id}` is no service"));
            }
            Target::Class(id) if !configuration.classes.contains_key(id) => {
                self.refuse(format!("{path}.class"), format!("`{id}` is no class"));
            }
            Target::Team(id) => self.name(&format!("{path}.team"), id),
            Target::FailureDomain(id) => self.name(&format!("{path}.failure_domain"), id),
            Target::Service(_) | Target::Class(_) => {}
        }
    }

    fn kind(&mut self, path: &str, field: &str, kind: TargetKind, target: &Target) {
        if kind != TargetKind::of(target) {
            let rule = format!("may be set only for a {}", kind.name());
            self.refuse(format!("{path}.set.{field}"), rule);
        }
    }

    fn times(&mut self, defaults: &Defaults) {
        if defaults.grant_send_within >= defaults.grant_life {
            self.refuse(
                "defaults.grant_send_within_ms",
                "must be below grant_life_ms",
            );
        }
        if defaults.answer_retention > defaults.key_retention {
            self.refuse(
                "defaults.answer_retention_ms",
                "must be at most key_retention_ms",
            );
        }
    }

    /// The floors in force may not add up to more than there is.
    fn floors(&mut self, configuration: &Configuration) {
        let classes = configuration.classes.keys();
        let floors = classes.filter_map(|id| configuration.class(id));
        let sum: u64 = floors.map(|class| u64::from(class.floor_percent)).sum();
        if sum > 100 {
            let rule = format!("the floor_percent of all classes add up to {sum}, above 100");
            self.refuse("classes", rule);
        }
    }
}
