//! How requests enter the home: authentication, keys, relay, and the response.

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
    run::{Order, Run},
    supervise,
};
use crate::{
    body::Body,
    directory::{Missing, Terms},
    handler::Handler,
    key::Key,
    outcome::{DEFAULT_RETRY_AFTER, Kind, Outcome, Reason},
    record::{End, Next, Reader, Record},
    registry::{Begin, Fresh, Owned},
    render,
    request::{self, Request, Route},
};

/// What a request that may run reads its answer from.
enum Begun {
    /// A run that begins with it.
    Fresh(Fresh),
    /// The run of an earlier copy.
    Joined(Arc<Record>),
}

impl Handler for Home {
    fn admit(&self, head: &Parts) -> Result<(), Outcome> {
        let route = Route::find(&head.method, head.uri.path(), head.uri.query())?;
        if route != Route::Addresses {
            self.workspace(head)?;
        }
        Ok(())
    }

    fn serve(&self, head: Parts, body: Bytes) -> BoxFuture<'_, Response<Body>> {
        Box::pin(async move {
            let id = self.request_id(&head);
            let answered = self.answer(&id, head, body).await;
            answered.unwrap_or_else(|outcome| self.outcome(&outcome, &id))
        })
    }

    fn refuse(&self, head: &Parts, outcome: Outcome) -> Response<Body> {
        let id = self.request_id(head);
        let outcome = self.settle_head(head, outcome);
        self.outcome(&outcome, &id)
    }
}

impl Home {
    async fn answer(
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
        let workspace = self.workspace(&head);
        let workspace = workspace.map_err(|outcome| self.settle_head(&head, outcome))?;
        match key.filter(|key| key.incarnation != self.shared.directory.incarnation()) {
            Some(key) => self.foreign(id, &key, head, body, arrived).await,
            None => self.own(id, &workspace, &head, body, arrived).await,
        }
    }

