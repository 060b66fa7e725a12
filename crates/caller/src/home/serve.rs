//! Handling of requests: authentication, keys, relay and responses.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use futures::future::BoxFuture;
use hyper::{Response, http::request::Parts};
use hyssop_document::name;

use super::{
    Home,
    run::{Job, Run},
    supervise,
};
use crate::{
    body::Body,
    directory::{Missing, Terms},
    handler::Handler,
    key::Key,
    outcome::{DEFAULT_RETRY_AFTER, Kind, Outcome, Reason},
    record::{End, Next, Reader, Record},
    registry::{Admission, NewRun, ScopedKey},
    render,
    request::{self, Request, Route},
};

/// The run that an admitted request reads its response from.
enum Admitted {
    /// A new run.
    New(NewRun),
    /// The run of an earlier request with the same key.
    Joined(Arc<Record>),
}

impl Handler for Home {
    fn admit(&self, head: &Parts) -> Result<(), Outcome> {
        let route = Route::find(&head.method, head.uri.path(), head.uri.query())?;
        if route != Route::Addresses {
            self.authenticate(head)?;
        }
        Ok(())
    }

    fn serve(&self, head: Parts, body: Bytes) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async move {
            let id = self.request_id(&head);
            let handled = self.handle(&id, head, body).await;
            handled.unwrap_or_else(|outcome| self.outcome_response(&outcome, &id))
        })
    }

    fn refuse(&self, head: &Parts, outcome: Outcome) -> Response<Body> {
        let id = self.request_id(head);
        let outcome = self.finalize_head_refusal(head, outcome);
        self.outcome_response(&outcome, &id)
    }
}

impl Home {
    async fn handle(
        &self,
        id: &CompactString,
        head: Parts,
        body: Bytes,
    ) -> Result<Response<Body>, Outcome> {
        let arrived = self.shared.clock.now();
        let route = Route::find(&head.method, head.uri.path(), head.uri.query())?;
        if route == Route::Addresses {
            return Ok(render::json(&self.shared.directory.addresses()));
        }
        let key = request::idempotency_key(&head.headers)?;
        let workspace = self.authenticate(&head);
        let workspace = workspace.map_err(|outcome| self.finalize_head_refusal(&head, outcome))?;
        match key.filter(|key| key.incarnation != self.shared.directory.incarnation()) {
            Some(key) => self.handle_foreign(id, &key, head, body, arrived).await,
            None => self.handle_local(id, &workspace, &head, body, arrived).await,
        }
    }

