//! The names that operators and replicas choose.

use std::{fmt, rc::Rc};

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Rc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> $name {
                $name(Rc::from(name))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// A route.
    RouteName,
    /// A service: one shard of an index, or a service without shards.
    ServiceName,
    /// One incarnation of a replica, from its start to its end.
    ReplicaId,
}
