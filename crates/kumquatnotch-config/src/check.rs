//! Validation of a document across its entries.

use std::collections::BTreeMap;

use kumquatnotch_core::document::Document;

use crate::{fault::Fault, reader::Source};

/// Length of a key's SHA-256 digest in hexadecimal, in characters.
const DIGEST_HEX_LENGTH: usize = 64;

/// Validates a document that was read from `sources` and returns every fault.
pub fn check(document: &Document, sources: &[Source<'_>]) -> Vec<Fault> {
    let mut checker = Checker { sources, faults: Vec::new() };
    checker.check_targets(document);
    checker.check_selectors(document);
    checker.check_tenants(document);
    checker.faults
}

struct Checker<'a> {
    sources: &'a [Source<'a>],
    faults: Vec<Fault>,
}

impl Checker<'_> {
    fn check_targets(&mut self, document: &Document) {
        let mut addresses = BTreeMap::new();
        for (name, target) in &document.targets {
            if document.region(&target.centre).is_none() {
                let reason = format!("data centre {} has no region", target.centre);
                self.report(&["targets", name, "centre"], &reason);
            }
            if target.shard.is_empty() {
                self.report(&["targets", name, "shard"], "must not be empty");
            }
            if let Some(other) = addresses.insert(target.address, name) {
                let reason = format!("target {other} has the same address");
                self.report(&["targets", name, "address"], &reason);
            }
        }
    }

    fn check_selectors(&mut self, document: &Document) {
        for (name, selector) in &document.rules.selectors {
            if selector.deadline_ms == 0 {
                self.report(&["selectors", name, "deadline_ms"], "must be above 0");
            }
            for tenant in &selector.tenants {
                if !document.rules.tenants.contains_key(tenant) {
                    let reason = format!("unknown tenant {tenant}");
                    self.report(&["selectors", name, "tenants"], &reason);
                }
            }
        }
    }

    fn check_tenants(&mut self, document: &Document) {
        let mut keys = BTreeMap::new();
        for (name, tenant) in &document.rules.tenants {
            for key in &tenant.keys {
                let hex = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
                if key.len() != DIGEST_HEX_LENGTH || !key.chars().all(hex) {
                    let reason = "expected the SHA-256 digest of a key in 64 lowercase hex digits";
                    self.report(&["tenants", name, "keys"], reason);
                    continue;
                }
                // A key shared by two tenants would expose one tenant's private data to the other.
                if let Some(other) = keys.insert(key, name)
                    && other != name
                {
                    let reason = format!("tenant {other} has the same key");
                    self.report(&["tenants", name, "keys"], &reason);
                }
            }
            if tenant.weight == 0 {
                self.report(&["tenants", name, "weight"], "must be above 0");
            }
            let share = 0.0..=1.0;
            if !share.contains(&tenant.stop.patience) {
                self.report(&["tenants", name, "stop", "patience"], "must be from 0 to 1");
            }
            if !share.contains(&tenant.stop.enough) {
                self.report(&["tenants", name, "stop", "enough"], "must be from 0 to 1");
            }
        }
    }

    /// Records a fault against the source file that contains `path`.
    fn report(&mut self, path: &[&str], reason: &str) {
        let faults: Vec<Fault> =
            self.sources.iter().map(|source| source.fault(path, reason)).collect();
        let fault = faults.iter().find(|fault| fault.line.is_some()).or(faults.first());
        self.faults.extend(fault.cloned());
    }
}
