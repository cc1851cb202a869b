//! Sets up the log, which is written as JSON lines.

use std::{
    io,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
};

use jackdawchute_settings::LogLevel;
use spdlog::{
    formatter::JsonFormatter,
    sink::{Sink, StdStream, StdStreamSink, WriteSink},
    Level, LevelFilter, Logger,
};

use crate::log_output::CollectedOutput;

/// The number of dropped log lines that are not yet reported.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Directs the log to standard error. On failure the default logger of the library stays in use.
pub(crate) fn start(level: LogLevel) {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc();
    let Ok(sink) = sink else { return };
    install(sink, level, LevelFilter::All);
}

/// Directs the log to standard output without ever blocking on it. On failure the default logger of
/// the library stays in use.
///
/// A line is dropped if too many wait; [`report_drops`] logs how many were. Lines are written
/// within a tenth of a second, and at the end of the process.
pub(crate) fn start_bounded(level: LogLevel) {
    let Ok(output) = CollectedOutput::start(io::stdout()) else {
        return;
    };
    let sink = WriteSink::builder()
        .target(output)
        .formatter(JsonFormatter::new())
        .error_handler(|_: spdlog::Error| {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        })
        .build_arc();
    let Ok(sink) = sink else { return };
    install(sink, level, LevelFilter::Off);
}

/// Logs how many lines were dropped since the last call, if any were.
pub(crate) fn report_drops() {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        spdlog::warn!("log lines dropped", kv: { lines = dropped });
    }
}

/// Makes a logger to `sink` the default one, for lines of at least `level`; each line whose level
/// passes `flush` is flushed at once.
fn install(sink: Arc<dyn Sink>, level: LogLevel, flush: LevelFilter) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(flush)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
