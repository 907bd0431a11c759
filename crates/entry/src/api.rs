//! HTTP API for callers, described in `docs/API.md`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use flume::Sender;
use rouille::{Request, Response};
use rw_core::answer::{Answer, Failure, FailureKind, RunCertainty};
use rw_core::dispatcher::JobStatus;
use rw_core::ids::{JobKey, Name};
use rw_core::job::JobSpec;
use rw_host::cluster::Cluster;
use rw_host::{clock, http};

use crate::callers::Callers;
use crate::event_loop::Event;
use crate::request::{JobAnswer, JobRequest};

/// Maximum size of a job request's body in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time after a job's deadline for which its caller still waits for the answer.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// Time for the event loop to take an event, and for its reply to arrive.
const EVENT_LOOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Handler of the HTTP requests to an entry.
#[derive(Clone, Debug)]
pub struct Api {
    /// Sends events to the event loop.
    pub tx: Sender<Event>,
    /// The callers that wait for an answer.
    pub callers: Callers,
    /// Maximum number of callers that wait at the same time.
    pub max_callers: usize,
    /// The entry's view of the cluster, with the configuration in force.
    pub cluster: Cluster,
    /// Whether the entry can accept jobs, as reported by `/readyz`.
    pub ready: Arc<AtomicBool>,
}

impl Api {
    /// Handles one request and returns its response. Blocks until a submitted job is answered.
    pub fn handle(&self, req: &Request) -> Response {
        if let Some(response) =
            http::common_endpoints(req, self.ready.load(Ordering::Acquire), &self.cluster)
        {
            return response;
        }
        let path = req.url();
        let result = match (req.method(), path.strip_prefix("/v1/jobs")) {
            ("POST", Some("")) => self.submit(req),
            ("GET", Some(rest)) => self.status(req, rest),
            ("DELETE", Some(rest)) => self.cancel(req, rest),
            _ => Err(http::problem("not-found", 404, "no such path", None)),
        };
        result.unwrap_or_else(|response| response)
    }

    fn submit(&self, req: &Request) -> Result<Response, Response> {
        let job: JobRequest = http::json_body(req, MAX_BODY_BYTES)?;
        self.check_token(req, job.tenant())?;
        let spec = job
            .into_spec(req.header("Idempotency-Key"), clock::now())
            .map_err(|failure| failure_response(&failure))?;
        let key = spec.key;
        Ok(match self.run(&spec) {
            Ok(results) => http::json(&JobAnswer::new(key, &results)),
            Err(failure) => failure_response(&failure),
        })
    }

    fn run(&self, spec: &JobSpec) -> Answer {
        let timeout = spec.deadline + ANSWER_GRACE;
        let overloaded = || {
            let kind = FailureKind::Overloaded;
            let detail = "too many callers wait at this entry";
            let failure = if spec.keyed {
                Failure::unknown(kind, detail)
            } else {
                Failure::not_run(kind, detail)
            };
            Err(failure.retry_after(1))
        };
        let Some(caller) = self.callers.add(self.max_callers) else {
            return overloaded();
        };
        if self
            .tx
            .send_timeout(
                Event::Submit(spec.clone(), caller.number),
                EVENT_LOOP_TIMEOUT,
            )
            .is_err()
        {
            return overloaded();
        }
        caller.rx.recv_timeout(timeout).unwrap_or_else(|_| {
            Err(Failure::unknown(
                FailureKind::DeadlinePassed,
                "no answer within the deadline",
            ))
        })
    }

    fn status(&self, req: &Request, path: &str) -> Result<Response, Response> {
        let key = parse_key(path)?;
        let tenant = self.tenant_of_token(req)?;
        match self.query(|tx| Event::Status(key, tx))? {
            Some((owner, status)) if owner == tenant => Ok(http::json(&status)),
            _ => Err(no_such_job()),
        }
    }

    fn cancel(&self, req: &Request, path: &str) -> Result<Response, Response> {
        let key = parse_key(path)?;
        let tenant = self.tenant_of_token(req)?;
        if self.query(|tx| Event::Cancel(key, tenant, tx))? {
            Ok(Response::empty_204())
        } else {
            Err(no_such_job())
        }
    }

    fn query<T, F>(&self, event: F) -> Result<T, Response>
    where
        F: FnOnce(Sender<T>) -> Event,
    {
        let busy = || http::problem("overloaded", 503, "the entry is busy", None);
        let (tx, rx) = flume::bounded(1);
        self.tx
            .send_timeout(event(tx), EVENT_LOOP_TIMEOUT)
            .map_err(|_| busy())?;
        rx.recv_timeout(EVENT_LOOP_TIMEOUT).map_err(|_| busy())
    }

    /// Checks that the caller's token is one of the tenant's.
    fn check_token(&self, req: &Request, tenant: &Name) -> Result<(), Response> {
        let Some(state) = self.cluster.state() else {
            let failure = Failure::unknown(FailureKind::NotReady, "no configuration yet");
            return Err(failure_response(&failure.retry_after(1)));
        };
        let Some(known) = state.tenants.get(tenant) else {
            return Err(failure_response(&Failure::not_run(
                FailureKind::UnknownTenant,
                "no such tenant",
            )));
        };
        let hash = http::bearer_hash(req);
        if hash.is_some_and(|hash| known.value.token_hashes.contains(&hash)) {
            return Ok(());
        }
        Err(failure_response(&Failure::not_run(
            FailureKind::Unauthorized,
            "the token is not one of the tenant's",
        )))
    }

    fn tenant_of_token(&self, req: &Request) -> Result<Name, Response> {
        let hash = http::bearer_hash(req);
        let state = self.cluster.state();
        let matching = state
            .iter()
            .flat_map(|state| &state.tenants)
            .find(|(_, tenant)| {
                hash.as_ref()
                    .is_some_and(|hash| tenant.value.token_hashes.contains(hash))
            });
        matching.map(|(name, _)| name.clone()).ok_or_else(|| {
            failure_response(&Failure::unknown(
                FailureKind::Unauthorized,
                "the token is no tenant's",
            ))
        })
    }
}

/// The reply to [`Event::Status`]: the job's tenant and state; `None` if the job is not known.
pub type StatusReply = Option<(Name, JobStatus)>;

fn parse_key(path: &str) -> Result<JobKey, Response> {
    path.strip_prefix('/')
        .and_then(JobKey::parse)
        .ok_or_else(no_such_job)
}

fn no_such_job() -> Response {
    failure_response(&Failure::unknown(
        FailureKind::NoSuchJob,
        "no such job at this entry",
    ))
}

fn failure_response(failure: &Failure) -> Response {
    let outcome = match failure.ran {
        RunCertainty::NotRun => "not-run",
        RunCertainty::Unknown => "unknown",
    };
    let kind = failure.kind;
    let response = http::problem(
        kind.as_str(),
        kind.http_status(),
        &failure.detail,
        Some(outcome),
    );
    match failure.retry_after_s {
        Some(seconds) => response.with_additional_header("Retry-After", seconds.to_string()),
        None => response,
    }
}
