//! Simulates a model engine: continuous batching, chunked prefill, prefix cache and memory limit.

use std::{collections::VecDeque, time::Duration};

use hyssop_policy::local::demand::{Demand, Segment};

/// The figures of one engine, from its data sheet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Spec {
    /// Requests in a batch.
    pub(crate) slots: usize,
    /// Requests that may wait; more are rejected.
    pub(crate) max_waiting: usize,
    /// Time of a decoding step with one request.
    pub(crate) step: Duration,
    /// Time that each further request adds to a step.
    pub(crate) step_per_request: Duration,
    /// Prompt tokens prefilled per ms.
    pub(crate) prefill_tokens_per_ms: f64,
    /// Prompt tokens prefilled per step at most.
    pub(crate) chunk_tokens: u32,
    /// Time from the arrival of a request until it can join a batch.
    pub(crate) setup: Duration,
    /// Tokens of KV cache.
    pub(crate) cache_tokens: u32,
    /// Output tokens per event.
    pub(crate) tokens_per_event: u32,
    /// Tokens of KV cache per ms that an engine fetches from another one, if it can.
    pub(crate) fetch_tokens_per_ms: Option<f64>,
}

/// One request at an engine.
#[derive(Debug)]
struct Sequence {
    request: usize,
    segments: Vec<Segment>,
    ready_at: Duration,
    /// Prompt tokens to prefill.
    pending_tokens: u32,
    /// Prompt tokens whose KV cache the engine fetches from another one.
    fetched_tokens: u32,
    generated: u32,
    output_tokens: u32,
    held_tokens: u32,
    last_event: Duration,
    longest_pause: Duration,
}

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Event {
    /// The first event was sent.
    First { request: usize, at: Duration },
    /// A further event was sent.
    Next { request: usize, at: Duration },
    /// The response is complete. `pause` is the longest time between two of its events.
    Done { request: usize, at: Duration, pause: Duration },
    /// The engine crashed while it held the request.
    Lost { request: usize, at: Duration },
}

#[derive(Debug)]
pub(crate) struct Engine {
    spec: Spec,
    /// Factor on the time of each step.
    pub(crate) slowness: f64,
    /// A further factor that changes from moment to moment.
    pub(crate) noise: f64,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    /// Cached segments with their sizes, the least recently used first.
    cache: VecDeque<(u64, u32)>,
    clock: Duration,
    /// Prompt tokens to prefill that the engine got in each second.
    arrived_tokens: Vec<f64>,
    /// Prompt tokens prefilled so far, repeated prefill included.
    pub(crate) prefilled_tokens: u64,
}

impl Engine {
    pub(crate) fn new(spec: Spec) -> Self {
        Self {
            spec,
            slowness: 1.0,
            noise: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            cache: VecDeque::new(),
            clock: Duration::ZERO,
            arrived_tokens: Vec::new(),
            prefilled_tokens: 0,
        }
    }

    /// Queues a request. `source_tokens` are the prompt tokens cached at the engine from which this
    /// one fetches them. Returns false if the queue is full.
    pub(crate) fn submit(
        &mut self,
        request: usize,
        demand: &Demand,
        source_tokens: u32,
        at: Duration,
    ) -> bool {
        if self.waiting.len() >= self.spec.max_waiting {
            return false;
        }
        let cached = self.cached_tokens(&demand.segments);
        let moved = source_tokens.saturating_sub(cached);
        self.record_arrival(demand.prompt_tokens.saturating_sub(cached.max(source_tokens)), at);
        let rate = self.spec.fetch_tokens_per_ms.unwrap_or(f64::INFINITY);
        let fetch = Duration::from_secs_f64(f64::from(moved) / rate / 1_000.0);
        self.waiting.push_back(Sequence {
            request,
            segments: demand.segments.clone(),
            ready_at: at + self.spec.setup + fetch,
            pending_tokens: demand.prompt_tokens,
            fetched_tokens: source_tokens,
            generated: 0,
            output_tokens: demand.output_tokens.max(1),
            held_tokens: demand.held_tokens(),
            last_event: at,
            longest_pause: Duration::ZERO,
        });
        true
    }

    fn record_arrival(&mut self, tokens: u32, at: Duration) {
        let second = at.as_secs() as usize;
        if self.arrived_tokens.len() <= second {
            self.arrived_tokens.resize(second + 1, 0.0);
        }
        self.arrived_tokens[second] += f64::from(tokens);
    }

    /// Removes a request whose caller has left.
    pub(crate) fn cancel(&mut self, request: usize) {
        self.waiting.retain(|sequence| sequence.request != request);
        self.running.retain(|sequence| sequence.request != request);
    }

    /// Drops all requests and the prefix cache.
    pub(crate) fn crash(&mut self, at: Duration) -> Vec<Event> {
        self.cache.clear();
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        lost.map(|sequence| Event::Lost { request: sequence.request, at }).collect()
    }

