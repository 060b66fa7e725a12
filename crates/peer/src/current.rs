//! Store of the document and the service orders in force.

use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use compact_str::CompactString;
use hyssop_document::{catalog::Catalog, load::Fault, order};
use serde::{Deserialize, Serialize};

use crate::wire::Stamp;

/// The origin of a value.
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
    /// The checked document with its bytes as published.
    pub catalog: Catalog,
    /// Identifies the version of the document.
    pub stamp: Stamp,
    /// The origin of this daemon's copy.
    pub source: Source,
}

/// The values in force on this daemon.
#[derive(Debug, Clone)]
pub struct Current {
    /// The document. `None` until the first one was adopted.
    pub document: Option<Arc<Document>>,
    /// The service orders, empty by default.
    pub orders: Arc<order::State>,
    /// Identifies the version of the orders.
    pub orders_stamp: Stamp,
}

impl Current {
    /// The stamp of the document in force, [`Stamp::NONE`] if there is none.
    pub fn document_stamp(&self) -> Stamp {
        self.document.as_ref().map_or(Stamp::NONE, |document| document.stamp)
    }

    /// Returns a fault if `offered` is for a different environment than the document in force.
    fn environment_fault(&self, offered: &Catalog) -> Option<Fault> {
        let own = &self.document.as_ref()?.catalog.document().environment;
        let other = &offered.document().environment;
        let message = format!("the document is for {other}, the one in force is for {own}");
        (own != other).then(|| Fault { path: "environment".into(), message: message.into() })
    }
}

/// The result of offering a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The value is in force now.
    Adopted,
    /// The value is in force already, or is the empty state of orders.
    Unchanged,
    /// A value with a higher revision is in force.
    Older,
    /// The value in force has the same revision and a different content with a higher digest.
    Conflict,
    /// The value is not valid. The last valid one stays in force.
    Invalid(Vec<Fault>),
}

/// A rejected offer, or a conflict of two contents for one revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The kind of value: `document` or `orders`.
    pub value: CompactString,
    /// The origin of the offered value.
    pub source: Source,
    /// The reasons.
    pub faults: Vec<Fault>,
}

/// The values in force, replaced atomically.
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
    /// Returns a snapshot of the values in force.
    pub fn load(&self) -> Arc<Current> {
        self.current.load_full()
    }

    /// The last invalid document, if no document was adopted since.
    pub fn rejection(&self) -> Option<Rejection> {
        (**self.rejection.load()).clone()
    }

    /// The last conflict of two contents for one revision.
    pub fn conflict(&self) -> Option<Rejection> {
        (**self.conflict.load()).clone()
    }

    /// Offers a document, which is adopted if it is valid and has a higher stamp than the one in
    /// force.
    ///
    /// Must not run concurrently with any other offer: the check and the replacement are not
    /// atomic. The node serializes offers with a lock.
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

    /// Offers service orders, which are adopted if their stamp is higher than the one in force.
    ///
    /// Must not run concurrently with any other offer; see [`Store::offer_document`].
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
