//! State machine test of the guard: compares its decisions with a model of each request.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use coltsfootweir::guard::AdmitDecision;
use coltsfootweir::guard::GuardEvent;
use coltsfootweir::guard::GuardState;
use coltsfootweir::guard::LEAVE_GRACE;
use coltsfootweir::member::EndpointPhase;
use coltsfootweir::outcome::RefusalReason;

use common::fixed_config;
use common::step_test::StepTest;
use common::step_test::StepWorld;

const SLOTS: u16 = 3;
const QUEUE_LIMIT: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Arrive { time_left: u64 },
    Finish(usize),
    Cancel(usize),
    Poll,
    Tick(u64),
    Phase(EndpointPhase),
    Slots(u16),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestState {
    Waiting,
    Running,
    Decided,
}

struct GuardModel {
    guard: GuardState,
    now: Duration,
    slots: u16,
    phase: EndpointPhase,
    phase_since: Duration,
    requests: BTreeMap<u64, (RequestState, Duration)>,
}

impl GuardModel {
    fn new() -> GuardModel {
        GuardModel {
            guard: GuardState::new(SLOTS, QUEUE_LIMIT),
            now: Duration::ZERO,
            slots: SLOTS,
            phase: EndpointPhase::Ready,
            phase_since: Duration::ZERO,
            requests: BTreeMap::new(),
        }
    }

    fn count(&self, state: RequestState) -> usize {
        let requests = self.requests.values();
        requests.filter(|(actual, _)| *actual == state).count()
    }

    fn pick(&self, pick: usize, is_wanted: impl Fn(RequestState) -> bool) -> Option<u64> {
        let requests = self.requests.iter();
        let wanted = requests.filter(|(_, (state, _))| is_wanted(*state));
        let found: Vec<u64> = wanted.map(|(id, _)| *id).collect();
        (!found.is_empty()).then(|| found[pick % found.len()])
    }

    fn arrive(&mut self, time_left: u64) {
        let id = self.requests.len() as u64;
        let deadline = self.now + Duration::from_millis(time_left);
        self.requests.insert(id, (RequestState::Waiting, deadline));
        match self.guard.arrive(id, deadline, self.now) {
            AdmitDecision::Run => {
                assert_eq!(
                    self.phase,
                    EndpointPhase::Ready,
                    "request {id} accepted by an upstream that is not ready"
                );
                self.start(id);
            }
            AdmitDecision::Wait => {
                assert_eq!(
                    self.phase,
                    EndpointPhase::Ready,
                    "request {id} accepted by an upstream that is not ready"
                );
                assert!(self.count(RequestState::Waiting) <= QUEUE_LIMIT);
            }
            AdmitDecision::Refuse(reason) => {
                let leaving = self.phase == EndpointPhase::Leaving;
                assert_eq!(leaving, reason == RefusalReason::Leaving);
                self.set_decided(id);
            }
        }
    }

    fn start(&mut self, id: u64) {
        let (state, deadline) = self.requests[&id];
        assert_eq!(state, RequestState::Waiting, "request {id} decided twice");
        assert!(
            self.now < deadline,
            "request {id} started after its deadline"
        );
        let is_in_grace = self.now < self.phase_since + LEAVE_GRACE;
        assert!(match self.phase {
            EndpointPhase::Ready => true,
            EndpointPhase::Leaving => is_in_grace,
            EndpointPhase::Down => false,
        });
        assert!(self.count(RequestState::Running) < usize::from(self.slots));
        self.requests.insert(id, (RequestState::Running, deadline));
    }

