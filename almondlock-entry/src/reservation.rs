//! A retry that is paid for and not sent yet.

use std::sync::Arc;

use almondlock_base::{Ran, id::Organisation, time::Mono};
use almondlock_node::clock;

use crate::{course::Course, request::Request, shared::Shared};

/// A retry that is paid for and not sent yet. Goes back to its budgets when dropped.
pub(crate) struct Reservation {
    shared: Arc<Shared>,
    organisation: Organisation,
    /// Whether the retry was sent, so that nothing goes back.
    is_spent: bool,
}

impl Reservation {
    /// Takes over a retry that was reserved in the budgets of `organisation`.
    pub(crate) fn new(shared: &Arc<Shared>, organisation: Organisation) -> Reservation {
        Reservation {
            shared: Arc::clone(shared),
            organisation,
            is_spent: false,
        }
    }

    /// Spends the retry, which is sent now. Returns `false` if what was to pay for it has
    /// expired.
    fn spend(mut self, now: Mono) -> bool {
        self.is_spent = true;
        let organisation = &self.organisation;
        self.shared
            .with_retries(|retries| retries.spend(organisation, now))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_spent {
            let organisation = &self.organisation;
            self.shared
                .with_retries(|retries| retries.release(organisation));
        }
    }
}

/// Spends what a request has reserved, if anything. Returns `false` if what was to pay for
/// it has expired.
pub(crate) fn spend(shared: &Shared, request: &Request, course: &mut Course) -> bool {
    let Some(reservation) = course.reservation.take() else {
        return true;
    };
    let is_spent = reservation.spend(clock::mono());
    let outcome = match is_spent {
        true => "spent",
        false => "expired",
    };
    log_budget(shared, request, outcome, course.ran);
    is_spent
}

/// Logs what a request did with the retry budgets.
pub(crate) fn log_budget(shared: &Shared, request: &Request, outcome: &str, ran: Ran) {
    let now = clock::mono();
    let (own, host) = shared.with_retries(|retries| {
        let own = retries.account_of(&request.organisation, now);
        (own, retries.account(now))
    });
    tracing::info!(
        request = %request.id, organisation = %request.organisation, outcome, ran = ran.as_str(),
        requests = host.requests, retries = host.retries, reserved = host.reserved,
        left = host.left, own_left = own.map(|own| own.left), "retry budget"
    );
}
