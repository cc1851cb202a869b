//! The table of the journal specification: a transaction takes effect completely or not at all.

use std::{
    collections::{hash_map::DefaultHasher, BTreeMap},
    hash::{BuildHasher, BuildHasherDefault, Hash, Hasher},
    sync::Arc,
};

use jackdawchute_ports::{Commit, CommitOutcome, Row, RowKey, RowVersion, Scan};
use jackdawchute_types::IncarnationId;
use serde::de::DeserializeOwned;

use crate::{
    replay::{segments, Journals},
    rows::{decode, group_key, incarnation_key, journal_prefix, GroupRow, IncarnationRow},
    view::Versioned,
};

/// Rows as text, as the platform holds them. The table remembers no write ids: the conditions alone
/// have to make a repeated commit harmless.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ModelTable {
    content: Arc<Content>,
    digest: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Content {
    version: RowVersion,
    rows: BTreeMap<RowKey, (RowVersion, String)>,
}

impl Hash for ModelTable {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.digest.hash(state);
    }
}

impl ModelTable {
    /// Applies a transaction if all its conditions hold.
    pub fn apply(&mut self, commit: &Commit) -> CommitOutcome {
        for condition in &commit.conditions {
            let version = self.content.rows.get(&condition.key).map_or(0, |row| row.0);
            if version != condition.version {
                let key = condition.key.clone();
                return CommitOutcome::Conflict { key, version };
            }
        }
        let content = Arc::make_mut(&mut self.content);
        content.version += 1;
        let version = content.version;
        for write in &commit.writes {
            match &write.value {
                Some(value) => content
                    .rows
                    .insert(write.key.clone(), (version, value.clone())),
                None => content.rows.remove(&write.key),
            };
        }
        self.digest = BuildHasherDefault::<DefaultHasher>::default().hash_one(content);
        CommitOutcome::Committed { version }
    }

    fn read<T: DeserializeOwned>(&self, key: &RowKey) -> Option<Versioned<T>> {
        let (version, value) = self.content.rows.get(key)?;
        Some(Versioned {
            version: *version,
            row: Some(decode(value)?),
        })
    }

    /// Returns the row of an incarnation.
    pub fn incarnation(&self, id: &str) -> Option<Versioned<IncarnationRow>> {
        self.read(&incarnation_key(id))
    }

    /// Returns the version and the row of a group; version 0 and an empty row if there is none.
    pub fn group(&self, id: &str) -> (RowVersion, GroupRow) {
        let known = self.read(&group_key(id));
        known.map_or((0, GroupRow::default()), |known| {
            (known.version, known.row.unwrap_or_default())
        })
    }

    /// Returns the journals of these incarnations.
    pub fn journals<'a>(&self, ids: impl Iterator<Item = &'a IncarnationId>) -> Journals {
        ids.filter_map(|id| Some((id.clone(), segments(id, &self.scan(id))?)))
            .collect()
    }

    fn scan(&self, id: &str) -> Scan {
        let prefix = journal_prefix(id);
        let rows = self
            .content
            .rows
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let rows = rows.map(|(key, (version, value))| Row {
            key: key.clone(),
            version: *version,
            value: Some(value.clone()),
        });
        Scan {
            rows: rows.collect(),
            version: self.content.version,
        }
    }
}
