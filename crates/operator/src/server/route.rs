//! Routing of requests by the paths of the administration API.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Method, Request, StatusCode, body::Incoming, header::AUTHORIZATION};
use hyssop_document::{
    catalog::Catalog,
    digest::Digest,
    load::MAX_DOCUMENT_BYTES,
    order::{Order, Target},
};
use serde::Serialize;

use super::{
    connections::Slot,
    reply::{self, Reply, json, not_allowed, raw_json},
};
use crate::{
    check,
    error::{Error, Kind},
    handler::Handler,
    histogram::{self, Filter},
    outcome,
};

const MAX_ORDER_BYTES: usize = 4 << 10;
const MAX_HISTOGRAM_ROWS: usize = 200;

#[derive(Serialize)]
struct Live {
    live: bool,
}

/// The routes with what they need to handle requests.
pub(super) struct Routes {
    pub(super) handler: Arc<dyn Handler>,
    pub(super) keys: Vec<Digest>,
    pub(super) body_timeout: Duration,
    pub(super) response_timeout: Duration,
}

impl Routes {
    /// Handles one request within the time limit for responses.
    pub(super) async fn respond(&self, request: Request<Incoming>, slot: &Slot) -> Reply {
        let reply = tokio::time::timeout(self.response_timeout, self.dispatch(request, slot));
        let timed_out = || Error::new(Kind::AnswerTimeout, "the daemon found no answer in time");
        let reply = reply.await.unwrap_or_else(|_| Err(timed_out()));
        reply.unwrap_or_else(|error| reply::error(&error))
    }

    async fn dispatch(&self, request: Request<Incoming>, slot: &Slot) -> Result<Reply, Error> {
        let path = request.uri().path();
        let is_get = request.method() == Method::GET;
        match path {
            "/livez" if is_get => return Ok(json(StatusCode::OK, &Live { live: true })),
            "/readyz" if is_get => return Ok(self.ready().await),
            "/livez" | "/readyz" => return Ok(not_allowed("GET")),
            _ => self.authorize(&request)?,
        }
        slot.set_authenticated();
        let is_post = request.method() == Method::POST;
        match path {
            "/v1/status" if is_get => Ok(json(StatusCode::OK, &self.handler.status().await)),
            "/v1/orders" if is_get => Ok(json(StatusCode::OK, &self.handler.orders().await)),
            "/v1/orders" if is_post => self.apply_order(request).await,
            "/v1/histograms" if is_get => self.histograms(request.uri().query()).await,
            "/v1/quarantine" if is_get => {
                Ok(json(StatusCode::OK, &self.handler.quarantine().await))
            }
            "/v1/document" if is_get => self.document().await,
            "/v1/document/check" if is_post => self.check(request).await,
            "/v1/status" | "/v1/histograms" | "/v1/quarantine" | "/v1/document" => {
                Ok(not_allowed("GET"))
            }
            "/v1/orders" => Ok(not_allowed("GET, POST")),
            "/v1/document/check" => Ok(not_allowed("POST")),
            _ => self.release(&request).await,
        }
    }

    /// Checks that a request has the key of an operator.
    fn authorize(&self, request: &Request<Incoming>) -> Result<(), Error> {
        let presented = bearer(request).map(Digest::of);
        let mut matched = false;
        if let Some(presented) = presented {
            // All keys are compared, so that the timing does not reveal which key matched.
            for key in &self.keys {
                matched |= key.matches(&presented);
            }
        }
        if matched {
            return Ok(());
        }
        Err(Error::new(Kind::Unauthorized, "an operator's key is needed as a bearer token"))
    }

    async fn ready(&self) -> Reply {
        let readiness = self.handler.readiness().await;
        let status = if readiness.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(status, &readiness)
    }

