//! Five control nodes. Two are silent for a while; a configuration is acknowledged; then two others lose
//! their disks. Once all are back, the configuration must be there.

use std::time::{Duration, Instant};

use super::sleep_ms;
use crate::nodes::{CONTROL_PLANE, Cluster, GROWN, Role, SIGCONT, SIGSTOP};
use crate::record::Record;
use crate::{Verdict, operator};

const NODES: [u8; 5] = [1, 2, 3, 4, 5];
/// The nodes that are silent for a while, and those that lose their disks.
const SILENT: [u8; 2] = [4, 5];
const WIPED: [u8; 2] = [1, 2];
/// Time of silence until the second configuration is sent, in milliseconds.
const SILENT_MS: u64 = 14_000;
/// `recoveryS` of the deployment, and `contactMs`.
const RECOVERY: Duration = Duration::from_secs(15);
const CONTACT: Duration = Duration::from_secs(4);
const VERSION: u64 = 7;

pub fn play(trouble: bool, record: &Record) -> Verdict {
    let Some(mut cluster) = Cluster::new(&GROWN, 5, 4) else {
        return Verdict::CouldNotRun("no programs or no free addresses".into());
    };
    record.note(format!("settings as of site {}", GROWN.site));
    for host in NODES {
        cluster.start(Role::Control, host, true);
    }
    let addrs: Vec<_> = NODES
        .iter()
        .map(|host| cluster.addr(*host, CONTROL_PLANE))
        .collect();
    let ack_time = Duration::from_secs(10);
    if !operator::publish(
        &addrs,
        &operator::config(3, 1500),
        "version 3",
        ack_time,
        record,
    ) {
        return Verdict::CouldNotRun("the first configuration is not acknowledged".into());
    }
    // `catchUpS` is 6 s: by then all five count.
    sleep_ms(8_000);
    let silent_ms = std::env::var("SILENT_MS")
        .ok()
        .and_then(|ms| ms.parse().ok());
    if trouble {
        record.note(format!(
            "core machines {SILENT:?} fall silent (stopped); their disks stay"
        ));
        for host in SILENT {
            cluster.node(host).signal(SIGSTOP);
        }
    }
    sleep_ms(silent_ms.unwrap_or(SILENT_MS));
    let newest = operator::config(VERSION, 1600);
    if !operator::publish(&addrs, &newest, "version 7", ack_time, record) {
        return Verdict::CouldNotRun("the configuration is not acknowledged".into());
    }
    record.note("version 7 is acknowledged");
    sleep_ms(2_000);
    record.note(format!("core machines {WIPED:?} lose their disks"));
    for host in WIPED {
        cluster.power_off(host);
        cluster.lose_disk(host);
    }
    sleep_ms(1_000);
    for host in WIPED {
        cluster.start(Role::Control, host, false);
    }
    if trouble {
        for host in SILENT {
            cluster.node(host).signal(SIGCONT);
        }
    }
    record.note("all core machines are back");
    let back = Instant::now();
    let mut late = Vec::new();
    // Read back for `contactMs` and more after `recoveryS`.
    while back.elapsed() < RECOVERY + CONTACT * 3 {
        let versions = operator::read(&addrs, record);
        if let Some((older, _)) = versions.iter().find(|(version, _)| *version < VERSION) {
            return Verdict::Broken(format!(
                "version {older} is read back, older than the acknowledged {VERSION}"
            ));
        }
        if back.elapsed() >= RECOVERY {
            late.extend(versions);
        }
        sleep_ms(1_000);
    }
    let acked = operator::publish(
        &addrs,
        &operator::config(9, 1500),
        "version 9",
        Duration::from_secs(6),
        record,
    );
    for host in NODES {
        let role = cluster
            .log_lines(host, &["Raft role changed"])
            .pop()
            .unwrap_or_default();
        let voters = cluster
            .log_lines(host, &["voters changed"])
            .pop()
            .unwrap_or_default();
        record.note(format!("log of core {host}: {role} {voters}"));
    }
    if late.is_empty() {
        return Verdict::Broken(format!(
            "{} s after all core machines were back nobody reads version {VERSION} back; a new version is acknowledged: {acked}",
            back.elapsed().as_secs()
        ));
    }
    Verdict::Held(format!("version {VERSION} is read back"))
}
