//! UNASKED: a job is cancelled and the cancel acknowledged; a request for it that was sent before
//! arrives at another entry seconds later.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job, config, submit, wait_for};
use crate::http;
use crate::worker::{Begun, Kind};
use crate::{Outcome, Setting};

/// `cancel_ms` of the settings.
const CANCEL: Duration = Duration::from_millis(3000);
/// `retransmitMs` of the settings.
const RETRANSMIT: Duration = Duration::from_millis(1300);
/// Time from the acknowledgement of the cancel to the arrival of the late request.
const LATE: Duration = Duration::from_secs(4);

fn runs_of(cluster: &Cluster, job: &Job) -> Vec<Begun> {
    let all = cluster
        .workers
        .iter()
        .flat_map(crate::worker::Worker::begun);
    all.filter(|b| b.task.starts_with(&job.id)).collect()
}

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let kind = Kind {
        service: "s".into(),
        labels: vec!["a".into(), "r1-1".into()],
        cpu: 8000,
        mem: 16000,
        guards: true,
    };
    let kinds = vec![kind; 3];
    let started = Cluster::start(&setting.bin, record.clone(), 3, &kinds, &config(1, true));
    let Some(cluster) = started else {
        return Outcome::NotRun("the cluster did not get ready");
    };
    let job = Job {
        id: "5c0e7a21d94b36f8".into(),
        spec: "ms=15000".into(),
        phases: "[{\"count\":2,\"cpu\":1000,\"memMb\":64,\"estRuntimeMs\":15000}]".into(),
        cpu: 1000,
        deadline_ms: 25_000,
    };

    // The network between the client and entry 1: it holds what it is given, and breaks the client's
    // connection.
    let released = Arc::new(AtomicBool::new(false));
    let network = TcpListener::bind(cluster.addr(200, 7001)).expect("a free port");
    let network_addr = network.local_addr().expect("an address");
    if setting.trouble {
        let (released, entry, record) = (released.clone(), cluster.entry(1), record.clone());
        thread::spawn(move || hold(&network, entry, &released, &record));
        let answer = submit(
            &setting.record,
            &cluster.needs,
            network_addr,
            1,
            &job,
            RETRANSMIT,
        );
        if answer.status != 0 {
            return Outcome::NotRun("the first request was answered");
        }
        thread::sleep(RETRANSMIT);
    }
    let client = {
        let (record, needs, addr) = (record.clone(), cluster.needs.clone(), cluster.entry(0));
        let job = job.clone();
        thread::spawn(move || submit(&record, &needs, addr, 0, &job, Duration::from_secs(25)))
    };
    if !wait_for(Duration::from_secs(5), || {
        runs_of(&cluster, &job).len() == 2
    }) {
        return Outcome::NotRun("the job did not start");
    }
    thread::sleep(Duration::from_millis(500));
    record.line("client: DELETE of the job to entry 0");
    let answer = http::call(
        cluster.entry(0),
        "DELETE",
        &format!("/q/{}", job.id),
        &[("Host", "h.example")],
        "",
        Duration::from_secs(4),
    );
    let cancelled = Instant::now();
    record.line(&format!(
        "client: DELETE -> {} {}",
        answer.status, answer.body
    ));
    if answer.status / 100 != 2 {
        return Outcome::NotRun("the cancel was not acknowledged");
    }
    let _ = client.join();
    thread::sleep(LATE);
    released.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(4));
    let late: Vec<Begun> = runs_of(&cluster, &job)
        .into_iter()
        .filter(|b| b.at > cancelled + CANCEL)
        .collect();
    for run in &late {
        record.line(&format!(
            "UNASKED: {} run {} began on {} {:.3} s after the cancel was acknowledged; it ended {:?}",
            run.task,
            run.attempt,
            run.worker,
            run.at.duration_since(cancelled).as_secs_f64(),
            run.end.map(|(at, how)| (at.duration_since(run.at), how))
        ));
    }
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Takes one connection and its request, resets the connection, and passes the request on to the entry
/// once it is released.
fn hold(
    network: &TcpListener,
    entry: std::net::SocketAddr,
    released: &AtomicBool,
    record: &crate::record::Record,
) {
    let Ok((mut client, _)) = network.accept() else {
        return;
    };
    let mut buf = Vec::new();
    let Some(message) = http::read_message(&mut client, &mut buf) else {
        return;
    };
    drop(client);
    record.line("network: the client's connection breaks; its request is on its way to entry 1");
    while !released.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    let mut words = message.line.split(' ');
    let (method, path) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let headers: Vec<(&str, &str)> = message
        .headers
        .iter()
        .filter(|(n, _)| n == "host" || n == "x-deadline-ms")
        .map(|(n, v)| (n.as_str(), v.as_str()))
        .collect();
    let text = http::request_text(method, path, &headers, &message.body);
    let Ok(mut stream) = TcpStream::connect(entry) else {
        return;
    };
    record.line("network: the request arrives at entry 1");
    let _ = stream.write_all(text.as_bytes());
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut answer = [0; 1024];
    let len = stream.read(&mut answer).unwrap_or(0);
    record.line(&format!(
        "network: entry 1 answers {:?}",
        String::from_utf8_lossy(&answer[..len])
    ));
}