    /// Answers a request whose key is bound to this daemon, or that has none.
    async fn own(
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
                Err(self.settle(Some(workspace.clone()), key, outcome))
            }
        }
    }

    /// Answers a request whose key is bound to another daemon.
    async fn foreign(
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
        let by = format_compact!("{}", self.shared.directory.incarnation());
        let relay = self.shared.relay.relay(address, by, head.clone(), body.clone());
        let error = match relay.await {
            Ok(response) => return Ok(response),
            Err(error) => error,
        };
        let (home, gone) = (key.incarnation, error.gone);
        log::info!("relay failed request={id} home={home} gone={gone} error=\"{error}\"");
        // A home that may be alive may run the request, or refuse it as not run.
        if !gone {
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
        let (begun, owned) = self.begin(&request, &terms)?;
        let fresh = match begun {
            Begun::Joined(record) => return self.respond(&request, record.reader()).await,
            Begun::Fresh(fresh) => fresh,
        };
        let reader = fresh.record.reader();
        let order = Order {
            arrived,
            number: self.next_number(),
            // What the daemon did that the key is bound to is not known here.
            ran_before: fresh.ran_before || self.is_foreign(&request),
            terms,
            request,
        };
        let request = order.request.clone();
        let run = Run::new(Arc::clone(&self.shared), order, fresh.record);
        self.shared.runs.spawn(supervise::run(run, owned));
        self.respond(&request, reader).await
    }

    fn is_foreign(&self, request: &Request) -> bool {
        let own = self.shared.directory.incarnation();
        request.head.key.as_ref().is_some_and(|key| key.incarnation != own)
    }

    /// Registers a request, and says whether it is to be run.
    fn begin(&self, request: &Request, terms: &Terms) -> Result<(Begun, Option<Owned>), Outcome> {
        let idempotent = terms.class.idempotent;
        let Some(key) = request.head.key.clone() else {
            if idempotent {
                let fresh = Fresh { record: Arc::default(), ran_before: false };
                return Ok((Begun::Fresh(fresh), None));
            }
            let message = "a non-idempotent request needs an Idempotency-Key";
            return Err(Outcome::refused(Reason::KeyRequired, message));
        };
        let owned = Owned { workspace: terms.workspace.clone(), key };
        let now = self.shared.clock.now();
        match self.shared.registry.begin(&owned, request.digest(), idempotent, now) {
            Begin::Run(fresh) => Ok((Begun::Fresh(fresh), Some(owned))),
            Begin::Unregistered(fresh) => Ok((Begun::Fresh(fresh), None)),
            Begin::Join(record) => Ok((Begun::Joined(record), None)),
            Begin::Refuse(outcome) => Err(outcome),
        }
    }

    /// Reads the record of a run for one caller.
    async fn respond(
        &self,
        request: &Request,
        mut reader: Reader,
    ) -> Result<Response<Body>, Outcome> {
        if let Some(prompt) = request.prompt.as_ref().filter(|prompt| prompt.stream) {
            // The response begins with the first part, so that a refusal still has its status.
            match reader.first().await {
                Next::Part(part) if reader.record().has_chunks() => {
                    let usage = prompt.include_usage;
                    return Ok(render::event_stream(reader, part, usage, &request.id));
                }
                Next::End(End::Other(outcome)) => return Err(outcome),
                _ => {}
            }
        }
        match reader.end().await {
            End::Whole => Ok(render::complete(reader.record(), &request.id)),
            End::Other(outcome) => Err(outcome),
        }
    }

    fn workspace(&self, head: &Parts) -> Result<name::Workspace, Outcome> {
        let bearer = request::bearer_digest(&head.headers)?;
        self.shared.directory.workspace(&bearer).map_err(missing)
    }

    fn terms(&self, request: &Request) -> Result<Terms, Outcome> {
        let terms =
            self.shared.directory.terms(&request.head.bearer, &request.head.class, request.pool());
        let terms = terms.map_err(missing)?;
        if terms.pool.kind != request.route.kind() {
            return Err(missing(Missing::Pool));
        }
        Ok(terms)
    }

    /// Makes a refusal final for its key, or says less if that cannot be done.
    ///
    /// Only the home of a key may say that it did not run, since only there it is known and kept
    /// from running later.
    fn settle(
        &self,
        workspace: Option<name::Workspace>,
        key: Option<Key>,
        outcome: Outcome,
    ) -> Outcome {
        let Some(key) = key.filter(|_| outcome.kind == Kind::Refused) else { return outcome };
        let own = key.incarnation == self.shared.directory.incarnation();
        let settled = match workspace {
            Some(workspace) if own => {
                let owned = Owned { workspace, key };
                self.shared.registry.seal(&owned, &outcome, self.shared.clock.now())
            }
            // A workspace that is unknown now may have been known when the key began.
            _ => false,
        };
        if settled {
            return outcome;
        }
        let message = format_compact!("{}; a copy of the request may have run", outcome.message);
        Outcome { message, ..Outcome::unknown(outcome.reason, "") }
    }

    /// Settles the refusal of a request of which only the head was read.
    fn settle_head(&self, head: &Parts, outcome: Outcome) -> Outcome {
        match request::idempotency_key(&head.headers) {
            Ok(key) => self.settle(self.workspace(head).ok(), key, outcome),
            Err(_) => outcome,
        }
    }

    fn outcome(&self, outcome: &Outcome, id: &str) -> Response<Body> {
        if outcome.kind == Kind::Refused {
            log::debug!("request refused request={id} outcome={outcome}");
        } else {
            log::info!("request ended request={id} outcome={outcome}");
        }
        render::outcome(outcome, id)
    }

    fn request_id(&self, head: &Parts) -> CompactString {
        request::request_id(&head.headers).unwrap_or_else(|| self.next_number())
    }

    /// A number that no other request of any daemon has.
    fn next_number(&self) -> CompactString {
        let number = self.shared.requests.fetch_add(1, Ordering::Relaxed);
        format_compact!("{}-{number:x}", self.shared.directory.incarnation())
    }
}

fn missing(missing: Missing) -> Outcome {
    let reason = match missing {
        Missing::Document => Reason::NotReady,
        Missing::Workspace => Reason::Unauthorized,
        Missing::Class => Reason::UnknownClass,
        Missing::Pool => Reason::UnknownPool,
    };
    let outcome = Outcome::refused(reason, missing.to_string());
    if missing == Missing::Document { outcome.retry_after(DEFAULT_RETRY_AFTER) } else { outcome }
}
