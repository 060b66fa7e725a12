//! A model engine: continuous batching, prompts read in chunks, a prefix cache, memory.

use std::{collections::VecDeque, time::Duration};

use hyssop_policy::local::demand::{Demand, Segment};

/// The figures of one engine, as the users' sheets give them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spec {
    /// Requests in a batch.
    pub(crate) slots: usize,
    /// Requests that wait; more are rejected.
    pub(crate) queue: usize,
    /// Time of a step with one request.
    pub(crate) step: Duration,
    /// Time that each further request adds to a step.
    pub(crate) step_more: Duration,
    /// Prompt tokens read in a ms.
    pub(crate) read_per_ms: f64,
    /// Prompt tokens read in one step at most.
    pub(crate) chunk: u32,
    /// Time before a request can begin.
    pub(crate) setup: Duration,
    /// Tokens of KV cache.
    pub(crate) cache_tokens: u32,
    /// Tokens in one event.
    pub(crate) stride: u32,
}

/// One request at an engine.
#[derive(Debug)]
struct Sequence {
    request: usize,
    segments: Vec<Segment>,
    ready: Duration,
    unread: u32,
    generated: u32,
    output: u32,
    held: u32,
    last_event: Duration,
    longest_pause: Duration,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Event {
    /// Its first event came.
    First { request: usize, at: Duration },
    /// It ended, with the longest pause between its events.
    Done { request: usize, at: Duration, pause: Duration },
    /// The engine died under it.
    Lost { request: usize, at: Duration },
}

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    spec: Spec,
    /// How many times longer it takes than usual.
    pub(crate) slow: f64,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Cached segments with their sizes, the least recently used first.
    cache: VecDeque<(u64, u32)>,
    clock: Duration,
    /// Tokens read, and those of segments that were read here before or are cached elsewhere.
    pub(crate) read: u64,
}

impl Engine {
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            spec,
            slow: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            clock: Duration::ZERO,
            read: 0,
        }
    }

    /// Takes a request. Returns whether there was room for it.
    pub(crate) fn submit(&mut self, request: usize, demand: &Demand, at: Duration) -> bool {
        if self.waiting.len() >= self.spec.queue {
            return false;
        }
        self.waiting.push_back(Sequence {
            request,
            segments: demand.segments.clone(),
            ready: at + self.spec.setup,
            unread: demand.prompt_tokens,
            generated: 0,
            output: demand.output_tokens.max(1),
            held: demand.held_tokens(),
            last_event: at,
            longest_pause: Duration::ZERO,
        });
        true
    }

    /// Takes a request away whose caller has left.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.waiting.retain(|sequence| sequence.request != request);
        self.running.retain(|sequence| sequence.request != request);
    }

    /// Loses all that it holds.
    pub(crate) fn crash(&mut self, at: Duration) -> Vec<Event> {
        self.cache.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|sequence| Event::Lost { request: sequence.request, at }).collect()
    }

    /// Runs up to `until`.
    pub(crate) fn run(&mut self, until: Duration) -> Vec<Event> {
        let mut events = Vec::new();
        while self.clock < until {
            self.admit();
            if self.running.is_empty() {
                let next = self.waiting.front().map_or(until, |sequence| sequence.ready);
                self.clock = next.max(self.clock + Duration::from_micros(1)).min(until);
                continue;
            }
            self.step(&mut events);
        }
        events
    }

    fn admit(&mut self) {
        while self.running.len() < self.spec.slots {
            let Some(next) = self.waiting.front() else { return };
            let held: u32 = self.running.iter().map(|sequence| sequence.held).sum();
            if next.ready > self.clock || held + next.held > self.spec.cache_tokens {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else { return };
            sequence.unread -= self.cached(&sequence.segments).min(sequence.unread);
            self.running.push(sequence);
        }
    }

    /// The tokens of a prompt that need not be read: segments are kept only behind those before
    /// them.
    fn cached(&mut self, segments: &[Segment]) -> u32 {
        let mut tokens = 0;
        for part in segments {
            let Some(at) = self.cache.iter().position(|&(id, _)| id == part.id) else { break };
            tokens += part.tokens;
            if let Some(known) = self.cache.remove(at) {
                self.cache.push_back(known);
            }
        }
        tokens
    }

    fn remember(&mut self, segments: &[Segment]) {
        for part in segments {
            self.cache.retain(|&(id, _)| id != part.id);
            self.cache.push_back((part.id, part.tokens));
        }
        let held: u32 = self.running.iter().map(|sequence| sequence.held).sum();
        let room = self.spec.cache_tokens.saturating_sub(held);
        let mut kept: u32 = self.cache.iter().map(|&(_, tokens)| tokens).sum();
        while kept > room {
            let Some((_, tokens)) = self.cache.pop_front() else { return };
            kept -= tokens;
        }
    }

    fn step(&mut self, events: &mut Vec<Event>) {
        let mut left = self.spec.chunk;
        let mut whole = Vec::new();
        for sequence in &mut self.running {
            let read = sequence.unread.min(left);
            if sequence.unread > 0 && read == sequence.unread {
                whole.push(sequence.segments.clone());
            }
            sequence.unread -= read;
            left -= read;
        }
        let read = self.spec.chunk - left;
        self.read += u64::from(read);
        for segments in whole {
            self.remember(&segments);
        }
        let more = self.spec.step_more * (self.running.len() as u32 - 1);
        let reading = Duration::from_secs_f64(f64::from(read) / self.spec.read_per_ms / 1_000.0);
        self.clock += (self.spec.step + more + reading).mul_f64(self.slow);
        self.generate(events);
    }

    fn generate(&mut self, events: &mut Vec<Event>) {
        let (now, stride) = (self.clock, self.spec.stride);
        for sequence in self.running.iter_mut().filter(|sequence| sequence.unread == 0) {
            sequence.generated += 1;
            let is_first = sequence.generated == stride.min(sequence.output);
            if is_first {
                events.push(Event::First { request: sequence.request, at: now });
                sequence.last_event = now;
            } else if sequence.generated.is_multiple_of(stride) {
                let pause = now - sequence.last_event;
                sequence.longest_pause = sequence.longest_pause.max(pause);
                sequence.last_event = now;
            }
            if sequence.generated >= sequence.output {
                let (request, pause) = (sequence.request, sequence.longest_pause);
                events.push(Event::Done { request, at: now, pause });
            }
        }
        self.running.retain(|sequence| sequence.generated < sequence.output);
    }
}
