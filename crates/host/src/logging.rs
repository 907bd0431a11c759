//! Logs: one line per event, with key=value fields or as JSON.

use std::fmt::Write as _;
use std::time::SystemTime;

use log::LevelFilter;
use log::kv::{Error, Key, Value, VisitSource};

mod sink;

use crate::settings::{Level, LogSettings};

pub use sink::flush;

/// Sends logs where the settings say.
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
    let _ = dispatch.apply();
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
    let mut object = serde_json::Map::new();
    object.insert("time".into(), time().into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("message".into(), message.to_string().into());
    let mut fields = JsonFields(&mut object);
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(object).to_string()
}

struct JsonFields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}
