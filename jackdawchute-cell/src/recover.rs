//! Rebuilds the scheduler's state from the rows that earlier leaders saved.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use jackdawchute_scheduler::{SavedTable, Scheduler};
use jackdawchute_types::Epoch;
use spdlog::{error, warn};

use crate::{
    read_all,
    rows::{table_name, PART, RECOVERED_TABLES},
    Store,
};

/// Returns the wall-clock time since the Unix epoch.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns a scheduler with the saved state; `None` if the rows cannot be read or decoded.
pub(crate) async fn recover(
    store: Arc<dyn Store>,
    settings: jackdawchute_scheduler::Settings,
    epoch: Epoch,
) -> Option<Scheduler> {
    let mut saved = Vec::new();
    for row_table in RECOVERED_TABLES {
        let page = match read_all(store.as_ref(), table_name(row_table), PART).await {
            Ok(page) => page,
            Err(error) => {
                warn!("saved rows cannot be read", kv: { epoch = epoch, cause: = error });
                return None;
            }
        };
        let rows = page.rows.into_iter();
        let rows = rows.filter_map(|row| Some((row.key, row.value?)));
        saved.push(SavedTable {
            table: row_table,
            rows: rows.collect(),
        });
    }
    let mut scheduler = Scheduler::new(settings, epoch, Instant::now());
    match scheduler.recover(&saved, unix_now(), Instant::now()) {
        Ok(()) => Some(scheduler),
        Err(error) => {
            error!("recovery from saved rows failed", kv: { epoch = epoch, cause: = error });
            None
        }
    }
}