    /// Handles a request without a key or with a key that is bound to this daemon.
    async fn handle_local(
        &self,
        id: &CompactString,
        workspace: &name::Workspace,
        head: &Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Response<Body>, Outcome> {
        let checked = Request::parse(id.clone(), head, body)
            .and_then(|request| self.terms(&request).map(|terms| (request, terms)));
        match checked {
            Ok((request, terms)) => self.run(request, terms, arrived).await,
            Err(outcome) => {
                let key = request::idempotency_key(&head.headers)?;
                Err(self.finalize_refusal(Some(workspace.clone()), key, outcome))
            }
        }
    }

    /// Handles a request whose key is bound to another daemon.
    ///
    /// If that daemon has exited, an idempotent request runs on this daemon.
    async fn handle_foreign(
        &self,
        id: &CompactString,
        key: &Key,
        head: Parts,
        body: Bytes,
        arrived: Instant,
    ) -> Result<Response<Body>, Outcome> {
        let unknown = || {
            let message = "the daemon that the key is bound to cannot be reached";
            Outcome::unknown(Reason::HomeGone, message)
        };
        let relayed = head.headers.contains_key(request::RELAYED_BY);
        let address = self.shared.directory.locate(key.incarnation).filter(|_| !relayed);
        let address = address.ok_or_else(unknown)?;
        let relayed_by = format_compact!("{}", self.shared.directory.incarnation());
        let relay = self.shared.relay.relay(address, relayed_by, head.clone(), body.clone());
        let error = match relay.await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let (home, exited) = (key.incarnation, error.exited);
        log::info!("relay failed request={id} home={home} gone={exited} error=\"{error}\"");
        // A home that has not exited may still run the request, or refuse it as not run.
        if !exited {
            return Err(unknown());
        }
        let request = Request::parse(id.clone(), &head, body).map_err(|_| unknown())?;
        let terms = self.terms(&request).map_err(|_| unknown())?;
        if !terms.class.idempotent {
            return Err(unknown());
        }
        self.run(request, terms, arrived).await
    }

    async fn run(
        &self,
        request: Request,
        terms: Terms,
        arrived: Instant,
    ) -> Result<Response<Body>, Outcome> {
        let (admitted, scoped_key) = self.register(&request, &terms)?;
        let new_run = match admitted {
            Admitted::Joined(record) => return self.respond(&request, record.reader()).await,
            Admitted::New(new_run) => new_run,
        };
        let reader = new_run.record.reader();
        let job = Job {
            arrived,
            run_id: self.next_id(),
            // The daemon that a foreign key is bound to may have run the request.
            ran_before: new_run.ran_before || self.has_foreign_key(&request),
            terms,
            request,
        };
        let request = job.request.clone();
        let run = Run::new(Arc::clone(&self.shared), job, new_run.record);
        self.shared.runs.spawn(supervise::run(run, scoped_key));
        self.respond(&request, reader).await
    }

    fn has_foreign_key(&self, request: &Request) -> bool {
        let own = self.shared.directory.incarnation();
        request.head.key.as_ref().is_some_and(|key| key.incarnation != own)
    }

    /// Admits a request. Returns its run and, for a new run, the key to finish in the registry.
    fn register(
        &self,
        request: &Request,
        terms: &Terms,
    ) -> Result<(Admitted, Option<ScopedKey>), Outcome> {
        let idempotent = terms.class.idempotent;
        let Some(key) = request.head.key.clone() else {
            if idempotent {
                let new_run = NewRun { record: Arc::default(), ran_before: false };
                return Ok((Admitted::New(new_run), None));
            }
            let message = "a non-idempotent request needs an Idempotency-Key";
            return Err(Outcome::refused(Reason::KeyRequired, message));
        };
        let scoped_key = ScopedKey { workspace: terms.workspace.clone(), key };
        let now = self.shared.clock.now();
        match self.shared.registry.begin(&scoped_key, request.digest(), idempotent, now) {
            Admission::Run(new_run) => Ok((Admitted::New(new_run), Some(scoped_key))),
            Admission::Unregistered(new_run) => Ok((Admitted::New(new_run), None)),
            Admission::Join(record) => Ok((Admitted::Joined(record), None)),
            Admission::Refuse(outcome) => Err(outcome),
        }
    }

    /// Builds the response to one caller from the record of a run.
    async fn respond(
        &self,
        request: &Request,
        mut reader: Reader,
    ) -> Result<Response<Body>, Outcome> {
        if let Some(prompt) = request.prompt.as_ref().filter(|prompt| prompt.stream) {
            // The head is sent only after the first chunk, as a refusal needs another status.
            match reader.first().await {
                Next::Chunk(chunk) if reader.record().has_json_chunks() => {
                    let usage = prompt.include_usage;
                    return Ok(render::event_stream(reader, chunk, usage, &request.id));
                }
                Next::End(End::Incomplete(outcome)) => return Err(outcome),
                _ => {}
            }
        }
        match reader.end().await {
            End::Complete => Ok(render::complete(reader.record(), &request.id)),
            End::Incomplete(outcome) => Err(outcome),
        }
    }

    fn authenticate(&self, head: &Parts) -> Result<name::Workspace, Outcome> {
        let bearer = request::bearer_digest(&head.headers)?;
        self.shared.directory.workspace(&bearer).map_err(missing_outcome)
    }

    fn terms(&self, request: &Request) -> Result<Terms, Outcome> {
        let terms =
            self.shared.directory.terms(&request.head.bearer, &request.head.class, request.pool());
        let terms = terms.map_err(missing_outcome)?;
        if terms.pool.kind != request.route.kind() {
            return Err(missing_outcome(Missing::Pool));
        }
        Ok(terms)
    }

    /// Records a refusal for its key, or turns it into an unknown outcome if that is not possible.
    ///
    /// Only the home of a key may report that a request did not run, as only its registry records
    /// earlier copies and refuses later ones.
    fn finalize_refusal(
        &self,
        workspace: Option<name::Workspace>,
        key: Option<Key>,
        outcome: Outcome,
    ) -> Outcome {
        let Some(key) = key.filter(|_| outcome.kind == Kind::Refused) else { return outcome };
        let own = key.incarnation == self.shared.directory.incarnation();
        let is_final = match workspace {
            Some(workspace) if own => {
                let scoped_key = ScopedKey { workspace, key };
                self.shared.registry.record_refusal(&scoped_key, &outcome, self.shared.clock.now())
            }
            // An unknown workspace may have been in the document when an earlier copy was admitted.
            _ => false,
        };
        if is_final {
            return outcome;
        }
        let message = format_compact!("{}; a copy of the request may have run", outcome.message);
        Outcome { message, ..Outcome::unknown(outcome.reason, "") }
    }

    /// Finalizes the refusal of a request of which only the head was read.
    fn finalize_head_refusal(&self, head: &Parts, outcome: Outcome) -> Outcome {
        match request::idempotency_key(&head.headers) {
            Ok(key) => self.finalize_refusal(self.authenticate(head).ok(), key, outcome),
            Err(_) => outcome,
        }
    }

    fn outcome_response(&self, outcome: &Outcome, id: &str) -> Response<Body> {
        if outcome.kind == Kind::Refused {
            log::debug!("request refused request={id} outcome={outcome}");
        } else {
            log::info!("request ended request={id} outcome={outcome}");
        }
        render::outcome(outcome, id)
    }

    fn request_id(&self, head: &Parts) -> CompactString {
        request::request_id(&head.headers).unwrap_or_else(|| self.next_id())
    }

    /// A request id that is unique among all daemons.
    fn next_id(&self) -> CompactString {
        let number = self.shared.request_count.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}-{number:x}", self.shared.directory.incarnation())
    }
}

fn missing_outcome(missing: Missing) -> Outcome {
    let reason = match missing {
        Missing::Document => Reason::NotReady,
        Missing::Workspace => Reason::Unauthorized,
        Missing::Class => Reason::UnknownClass,
        Missing::Pool => Reason::UnknownPool,
    };
    let outcome = Outcome::refused(reason, missing.to_string());
    if missing == Missing::Document { outcome.retry_after(DEFAULT_RETRY_AFTER) } else { outcome }
}
