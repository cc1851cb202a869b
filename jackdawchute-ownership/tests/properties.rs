//! Properties of assignment and trimming, over random inputs with fixed seeds.

use std::collections::{BTreeMap, BTreeSet};

use jackdawchute_ownership::{
    assign::{claims, excess, Owners},
    journal::Journal,
    replay::{replay, Journals},
    rows::{JournalSource, Segment, SegmentEntry, Segments},
    EntryKey,
};
use jackdawchute_types::IncarnationId;
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 100;

/// Checks a property for the same random cases in every run.
fn for_each_case<T: Arbitrary>(property: impl Fn(T)) {
    for seed in 0..CASES {
        property(T::arbitrary(&mut Gen::from_size_and_seed(40, seed)));
    }
}

fn incarnations(count: u8) -> BTreeSet<IncarnationId> {
    (0..=count % 8)
        .map(|n| IncarnationId::from(format!("entry-{n}")))
        .collect()
}

/// Returns groups, each with the owner that its number selects, or without an owner.
fn owners(numbers: &[Option<u8>], live: &BTreeSet<IncarnationId>) -> Owners {
    let owner = |n: u8| live.iter().nth(usize::from(n) % live.len()).cloned();
    let groups = numbers.iter().enumerate();
    groups
        .map(|(index, n)| (format!("rack/r{index}").into(), n.and_then(owner)))
        .collect()
}

fn loads(owners: &Owners, live: &BTreeSet<IncarnationId>) -> Vec<usize> {
    let load = |id: &IncarnationId| owners.values().flatten().filter(|o| *o == id).count();
    live.iter().map(load).collect()
}

#[test]
fn every_group_is_claimed_by_exactly_one_incarnation() {
    for_each_case(|(numbers, count): (Vec<Option<u8>>, u8)| {
        let live = incarnations(count);
        let owners = owners(&numbers, &live);

        let claimed: Vec<_> = live
            .iter()
            .flat_map(|id| claims(&owners, &live, id))
            .collect();

        let unowned = owners.iter().filter(|(_, owner)| owner.is_none());
        let unowned: BTreeSet<_> = unowned.map(|(group, _)| group.clone()).collect();
        assert_eq!(claimed.len(), unowned.len());
        assert_eq!(claimed.into_iter().collect::<BTreeSet<_>>(), unowned);
    });
}

#[test]
fn releases_and_claims_end_with_even_loads() {
    for_each_case(|(numbers, count): (Vec<Option<u8>>, u8)| {
        let live = incarnations(count);
        let mut owners = owners(&numbers, &live);

        for _ in 0..numbers.len() + 1 {
            for id in &live {
                for group in claims(&owners, &live, id) {
                    owners.insert(group, Some(id.clone()));
                }
            }
            let released: Vec<_> = live
                .iter()
                .filter_map(|id| excess(&owners, &live, id))
                .collect();
            for group in released {
                owners.insert(group, None);
            }
        }

        let loads = loads(&owners, &live);
        let spread = loads.iter().max().unwrap() - loads.iter().min().unwrap();
        assert!(spread <= 1, "{loads:?}");
    });
}

fn segment(entries: &[(u8, Option<u8>)]) -> Segment {
    let entry = |(key, value): &(u8, Option<u8>)| SegmentEntry {
        group: "g".into(),
        epoch: 1,
        key: format!("k{}", key % 32).into(),
        value: value.map(|value| value.to_string()),
    };
    entries.iter().map(entry).collect()
}

/// The segments that a journal holds at the end, and the most entries that it ever held.
struct WrittenJournal {
    segments: Segments,
    longest: usize,
}

/// Commits the entries repeatedly, and trims the journal as the ownership task does.
fn write_and_trim(commits: &[Vec<(u8, Option<u8>)>], is_without_inherited: bool) -> WrittenJournal {
    let mut journal = Journal::default();
    let mut segments = Segments::new();
    let mut longest = 0;
    for (number, entries) in repeated(commits).enumerate() {
        let trim = journal.trim();
        let written = [trim.entries.clone(), segment(entries)].concat();
        let number = number as u64;
        segments.insert(number, written.clone());
        segments.retain(|number, _| !trim.segments.contains(number));
        journal.segment_committed(number, written, |_| is_without_inherited);
        journal.segments_deleted(&trim.segments);
        longest = longest.max(journal.entries_len());
    }
    WrittenJournal { segments, longest }
}

/// Repeats the commits eight times.
fn repeated(commits: &[Vec<(u8, Option<u8>)>]) -> impl Iterator<Item = &Vec<(u8, Option<u8>)>> {
    commits.iter().cycle().take(commits.len() * 8)
}

/// Returns the last value of each key, on top of the inherited ones.
fn last_values(
    commits: &[Vec<(u8, Option<u8>)>],
    inherited: BTreeMap<EntryKey, String>,
) -> BTreeMap<EntryKey, String> {
    let mut values = inherited;
    for entry in repeated(commits).flat_map(|entries| segment(entries)) {
        match entry.value {
            Some(value) => values.insert(entry.key, value),
            None => values.remove(&entry.key),
        };
    }
    values
}

fn source(incarnation: &str) -> JournalSource {
    let incarnation = incarnation.into();
    JournalSource {
        incarnation,
        epoch: 1,
    }
}

#[test]
fn a_trimmed_journal_replays_to_the_last_values_within_its_bound() {
    for_each_case(|commits: Vec<Vec<(u8, Option<u8>)>>| {
        let written = write_and_trim(&commits, true);

        let journals = Journals::from([("a".into(), written.segments)]);
        let replayed = replay("g", &[source("a")], &journals);

        let largest = commits.iter().map(Vec::len).max().unwrap_or(0);
        assert_eq!(replayed, last_values(&commits, BTreeMap::new()));
        assert!(written.longest <= 2 * 32 + 256 + 32 + largest);
    });
}

/// Guards against a removed key whose tombstone is trimmed while an inherited journal still holds
/// its old value, which would make the value live again.
#[test]
fn a_journal_that_is_trimmed_while_it_inherits_still_hides_removed_keys() {
    for_each_case(|commits: Vec<Vec<(u8, Option<u8>)>>| {
        let all_keys: Vec<_> = (0..32).map(|key| (key, Some(0))).collect();
        let inherited = Segments::from([(0, segment(&all_keys))]);
        let written = write_and_trim(&commits, false);

        let base = replay(
            "g",
            &[source("z")],
            &Journals::from([("z".into(), inherited.clone())]),
        );
        let journals = Journals::from([("z".into(), inherited), ("a".into(), written.segments)]);
        let replayed = replay("g", &[source("z"), source("a")], &journals);

        assert_eq!(replayed, last_values(&commits, base));
    });
}
