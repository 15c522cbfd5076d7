//! The state of the stand-in platform: values with revisions, and leases.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use bytes::Bytes;

/// A stored value.
#[derive(Clone, Debug)]
pub struct Value {
    /// Its revision.
    pub revision: u64,
    /// The bytes.
    pub bytes: Bytes,
    /// The lease with which it goes.
    pub lease: Option<u64>,
}

/// What a write expects of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// Anything.
    Any,
    /// This revision; zero if it is absent.
    Revision(u64),
}

/// Why a write was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The key has another revision.
    Compare,
    /// There is no such lease.
    Lease,
}

/// Values and leases.
#[derive(Debug, Default)]
pub struct Store {
    values: BTreeMap<String, Value>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last: u64,
}

impl Store {
    /// The value of a key.
    pub fn get(&mut self, key: &str) -> Option<Value> {
        self.expire();
        self.values.get(key).cloned()
    }

    /// Writes a key; returns its new revision.
    pub fn put(
        &mut self,
        key: &str,
        bytes: Bytes,
        expect: Expect,
        lease: Option<u64>,
    ) -> Result<u64, Refused> {
        self.check(key, expect)?;
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return Err(Refused::Lease);
        }
        self.last += 1;
        let value = Value { revision: self.last, bytes, lease };
        self.values.insert(key.to_owned(), value);
        Ok(self.last)
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str, expect: Expect) -> Result<(), Refused> {
        self.check(key, expect)?;
        self.values.remove(key);
        Ok(())
    }

    /// The keys that start with `prefix`.
    pub fn keys(&mut self, prefix: &str) -> Vec<String> {
        self.expire();
        let keys = self.values.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.last += 1;
        self.leases.insert(self.last, (Instant::now() + ttl, ttl));
        self.last
    }

    /// Renews a lease; false if it has lapsed.
    pub fn renew(&mut self, id: u64) -> bool {
        self.expire();
        match self.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                true
            }
            None => false,
        }
    }

    /// Gives a lease back.
    pub fn revoke(&mut self, id: u64) {
        self.leases.remove(&id);
        self.values.retain(|_, value| value.lease != Some(id));
    }

    fn check(&mut self, key: &str, expect: Expect) -> Result<(), Refused> {
        self.expire();
        let revision = self.values.get(key).map_or(0, |value| value.revision);
        match expect {
            Expect::Revision(expected) if expected != revision => Err(Refused::Compare),
            _ => Ok(()),
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        lapsed.into_iter().for_each(|id| self.revoke(id));
    }
}
