//! The journal stays within its bound.

mod support;

use std::sync::Arc;

use jackdawchute_ownership::rows::Segment;
use support::{entry, eventually, start, Cell};

/// How many entries the journal of an incarnation holds in the table.
fn journaled(cell: &Cell, incarnation: &str) -> usize {
    let rows = cell
        .table
        .changes(&format!("journal/{incarnation}/"), 0)
        .rows;
    let values = rows.iter().filter_map(|row| row.value.as_deref());
    let segments = values.map(|value| serde_json::from_str::<Segment>(value).unwrap());
    segments.map(|segment| segment.len()).sum()
}

#[tokio::test]
async fn a_journal_that_is_overwritten_keeps_its_last_values_and_its_bound() {
    let cell = Cell::new();
    let node = Arc::new(start(&cell, 1, &["g1"]).await);
    node.until_owns("g1").await;
    for key in 0..100 {
        let entries = vec![entry("g1", &format!("old{key}"), Some("kept"))];
        node.append_all(entries).await.unwrap();
    }

    let mut longest = 0;
    for round in 0..3_000 {
        let value = round.to_string();
        let key = format!("k{}", round % 50);
        node.append("g1", &key, Some(&value)).await.unwrap();
        if round % 100 == 0 {
            longest = longest.max(journaled(&cell, "entry-1"));
        }
    }
    for key in 0..50 {
        node.append("g1", &format!("k{key}"), None).await.unwrap();
    }
    drop(node);
    let next = start(&cell, 2, &["g1"]).await;
    eventually("taken over", || next.owns("g1")).await;

    println!("longest journal: {longest} entries for 150 live ones");
    assert!(longest <= 2 * 150 + 256 + 2);
    assert_eq!(next.adoption("g1").entries.len(), 100);
}
