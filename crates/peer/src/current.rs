//! The document and the service orders in force.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{catalog::Catalog, load::Fault, order};
use serde::{Deserialize, Serialize};

use crate::wire::Stamp;

/// Where a value came from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum Source {
    /// The platform's configuration service.
    #[display("platform")]
    Platform,
    /// Another daemon.
    #[display("peer {_0}")]
    Peer(CompactString),
    /// An operator's order.
    #[display("operator")]
    Operator,
}

/// A document in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The checked document, with the bytes as published.
    pub catalog: Catalog,
    /// The revision and the digest.
    pub stamp: Stamp,
    /// Where this daemon has it from.
    pub source: Source,
}

/// What is in force on this daemon.
#[derive(Debug, Clone)]
pub struct Current {
    /// The document, if there is one yet.
    pub document: Option<Arc<Document>>,
    /// The service orders.
    pub orders: Arc<order::State>,
    /// The revision and the digest of the orders.
    pub orders_stamp: Stamp,
}

impl Current {
    /// The stamp of the document in force.
    pub fn document_stamp(&self) -> Stamp {
        self.document.as_ref().map_or(Stamp::NONE, |document| document.stamp)
    }

    /// The fault of a document that is not for the environment of the document in force.
    fn environment_fault(&self, offered: &Catalog) -> Option<Fault> {
        let own = &self.document.as_ref()?.catalog.document().environment;
        let other = &offered.document().environment;
        let message = format!("the document is for {other}, the one in force is for {own}");
        (own != other).then(|| Fault { path: "environment".into(), message: message.into() })
    }
}

/// What became of an offered value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It is in force now.
    Adopted,
    /// It is the one in force already.
    Unchanged,
    /// A higher revision is in force.
    Older,
    /// It has the revision in force and another content, which loses against the one in force.
    Conflict,
    /// It is not valid. The last good one stays in force.
    Invalid(Vec<Fault>),
}

/// The last offer that was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// What was offered: `document` or `orders`.
    pub value: CompactString,
    /// Where it came from.
    pub source: Source,
    /// Why it was rejected.
    pub faults: Vec<Fault>,
}

/// The values in force, replaced as a whole.
#[derive(Debug)]
pub struct Store {
    current: ArcSwap<Current>,
    rejection: ArcSwap<Option<Rejection>>,
    conflict: ArcSwap<Option<Rejection>>,
}

impl Default for Store {
    fn default() -> Self {
        let orders = order::State::default();
        let current =
            Current { document: None, orders_stamp: Stamp::NONE, orders: Arc::new(orders) };
        Self {
            current: ArcSwap::from_pointee(current),
            rejection: ArcSwap::from_pointee(None),
            conflict: ArcSwap::from_pointee(None),
        }
    }
}

impl Store {
    /// What is in force.
    pub fn load(&self) -> Arc<Current> {
        self.current.load_full()
    }

    /// The last offer that was not valid, if no document was adopted since.
    pub fn rejection(&self) -> Option<Rejection> {
        (**self.rejection.load()).clone()
    }

    /// The last value that had a revision in force and another content.
    pub fn conflict(&self) -> Option<Rejection> {
        (**self.conflict.load()).clone()
    }

    /// Offers a document.
    ///
    /// Must not be called by two tasks at once; the node has a lock for this.
    pub fn offer_document(&self, bytes: Bytes, source: Source) -> Outcome {
        let catalog = match Catalog::parse(bytes) {
            Ok(catalog) => catalog,
            Err(faults) => return self.reject(faults, source),
        };
        let stamp = Stamp { revision: catalog.revision(), digest: catalog.digest() };
        let current = self.load();
        if let Some(fault) = current.environment_fault(&catalog) {
            return self.reject(vec![fault], source);
        }
        let outcome = self.compare("document", stamp, current.document_stamp(), &source);
        if outcome == Outcome::Adopted {
            log::info!("document adopted revision={} source={source}", stamp.revision);
            let document = Document { catalog, stamp, source };
            let document = Some(Arc::new(document));
            self.current.store(Arc::new(Current { document, ..(*current).clone() }));
            self.rejection.store(Arc::new(None));
        }
        outcome
    }

    /// Offers a state of service orders. The same caution applies.
    pub fn offer_orders(&self, state: order::State, source: &Source) -> Outcome {
        if state == order::State::default() {
            return Outcome::Unchanged;
        }
        let stamp = Stamp { revision: state.revision, digest: state.digest() };
        let current = self.load();
        let outcome = self.compare("orders", stamp, current.orders_stamp, source);
        if outcome == Outcome::Adopted {
            log::info!("orders adopted revision={} source={source}", stamp.revision);
            let next = Current {
                orders: Arc::new(state),
                orders_stamp: stamp,
                document: current.document.clone(),
            };
            self.current.store(Arc::new(next));
        }
        outcome
    }

    fn compare(
        &self,
        value: &'static str,
        offered: Stamp,
        in_force: Stamp,
        source: &Source,
    ) -> Outcome {
        let same_revision = offered.revision == in_force.revision && in_force != Stamp::NONE;
        if same_revision && offered.digest != in_force.digest {
            self.report_conflict(value, offered, in_force, source);
        }
        match offered.cmp(&in_force) {
            std::cmp::Ordering::Greater => Outcome::Adopted,
            std::cmp::Ordering::Equal => Outcome::Unchanged,
            std::cmp::Ordering::Less if same_revision => Outcome::Conflict,
            std::cmp::Ordering::Less => Outcome::Older,
        }
    }

    fn report_conflict(
        &self,
        value: &'static str,
        offered: Stamp,
        in_force: Stamp,
        source: &Source,
    ) {
        let message = format!(
            "revision {} was published with two contents, digests {} and {}; the higher digest is in force",
            offered.revision, offered.digest, in_force.digest,
        );
        log::warn!("{value} conflict source={source} {message}");
        let fault = Fault { path: "revision".into(), message: message.into() };
        let rejection =
            Rejection { value: value.into(), source: source.clone(), faults: vec![fault] };
        self.conflict.store(Arc::new(Some(rejection)));
    }

    fn reject(&self, faults: Vec<Fault>, source: Source) -> Outcome {
        let first = faults.first().map(ToString::to_string).unwrap_or_default();
        log::warn!("document rejected source={source} faults={} first={first:?}", faults.len());
        let rejection = Rejection { value: "document".into(), source, faults: faults.clone() };
        self.rejection.store(Arc::new(Some(rejection)));
        Outcome::Invalid(faults)
    }
}
