//! Metrics that all programs export, and their registration and text format.

use std::sync::LazyLock;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
    TextEncoder,
};
use rw_core::msg::Msg;

/// Upper bounds of the histogram buckets for waits and run times, in seconds.
pub const SECONDS_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0,
];

static SENT: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counters(
        "rw_messages_sent_total",
        "Messages sent on links",
        &["kind"],
    )
});

/// Messages that could not be encoded or were too long, by kind. The link on which one was to be sent
/// is closed.
pub static UNSENT: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counters(
        "rw_messages_unsent_total",
        "Messages too long or not encodable, whose link was closed",
        &["kind"],
    )
});

/// Bytes sent on links, with framing.
pub static SENT_BYTES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_link_bytes_sent_total", "Bytes sent on links"));
/// Frames and datagrams dropped because they failed authentication or did not decode.
pub static BAD_FRAMES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_bad_frames_total", "Frames and datagrams dropped"));
/// Gossip datagrams sent.
pub static DATAGRAMS: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_datagrams_sent_total", "Datagrams sent"));
/// Bytes sent in gossip datagrams.
pub static DATAGRAM_BYTES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_datagram_bytes_sent_total", "Bytes sent in datagrams"));
/// Numbers of objects held in memory, by kind of object (label `what`).
pub static HELD: LazyLock<IntGaugeVec> =
    LazyLock::new(|| gauges("rw_held", "Objects held in memory", &["what"]));

/// Connections of strangers that were refused or closed, by door and cause.
pub static STRANGERS_CLOSED: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counters(
        "rw_strangers_closed_total",
        "Connections of strangers refused or closed, by door and cause",
        &["door", "cause"],
    )
});

/// Runs that ended without a result of the worker, by what the end was concluded from.
pub static RUNS_GONE: LazyLock<IntCounterVec> = LazyLock::new(|| {
    counters(
        "rw_pooled_runs_gone_total",
        "Runs that ended without a result, by evidence",
        &["evidence"],
    )
});

/// Counts a message sent on a link under its kind.
pub fn count_sent(msg: &Msg) {
    SENT.with_label_values(&[msg.kind()]).inc();
}

/// Registers a counter. Panics if the name is invalid or already registered.
pub fn counter(name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric name is valid");
    register(Box::new(counter.clone()));
    counter
}

/// Registers a family of counters with the given label names. Panics if a name is invalid or the
/// metric is already registered.
pub fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    register(Box::new(counters.clone()));
    counters
}

/// Registers a family of gauges with the given label names. Panics if a name is invalid or the
/// metric is already registered.
pub fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    register(Box::new(gauges.clone()));
    gauges
}

/// Registers a family of histograms over [`SECONDS_BUCKETS`] with the given label names. Panics if
/// a name is invalid or the metric is already registered.
pub fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histograms = HistogramVec::new(opts, labels).expect("metric name is valid");
    register(Box::new(histograms.clone()));
    histograms
}

/// Registers a histogram over [`SECONDS_BUCKETS`]. Panics if the name is invalid or already
/// registered.
pub fn histogram(name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts).expect("metric name is valid");
    register(Box::new(histogram.clone()));
    histogram
}

fn register(collector: Box<dyn prometheus::core::Collector>) {
    prometheus::default_registry()
        .register(collector)
        .expect("metric is not registered yet");
}

/// Returns all registered metrics in the Prometheus text format; empty if encoding fails.
pub fn render() -> String {
    let mut buf = Vec::new();
    let families = prometheus::gather();
    if TextEncoder::new().encode(&families, &mut buf).is_err() {
        return String::new();
    }
    String::from_utf8(buf).unwrap_or_default()
}
