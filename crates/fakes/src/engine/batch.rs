//! The engine's batch: sequences that wait, run or are held so that they can resume. No I/O.

use std::{collections::VecDeque, time::Duration};

use compact_str::CompactString;
use hyssop_document::digest::Digest;
use tokio::{sync::watch, time::Instant};

use super::{Settings, response};
use crate::record::{End, Execution, Record, unix_ms};

/// The number of leading words of a prompt that the prefix cache covers.
const PREFIX_WORDS: usize = 32;

/// The progress of a sequence, as published to its stream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) generated: u64,
    pub(super) done: bool,
}

/// A request to the engine.
#[derive(Debug, Clone)]
pub(super) struct Job {
    pub(super) id: CompactString,
    pub(super) prompt: String,
    pub(super) max_tokens: Option<u64>,
    pub(super) priority: u64,
}

/// Why a job was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The waiting queue is full.
    QueueFull,
    /// The engine is cold and already has its maximum number of requests: the next one crashes it.
    ColdOverload,
}

#[derive(Debug)]
struct Sequence {
    id: CompactString,
    prefix: u64,
    prompt_tokens: u64,
    response_tokens: u64,
    priority: u64,
    arrival: u64,
    poison: bool,
    progress: watch::Sender<Progress>,
    record: usize,
}

impl Sequence {
    fn generated(&self) -> u64 {
        self.progress.borrow().generated
    }

    fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.generated()
    }
}

/// The engine's load report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Report {
    pub(super) running: usize,
    pub(super) waiting: usize,
    pub(super) kv_used: f64,
    pub(super) cold: bool,
}

/// The result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// No sequence is running.
    Idle,
    /// The next step is due after this duration.
    Next(Duration),
    /// A request with a poison prompt crashed the engine.
    Poisoned,
}

#[derive(Debug)]
pub(super) struct Batch {
    settings: Settings,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    held: Vec<(Sequence, Instant)>,
    /// Cached prefixes with their sizes in tokens, least recently used first.
    cache: VecDeque<(u64, u64)>,
    arrivals: u64,
    completed: u64,
    cold: bool,
    pub(super) slowdown: f64,
    reports: VecDeque<(Instant, Report)>,
    pub(super) record: Record,
}

impl Batch {
    pub(super) fn new(settings: Settings) -> Self {
        Self {
            cold: settings.cold_start,
            settings,
            waiting: Vec::new(),
            running: Vec::new(),
            held: Vec::new(),
            cache: VecDeque::new(),
            arrivals: 0,
            completed: 0,
            slowdown: 1.0,
            reports: VecDeque::new(),
            record: Record::default(),
        }
    }

    /// Adds a job to the waiting queue.
    pub(super) fn submit(
        &mut self,
        job: &Job,
        now: Instant,
    ) -> Result<watch::Receiver<Progress>, Rejection> {
        if self.waiting.len() >= self.settings.max_waiting {
            self.record.refused += 1;
            return Err(Rejection::QueueFull);
        }
        let in_flight = self.running.len() + self.waiting.len() + 1;
        if self.cold {
            self.record.cold_peak = self.record.cold_peak.max(in_flight as u64);
            if in_flight > self.settings.cold_limit {
                self.record.overloads += 1;
                return Err(Rejection::ColdOverload);
            }
        }
        let progress = watch::Sender::new(Progress::default());
        let receiver = progress.subscribe();
        self.arrivals += 1;
        let record = self.record.executions.len();
        self.record.executions.push(execution(&self.settings.name, job));
        self.waiting.push(sequence(job, self.arrivals, progress, record));
        self.report(now);
        Ok(receiver)
    }

    /// Removes a sequence whose client has disconnected, and holds it for a resumed stream.
    pub(super) fn hold(&mut self, id: &str, now: Instant) {
        let until = now + self.settings.resume_hold();
        for list in [&mut self.running, &mut self.waiting] {
            if let Some(position) = list.iter().position(|sequence| sequence.id == id) {
                let sequence = list.swap_remove(position);
                let execution = &mut self.record.executions[sequence.record];
                execution.end = End::Cancelled;
                execution.ended_ms = Some(unix_ms());
                self.held.push((sequence, until));
            }
        }
        self.report(now);
    }

    /// Returns a held sequence to the waiting queue.
    pub(super) fn resume(
        &mut self,
        id: &str,
        now: Instant,
    ) -> Option<(watch::Receiver<Progress>, Digest)> {
        self.expire(now);
        let position = self.held.iter().position(|(sequence, _)| sequence.id == id)?;
        let receiver = self.held[position].0.progress.subscribe();
        let digest = self.record.executions[self.held[position].0.record].content;
        if !receiver.borrow().done {
            let (sequence, _) = self.held.swap_remove(position);
            self.record.executions[sequence.record].end = End::Running;
            self.waiting.push(sequence);
        }
        Some((receiver, digest))
    }

    /// Runs one step: admits waiting sequences that fit, and generates one token per running one.
    pub(super) fn step(&mut self, now: Instant) -> Step {
        self.expire(now);
        let prefill = self.admit();
        if self.running.is_empty() {
            self.report(now);
            return Step::Idle;
        }
        if self.running.iter().any(|sequence| sequence.poison && sequence.generated() > 0) {
            self.record.poisonings += 1;
            return Step::Poisoned;
        }
        for sequence in &mut self.running {
            let generated = sequence.generated() + 1;
            let done = generated >= sequence.response_tokens;
            self.record.executions[sequence.record].tokens = generated;
            sequence.progress.send_replace(Progress { generated, done });
        }
        self.finish(now);
        self.preempt();
        self.report(now);
        let batch = self.running.len() as u64;
        let micros = self.settings.step_us
            + self.settings.step_per_sequence_us * batch
            + self.settings.prefill_per_token_us * prefill;
        let cold = if self.cold { self.settings.cold_slowdown } else { 1.0 };
        Step::Next(Duration::from_micros(micros).mul_f64(self.slowdown * cold))
    }