    /// Advances the simulation to `until`.
    pub(crate) fn run(&mut self, until: Duration) -> Vec<Event> {
        let mut events = Vec::new();
        while self.clock < until {
            self.admit();
            if self.running.is_empty() {
                let next = self.waiting.front().map_or(until, |sequence| sequence.ready_at);
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
            let held: u32 = self.running.iter().map(|sequence| sequence.held_tokens).sum();
            if next.ready_at > self.clock || held + next.held_tokens > self.spec.cache_tokens {
                return;
            }
            let Some(mut sequence) = self.waiting.pop_front() else { return };
            let cached = self.cached_tokens(&sequence.segments).max(sequence.fetched_tokens);
            sequence.pending_tokens -= cached.min(sequence.pending_tokens);
            self.running.push(sequence);
        }
    }

    /// The prompt tokens that are cached. A segment counts only if all segments before it are
    /// cached.
    pub(crate) fn cached_tokens(&mut self, segments: &[Segment]) -> u32 {
        let mut tokens = 0;
        for segment in segments {
            let Some(at) = self.cache.iter().position(|&(id, _)| id == segment.id) else { break };
            tokens += segment.tokens;
            if let Some(entry) = self.cache.remove(at) {
                self.cache.push_back(entry);
            }
        }
        tokens
    }

    fn cache_segments(&mut self, segments: &[Segment]) {
        for segment in segments {
            self.cache.retain(|&(id, _)| id != segment.id);
            self.cache.push_back((segment.id, segment.tokens));
        }
        let held: u32 = self.running.iter().map(|sequence| sequence.held_tokens).sum();
        let room = self.spec.cache_tokens.saturating_sub(held);
        let mut kept: u32 = self.cache.iter().map(|&(_, tokens)| tokens).sum();
        while kept > room {
            let Some((_, tokens)) = self.cache.pop_front() else { return };
            kept -= tokens;
        }
    }

    fn step(&mut self, events: &mut Vec<Event>) {
        let mut left = self.spec.chunk_tokens;
        let mut finished = Vec::new();
        for sequence in &mut self.running {
            let tokens = sequence.pending_tokens.min(left);
            if sequence.pending_tokens > 0 && tokens == sequence.pending_tokens {
                finished.push(sequence.segments.clone());
            }
            sequence.pending_tokens -= tokens;
            left -= tokens;
        }
        let tokens = self.spec.chunk_tokens - left;
        self.prefilled_tokens += u64::from(tokens);
        for segments in finished {
            self.cache_segments(&segments);
        }
        let batch = self.spec.step_per_request * (self.running.len() as u32 - 1);
        let prefill =
            Duration::from_secs_f64(f64::from(tokens) / self.spec.prefill_tokens_per_ms / 1_000.0);
        self.clock += (self.spec.step + batch + prefill).mul_f64(self.slowness * self.noise);
        self.decode(events);
    }

    fn decode(&mut self, events: &mut Vec<Event>) {
        let (now, tokens_per_event) = (self.clock, self.spec.tokens_per_event);
        for sequence in self.running.iter_mut().filter(|sequence| sequence.pending_tokens == 0) {
            sequence.generated += 1;
            let is_first = sequence.generated == tokens_per_event.min(sequence.output_tokens);
            if is_first {
                events.push(Event::First { request: sequence.request, at: now });
                sequence.last_event = now;
            } else if sequence.generated.is_multiple_of(tokens_per_event) {
                let pause = now - sequence.last_event;
                sequence.longest_pause = sequence.longest_pause.max(pause);
                events.push(Event::Next { request: sequence.request, at: now });
                sequence.last_event = now;
            }
            if sequence.generated >= sequence.output_tokens {
                let (request, pause) = (sequence.request, sequence.longest_pause);
                events.push(Event::Done { request, at: now, pause });
            }
        }
        self.running.retain(|sequence| sequence.generated < sequence.output_tokens);
    }
}

/// What the busiest engine of each second gets to prefill, as a multiple of its part of the capacity:
/// the mean over all seconds, weighted by the load.
pub(crate) fn busiest_load(engines: &[Engine]) -> f64 {
    let seconds = engines.iter().map(|engine| engine.arrived_tokens.len()).max().unwrap_or(0);
    let capacity: f64 = engines.iter().map(|engine| 1.0 / engine.slowness).sum();
    let (mut busiest, mut mean) = (0.0, 0.0);
    for second in 0..seconds {
        let loads = engines.iter().map(|engine| {
            let tokens = engine.arrived_tokens.get(second).copied().unwrap_or_default();
            (tokens, tokens * engine.slowness)
        });
        let (sum, most) = loads
            .fold((0.0, 0.0_f64), |(sum, most), (tokens, load)| (sum + tokens, most.max(load)));
        busiest += most;
        mean += sum / capacity;
    }
    busiest / mean.max(f64::EPSILON)
}
