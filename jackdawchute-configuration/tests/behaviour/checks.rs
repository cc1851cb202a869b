//! The checks of a configuration, and the values that result from its exceptions.

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
fn the_embedded_configuration_is_valid_and_survives_a_round_trip_through_yaml() {
    let embedded = configuration(1);

    let yaml = embedded.to_yaml().expect("every value has a YAML form");

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
fn all_problems_are_reported_at_once_with_their_lines() {
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
fn an_exception_with_a_blank_reason_is_refused() {
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
fn an_exception_needs_exactly_one_known_target_and_values_allowed_for_its_kind() {
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
fn two_exceptions_that_set_the_same_value_of_a_target_are_refused() {
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
fn floors_that_exceed_100_percent_together_with_an_exception_are_refused() {
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
fn answers_retained_longer_than_keys_and_grants_sent_after_their_life_are_refused() {
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
fn exceptions_replace_the_defaults_of_their_targets() {
    let mut candidate = configuration(1);
    let for_class = Override {
        queue_max: Some(7),
        retry_budget_percent: Some(1),
        ..Override::default()
    };
    let for_service = Override {
        deadline_max: Some(Duration::from_secs(2)),
        ..Override::default()
    };
    let for_domain = Override {
        leaving: Some(true),
        ..Override::default()
    };
    candidate.exceptions = vec![
        Exception {
            failure_domain: Some("ala-2".into()),
            class: None,
            ..class_exception("", for_domain)
        },
        class_exception("counter", for_class),
        Exception {
            service: Some("repair-desk".into()),
            class: None,
            ..class_exception("", for_service)
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
fn the_most_specific_matching_route_is_used() {
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

    let matched =
        |host: &str, path: &str| candidate.route(host, path).and_then(|it| it.path.clone());

    assert_eq!(
        matched("shop.EXAMPLE:8080", "/a/b/c").as_deref(),
        Some("/a")
    );
    assert_eq!(matched("other", "/a/b/c").as_deref(), Some("/a/b"));
    assert_eq!(matched("other", "/a/bc").as_deref(), Some("/"));
}