    fn set_decided(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).unwrap();
        assert_eq!(
            request.0,
            RequestState::Waiting,
            "request {id} decided twice"
        );
        request.0 = RequestState::Decided;
    }

    /// Applies events; afterwards no request may wait while a slot is free.
    fn apply_events(&mut self, events: Vec<GuardEvent>) {
        for event in events {
            match event {
                GuardEvent::Start(id) => self.start(id),
                GuardEvent::Expire(id) | GuardEvent::Refuse(id, _) => self.set_decided(id),
            }
        }
        let is_full = self.count(RequestState::Running) >= usize::from(self.slots);
        assert!(
            is_full || self.count(RequestState::Waiting) == 0,
            "a request waits while a slot is free"
        );
    }

    fn end_request(&mut self, id: u64) {
        self.requests.get_mut(&id).unwrap().0 = RequestState::Decided;
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Arrive { time_left } => self.arrive(time_left),
            Step::Finish(pick) => {
                if let Some(id) = self.pick(pick, |state| state == RequestState::Running) {
                    self.end_request(id);
                    let events = self.guard.finish(id, now);
                    self.apply_events(events);
                }
            }
            Step::Cancel(pick) => {
                if let Some(id) = self.pick(pick, |state| state != RequestState::Decided) {
                    self.end_request(id);
                    let events = self.guard.cancel(id, now);
                    self.apply_events(events);
                }
            }
            Step::Poll => {
                let events = self.guard.poll(now);
                self.apply_events(events);
                let late = self.requests.values();
                let mut late = late.filter(|(state, _)| *state == RequestState::Waiting);
                assert!(
                    late.all(|(_, deadline)| now < *deadline),
                    "a request waits past its deadline"
                );
            }
            Step::Tick(ms) => self.now += Duration::from_millis(ms),
            Step::Phase(phase) => self.set_phase(phase),
            Step::Slots(slots) => {
                self.slots = slots;
                let events = self.guard.set_slots(slots, now);
                self.apply_events(events);
            }
        }
    }

    fn check(&self) {
        let load = self.guard.load();
        assert_eq!(usize::from(load.running), self.count(RequestState::Running));
        assert_eq!(usize::from(load.waiting), self.count(RequestState::Waiting));
    }

    fn set_phase(&mut self, phase: EndpointPhase) {
        if self.phase != phase {
            self.phase = phase;
            self.phase_since = self.now;
        }
        let events = self.guard.set_phase(phase, self.now);
        self.apply_events(events);
    }

    /// Drains the guard: new requests are refused, and it is idle after all others have ended.
    fn drain(mut self) {
        self.set_phase(EndpointPhase::Leaving);
        self.arrive(10_000);
        while let Some(id) = self.pick(0, |state| state == RequestState::Running) {
            assert!(!self.guard.is_idle());
            self.step(Step::Tick(100));
            self.end_request(id);
            let events = self.guard.finish(id, self.now);
            self.apply_events(events);
        }
        self.step(Step::Tick(LEAVE_GRACE.as_millis() as u64));
        self.step(Step::Poll);
        assert!(self.guard.is_idle());
        let undecided = self.requests.len() - self.count(RequestState::Decided);
        assert_eq!(undecided, 0, "{undecided} requests got no decision");
    }
}

impl StepWorld for GuardModel {
    type Step = Step;

    fn start() -> GuardModel {
        GuardModel::new()
    }

    fn steps() -> BoxedStrategy<Step> {
        let phase = prop_oneof![
            3 => Just(EndpointPhase::Ready),
            1 => Just(EndpointPhase::Leaving),
            1 => Just(EndpointPhase::Down),
        ];
        prop_oneof![
            10 => (0..200_u64).prop_map(|time_left| Step::Arrive { time_left }),
            5 => (0..8_usize).prop_map(Step::Finish),
            1 => (0..8_usize).prop_map(Step::Cancel),
            2 => Just(Step::Poll),
            6 => (0..30_u64).prop_map(Step::Tick),
            1 => phase.prop_map(Step::Phase),
            1 => (0..5_u16).prop_map(Step::Slots),
        ]
        .boxed()
    }

    fn apply_step(&mut self, step: Step) {
        self.step(step);
    }

    fn check_step(&self) {
        self.check();
    }

    fn finish(self) {
        self.drain();
    }
}

prop_state_machine! {
    #![proptest_config(fixed_config(0x9a4d, 300))]

    #[test]
    fn each_request_gets_one_true_decision(sequential 20..150 => StepTest<GuardModel>);
}
