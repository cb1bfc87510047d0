//! One run of the program, after the command line was understood.

use std::{
    io::{self, BufRead, Write},
    time::Duration,
};

use almondlock_base::{Ran, unit::Revision};
use almondlock_state::{
    api::{
        Failure, History, Models, Operators, Organisations, Planned, Plans, Problem, Proposal,
        Replicas, Status, Upstreams, Watch,
    },
    intent::Intent,
    plan::{self, State},
};
use ntex::{client::error::ClientBuilderError, time::sleep};
use rustls::ClientConfig;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    client::{Asker, Question},
    print,
    request::{Prepared, Request, View},
    table::Paint,
    view::Show,
};

/// How long a confirmed plan is waited for, unless told otherwise.
const WAIT: Duration = Duration::from_secs(30);
/// Pause between two looks at a plan.
const LOOK: Duration = Duration::from_millis(250);
/// How long one watch is held by a replica.
const HOLD: Duration = Duration::from_secs(20);

/// What the command line and the environment say.
pub(crate) struct Settings {
    pub(crate) control: Vec<String>,
    pub(crate) entry: Vec<String>,
    pub(crate) key: String,
    pub(crate) tls: Option<ClientConfig>,
    pub(crate) json: bool,
    pub(crate) number: String,
    pub(crate) yes: bool,
    pub(crate) wait: Option<u64>,
    pub(crate) paint: Paint,
    pub(crate) interactive: bool,
}

/// It was refused or failed, and that was said.
pub(crate) struct Failed;

/// A run.
pub(crate) struct Session {
    settings: Settings,
    control: Asker,
    entry: Asker,
}

impl Session {
    pub(crate) async fn new(settings: Settings) -> Result<Session, ClientBuilderError> {
        let (key, tls) = (settings.key.clone(), settings.tls.clone());
        let control = Asker::new(settings.control.clone(), key.clone(), tls.clone()).await?;
        let entry = Asker::new(settings.entry.clone(), key, tls).await?;
        Ok(Session {
            settings,
            control,
            entry,
        })
    }

    pub(crate) async fn run(self, prepared: Prepared) -> Result<(), Failed> {
        let changes = matches!(
            prepared.request,
            Request::Propose(_) | Request::Confirm(_) | Request::Stop(_)
        );
        let done = match prepared.request {
            Request::Show(view) => self.show(view).await,
            Request::Propose(intent) => self.propose(intent, prepared.key).await,
            Request::Confirm(plan) => self.confirm(plan).await,
            Request::Stop(plan) => self.stop(plan).await,
            Request::Explain(request) => self.explain(&request).await,
            Request::Watch(count) => self.watch(count).await,
            Request::Hash(_) => Ok(()),
        };
        done.map_err(|problem| self.complain(problem, changes))
    }

    async fn show(&self, view: View) -> Result<(), Problem> {
        let path = view.path();
        match view {
            View::Status => {
                let question = Question::get(path);
                let current = |status: &Status| status.current;
                let status: Status = self.control.ask_best(&question, current).await?;
                self.tell(&status)
            }
            View::Organisations => self.fetch::<Organisations>(path).await,
            View::Models => self.fetch::<Models>(path).await,
            View::Upstreams => self.fetch::<Upstreams>(path).await,
            View::Replicas => self.fetch::<Replicas>(path).await,
            View::Operators => self.fetch::<Operators>(path).await,
            View::Plans => self.fetch::<Plans>(path).await,
            View::Plan(_) => self.fetch::<Planned>(path).await,
            View::History(_) => self.fetch::<History>(path).await,
        }
    }

    async fn fetch<T>(&self, path: String) -> Result<(), Problem>
    where
        T: Show + Serialize + DeserializeOwned,
    {
        let answer: T = self.control.ask(&Question::get(path)).await?;
        self.tell(&answer)
    }

    /// Proposes, shows the plan, and confirms it when told to.
    async fn propose(&self, intent: Intent, key: Option<String>) -> Result<(), Problem> {
        let propose = Proposal {
            number: self.settings.number.clone(),
            intent,
        };
        let question = post("/v1/plans", &propose)?;
        let planned: Planned = self.control.ask(&question).await?;
        let id = planned.plan.id;
        let waits = planned.plan.state == State::Proposed;
        if !(waits && self.settings.yes) {
            self.tell(&planned)?;
        }
        if let Some(key) = key {
            self.show_key(&key);
        }
        if !waits {
            return Ok(());
        }
        if self.settings.yes || self.asks(id) {
            return self.confirm(id).await;
        }
        self.hint(&format!(
            "nothing has changed; confirm with: almondlock confirm {id}"
        ));
        Ok(())
    }

