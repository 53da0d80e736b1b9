//! Logger that writes to standard error, at the level set by `LOG_LEVEL`.
use gorseshore_settings::LogFormat;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct StderrLogger {
    format: LogFormat,
}

impl Log for StderrLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("gorseshore")
    }
    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let module = record.target().rsplit("::").next().unwrap_or("");
        let module = module.strip_prefix("gorseshore_").unwrap_or(module);
        let line = match self.format {
            LogFormat::Plain => {
                format!("{}.{:03} {:5} {module}: {}\n", ms / 1000, ms % 1000, record.level(), record.args())
            }
            LogFormat::Json => {
                let v = serde_json::json!({
                    "at_ms": ms as u64, "level": record.level().as_str(), "part": module,
                    "text": record.args().to_string(),
                });
                format!("{v}\n")
            }
        };
        let _ = std::io::stderr().write_all(line.as_bytes());
    }
    fn flush(&self) {}
}

/// Parses the value of `LOG_LEVEL`; `None` if it is invalid.
pub fn parse_level(value: &str) -> Option<LevelFilter> {
    match value.to_ascii_lowercase().as_str() {
        "" | "info" => Some(LevelFilter::Info),
        "off" => Some(LevelFilter::Off),
        "error" => Some(LevelFilter::Error),
        "warn" => Some(LevelFilter::Warn),
        "debug" => Some(LevelFilter::Debug),
        "trace" => Some(LevelFilter::Trace),
        _ => None,
    }
}

/// Installs the logger.
pub fn start(format: LogFormat) {
    let value = std::env::var("LOG_LEVEL").unwrap_or_default();
    log::set_max_level(parse_level(&value).unwrap_or(LevelFilter::Info));
    if log::set_boxed_logger(Box::new(StderrLogger { format })).is_ok() && parse_level(&value).is_none() {
        log::warn!("invalid LOG_LEVEL={value}: must be error, info or debug; using info");
    }
}
