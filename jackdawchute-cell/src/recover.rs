//! Reads what earlier holders of the epoch saved.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use jackdawchute_scheduler::{SavedTable, Scheduler};
use jackdawchute_types::Epoch;
use spdlog::{error, warn};

use crate::{
    read_all,
    rows::{table, KINDS, PART},
    Store,
};

/// The time of day since the Unix epoch.
pub(crate) fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Reads all that was saved; `None` if it cannot be used.
pub(crate) async fn recover(
    store: Arc<dyn Store>,
    settings: jackdawchute_scheduler::Settings,
    epoch: Epoch,
) -> Option<Scheduler> {
    let mut saved = Vec::new();
    for kind in KINDS {
        let page = match read_all(store.as_ref(), table(kind), PART).await {
            Ok(page) => page,
            Err(error) => {
                warn!("saved rows could not be read", kv: { epoch = epoch, cause: = error });
                return None;
            }
        };
        let rows = page.rows.into_iter();
        let rows = rows.filter_map(|row| Some((row.key, row.value?)));
        saved.push(SavedTable {
            table: kind,
            rows: rows.collect(),
        });
    }
    let mut scheduler = Scheduler::new(settings, epoch, Instant::now());
    match scheduler.recover(&saved, unix_now(), Instant::now()) {
        Ok(()) => Some(scheduler),
        Err(error) => {
            error!("saved rows are not usable", kv: { epoch = epoch, cause: = error });
            None
        }
    }
}
