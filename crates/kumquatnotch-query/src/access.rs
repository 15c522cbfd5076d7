//! Authentication of callers and authorisation of their tenants.
//!
//! The table from key digests to tenants is built once per version of the document,
//! since scanning all tenants for each request would take longer than the request
//! itself.

use std::{cell::RefCell, rc::Rc};

use kumquatnotch_core::{
    Error, Result,
    collections::HashMap,
    document::{Document, SelectorSpec},
    front::key_digest,
    ids::{ConfigVersion, SelectorName, TenantName},
};

/// Cached key table of the current document.
#[derive(Default)]
pub(crate) struct Access {
    table: RefCell<Option<Rc<Table>>>,
}

struct Table {
    version: ConfigVersion,
    tenants: HashMap<String, TenantName>,
}

impl Access {
    /// Returns the tenant that `key` belongs to under `document`.
    pub fn tenant(&self, document: &Document, key: &str) -> Result<TenantName> {
        let digest = key_digest(key);
        self.table(document).tenants.get(&digest).cloned().ok_or(Error::Unauthorised)
    }

    fn table(&self, document: &Document) -> Rc<Table> {
        let mut cached = self.table.borrow_mut();
        if let Some(table) = cached.as_ref().filter(|table| table.version == document.version) {
            return table.clone();
        }
        let table = Rc::new(Table::of(document));
        *cached = Some(table.clone());
        table
    }
}

impl Table {
    fn of(document: &Document) -> Table {
        let mut tenants = HashMap::default();
        for (name, tenant) in &document.rules.tenants {
            for digest in &tenant.keys {
                // Names are sorted: as in `front::tenant_of`, the first one wins.
                tenants.entry(digest.clone()).or_insert_with(|| name.clone());
            }
        }
        Table { version: document.version, tenants }
    }
}

/// Returns the selector `name` if `tenant` may use it for this kind of request.
pub(crate) fn permitted<'a>(
    document: &'a Document,
    name: &SelectorName,
    tenant: &TenantName,
    exclusive: bool,
) -> Result<&'a SelectorSpec> {
    let Some(spec) = document.rules.selectors.get(name) else {
        return Err(Error::UnknownSelector { name: name.to_string() });
    };
    if !spec.tenants.is_empty() && !spec.tenants.contains(tenant) {
        return Err(Error::Forbidden { name: name.to_string() });
    }
    match (spec.exclusive, exclusive) {
        (true, false) => Err(Error::bad_request("this selector needs a ticket")),
        (false, true) => Err(Error::bad_request("this selector takes no tickets")),
        _ => Ok(spec),
    }
}
