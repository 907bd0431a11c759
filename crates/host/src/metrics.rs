//! Metrics that all programs have, and their text form.

use std::sync::LazyLock;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGaugeVec, Opts,
    TextEncoder,
};
use rw_core::msg::Msg;

/// Buckets for waits and run times, in seconds.
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

/// Bytes sent on links.
pub static SENT_BYTES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_link_bytes_sent_total", "Bytes sent on links"));
/// Frames and datagrams that were dropped because they were not authentic or not messages.
pub static BAD_FRAMES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_bad_frames_total", "Frames and datagrams dropped"));
/// Datagrams sent.
pub static DATAGRAMS: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_datagrams_sent_total", "Datagrams sent"));
/// Bytes sent in datagrams.
pub static DATAGRAM_BYTES: LazyLock<IntCounter> =
    LazyLock::new(|| counter("rw_datagram_bytes_sent_total", "Bytes sent in datagrams"));
/// Sizes of what the program holds.
pub static HELD: LazyLock<IntGaugeVec> =
    LazyLock::new(|| gauges("rw_held", "Objects held in memory", &["what"]));

/// Counts a sent message under its kind.
pub fn sent(msg: &Msg) {
    SENT.with_label_values(&[msg.kind()]).inc();
}

/// Registers a counter.
pub fn counter(name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("metric name is valid");
    register(Box::new(counter.clone()));
    counter
}

/// Registers counters with labels.
pub fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    register(Box::new(counters.clone()));
    counters
}

/// Registers gauges with labels.
pub fn gauges(name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("metric name is valid");
    register(Box::new(gauges.clone()));
    gauges
}

/// Registers histograms of seconds with labels.
pub fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histograms = HistogramVec::new(opts, labels).expect("metric name is valid");
    register(Box::new(histograms.clone()));
    histograms
}

/// Registers a histogram of seconds.
pub fn histogram(name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(name, help).buckets(SECONDS_BUCKETS.to_vec());
    let histogram = Histogram::with_opts(opts).expect("metric name is valid");
    register(Box::new(histogram.clone()));
    histogram
}

fn register(collector: Box<dyn prometheus::core::Collector>) {
    prometheus::default_registry()
        .register(collector)
        .expect("metric is registered once");
}

/// All metrics in the text format.
pub fn render() -> String {
    let mut buf = Vec::new();
    let families = prometheus::gather();
    if TextEncoder::new().encode(&families, &mut buf).is_err() {
        return String::new();
    }
    String::from_utf8(buf).unwrap_or_default()
}
