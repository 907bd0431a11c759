//! Tests of a cluster of real processes on loopback: killed and suspended processes, lost disks,
//! drains and malformed input. The tests compare the answers to the callers with the task starts
//! that the backend servers recorded.

use std::io::{Read, Write};
use std::net::{TcpStream, UdpSocket};
use std::time::Duration;

use rustix::process::Signal;
use rw_core::config::{Change, ChangeRequest, Service};
use rw_core::ids::JobKey;
use rw_core::placement::CLOCK_TOLERANCE;
use rw_load::caller::{Job, Outcome, SubmissionResult, new_key, submit};
use rw_load::cluster::{CALLER_TOKEN, ClusterPlan, OPERATOR_TOKEN, TestCluster, http_request};
use rw_load::slopes::revision_at;

fn job(tasks: usize, run_ms: u64) -> Job {
    Job {
        at: Duration::ZERO,
        tenant: "t1".into(),
        long: false,
        deadline: Duration::from_secs(20),
        runs: vec![Duration::from_millis(run_ms); tasks],
        declared_factor: None,
    }
}

fn start(plan: ClusterPlan) -> TestCluster {
    TestCluster::start(plan).expect("test cluster starts")
}

fn assert_no_duplicate_starts(cluster: &TestCluster) {
    let duplicates: Vec<_> = cluster
        .starts()
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .collect();
    assert!(
        duplicates.is_empty(),
        "tasks started more than once: {duplicates:?}"
    );
}

/// Submits a job in a new thread.
fn submit_later(
    cluster: &TestCluster,
    entry: &str,
    key: JobKey,
    job: &Job,
) -> std::thread::JoinHandle<Outcome> {
    let (entry, job) = (cluster.http_addr(entry), job.clone());
    std::thread::spawn(move || submit(&entry, key, &job))
}

