//! Converts the result of a run into the outcome that is reported to the entry
//! host.

use almondlock_base::{Code, Ran};
use almondlock_wire::attempt::Outcome;

use crate::{
    protocol::{Failure, Protocol},
    sidecar::{Inner, failed_outcome},
    ticket::Completion,
};

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Returns the outcome of a run, and checks whether the upstream died if
    /// the connection broke.
    ///
    /// `began` tells whether a part of the answer was passed on, and `flushed`
    /// whether the entry host received the last one.
    pub(crate) async fn resolve_outcome(
        &self,
        end: Completion,
        began: bool,
        flushed: bool,
    ) -> Outcome {
        let failure = match end {
            Completion::Result(Ok(_)) if flushed => {
                return Outcome {
                    code: None,
                    ran: Ran::Yes,
                    message: String::new(),
                    retry_after: None,
                    ..Outcome::refused(Code::CallerLeft, None)
                };
            }
            Completion::Result(Ok(_)) => Failure::OutputClosed,
            Completion::Result(Err(failure)) => failure,
            Completion::Deadline => {
                let text = Code::DeadlinePassed.text().to_owned();
                return failed_outcome(Code::DeadlinePassed, Ran::Yes, text);
            }
            Completion::Cancelled => {
                return failed_outcome(
                    Code::CallerLeft,
                    Ran::Yes,
                    "the entry host cancelled the attempt".to_owned(),
                );
            }
        };
        let text = failure.to_string();
        match failure {
            Failure::Unreachable => {
                self.set_down(true);
                failed_outcome(Code::NoUpstream, Ran::No, text)
            }
            Failure::Refused(413, _) => failed_outcome(Code::PromptTooLong, Ran::No, text),
            Failure::Refused(503 | 429, _) => {
                failed_outcome(Code::MemoryUnavailable, Ran::No, text)
            }
            Failure::Refused(..) => failed_outcome(Code::UpstreamFailed, Ran::No, text),
            Failure::Failed(..) => failed_outcome(Code::UpstreamFailed, Ran::Yes, text),
            Failure::OutputClosed => failed_outcome(Code::CallerLeft, Ran::Yes, text),
            Failure::Broken | Failure::Truncated => {
                let death = self.check_for_death().await;
                let ran = if began { Ran::Yes } else { Ran::Unknown };
                let code = if began {
                    Code::StreamBroken
                } else {
                    Code::UpstreamLost
                };
                let mut outcome = failed_outcome(code, ran, text);
                outcome.died = death.is_some();
                let others = death.unwrap_or_default();
                outcome.beside = others.iter().map(|one| one.fingerprint).collect();
                outcome
            }
        }
    }
}
