//! Logs as JSON lines on standard error.

use fleet::timeline::Event;
use log::{LevelFilter, SetLoggerError};
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};

/// Starts logging events of `level` and above.
///
/// Every column of the logger is turned off: the message alone is a whole JSON object.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_level_padding(simplelog::LevelPadding::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("telemetry");
    TermLogger::init(level, config.build(), TerminalMode::Stderr, ColorChoice::Never)
}

/// Logs an event of the time line.
pub fn event(event: &Event) {
    if let Ok(line) = serde_json::to_string(event) {
        log::info!("{line}");
    }
}

/// Logs a message that belongs to no event, such as a failure to start.
pub fn message(level: log::Level, node: &str, text: &str) {
    let line = serde_json::json!({ "node": node, "event": "message", "text": text });
    log::log!(level, "{line}");
}
