//! Reads and compares versions, and finds the instances that use an older one.

use std::collections::BTreeMap;

use jackdawchute_configuration::{
    diff::{diff, Change, Options},
    wait::{in_force, Lagging, Outcome},
    Error, Override,
};
use jackdawchute_types::IncarnationId;

use crate::fixtures::{class_exception, configuration, table_at, FaultyTable};

#[test]
fn a_diff_has_each_changed_field_but_not_the_author() {
    let old = configuration(1);
    let mut new = configuration(2);
    new.author = "bogdan".into();
    new.classes.remove("quote");
    let set = Override {
        queue_max: Some(5),
        ..Override::default()
    };
    new.exceptions = vec![class_exception("counter", set)];

    let outcome = diff(Options {
        old: &old,
        new: &new,
    });

    let changes = outcome.expect("every value has a JSON form").changes;
    let removed = Change {
        field: "classes.quote.priority".into(),
        old: Some("20".into()),
        new: None,
    };
    assert!(changes.contains(&removed), "{changes:?}");
    let fields: Vec<_> = changes.iter().map(|it| it.field.as_str()).collect();
    assert!(
        fields.contains(&"exceptions[0].set.queue_max"),
        "{fields:?}"
    );
    assert!(!fields.contains(&"author"), "{fields:?}");
}

#[test]
fn lagging_incarnations_are_listed_with_their_versions() {
    let report = |id: &str, version| (IncarnationId::from(id), version);
    let reported = BTreeMap::from([
        report("entry-1", 5),
        report("entry-2", 4),
        report("entry-3", 0),
    ]);

    let outcome = in_force(jackdawchute_configuration::wait::Options {
        version: 5,
        reported: &reported,
    });

    let lagging = |id: &str, version| Lagging {
        incarnation: id.into(),
        version,
    };
    let incarnations = vec![lagging("entry-2", 4), lagging("entry-3", 0)];
    assert_eq!(outcome, Outcome::Lagging { incarnations });
}

#[tokio::test]
async fn an_older_version_can_be_read_and_a_missing_one_is_an_error() {
    let table = table_at(3).await;

    let second = jackdawchute_configuration::history::version(&table, Some(2)).await;
    let missing = jackdawchute_configuration::history::version(&table, Some(9)).await;
    let none = jackdawchute_configuration::history::version(&FaultyTable::default(), None).await;

    assert_eq!(second.map(|it| it.version), Ok(2));
    assert_eq!(missing, Err(Error::NoVersion(9)));
    assert_eq!(none, Err(Error::NoneAccepted));
}
