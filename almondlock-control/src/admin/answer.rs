//! How answers look.

use almondlock_base::Code;
use almondlock_state::api::{CODE_HEADER, Failure as Body, Problem};
use ntex::{
    http::{StatusCode, header::CACHE_CONTROL},
    web::HttpResponse,
};
use serde::Serialize;

use super::Failure;

/// Makes an answer of a result.
pub(super) fn respond<T>(result: Result<T, Problem>) -> HttpResponse
where
    T: Serialize,
{
    match result {
        Ok(value) => HttpResponse::Ok()
            .set_header(CACHE_CONTROL, "no-store")
            .json(&value),
        Err(problem) => refuse(problem),
    }
}

fn refuse(problem: Problem) -> HttpResponse {
    let known = Code::from_number(problem.code);
    let status = known
        .map(Code::status)
        .and_then(|number| StatusCode::from_u16(number).ok());
    HttpResponse::build(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .set_header(CODE_HEADER, problem.code.to_string())
        .set_header(CACHE_CONTROL, "no-store")
        .json(&Body { error: problem })
}

/// Any path that isn't served.
pub(super) async fn unknown_route() -> HttpResponse {
    refuse(Code::UnknownRoute.into())
}

impl From<Failure> for Problem {
    fn from(failure: Failure) -> Problem {
        let mut problem = Problem::from(failure.code());
        if let Failure::NotLeader(leader) = failure {
            problem.leader = leader;
        }
        problem
    }
}
