//! Trimming keeps the journal within its bound.

mod support;

use std::sync::Arc;

use jackdawchute_ownership::rows::Segment;
use support::{entry, eventually, start, Cell};

/// Counts the entries in an incarnation's journal in the table.
fn entries_in_journal(cell: &Cell, incarnation: &str) -> usize {
    let rows = cell
        .table
        .changes(&format!("journal/{incarnation}/"), 0)
        .rows;
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    let segments = values.map(|value| serde_json::from_str::<Segment>(value).unwrap());
    segments.map(|segment| segment.len()).sum()
}

#[tokio::test]
async fn an_overwritten_journal_keeps_its_last_values_and_stays_within_its_bound() {
    let cell = Cell::new();
    let instance = Arc::new(start(&cell, 1, &["g1"]).await);
    instance.until_owns("g1").await;
    for key in 0..100 {
        let entries = vec![entry("g1", &format!("old{key}"), Some("kept"))];
        instance.append_all(entries).await.unwrap();
    }

    let mut longest = 0;
    for write_number in 0..3_000 {
        let value = write_number.to_string();
        let key = format!("k{}", write_number % 50);
        instance.append("g1", &key, Some(&value)).await.unwrap();
        if write_number % 100 == 0 {
            longest = longest.max(entries_in_journal(&cell, "entry-1"));
        }
    }
    for key in 0..50 {
        instance
            .append("g1", &format!("k{key}"), None)
            .await
            .unwrap();
    }
    drop(instance);
    let next = start(&cell, 2, &["g1"]).await;
    eventually("the next instance owns the group", || next.owns("g1")).await;

    println!("longest journal: {longest} entries for 150 live ones");
    assert!(longest <= 2 * 150 + 256 + 2);
    assert_eq!(next.claimed_group("g1").entries.len(), 100);
}
