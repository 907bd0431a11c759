//! HTTP for monitoring and operators: readiness checks, metrics, and explanations of where a job would
//! go.

use rw_core::pool::Uptime;
use rw_core::pool::question::{EXPLAIN_PATH, EntryExplanation, Question, QuestionError};
use rw_host::clock;
use rw_host::http::authorization_hash;
use rw_host::net::{ConnId, HttpRequest, HttpResponse};
use rw_host::pooled::{METRICS_TAG, metrics_response};

use super::{Daemon, READINESS_TAG};

/// Maximum size of a question in bytes.
const MAX_QUESTION_BYTES: usize = 4 * 1024;
/// After an explanation, none is given for this multiple of the time that it took, so that questions
/// take little of the thread that serves callers.
const EXPLANATION_PAUSE_FACTOR: u32 = 10;

impl Daemon {
    pub(super) fn on_monitoring_request(
        &mut self,
        now: Uptime,
        conn: ConnId,
        tag: u8,
        req: &HttpRequest,
    ) {
        let response = match tag {
            READINESS_TAG if req.path == self.protocol.readiness_path() => {
                HttpResponse::empty(if self.ready { 200 } else { 503 })
            }
            METRICS_TAG if req.path == "/metrics" => metrics_response(),
            METRICS_TAG if req.path == EXPLAIN_PATH => self.explain(now, req),
            _ => HttpResponse::empty(404),
        };
        self.net.respond(conn, &response);
    }

    /// Answers an operator's question. Nothing changes by it but a log line.
    fn explain(&mut self, now: Uptime, req: &HttpRequest) -> HttpResponse {
        if self.operator_token_hashes.is_empty() {
            return text(404, "explanations are not served: no operator token is set");
        }
        if req.method != "POST" {
            return text(405, "only POST is allowed");
        }
        let hash = authorization_hash(req.header("authorization"));
        if !hash.is_some_and(|hash| self.operator_token_hashes.contains(&hash)) {
            return text(401, "the token is not an operator's");
        }
        match self.answer_question(now, &req.body) {
            Ok(response) => response,
            Err((status, reason)) => {
                log::info!(status = status, reason = reason; "explanation refused");
                text(status, &reason)
            }
        }
    }

    fn answer_question(&mut self, now: Uptime, body: &[u8]) -> Result<HttpResponse, (u16, String)> {
        if body.len() > MAX_QUESTION_BYTES {
            let reason = format!("a question has at most {MAX_QUESTION_BYTES} bytes");
            return Err((413, reason));
        }
        let question: Question = serde_json::from_slice(body).map_err(|e| (400, e.to_string()))?;
        question.check().map_err(|e| (400, e.to_string()))?;
        let queues = self.queues.as_ref();
        let queues = queues.ok_or_else(|| (503, "no catalogue is in force here yet".to_owned()))?;
        let queue = question.find(queues).map_err(|e| match e {
            QuestionError::UnknownQueue(_) => (422, e.to_string()),
            QuestionError::Tasks | QuestionError::NoQueue => (400, e.to_string()),
        })?;
        if now < self.next_explanation {
            return Err((503, "an explanation was just given; ask again".to_owned()));
        }
        let deadline = question.deadline.unwrap_or(queue.timeout);
        let begun = clock::uptime();
        let explanation = self
            .scheduler
            .explain(now, &question.job(), queue, deadline);
        let ended = clock::uptime();
        let took = ended.saturating_sub(begun);
        self.next_explanation = ended + took * EXPLANATION_PAUSE_FACTOR;
        log::info!(queue:% = queue.name, tasks = question.tasks, outcome = explanation.outcome.as_str(),
            version = self.catalog_version; "job explained");
        let answer = EntryExplanation {
            entry: self.cluster.hello.node.name.clone(),
            catalog_version: self.catalog_version,
            shutting_down: self.refuses_requests(now),
            explanation,
        };
        let body = serde_json::to_vec(&answer).map_err(|e| (500, e.to_string()))?;
        Ok(HttpResponse::with_body(200, "application/json", body))
    }
}

fn text(status: u16, reason: &str) -> HttpResponse {
    HttpResponse::with_body(status, "text/plain; charset=utf-8", reason.into())
}
