//! What the end of a run means for its caller.

use almondlock_base::{Code, Ran};
use almondlock_wire::attempt::Outcome;

use crate::{
    protocol::{Failure, Protocol},
    service::{Inner, failed},
    ticket::End,
};

impl<P> Inner<P>
where
    P: Protocol,
{
    /// Puts the end of a run into words, and finds out whether the upstream died.
    pub(crate) async fn judge(&self, end: End, began: bool, flushed: bool) -> Outcome {
        let failure = match end {
            End::Result(Ok(_)) if flushed => {
                return Outcome {
                    code: None,
                    ran: Ran::Yes,
                    message: String::new(),
                    retry_after: None,
                    ..Outcome::refused(Code::CallerLeft, None)
                };
            }
            End::Result(Ok(_)) => Failure::Gone,
            End::Result(Err(failure)) => failure,
            End::Deadline => {
                let text = Code::DeadlinePassed.text().to_owned();
                return failed(Code::DeadlinePassed, Ran::Yes, text);
            }
            End::GivenUp => {
                return failed(Code::CallerLeft, Ran::Yes, "given up".to_owned());
            }
        };
        let text = failure.to_string();
        match failure {
            Failure::Unreachable => {
                self.set_down(true);
                failed(Code::NoUpstream, Ran::No, text)
            }
            Failure::Refused(413, _) => failed(Code::PromptTooLong, Ran::No, text),
            Failure::Refused(503 | 429, _) => failed(Code::MemoryUnavailable, Ran::No, text),
            Failure::Refused(..) => failed(Code::UpstreamFailed, Ran::No, text),
            Failure::Failed(..) => failed(Code::UpstreamFailed, Ran::Yes, text),
            Failure::Gone => failed(Code::CallerLeft, Ran::Yes, text),
            Failure::Broken | Failure::Truncated => {
                let death = self.look_for_death().await;
                let ran = if began { Ran::Yes } else { Ran::Unknown };
                let code = if began {
                    Code::StreamBroken
                } else {
                    Code::UpstreamLost
                };
                let mut outcome = failed(code, ran, text);
                outcome.died = death.is_some();
                let others = death.unwrap_or_default();
                outcome.beside = others.iter().map(|one| one.fingerprint).collect();
                outcome
            }
        }
    }
}