    /// The latest report that is at least `report_lag_ms` old.
    pub(super) fn lagged_report(&mut self, now: Instant) -> Report {
        let lag = self.settings.report_lag();
        while self.reports.len() > 1 && now.saturating_duration_since(self.reports[1].0) >= lag {
            self.reports.pop_front();
        }
        let old = self.reports.front().filter(|(at, _)| now.saturating_duration_since(*at) >= lag);
        old.map(|(_, report)| *report)
            .unwrap_or(Report { cold: self.settings.cold_start, ..Report::default() })
    }

    /// Makes the engine cold, with an empty prefix cache.
    pub(super) fn set_cold(&mut self, now: Instant) {
        self.cold = true;
        self.completed = 0;
        self.cache.clear();
        self.report(now);
    }

    /// Ends all sequences, as a crash of the process does, and resets the state to a cold start.
    pub(super) fn crash(&mut self) {
        let lost = self.waiting.drain(..).chain(self.running.drain(..));
        for sequence in lost {
            let execution = &mut self.record.executions[sequence.record];
            execution.end = End::Crashed;
            execution.ended_ms = Some(unix_ms());
        }
        self.held.clear();
        self.cache.clear();
        self.reports.clear();
        self.record.crashes += 1;
        self.completed = 0;
        self.cold = true;
    }

    fn admit(&mut self) -> u64 {
        let mut prefill = 0;
        self.waiting.sort_by_key(|sequence| (sequence.priority, sequence.arrival));
        while self.running.len() < self.settings.max_batch && !self.waiting.is_empty() {
            let needed = self.waiting[0].kv_tokens() + 1;
            if !self.running.is_empty() && self.kv_running() + needed > self.settings.kv_tokens {
                break;
            }
            let sequence = self.waiting.remove(0);
            prefill += self.prefill(&sequence);
            let execution = &mut self.record.executions[sequence.record];
            execution.started_ms.get_or_insert_with(unix_ms);
            self.running.push(sequence);
        }
        prefill
    }

    /// The number of prompt tokens to compute before the first token. Adds the prefix to the cache.
    fn prefill(&mut self, sequence: &Sequence) -> u64 {
        let prefix_tokens = sequence.prompt_tokens.min(PREFIX_WORDS as u64);
        let cached = self.cache.iter().position(|&(prefix, _)| prefix == sequence.prefix);
        if let Some(position) = cached {
            self.cache.remove(position);
        }
        self.cache.push_back((sequence.prefix, prefix_tokens));
        self.shrink_cache();
        sequence.kv_tokens() - if cached.is_some() { prefix_tokens } else { 0 }
    }

    fn shrink_cache(&mut self) {
        let free = self.settings.kv_tokens.saturating_sub(self.kv_running());
        while self.cache.iter().map(|&(_, size)| size).sum::<u64>() > free {
            self.cache.pop_front();
        }
    }

    fn kv_running(&self) -> u64 {
        self.running.iter().map(Sequence::kv_tokens).sum()
    }

    fn finish(&mut self, now: Instant) {
        let until = now + self.settings.resume_hold();
        let (done, running): (Vec<_>, Vec<_>) =
            self.running.drain(..).partition(|sequence| sequence.progress.borrow().done);
        self.running = running;
        for sequence in done {
            let execution = &mut self.record.executions[sequence.record];
            execution.end = End::Completed;
            execution.ended_ms = Some(unix_ms());
            self.completed += 1;
            self.held.push((sequence, until));
        }
        if self.completed >= self.settings.warm_after {
            self.cold = false;
        }
    }

    /// Returns the least urgent sequences to the waiting queue until the others fit the KV cache.
    fn preempt(&mut self) {
        while self.running.len() > 1 && self.kv_running() > self.settings.kv_tokens {
            let last = self.running.iter().enumerate().max_by_key(|(_, s)| (s.priority, s.arrival));
            let position = last.expect("more than one sequence is running").0;
            let sequence = self.running.swap_remove(position);
            self.waiting.push(sequence);
        }
        self.shrink_cache();
    }

    fn expire(&mut self, now: Instant) {
        self.held.retain(|(_, until)| *until > now);
    }

    fn report(&mut self, now: Instant) {
        let kv_used = self.kv_running() as f64 / self.settings.kv_tokens as f64;
        let report = Report {
            running: self.running.len(),
            waiting: self.waiting.len(),
            kv_used,
            cold: self.cold,
        };
        self.reports.push_back((now, report));
        self.lagged_report(now);
    }
}

fn execution(backend: &str, job: &Job) -> Execution {
    Execution {
        backend: CompactString::new(backend),
        request_id: job.id.clone(),
        content: Digest::of(job.prompt.as_bytes()),
        priority: job.priority,
        arrived_ms: unix_ms(),
        started_ms: None,
        ended_ms: None,
        tokens: 0,
        end: End::Running,
    }
}

fn sequence(job: &Job, arrival: u64, progress: watch::Sender<Progress>, record: usize) -> Sequence {
    let prefix: Vec<_> = job.prompt.split_whitespace().take(PREFIX_WORDS).collect();
    Sequence {
        id: job.id.clone(),
        prefix: Digest::of(prefix.join(" ").as_bytes()).short(),
        prompt_tokens: response::prompt_tokens(&job.prompt),
        response_tokens: response::response_tokens(&job.prompt, job.max_tokens),
        priority: job.priority,
        arrival,
        poison: job.prompt.split_whitespace().any(|word| word == "poison"),
        progress,
        record,
    }
}
