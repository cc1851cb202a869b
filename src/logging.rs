//! Logs as JSON lines on standard error.

use std::sync::Arc;

use jackdawchute_settings::LogLevel;
use spdlog::{
    formatter::JsonFormatter,
    sink::{StdStream, StdStreamSink},
    Level, LevelFilter, Logger,
};

/// Directs the log to standard error from now on; on failure the library's own default stays.
pub(crate) fn start(level: LogLevel) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build_arc();
    let Ok(sink) = sink else { return };
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}
