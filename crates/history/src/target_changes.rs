//! Operators that take targets out of service by a label, a selector or removal, and that
//! roll back configurations.
//!
//! Only second replicas are taken out, so that every shard keeps a target.

use std::cell::RefCell;

use kumquatnotch_core::{
    Error, Result,
    document::{Document, TargetSpec},
    ids::{SelectorName, TargetName},
    labels::Expression,
};

use crate::{layout, operators::Operator};

/// Time for which a target stays out; longer than the limit after which it must receive no
/// new work, so that late work is observed.
const EXCLUSION_MS: u64 = 8_000;

/// Label of the targets that the changed search selector excludes.
const HIDDEN_LABEL: &str = "hidden";

impl Operator {
    /// Takes targets out of service and back in, one at a time, until the run is over.
    pub async fn change_targets(self) {
        while !self.run.over.get() {
            let shard = self.random.below(layout::SEARCH_SHARDS);
            let target = layout::target_name("s", shard, layout::REPLICAS[1]);
            match self.random.below(3) {
                0 => self.remove(&target).await,
                1 => self.relabel(&target).await,
                _ => self.exclude_by_selector(&target).await,
            }
            self.run.sleep_ms(self.random.below(1_000) as u64).await;
        }
    }

    /// Rolls back at random intervals until the run is over, regardless of concurrent changes.
    pub async fn roll_back_periodically(self) {
        while !self.run.over.get() {
            self.run.sleep_ms(4_000 + self.random.below(4_000) as u64).await;
            if self.roll_back().await.is_ok() {
                self.run.record_fault("rolled back", "");
            }
        }
    }

    async fn remove(&self, name: &TargetName) {
        let removed: RefCell<Option<TargetSpec>> = RefCell::default();
        let take = |document: &mut Document| {
            removed.replace(document.targets.remove(name));
            Ok(())
        };
        if self.amend(take, "remove").await {
            self.run.record_fault("target removed", name);
            self.run.sleep_ms(EXCLUSION_MS).await;
        }
        let Some(spec) = removed.take() else {
            return;
        };
        let add = |document: &mut Document| {
            document.targets.insert(name.clone(), spec.clone());
            Ok(())
        };
        self.amend_until_accepted(add, "add").await;
    }

    async fn relabel(&self, name: &TargetName) {
        let set = |role: &'static str| {
            move |document: &mut Document| {
                // A concurrent rollback may have removed or restored the target.
                if let Some(target) = document.targets.get_mut(name) {
                    target.labels.insert("role".to_owned(), role.to_owned());
                }
                Ok(())
            }
        };
        if self.amend(set("spare"), "label").await {
            self.run.record_fault("target relabelled", name);
            self.run.sleep_ms(EXCLUSION_MS).await;
        }
        self.amend_until_accepted(set("search"), "label").await;
    }

    /// Labels a target, then changes the selector so that it excludes the label.
    async fn exclude_by_selector(&self, name: &TargetName) {
        let mark = |document: &mut Document| {
            if let Some(target) = document.targets.get_mut(name) {
                target.labels.insert(HIDDEN_LABEL.to_owned(), "yes".to_owned());
            }
            Ok(())
        };
        self.amend(mark, "label").await;
        if self
            .amend(|document| set_selector_targets(document, "role = search, !hidden"), "select")
            .await
        {
            self.run.record_fault("selector changed", name);
            self.run.sleep_ms(EXCLUSION_MS).await;
        }
        self.amend_until_accepted(
            |document| set_selector_targets(document, "role = search"),
            "select",
        )
        .await;
        let unmark = |document: &mut Document| {
            if let Some(target) = document.targets.get_mut(name) {
                target.labels.remove(HIDDEN_LABEL);
            }
            Ok(())
        };
        self.amend_until_accepted(unmark, "label").await;
    }

    /// Repeats a change of the configuration until it is accepted or the run is over.
    async fn amend_until_accepted(
        &self,
        change: impl Fn(&mut Document) -> Result<()>,
        note: &'static str,
    ) {
        while !self.amend(&change, note).await && !self.run.over.get() {
            self.run.sleep_ms(200).await;
        }
    }
}

fn set_selector_targets(document: &mut Document, expression: &str) -> Result<()> {
    let name = SelectorName::from(layout::SEARCH_SELECTOR);
    let unknown = || Error::UnknownSelector { name: name.to_string() };
    let spec = document.rules.selectors.get_mut(&name).ok_or_else(unknown)?;
    spec.targets = Expression::parse(expression)?;
    Ok(())
}
