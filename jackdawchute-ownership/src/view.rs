//! The rows of incarnations and groups as last read; they may be stale.

use std::{collections::BTreeMap, net::SocketAddr};

use jackdawchute_ports::{Row, RowVersion, Scan};
use jackdawchute_types::{GroupId, IncarnationId};
use serde::de::DeserializeOwned;
use smol_str::SmolStr;

use crate::{
    rows::{decode, GroupRow, IncarnationRow, GROUP_PREFIX, INCARNATION_PREFIX},
    Directory, Owner,
};

/// A row with the version of the commit that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Versioned<T> {
    /// The version of that commit.
    pub version: RowVersion,
    /// The content, or `None` if the row was deleted.
    pub row: Option<T>,
}

/// The rows that one instance has read or written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// The rows of incarnations.
    pub incarnations: BTreeMap<IncarnationId, Versioned<IncarnationRow>>,
    /// The rows of groups.
    pub groups: BTreeMap<GroupId, Versioned<GroupRow>>,
    /// The table version of the last scan of incarnations.
    pub incarnations_version: RowVersion,
    /// The table version of the last scan of groups.
    pub groups_version: RowVersion,
    /// Grows with each change that matters to the directory or to the assignment of groups.
    pub revision: u64,
}

/// The result of one scan: the changed rows of both kinds, of which incarnations were read first.
#[derive(Clone, Debug, Default)]
pub struct ScannedRows {
    /// The changed rows of incarnations.
    pub incarnations: Scan,
    /// The changed rows of groups.
    pub groups: Scan,
}

impl View {
    /// Applies the changed rows of a scan, except rows that are known in a later version.
    pub fn apply(&mut self, scanned: ScannedRows) {
        for row in scanned.incarnations.rows {
            if let Some((id, known)) = parse(INCARNATION_PREFIX, row) {
                self.put_incarnation(id, known);
            }
        }
        for row in scanned.groups.rows {
            if let Some((id, known)) = parse(GROUP_PREFIX, row) {
                self.put_group(id, known);
            }
        }
        self.incarnations_version = self.incarnations_version.max(scanned.incarnations.version);
        self.groups_version = self.groups_version.max(scanned.groups.version);
        self.drop_deleted();
    }

    /// Stores the row of an incarnation, unless it is known in this or a later version.
    pub fn put_incarnation(&mut self, id: IncarnationId, new: Versioned<IncarnationRow>) {
        let old = self.incarnations.get(&id);
        if old.is_some_and(|old| old.version >= new.version) {
            return;
        }
        let old = old.and_then(|old| old.row.as_ref()).map(directory_fields);
        if old != new.row.as_ref().map(directory_fields) {
            self.revision += 1;
        }
        self.incarnations.insert(id, new);
    }

    /// Stores the row of a group, unless it is known in this or a later version.
    pub fn put_group(&mut self, id: GroupId, new: Versioned<GroupRow>) {
        if self.group_version(&id) < new.version {
            self.revision += 1;
            self.groups.insert(id, new);
        }
    }

    /// Removes the row of an incarnation after it was deleted from the table.
    pub fn remove_incarnation(&mut self, id: &str) {
        self.incarnations.remove(id);
        self.revision += 1;
    }

    /// Drops deleted rows that the last scan already covers, since no later scan shows an older
    /// version of them.
    fn drop_deleted(&mut self) {
        let limit = self.incarnations_version;
        self.incarnations
            .retain(|_, known| known.row.is_some() || known.version > limit);
    }

    /// Returns the incarnations that are not fenced.
    pub fn unfenced(&self) -> impl Iterator<Item = (&IncarnationId, &IncarnationRow)> {
        self.incarnations
            .iter()
            .filter_map(|(id, known)| known.row.as_ref().map(|row| (id, row)))
            .filter(|(_, row)| row.fenced_by.is_none())
    }

    /// Returns the row of an incarnation, if there is one.
    pub fn incarnation(&self, id: &str) -> Option<&IncarnationRow> {
        self.incarnations.get(id)?.row.as_ref()
    }

    /// Returns the row of a group, if there is one.
    pub fn group(&self, id: &str) -> Option<&GroupRow> {
        self.groups.get(id)?.row.as_ref()
    }

    /// Returns the version of a group's row; 0 if there is none.
    pub fn group_version(&self, id: &str) -> RowVersion {
        self.groups.get(id).map_or(0, |known| known.version)
    }

    /// Whether some group still names the incarnation as its owner or inherits from its journal.
    pub fn is_referenced(&self, incarnation: &str) -> bool {
        self.groups
            .values()
            .filter_map(|known| known.row.as_ref())
            .any(|row| {
                row.owner.as_deref() == Some(incarnation)
                    || row.inherited.iter().any(|s| s.incarnation == incarnation)
            })
    }

    /// Builds the directory that is published to other slices.
    pub fn directory(&self) -> Directory {
        let incarnations = self
            .unfenced()
            .map(|(id, row)| (id.clone(), row.peer_address));
        let configuration = self
            .unfenced()
            .map(|(id, row)| (id.clone(), row.configuration_version));
        Directory {
            owners: self
                .groups
                .keys()
                .filter_map(|id| Some((id.clone(), self.owner(id)?)))
                .collect(),
            incarnations: incarnations.collect(),
            configuration: configuration.collect(),
        }
    }

    fn owner(&self, group: &str) -> Option<Owner> {
        let row = self.group(group)?;
        let incarnation = row.owner.clone()?;
        let holder = self.incarnation(&incarnation)?;
        holder.fenced_by.is_none().then_some(Owner {
            epoch: row.epoch,
            peer_address: holder.peer_address,
            incarnation,
        })
    }
}

/// Returns the fields of a row that the directory and the assignment of groups depend on.
fn directory_fields(row: &IncarnationRow) -> (u64, SocketAddr, bool, bool) {
    let is_fenced = row.fenced_by.is_some();
    (
        row.configuration_version,
        row.peer_address,
        row.leaving,
        is_fenced,
    )
}

/// Decodes a row and the id in its key; `None` for a row that does not decode.
fn parse<T: DeserializeOwned>(prefix: &str, row: Row) -> Option<(SmolStr, Versioned<T>)> {
    let id = SmolStr::new(row.key.strip_prefix(prefix)?);
    let content = match &row.value {
        Some(value) => Some(decode(value)?),
        None => None,
    };
    let version = row.version;
    Some((
        id,
        Versioned {
            version,
            row: content,
        },
    ))
}