    async fn confirm(&self, id: plan::Id) -> Result<(), Problem> {
        let question = post(format!("/v1/plans/{id}/confirm"), &())?;
        let planned: Planned = self.control.ask(&question).await?;
        let planned = self.await_end(planned).await?;
        self.tell(&planned)?;
        if planned.plan.state == State::Failed {
            return Err(Problem::new(
                almondlock_base::Code::PlanState,
                planned.plan.message,
            ));
        }
        Ok(())
    }

    /// Looks at a plan until it is over and in force, or the time is.
    async fn await_end(&self, mut planned: Planned) -> Result<Planned, Problem> {
        let mut left = self.settings.wait.map_or(WAIT, Duration::from_secs);
        let path = View::Plan(planned.plan.id).path();
        let ended = |it: &Planned| it.plan.state.is_over() && it.in_force != Some(false);
        while !ended(&planned) && left > Duration::ZERO {
            let pause = LOOK.min(left);
            sleep(pause).await;
            left -= pause;
            planned = self.control.ask(&Question::get(path.clone())).await?;
        }
        Ok(planned)
    }

    async fn stop(&self, id: plan::Id) -> Result<(), Problem> {
        let question = post(format!("/v1/plans/{id}/stop"), &())?;
        let planned: Planned = self.control.ask(&question).await?;
        self.tell(&planned)
    }

    /// Asks every entry host, since only those that saw the request know it.
    async fn explain(&self, request: &str) -> Result<(), Problem> {
        let question = Question::get(format!("/v1/explain/{request}"));
        let mut found = Vec::new();
        let mut last = None;
        for address in &self.settings.entry {
            match self
                .entry
                .ask_one::<serde_json::Value>(address, &question)
                .await
            {
                Ok(answer) => found.push(serde_json::json!({"entry": address, "request": answer})),
                Err(problem) => last = Some(problem),
            }
        }
        if let (true, Some(problem)) = (found.is_empty(), last) {
            return Err(problem);
        }
        let text = serde_json::to_string_pretty(&found).unwrap_or_default();
        print(&format!("{text}\n"));
        Ok(())
    }

    /// Shows news as they come: a new revision, or a plan that went on.
    async fn watch(&self, count: Option<usize>) -> Result<(), Problem> {
        let mut after = Revision::ZERO;
        let mut shown: Option<Watch> = None;
        let mut left = count.unwrap_or(usize::MAX);
        while left > 0 {
            let wait = if shown.is_none() {
                Duration::ZERO
            } else {
                HOLD
            };
            let path = format!("/v1/watch?after={after}&wait={}", wait.as_millis());
            let news: Watch = self.control.ask(&Question::get(path).waiting(wait)).await?;
            after = news.revision;
            if shown.as_ref() != Some(&news) {
                self.tell(&news)?;
                left -= 1;
            }
            shown = Some(news);
        }
        Ok(())
    }

    fn tell<T>(&self, answer: &T) -> Result<(), Problem>
    where
        T: Show + Serialize,
    {
        if self.settings.json {
            let text = serde_json::to_string(answer).map_err(unwritable)?;
            print(&format!("{text}\n"));
        } else {
            print(&answer.show(self.settings.paint));
        }
        Ok(())
    }

    fn show_key(&self, key: &str) {
        if self.settings.json {
            print(&format!("{}\n", serde_json::json!({ "key": key })));
        } else {
            print(&format!(
                "key (shown once, works once the plan is in force): {key}\n"
            ));
        }
    }

    /// Asks on a terminal; elsewhere nobody could answer.
    fn asks(&self, id: plan::Id) -> bool {
        if !self.settings.interactive || self.settings.json {
            return false;
        }
        print(&format!("Confirm plan {id}? [y/N] "));
        let _ = io::stdout().flush();
        let mut answer = String::new();
        let read = io::stdin().lock().read_line(&mut answer);
        read.is_ok() && matches!(answer.trim(), "y" | "Y" | "yes")
    }

    fn hint(&self, text: &str) {
        let _ = writeln!(io::stderr(), "{text}");
    }

    fn complain(&self, problem: Problem, changes: bool) -> Failed {
        if self.settings.json {
            let failure = Failure { error: problem };
            print(&format!(
                "{}\n",
                serde_json::to_string(&failure).unwrap_or_default()
            ));
            return Failed;
        }
        let text = format!(
            "error {} {}: {}",
            problem.code, problem.kind, problem.message
        );
        self.hint(&text);
        if changes && problem.ran == Ran::Unknown {
            let number = &self.settings.number;
            self.hint(&format!(
                "it may have been done; ask again, a change with --number {number}"
            ));
        }
        Failed
    }
}

fn post<P, T>(path: P, body: &T) -> Result<Question, Problem>
where
    P: Into<String>,
    T: Serialize,
{
    Question::post(path, body).map_err(unwritable)
}

fn unwritable(error: serde_json::Error) -> Problem {
    Problem::new(almondlock_base::Code::BadChange, error.to_string())
}
