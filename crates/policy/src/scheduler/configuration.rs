//! Applies the document and the service orders.

use hyssop_document::{collections::Map, group, model, order};

use crate::queue::workspace_queue;

use super::{Scheduler, Workspace, backend::Backend, class::Class};

impl Scheduler {
    pub(super) fn configure_workspaces(&mut self, document: &model::Document) {
        for workspace in self.workspaces.values_mut() {
            workspace.declared = false;
        }
        for model in &document.workspaces {
            let key = workspace_queue::Key(self.workspaces.len() as u32);
            let workspace = self.workspaces.entry(model.name.clone()).or_insert(Workspace {
                key,
                share: 1,
                declared: true,
            });
            workspace.share = model.share;
            workspace.declared = true;
        }
    }

    pub(super) fn configure_classes(&mut self, document: &model::Document) {
        for class in &mut self.classes {
            class.declared = false;
        }
        for model in &document.classes {
            if let Some(&key) = self.class_keys.get(&model.name) {
                self.queue.set_tier(key, model.tier);
                self.classes[key.0].configure(model.clone());
                continue;
            }
            let key = self.queue.add_class(model.tier);
            self.class_keys.insert(model.name.clone(), key);
            self.classes.push(Class::new(model.clone()));
        }
    }

    pub(super) fn configure_backends(&mut self, document: &model::Document, orders: &order::State) {
        let mut previous: Map<_, _> =
            self.backends.drain(..).map(|b| (b.model.name.clone(), b)).collect();
        self.backend_positions.clear();
        let Some(pool) = &self.pool else { return };
        let members = group::split(document, &self.group.pool)
            .into_iter()
            .find(|(group, _)| *group == self.group)
            .map(|(_, members)| members)
            .unwrap_or_default();
        for member in members {
            let mut backend =
                previous.remove(&member.name).unwrap_or_else(|| Backend::new(member.clone(), pool));
            if backend.model.address != member.address {
                backend = Backend::new(member.clone(), pool);
            }
            backend.model = member.clone();
            backend.in_service = !orders.zones_out.contains(&member.zone);
            backend.tracker.set_limits(pool.cold_limit, pool.warm_limit);
            backend.clear_permits();
            self.backend_positions.insert(member.name.clone(), self.backends.len());
            self.backends.push(backend);
        }
        for (_, grant) in self.grants.iter() {
            if let Some(&position) = self.backend_positions.get(&grant.backend) {
                self.backends[position].adopt(grant);
            }
        }
    }
}
