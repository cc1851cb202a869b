//! The tokio runtime for commands that only call instances.

use std::future::Future;

use crate::{Error, Result};

/// Runs a future to completion on this thread.
pub(crate) fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| Error::Process("start runtime", cause))?;
    runtime.block_on(future)
}
