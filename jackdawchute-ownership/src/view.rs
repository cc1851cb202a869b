//! The rows of incarnations and groups as last read; it may lag behind the table.

use std::collections::BTreeMap;

use jackdawchute_platform::{Row, RowVersion, Scan};
use jackdawchute_types::{GroupId, IncarnationId};

use crate::{
    rows::{decode, GroupRow, IncarnationRow, GROUP_PREFIX, INCARNATION_PREFIX},
    Directory, Owner,
};

/// A row and the commit that last changed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Versioned<T> {
    /// The commit.
    pub version: RowVersion,
    /// The content, or `None` if it was deleted.
    pub row: Option<T>,
}

/// What one instance has read.
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
}

/// One look at the table: the changed rows of both kinds, incarnations first.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Changed incarnations.
    pub incarnations: Scan,
    /// Changed groups.
    pub groups: Scan,
}

impl View {
    /// Takes in changed rows; a row that is known in a later version stays.
    pub fn apply(&mut self, changes: Changes) {
        for row in changes.incarnations.rows {
            merge(&mut self.incarnations, INCARNATION_PREFIX, row);
        }
        for row in changes.groups.rows {
            merge(&mut self.groups, GROUP_PREFIX, row);
        }
        self.incarnations_version = self.incarnations_version.max(changes.incarnations.version);
        self.groups_version = self.groups_version.max(changes.groups.version);
        self.forget_deleted();
    }

    fn forget_deleted(&mut self) {
        let limit = self.incarnations_version;
        self.incarnations
            .retain(|_, known| known.row.is_some() || known.version > limit);
    }

    /// The incarnations that nobody has fenced.
    pub fn unfenced(&self) -> impl Iterator<Item = (&IncarnationId, &IncarnationRow)> {
        self.incarnations
            .iter()
            .filter_map(|(id, known)| known.row.as_ref().map(|row| (id, row)))
            .filter(|(_, row)| row.fenced_by.is_none())
    }

    /// The row of an incarnation, if there is one.
    pub fn incarnation(&self, id: &str) -> Option<&IncarnationRow> {
        self.incarnations.get(id)?.row.as_ref()
    }

    /// The row of a group, if there is one.
    pub fn group(&self, id: &str) -> Option<&GroupRow> {
        self.groups.get(id)?.row.as_ref()
    }

    /// The version of a group's row, 0 if there is none.
    pub fn group_version(&self, id: &str) -> RowVersion {
        self.groups.get(id).map_or(0, |known| known.version)
    }

    /// Whether some group still needs the journal or the row of an incarnation.
    pub fn is_referenced(&self, incarnation: &str) -> bool {
        self.groups
            .values()
            .filter_map(|known| known.row.as_ref())
            .any(|row| {
                row.owner.as_deref() == Some(incarnation)
                    || row.inherited.iter().any(|s| s.incarnation == incarnation)
            })
    }

    /// The directory for other slices.
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

fn merge<T: serde::de::DeserializeOwned>(
    known: &mut BTreeMap<smol_str::SmolStr, Versioned<T>>,
    prefix: &str,
    row: Row,
) {
    let Some(id) = row.key.strip_prefix(prefix) else {
        return;
    };
    if known.get(id).is_some_and(|old| old.version >= row.version) {
        return;
    }
    let content = match &row.value {
        Some(value) => match decode(value) {
            Some(content) => Some(content),
            None => return,
        },
        None => None,
    };
    known.insert(
        id.into(),
        Versioned {
            version: row.version,
            row: content,
        },
    );
}
