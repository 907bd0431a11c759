//! The logger: one line per event, as text with key=value fields or as JSON.

use std::fmt::Write as _;
use std::time::SystemTime;

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};

mod sink;

use crate::settings::{Level, LogSettings};

pub use sink::{MAX_WRITE_BYTES, flush, line_chunks};

/// Installs the process-wide logger according to the settings, and the logging of panics. Has no
/// effect if one is installed.
pub fn init(settings: &LogSettings) {
    let level = match settings.level {
        Level::Error => LevelFilter::Error,
        Level::Warn => LevelFilter::Warn,
        Level::Info => LevelFilter::Info,
        Level::Debug => LevelFilter::Debug,
    };
    let json = settings.json;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let line = if json {
                json_line(message, record)
            } else {
                text_line(message, record)
            };
            out.finish(format_args!("{line}"));
        });
    let dispatch = if settings.stdout {
        dispatch.chain(sink::start())
    } else {
        dispatch.chain(std::io::stderr())
    };
    if dispatch.apply().is_ok() {
        crate::panics::install_hook();
    }
}

fn time() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

fn text_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = format!("{} {} {message}", time(), record.level());
    let mut fields = TextFields(&mut line);
    let _ = record.key_values().visit(&mut fields);
    line
}

struct TextFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for TextFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = value.to_string();
        if value.contains([' ', '"', '=']) {
            let _ = write!(self.0, " {key}={value:?}");
        } else {
            let _ = write!(self.0, " {key}={value}");
        }
        Ok(())
    }
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut line = String::with_capacity(256);
    line.push('{');
    let mut fields = JsonFields(&mut line);
    fields.add("time", &time());
    fields.add("level", &record.level());
    fields.add("message", message);
    let _ = record.key_values().visit(&mut fields);
    line.push('}');
    line
}

/// Appends fields to the line without intermediate strings: each job logs several lines.
struct JsonFields<'a>(&'a mut String);

impl JsonFields<'_> {
    fn add(&mut self, key: &str, value: &dyn std::fmt::Display) {
        if !self.0.ends_with('{') {
            self.0.push(',');
        }
        let _ = write!(self.0, "\"{key}\":\"");
        let _ = write!(Escaped(self.0), "{value}");
        self.0.push('"');
    }
}

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.add(key.as_str(), &value);
        Ok(())
    }
}

/// A writer that escapes quotes, backslashes and control characters for a JSON string.
struct Escaped<'a>(&'a mut String);

impl std::fmt::Write for Escaped<'_> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        for c in text.chars() {
            match c {
                '"' => self.0.push_str("\\\""),
                '\\' => self.0.push_str("\\\\"),
                c if c < ' ' => write!(self.0, "\\u{:04x}", c as u32)?,
                c => self.0.push(c),
            }
        }
        Ok(())
    }
}