#[test]
fn a_job_of_410_tasks_succeeds_and_resubmissions_get_the_same_answer() {
    let cluster = start(ClusterPlan::default());
    let (key, job) = (new_key(), job(410, 5));
    let outcome = submit(&cluster.http_addr("e0"), key, &job);
    assert_eq!(outcome.result, SubmissionResult::Whole, "{outcome:?}");
    for entry in cluster.entry_addrs() {
        assert_eq!(submit(&entry, key, &job).result, SubmissionResult::Whole);
    }
    assert_eq!(cluster.starts().len(), 410);
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn the_same_key_with_another_body_is_a_conflict() {
    let cluster = start(ClusterPlan::default());
    let key = new_key();
    assert_eq!(
        submit(&cluster.http_addr("e0"), key, &job(2, 5)).result,
        SubmissionResult::Whole
    );
    for entry in cluster.entry_addrs() {
        assert_eq!(submit(&entry, key, &job(3, 5)).problem, "key-conflict");
    }
}

#[test]
fn a_job_succeeds_at_another_entry_after_its_entry_was_killed() {
    let mut cluster = start(ClusterPlan::default());
    // An agent confirms that it has not started a job only if the job's key was created at least
    // the clock tolerance after the agent's records begin.
    std::thread::sleep(CLOCK_TOLERANCE);
    let (key, job) = (new_key(), job(60, 150));
    let first = submit_later(&cluster, "e0", key, &job);
    std::thread::sleep(Duration::from_millis(400));
    cluster.kill("e0");
    assert_eq!(first.join().unwrap().result, SubmissionResult::Lost);
    let second = submit(&cluster.http_addr("e1"), key, &job);
    assert_eq!(second.result, SubmissionResult::Whole, "{second:?}");
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn a_job_whose_agent_was_killed_and_restarted_has_an_unknown_outcome() {
    let mut cluster = start(ClusterPlan::default());
    let (key, job) = (new_key(), job(60, 200));
    let first = submit_later(&cluster, "e0", key, &job);
    let has_started = |cluster: &TestCluster| cluster.starts_at("b1") > 0;
    cluster
        .wait_for(
            Duration::from_secs(10),
            "a task runs at the worker",
            has_started,
        )
        .unwrap();
    cluster.kill("w1");
    cluster.start_node("w1").unwrap();
    let outcome = first.join().unwrap();
    assert_eq!(
        outcome.result,
        SubmissionResult::Unknown,
        "the lost worker had started tasks of the job: {outcome:?}"
    );
    let again = submit(&cluster.http_addr("e1"), key, &job);
    assert_eq!(
        again.result,
        SubmissionResult::Unknown,
        "a resubmission gets the same answer: {again:?}"
    );
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn a_suspended_agent_starts_no_earlier_task_after_it_resumes() {
    let cluster = start(ClusterPlan::default());
    let jobs: Vec<_> = (0..8)
        .map(|i| (new_key(), if i % 2 == 0 { "e0" } else { "e1" }))
        .collect();
    let waiting: Vec<_> = jobs
        .iter()
        .map(|(key, entry)| submit_later(&cluster, entry, *key, &job(20, 60)))
        .collect();
    std::thread::sleep(Duration::from_millis(150));
    cluster.signal("w0", Signal::STOP);
    std::thread::sleep(Duration::from_secs(4));
    cluster.signal("w0", Signal::CONT);
    for outcome in waiting {
        let outcome = outcome.join().unwrap();
        assert_eq!(outcome.result, SubmissionResult::Whole, "{outcome:?}");
    }
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn no_task_starts_twice_after_all_agents_were_killed_and_lost_their_records() {
    let mut cluster = start(ClusterPlan::default());
    let (key, job) = (new_key(), job(30, 300));
    let first = submit_later(&cluster, "e0", key, &job);
    std::thread::sleep(Duration::from_millis(300));
    for worker in ["w0", "w1", "w2"] {
        cluster.kill(worker);
    }
    for worker in ["w0", "w1", "w2"] {
        cluster.start_node(worker).unwrap();
    }
    assert_eq!(first.join().unwrap().result, SubmissionResult::Unknown);
    let again = submit(&cluster.http_addr("e1"), key, &job);
    assert!(
        matches!(again.result, SubmissionResult::Unknown),
        "{again:?}"
    );
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn no_accepted_change_is_lost_after_a_lost_control_disk_and_a_lost_second_control_vm() {
    let mut cluster = start(ClusterPlan {
        controls: 3,
        ..ClusterPlan::default()
    });
    let put = |cluster: &TestCluster, name: &str| {
        let change = Change::PutService {
            name: name.into(),
            service: Service::default(),
        };
        cluster.change(change).expect("change is accepted")
    };
    cluster
        .wait_for(Duration::from_secs(20), "3 voters", |cluster| {
            voters(cluster) == 3
        })
        .unwrap();
    put(&cluster, "before");
    let lost = disk_of(&cluster, "c1");
    assert_ne!(lost, 0);
    cluster.kill("c1");
    std::fs::remove_dir_all(cluster.dir.join("c1")).unwrap();
    std::fs::create_dir(cluster.dir.join("c1")).unwrap();
    cluster.start_node("c1").unwrap();
    put(&cluster, "while");
    cluster
        .wait_for(Duration::from_secs(30), "readmitted", |cluster| {
            voters(cluster) == 3 && ![0, lost].contains(&disk_of(cluster, "c1"))
        })
        .unwrap();
    cluster.kill("c0");
    let revision = put(&cluster, "after");
    let status = cluster
        .confirmed_status(Duration::from_secs(10))
        .expect("a leader confirms the status");
    for name in ["before", "while", "after"] {
        assert!(
            status["state"]["services"][name].is_object(),
            "service {name} was lost"
        );
    }
    cluster.start_node("c0").unwrap();
    for node in ["c0", "c1", "c2", "e0", "e1", "w0", "w1", "w2"] {
        cluster
            .wait_for(Duration::from_secs(20), node, |cluster| {
                revision_at(cluster, node) >= revision
            })
            .unwrap();
    }
}

/// Returns the number of voters according to the status of a control node.
fn voters(cluster: &TestCluster) -> usize {
    cluster
        .status()
        .and_then(|status| status["log"]["voters"].as_array().map(Vec::len))
        .unwrap_or(0)
}

/// Returns the id of the disk with which a control node is a voter, or 0 if it is not a voter.
fn disk_of(cluster: &TestCluster, node: &str) -> u64 {
    let status = cluster.status().unwrap_or_default();
    let voters = status["log"]["voters"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    voters
        .iter()
        .find(|voter| voter["name"] == node)
        .and_then(|voter| voter["disk"].as_u64())
        .unwrap_or(0)
}

#[test]
fn jobs_succeed_while_all_control_vms_are_down_and_changes_succeed_after_their_restart() {
    let mut cluster = start(ClusterPlan {
        controls: 3,
        ..ClusterPlan::default()
    });
    for control in ["c0", "c1", "c2"] {
        cluster.kill(control);
    }
    std::thread::sleep(Duration::from_secs(3));
    let outcome = submit(&cluster.http_addr("e0"), new_key(), &job(40, 20));
    assert_eq!(outcome.result, SubmissionResult::Whole, "{outcome:?}");
    for control in ["c0", "c1", "c2"] {
        cluster.start_node(control).unwrap();
    }
    let change = Change::Activate {
        name: "peak".into(),
    };
    cluster
        .change(change)
        .expect("change is accepted after the restart");
}

#[test]
fn the_second_change_on_a_revision_conflicts_and_resends_get_their_first_result() {
    let cluster = start(ClusterPlan {
        controls: 3,
        ..ClusterPlan::default()
    });
    let base = cluster.status().unwrap()["state"]["revision"]
        .as_u64()
        .unwrap();
    let request = |preset: &str| ChangeRequest {
        request_id: uuid::Uuid::now_v7(),
        base,
        change: Change::Activate {
            name: preset.into(),
        },
    };
    let (first, second) = (request("peak"), request("maintenance"));
    let results = [cluster.send_change(&first), cluster.send_change(&second)];
    assert!(results[0].is_ok() && results[1].is_err(), "{results:?}");
    assert!(
        results[1]
            .as_ref()
            .unwrap_err()
            .to_string()
            .contains("conflict")
    );
    let resent = cluster
        .send_change(&first)
        .expect("resend of an accepted change gets the first result");
    assert_eq!(resent, *results[0].as_ref().unwrap());
    assert!(
        cluster.send_change(&second).is_err(),
        "resend of a rejected change gets the first result"
    );
    let status = cluster.confirmed_status(Duration::from_secs(10)).unwrap();
    assert_eq!(status["state"]["in_force"]["value"], "peak");
}

#[test]
fn a_hundred_changes_are_in_force_at_every_node() {
    let cluster = start(ClusterPlan {
        controls: 3,
        ..ClusterPlan::default()
    });
    let mut last = 0;
    for i in 0..100 {
        let change = Change::PutService {
            name: format!("s{i}").into(),
            service: Service::default(),
        };
        let revision = cluster.change(change).expect("change is accepted");
        assert!(revision > last, "revisions increase");
        last = revision;
    }
    for node in ["c0", "c1", "c2", "e0", "e1", "w0", "w1", "w2"] {
        cluster
            .wait_for(Duration::from_secs(20), node, |cluster| {
                revision_at(cluster, node) >= last
            })
            .unwrap();
    }
}

#[test]
fn sigterm_of_an_entry_and_of_an_agent_under_load_cuts_off_no_request() {
    let mut cluster = start(ClusterPlan::default());
    let waiting: Vec<_> = (0..30)
        .map(|i| {
            submit_later(
                &cluster,
                if i % 2 == 0 { "e0" } else { "e1" },
                new_key(),
                &job(10, 100),
            )
        })
        .collect();
    std::thread::sleep(Duration::from_millis(300));
    cluster.signal("e0", Signal::TERM);
    cluster.signal("w1", Signal::TERM);
    for outcome in waiting {
        let outcome = outcome.join().unwrap();
        assert_eq!(outcome.result, SubmissionResult::Whole, "{outcome:?}");
    }
    for node in ["e0", "w1"] {
        assert_eq!(
            cluster.wait_for_exit(node, Duration::from_secs(20)),
            Some(true),
            "{node} exits with success"
        );
    }
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn a_drained_worker_gets_no_new_work() {
    let cluster = start(ClusterPlan::default());
    cluster
        .change(Change::Drain {
            worker: "w0".into(),
        })
        .unwrap();
    std::thread::sleep(Duration::from_secs(2));
    let before = cluster.metric("w0", "rw_agent_run_seconds_count", "");
    assert_eq!(
        submit(&cluster.http_addr("e0"), new_key(), &job(60, 10)).result,
        SubmissionResult::Whole
    );
    let runs = cluster.metric("w0", "rw_agent_run_seconds_count", "") - before;
    assert!(runs < 0.5, "{runs} tasks were run on the drained worker");
}

#[test]
fn tasks_of_a_killed_backend_server_run_elsewhere() {
    let mut cluster = start(ClusterPlan::default());
    cluster.kill("b0");
    let outcomes: Vec<_> = (0..6)
        .map(|_| submit_later(&cluster, "e0", new_key(), &job(20, 30)))
        .map(|t| t.join().unwrap())
        .collect();
    assert!(
        outcomes.iter().all(|o| o.result == SubmissionResult::Whole),
        "tasks whose connection was refused are run elsewhere: {outcomes:?}"
    );
    assert_no_duplicate_starts(&cluster);
}

#[test]
fn malformed_requests_and_random_frames_crash_no_process() {
    let mut cluster = start(ClusterPlan {
        controls: 3,
        ..ClusterPlan::default()
    });
    let nodes = ["c0", "e0", "e1", "w0"];
    let memory: Vec<u64> = nodes
        .iter()
        .map(|node| cluster.memory_bytes(node))
        .collect();
    for i in 0..1000 {
        let body = "{\"tenant\":".repeat(1 + i % 7);
        let reply = http_request(
            "POST",
            &format!("http://{}/v1/jobs", cluster.http_addr("e0")),
            CALLER_TOKEN,
            Some(&body),
        );
        assert_eq!(reply.unwrap().0, 400);
    }
    for node in nodes {
        send_random_bytes(&cluster, node);
        let rejected = cluster.metric(node, "rw_bad_frames_total", "");
        assert!(
            rejected >= 1000.0,
            "{node} counted {rejected} bad frames, expected at least 1000"
        );
    }
    for (node, before) in nodes.iter().zip(memory) {
        assert!(cluster.is_running(node), "{node} crashed");
        let grown = cluster.memory_bytes(node).saturating_sub(before);
        assert!(
            grown < 64 * 1024 * 1024,
            "memory of {node} grew by {grown} bytes"
        );
    }
    assert_eq!(
        submit(&cluster.http_addr("e0"), new_key(), &job(20, 10)).result,
        SubmissionResult::Whole
    );
}

/// Sends random bytes to a node as gossip datagrams and as the start of links.
fn send_random_bytes(cluster: &TestCluster, node: &str) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let mut rng = fastrand::Rng::with_seed(5);
    for i in 0..1000 {
        let bytes: Vec<u8> = (0..rng.usize(1..400)).map(|_| rng.u8(..)).collect();
        socket.send_to(&bytes, cluster.gossip_addr(node)).unwrap();
        if i % 50 == 0 {
            std::thread::sleep(Duration::from_millis(5));
        }
        let mut stream = TcpStream::connect(cluster.link_addr(node)).unwrap();
        let _ = stream.write_all(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        let _ = stream.read(&mut [0; 64]);
    }
}

#[test]
fn each_refusal_has_its_own_type_and_states_that_no_task_was_run() {
    let cluster = start(ClusterPlan::default());
    let url = format!("http://{}/v1/jobs", cluster.http_addr("e0"));
    let body = |tenant: &str, service: &str, more: &str| {
        format!(
            "{{\"tenant\":\"{tenant}\",\"service\":\"{service}\",\"class\":\"short\",\
             \"deadline_ms\":3000,{more}\"tasks\":[{{\"payload\":\"run=1\"}}]}}"
        )
    };
    let cases = [
        (CALLER_TOKEN, body("nobody", "lab", ""), "unknown-tenant"),
        (CALLER_TOKEN, body("t1", "nothing", ""), "unknown-service"),
        ("wrong", body("t1", "lab", ""), "unauthorized"),
        (
            CALLER_TOKEN,
            body("t1", "lab", "\"idempotent\":false,"),
            "key-required",
        ),
        (
            CALLER_TOKEN,
            body("t1", "lab", "\"needs\":{\"accelerators\":9},"),
            "never-fits",
        ),
        (CALLER_TOKEN, "{}".into(), "malformed"),
    ];
    for (token, body, kind) in cases {
        let (_, text) = http_request("POST", &url, token, Some(&body)).unwrap();
        assert!(
            text.contains(&format!("urn:redwingwick:{kind}")),
            "{kind}: {text}"
        );
        assert!(
            text.contains("not-run"),
            "{kind}: answer does not state that no task was run: {text}"
        );
    }
    let status = http_request(
        "GET",
        &format!("http://{}/v1/status", cluster.http_addr("c0")),
        "wrong",
        None,
    )
    .unwrap();
    assert_eq!(status.0, 401);
    assert!(
        http_request(
            "GET",
            &format!("http://{}/v1/status", cluster.http_addr("c0")),
            OPERATOR_TOKEN,
            None
        )
        .unwrap()
        .0 == 200
    );
}
