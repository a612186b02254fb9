use std::time::Duration;

use super::{Event, Outcome, Simulation};
use crate::error::{Kind, Run};
use crate::retry::{self, Decision};
use crate::trace::engine::Engine;
use crate::trace::replay::Retries;
use crate::trace::replay::fleet::{self, MODEL, Service};
use crate::trace::report::Report;

impl Simulation<'_> {
    /// Handles a failed attempt.
    ///
    /// A failure that the service behind the endpoint caused says nothing about the endpoint; in a
    /// fault of that kind, routing therefore does not hide the effect of the retries.
    pub(super) fn failed(&mut self, now: Duration, attempt: usize, ran: bool, endpoint: bool) {
        self.attempts[attempt].ended = true;
        let (index, id) = (self.attempts[attempt].request, self.attempts[attempt].id.clone());
        let table = &mut self.service(index).table;
        if endpoint {
            table.record_failure(now, &id)
        } else {
            table.record_cancellation(&id)
        }
        // An attempt that reached a worker was counted when it was sent.
        self.requests[index].runs += u32::from(ran && !endpoint);
        if self.requests[index].outcome != Outcome::Open {
            return;
        }
        let request = &self.requests[index];
        let attempt = retry::Attempt {
            number: request.attempts,
            run: if ran { Run::Unknown } else { Run::No },
            idempotent: self.is_idempotent(index),
            deadline: request.deadline,
            expected: Duration::ZERO,
        };
        match self.decide(now, index, attempt) {
            Decision::Retry(delay) => self.at(now + delay, Event::Send(index)),
            Decision::Stop(_) => self.end(now, index, Some(Kind::EndpointFailed)),
        }
    }

    fn decide(&mut self, now: Duration, index: usize, attempt: retry::Attempt) -> Decision {
        let kind = self.kind(index);
        let service = &mut self.nodes[self.requests[index].node].services[kind];
        match self.settings.retries {
            Retries::Budget(policy) => {
                policy.decide(now, attempt, &mut service.budget, &mut self.random)
            }
            Retries::Fixed(resends) => {
                let policy =
                    retry::Policy { max_attempts: resends + 1, ..retry::Policy::default() };
                let mut unlimited = retry::Budget::new(now, 0.0, 1.0);
                policy.decide(now, attempt, &mut unlimited, &mut self.random)
            }
        }
    }

    pub(super) fn hedge(&mut self, now: Duration, index: usize) {
        let Retries::Budget(policy) = self.settings.retries else { return };
        let request = &self.requests[index];
        if request.outcome != Outcome::Open || request.attempts != 1 {
            return;
        }
        let (started, deadline) = (request.started, request.deadline);
        let service = self.service(index);
        let Service { latency, budget, .. } = service;
        if policy.try_hedge(now, started, deadline, latency, true, budget) {
            self.send(now, index);
        }
    }

    pub(super) fn leave(&mut self, now: Duration) {
        let Some(id) = self.listed[MODEL].first().cloned() else { return };
        for node in &mut self.nodes {
            node.services[MODEL].table.remove(now, &id);
            node.services[MODEL].limits.remove(&id);
            // The list of VMs lags behind and still names the endpoint.
            let lagging = fleet::endpoints(self.settings, MODEL);
            node.services[MODEL].table.update(now, lagging);
        }
        self.left.insert(id);
    }

    /// Ends what runs at the first worker; its cache is lost, and new connections are refused.
    pub(super) fn crash(&mut self, now: Duration) {
        let settings = self.settings;
        let Some(engine) = self.engines.first_mut() else { return };
        *engine = Engine::new(settings.engine, settings.block_tokens);
        let indexed = self.attempts.iter().enumerate();
        let open = indexed.filter(|(_, attempt)| attempt.engine == 0 && !attempt.ended);
        let open: Vec<_> = open.map(|(index, _)| index).collect();
        for attempt in open {
            self.failed(now, attempt, true, true);
        }
    }

    pub(super) fn is_crashed(&self, now: Duration, engine: usize) -> bool {
        let crash = self.settings.crash;
        engine == 0 && crash.is_some_and(|crash| (crash.from..crash.until).contains(&now))
    }

    pub(super) fn fault_part(&self, now: Duration) -> f64 {
        let fault = self.settings.fault.filter(|fault| (fault.from..fault.until).contains(&now));
        fault.map_or(0.0, |fault| fault.part)
    }

    pub(super) fn finish(mut self, now: Duration) -> Report {
        let last = self.records.last().map_or(0, |record| record.timestamp);
        let lost = self.requests.iter().filter(|request| request.outcome == Outcome::Open);
        self.report.lost = lost.count() as u64;
        let indexed = self.requests.iter().enumerate();
        let twice =
            indexed.filter(|(index, request)| request.runs > 1 && !self.is_idempotent(*index));
        self.report.ran_twice = twice.count() as u64;
        self.report.measured = Duration::from_millis(last).saturating_sub(self.settings.warm_up);
        self.report.first_token.sort();
        self.report.ended = now;
        self.report
    }
}