    async fn apply_order(&self, request: Request<Incoming>) -> Result<Reply, Error> {
        let body = self.body(request, MAX_ORDER_BYTES).await?;
        let order: Order = serde_json::from_slice(&body)
            .map_err(|error| Error::new(Kind::BadRequest, format!("no order: {error}")))?;
        let outcome = match self.unknown_zone(&order).await {
            Some(unknown) => outcome::Order::UnknownTarget(unknown),
            None => self.handler.apply_order(order).await,
        };
        let status = match outcome {
            outcome::Order::InForce(_) => StatusCode::OK,
            outcome::Order::Conflict(_) => StatusCode::CONFLICT,
            outcome::Order::UnknownTarget(_) => StatusCode::NOT_FOUND,
            outcome::Order::Undecided(_) => StatusCode::GATEWAY_TIMEOUT,
        };
        Ok(json(status, &outcome))
    }

    /// The refusal of an order that takes an availability zone out of service, if the document does
    /// not contain the zone.
    ///
    /// Returning a zone to service is always allowed, so that an order can be undone after the zone
    /// was removed from the document.
    async fn unknown_zone(&self, order: &Order) -> Option<outcome::UnknownTarget> {
        let Target::Zone(zone) = &order.target else { return None };
        if !order.out {
            return None;
        }
        let catalog = self.handler.document().await?;
        if catalog.zone(zone).is_some() {
            return None;
        }
        let message = format!("the document in force has no availability zone {zone}");
        Some(outcome::UnknownTarget { target: order.target.clone(), message: message.into() })
    }

    async fn histograms(&self, query: Option<&str>) -> Result<Reply, Error> {
        let filter: Filter = query
            .unwrap_or_default()
            .parse()
            .map_err(|error| Error::new(Kind::BadRequest, format!("{error}")))?;
        let mut report = self.handler.histograms(filter).await;
        report.rows = histogram::limit_rows(report.rows, MAX_HISTOGRAM_ROWS);
        Ok(json(StatusCode::OK, &report))
    }

    async fn document(&self) -> Result<Reply, Error> {
        let catalog = self.handler.document().await;
        let not_found = || Error::new(Kind::NotFound, "no document is in force");
        catalog
            .map(|catalog| raw_json(StatusCode::OK, catalog.bytes().clone()))
            .ok_or_else(not_found)
    }

    async fn check(&self, request: Request<Incoming>) -> Result<Reply, Error> {
        let body = self.body(request, MAX_DOCUMENT_BYTES).await?;
        let report = check::Report::new(Catalog::parse(body));
        Ok(json(StatusCode::OK, &report))
    }

    /// Handles a path below `/v1/quarantine/`. Any other path is unknown.
    async fn release(&self, request: &Request<Incoming>) -> Result<Reply, Error> {
        let Some(text) = request.uri().path().strip_prefix("/v1/quarantine/") else {
            return Err(Error::new(Kind::NotFound, "there is nothing at this path"));
        };
        if request.method() != Method::DELETE {
            return Ok(not_allowed("DELETE"));
        }
        let fingerprint =
            text.parse().map_err(|error| Error::new(Kind::BadRequest, format!("{error}")))?;
        let release = self.handler.release(fingerprint).await;
        let status = if release.released { StatusCode::OK } else { StatusCode::NOT_FOUND };
        Ok(json(status, &release))
    }

    async fn body(&self, request: Request<Incoming>, limit: usize) -> Result<Bytes, Error> {
        let body = Limited::new(request.into_body(), limit).collect();
        let collected = tokio::time::timeout(self.body_timeout, body)
            .await
            .map_err(|_| Error::new(Kind::BodyTimeout, "the body did not arrive in time"))?;
        let body = collected.map_err(|error| {
            if error.is::<LengthLimitError>() {
                let message = format!("the body has more than {limit} bytes");
                return Error::new(Kind::TooLarge, message);
            }
            Error::new(Kind::BadRequest, format!("the body is broken: {error}"))
        })?;
        Ok(body.to_bytes())
    }
}

fn bearer(request: &Request<Incoming>) -> Option<&[u8]> {
    let value = request.headers().get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked("Bearer ".len())?;
    scheme.eq_ignore_ascii_case(b"Bearer ").then_some(key)
}
