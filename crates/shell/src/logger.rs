//! Logs to standard error, in the amount that `LOG_LEVEL` sets.
use gorseshore_settings::LogFormat;
use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Stderr {
    format: LogFormat,
}

impl Log for Stderr {
    fn enabled(&self, m: &Metadata<'_>) -> bool {
        m.target().starts_with("gorseshore")
    }
    fn log(&self, r: &Record<'_>) {
        if !self.enabled(r.metadata()) {
            return;
        }
        let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let part = r.target().rsplit("::").next().unwrap_or("");
        let part = part.strip_prefix("gorseshore_").unwrap_or(part);
        let line = match self.format {
            LogFormat::Plain => {
                format!("{}.{:03} {:5} {part}: {}\n", ms / 1000, ms % 1000, r.level(), r.args())
            }
            LogFormat::Json => {
                let v = serde_json::json!({
                    "at_ms": ms as u64, "level": r.level().as_str(), "part": part,
                    "text": r.args().to_string(),
                });
                format!("{v}\n")
            }
        };
        let _ = std::io::stderr().write_all(line.as_bytes());
    }
    fn flush(&self) {}
}

/// Reads `LOG_LEVEL`; `None` for a word that it does not know.
pub fn level(word: &str) -> Option<LevelFilter> {
    match word.to_ascii_lowercase().as_str() {
        "" | "info" => Some(LevelFilter::Info),
        "off" => Some(LevelFilter::Off),
        "error" => Some(LevelFilter::Error),
        "warn" => Some(LevelFilter::Warn),
        "debug" => Some(LevelFilter::Debug),
        "trace" => Some(LevelFilter::Trace),
        _ => None,
    }
}

/// Starts logging.
pub fn start(format: LogFormat) {
    let word = std::env::var("LOG_LEVEL").unwrap_or_default();
    log::set_max_level(level(&word).unwrap_or(LevelFilter::Info));
    if log::set_boxed_logger(Box::new(Stderr { format })).is_ok() && level(&word).is_none() {
        log::warn!("LOG_LEVEL={word} is not error, info or debug; info is used");
    }
}
