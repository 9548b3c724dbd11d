//! Validation of a document across its parts.

use crate::document::{Document, Trainer};
use crate::source_map::SourceMap;
use catkinmast_model::{InstanceKind, Labels, Name, Selector};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One fault in a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Fault {
    /// Path of the field, e.g. `trainers[0].batch_samples`.
    pub field: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// What is wrong, with the value where there is one.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.message)
    }
}

/// All faults in a document.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    pub(crate) fn one(line: usize, field: &str, message: impl Into<String>) -> Self {
        Self(vec![Fault { field: field.to_owned(), line, message: message.into() }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}

/// Collects the faults of one document.
struct Checker<'a> {
    document: &'a Document,
    faults: Vec<Fault>,
    source_map: &'a SourceMap<'a>,
}

pub(crate) fn check(document: &Document, source_map: &SourceMap<'_>) -> Result<(), Faults> {
    let mut checker = Checker { document, faults: Vec::new(), source_map };
    checker.check_limits();
    checker.check_names();
    checker.check_workers();
    checker.check_models_and_selectors();
    checker.check_services();
    checker.check_trainers();
    if checker.faults.is_empty() { Ok(()) } else { Err(Faults(checker.faults)) }
}

impl Checker<'_> {
    fn fault(&mut self, list: &str, index: usize, field: &str, message: impl Into<String>) {
        let line = self.source_map.line(list, index, field);
        let field = format!("{list}[{index}].{field}");
        self.faults.push(Fault { field, line, message: message.into() });
    }

    fn check_limits(&mut self) {
        let limits = self.document.limits.clone();
        let mut faults = Vec::new();
        let mut at_least_one = |field: &'static str, value: u64| {
            if value == 0 {
                faults.push((field, "is 0; at least 1 is needed".to_owned()));
            }
        };
        at_least_one("address_ttl_ms", limits.address_ttl_ms);
        at_least_one("drain_deadline_ms", limits.drain_deadline_ms);
        at_least_one("in_flight_max", u64::from(limits.in_flight_max));
        at_least_one("request_body_max_bytes", limits.request_body_max_bytes);
        at_least_one("unsized_answer_max_bytes", limits.unsized_answer_max_bytes);
        at_least_one("ticket_memory_ms", limits.ticket_memory_ms);
        if limits.drain_deadline_ms < limits.address_ttl_ms {
            let message = format!(
                "is {}, shorter than address_ttl_ms ({}): a leaving node would be gone while \
                 callers may still use its address",
                limits.drain_deadline_ms, limits.address_ttl_ms
            );
            faults.push(("drain_deadline_ms", message));
        }
        if limits.retry_budget_percent > 100 {
            let message = format!("is {}; 0 to 100 are allowed", limits.retry_budget_percent);
            faults.push(("retry_budget_percent", message));
        }
        for (field, message) in faults {
            let line = self.source_map.line("limits", 0, field);
            self.faults.push(Fault { field: format!("limits.{field}"), line, message });
        }
    }

    fn check_names(&mut self) {
        let document = self.document;
        self.check_unique(
            "data_centres",
            document.data_centres.iter().map(|data_centre| &data_centre.name),
        );
        self.check_unique(
            "workspaces",
            document.workspaces.iter().map(|workspace| &workspace.name),
        );
        self.check_unique("workers", document.workers.iter().map(|workers| &workers.name));
        self.check_unique("models", document.models.iter().map(|model| &model.name));
        self.check_unique("services", document.services.iter().map(|service| &service.name));
        self.check_unique("trainers", document.trainers.iter().map(|trainer| &trainer.name));
    }

    fn check_unique<'n>(&mut self, list: &str, names: impl Iterator<Item = &'n Name>) {
        let mut seen = IndexSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                self.fault(list, index, "name", format!("'{name}' stands twice"));
            }
        }
    }

    fn check_workers(&mut self) {
        let document = self.document;
        for (index, workers) in document.workers.iter().enumerate() {
            for data_centre in &workers.data_centres {
                if document.region(data_centre).is_none() {
                    let message = format!("'{data_centre}' is not listed in data_centres");
                    self.fault("workers", index, "data_centres", message);
                }
            }
            if workers.data_centres.is_empty() {
                self.fault("workers", index, "data_centres", "is empty");
            }
            if workers.kind == InstanceKind::Entry {
                let message = "is 'entry'; entry instances list themselves by their settings";
                self.fault("workers", index, "kind", message);
            }
        }
    }

    /// Checks the selectors of models and services, and the models' numbers.
    fn check_models_and_selectors(&mut self) {
        let document = self.document;
        for (index, model) in document.models.iter().enumerate() {
            self.check_selector("models", index, "engines", &model.engines, InstanceKind::Engine);
            let percent = model.swap_at_once_percent;
            if percent == 0 || percent >= 100 {
                let message =
                    format!("is {percent}; 1 to 99 are allowed, since some engine must go on");
                self.fault("models", index, "swap_at_once_percent", message);
            }
        }
        for (index, service) in document.services.iter().enumerate() {
            let targets = &service.targets;
            self.check_selector("services", index, "targets", targets, InstanceKind::Service);
        }
    }

    /// Refuses a selector that matches no expected instance, since it is most likely a typing
    /// error.
    fn check_selector(
        &mut self,
        list: &str,
        index: usize,
        field: &str,
        selector: &Selector,
        kind: InstanceKind,
    ) {
        if !self.matches_some(kind, |labels| selector.matches(labels)) {
            let message = format!("'{selector}' matches none of the workers of that kind");
            self.fault(list, index, field, message);
        }
    }

    fn matches_some(&self, kind: InstanceKind, matches: impl Fn(&Labels) -> bool) -> bool {
        let of_kind = self.document.workers.iter().filter(|workers| workers.kind == kind);
        of_kind
            .flat_map(|workers| {
                workers.data_centres.iter().map(move |data_centre| (workers, data_centre))
            })
            .any(|(workers, data_centre)| {
                matches(&self.document.placed_labels(&workers.labels, data_centre))
            })
    }

    fn check_services(&mut self) {
        for (index, service) in self.document.services.iter().enumerate() {
            if service.calls.is_empty() {
                self.fault("services", index, "calls", "is empty; no call could be made");
            }
            if service.timeout_ms == 0 {
                self.fault("services", index, "timeout_ms", "is 0; at least 1 is needed");
            }
            if service.target_in_flight_max == 0 {
                self.fault("services", index, "target_in_flight_max", "is 0; at least 1 is needed");
            }
            for call in &service.calls {
                if !call.path.starts_with('/') {
                    let message = format!("path '{}' does not begin with '/'", call.path);
                    self.fault("services", index, "calls", message);
                }
            }
        }
    }

    fn check_trainers(&mut self) {
        let mut models = IndexSet::new();
        for (index, trainer) in self.document.trainers.iter().enumerate() {
            self.check_trainer_references(index, trainer);
            self.check_trainer_numbers(index, trainer);
            if !models.insert(&trainer.model) {
                let message = format!("'{}' is trained by another trainer", trainer.model);
                self.fault("trainers", index, "model", message);
            }
        }
    }

    fn check_trainer_references(&mut self, index: usize, trainer: &Trainer) {
        let document = self.document;
        if document.workspace(trainer.workspace.as_str()).is_none() {
            self.fault(
                "trainers",
                index,
                "workspace",
                format!("'{}' is no workspace", trainer.workspace),
            );
        }
        match document.service(trainer.scorer.as_str()) {
            None => {
                let message = format!("'{}' is no plain service", trainer.scorer);
                self.fault("trainers", index, "scorer", message);
            }
            Some(service) if service.call(SCORE_PATH).is_none() => {
                let message = format!("'{}' lists no call {SCORE_PATH}", trainer.scorer);
                self.fault("trainers", index, "scorer", message);
            }
            Some(_) => {}
        }
        let Some(model) = document.model(trainer.model.as_str()) else {
            let message = format!("'{}' is no model", trainer.model);
            self.fault("trainers", index, "model", message);
            return;
        };
        let matches_both =
            |labels: &Labels| model.engines.matches(labels) && trainer.engines.matches(labels);
        if !self.matches_some(InstanceKind::Engine, matches_both) {
            let message = format!("'{}' matches none of the model's engines", trainer.engines);
            self.fault("trainers", index, "engines", message);
        }
    }

    fn check_trainer_numbers(&mut self, index: usize, trainer: &Trainer) {
        let (batch, group) = (trainer.batch_samples, trainer.group_size);
        if group == 0 {
            self.fault("trainers", index, "group_size", "is 0; at least 1 is needed");
        } else if batch == 0 || !batch.is_multiple_of(group) {
            let message = format!("is {batch}, not a multiple of group_size ({group})");
            self.fault("trainers", index, "batch_samples", message);
        }
        if trainer.idle_weight_percent > 100 {
            let message = format!("is {}; 0 to 100 are allowed", trainer.idle_weight_percent);
            self.fault("trainers", index, "idle_weight_percent", message);
        }
    }
}

/// Path at which a scoring service is called.
const SCORE_PATH: &str = "/score";

impl Document {
    /// Returns `labels` with those of the data centre and its region added.
    pub fn placed_labels(&self, labels: &Labels, data_centre: &Name) -> Labels {
        let placed = labels.clone().with("data_centre", data_centre.as_str());
        match self.region(data_centre) {
            Some(region) => placed.with("region", region.as_str()),
            None => placed,
        }
    }
}
