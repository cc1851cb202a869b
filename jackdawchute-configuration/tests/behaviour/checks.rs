//! All problems of a configuration at once, with their fields.

use std::time::Duration;

use jackdawchute_configuration::{Configuration, Error, Exception, Override, Problem};

use crate::fixtures::{class_exception, configuration};

fn problems(yaml: &str) -> Vec<Problem> {
    match Configuration::parse(yaml) {
        Ok(_) => Vec::new(),
        Err(Error::Refused(problems)) => problems.0,
        Err(other) => panic!("unexpected error: {other}"),
    }
}

fn fields(problems: &[Problem]) -> Vec<&str> {
    problems.iter().map(|it| it.field.as_str()).collect()
}

#[test]
fn the_embedded_configuration_is_valid_and_reads_back() {
    let embedded = configuration(1);

    let yaml = embedded.to_yaml().expect("it can be written");

    assert_eq!(Configuration::parse(&yaml), Ok(embedded));
}

#[test]
fn the_example_configurations_are_valid() {
    for user in ["tasbih-usta", "micdejun"] {
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../etc");
        let text = std::fs::read_to_string(format!("{root}/{user}/configuration.yaml"));

        let text = text.unwrap_or_else(|error| panic!("{user}: {error}"));

        assert_eq!(problems(&text), [], "{user}");
    }
}

#[test]
fn every_problem_is_reported_at_once_with_its_line() {
    let yaml = "\
services: [repair-desk]
classes:
  counter: { priority: 1 }
  quote:
    priority: high
    queue_max: 0
defaults:
  bodi_bytes: 3
  answer_count_max: 0
routes:
  - path: orders
    service: repair-desk
    class: nowhere
    team: tasbih-usta
exceptions:
  - class: counter
    set: { queue_max: 5 }
";

    let found = problems(yaml);

    let lines: Vec<_> = found.iter().filter_map(|it| it.line).collect();
    assert_eq!(lines, [5, 8], "{found:?}");
    let expected = [
        "classes.quote.priority",
        "defaults",
        "defaults.answer_count_max",
        "classes.quote.queue_max",
        "routes[0].path",
        "routes[0].class",
        "exceptions[0].reason",
    ];
    assert_eq!(fields(&found), expected, "{found:?}");
}

#[test]
fn an_exception_without_a_written_reason_is_refused() {
    let set = Override {
        queue_max: Some(5),
        ..Override::default()
    };
    let mut candidate = configuration(1);
    candidate.exceptions = vec![Exception {
        reason: " \n".into(),
        ..class_exception("counter", set)
    }];

    let found = candidate.check();

    assert_eq!(fields(&found), ["exceptions[0].reason"]);
}

#[test]
fn an_exception_needs_one_known_target_and_values_of_its_kind() {
    let quota = Override {
        quota: Some(5),
        ..Override::default()
    };
    let mut candidate = configuration(1);
    candidate.exceptions = vec![
        class_exception("counter", quota.clone()),
        class_exception("nowhere", Override::default()),
        Exception {
            team: Some("micdejun".into()),
            ..class_exception("counter", quota)
        },
    ];

    let found = candidate.check();

    let expected = [
        "exceptions[0].set.quota",
        "exceptions[1].set",
        "exceptions[1].class",
        "exceptions[2]",
    ];
    assert_eq!(fields(&found), expected);
}

#[test]
fn two_exceptions_may_not_set_the_same_value() {
    let set = Override {
        queue_max: Some(5),
        ..Override::default()
    };
    let mut candidate = configuration(1);
    candidate.exceptions = vec![
        class_exception("counter", set.clone()),
        class_exception("counter", set),
    ];

    let found = candidate.check();

    assert_eq!(fields(&found), ["exceptions[1].set.queue_max"]);
}

#[test]
fn the_floors_in_force_may_not_exceed_the_whole() {
    let set = Override {
        floor_percent: Some(90),
        ..Override::default()
    };
    let mut candidate = configuration(1);
    candidate.exceptions = vec![class_exception("counter", set)];

    let found = candidate.check();

    assert_eq!(fields(&found), ["classes"]);
}

#[test]
fn an_answer_is_kept_no_longer_than_its_key_and_a_grant_is_used_within_its_life() {
    let mut candidate = configuration(1);
    candidate.defaults.answer_retention = candidate.defaults.key_retention * 2;
    candidate.defaults.grant_send_within = candidate.defaults.grant_life;

    let found = candidate.check();

    let expected = [
        "defaults.grant_send_within_ms",
        "defaults.answer_retention_ms",
    ];
    assert_eq!(fields(&found), expected);
}

#[test]
fn values_in_force_are_defaults_changed_by_exceptions() {
    let mut candidate = configuration(1);
    let class = Override {
        queue_max: Some(7),
        retry_budget_percent: Some(1),
        ..Override::default()
    };
    let service = Override {
        deadline_max: Some(Duration::from_secs(2)),
        ..Override::default()
    };
    let domain = Override {
        leaving: Some(true),
        ..Override::default()
    };
    candidate.exceptions = vec![
        Exception {
            failure_domain: Some("ala-2".into()),
            class: None,
            ..class_exception("", domain)
        },
        class_exception("counter", class),
        Exception {
            service: Some("repair-desk".into()),
            class: None,
            ..class_exception("", service)
        },
    ];

    let limits = candidate.limits();
    let route = candidate.route("shop.example:80", "/repair-desk/orders");

    assert_eq!(candidate.check(), []);
    assert_eq!(candidate.leaving_domains(), ["ala-2".into()].into());
    assert_eq!(limits.classes["counter"].queue_max, 7);
    assert_eq!(limits.classes["quote"].queue_max, 2000);
    assert_eq!(candidate.retry_budget_percent(&"counter".into()), 1);
    assert_eq!(candidate.retry_budget_percent(&"quote".into()), 10);
    let deadline = route.map(|route| candidate.deadline(route, Some(Duration::from_secs(9))));
    assert_eq!(deadline, Some(Duration::from_secs(2)));
}

#[test]
fn the_most_precise_route_wins() {
    let mut candidate = configuration(1);
    let template = candidate.routes[0].clone();
    candidate.routes = [(None, "/"), (None, "/a/b"), (Some("Shop.example"), "/a")]
        .into_iter()
        .map(|(host, path)| jackdawchute_configuration::Route {
            host: host.map(Into::into),
            path: Some(path.into()),
            ..template.clone()
        })
        .collect();

    let path = |host: &str, path: &str| candidate.route(host, path).and_then(|it| it.path.clone());

    assert_eq!(path("shop.EXAMPLE:8080", "/a/b/c").as_deref(), Some("/a"));
    assert_eq!(path("other", "/a/b/c").as_deref(), Some("/a/b"));
    assert_eq!(path("other", "/a/bc").as_deref(), Some("/"));
}
