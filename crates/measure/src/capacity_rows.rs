//! The rows of the table of docs/CAPACITY.md.

use crate::{
    capacity::{Derived, Inputs},
    capacity_control::{member, reader, status, storms},
};

/// A row of the table.
#[derive(Clone, Debug)]
pub struct Row {
    /// The role of a node, or a mass start or failure.
    pub role: &'static str,
    /// The quantity.
    pub what: &'static str,
    /// The amount at the size to reach, if all its inputs were measured.
    pub amount: Option<f64>,
    /// The unit of the amount.
    pub unit: &'static str,
    /// The allowed amount, if there is a limit.
    pub allowed: Option<f64>,
    /// The mechanism responsible for the quantity, and its source file.
    pub mechanism: &'static str,
    /// The names in capacity.toml from which the amount is calculated.
    pub from: &'static str,
}

/// Number of bytes in a MiB.
pub(crate) const MIB: f64 = 1_048_576.0;

/// Returns all rows of the table.
pub fn rows(inputs: &Inputs) -> Vec<Row> {
    let derived = Derived::new(inputs);
    let mut rows = root(inputs, &derived);
    rows.extend(holder(inputs, &derived));
    rows.extend(member(inputs, &derived));
    rows.extend(reader(inputs));
    rows.extend(status(inputs));
    rows.extend(storms(inputs));
    rows
}

/// Returns the table in Markdown.
pub fn table(inputs: &Inputs) -> String {
    let mut text = String::from(
        "| role | what | at the size | allowed | factor | carried by | from |\n\
         | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for row in rows(inputs) {
        text.push_str(&row.to_line());
    }
    text
}

impl Row {
    fn to_line(&self) -> String {
        let Row { role, what, unit, mechanism, from, .. } = self;
        let amount = match self.amount {
            Some(amount) => format!("{} {unit}", number(amount)),
            None => "not measured".to_owned(),
        };
        let allowed = match self.allowed {
            Some(allowed) => format!("{} {unit}", number(allowed)),
            None => "-".to_owned(),
        };
        let factor = match (self.amount, self.allowed) {
            (Some(amount), Some(allowed)) if amount > allowed => {
                format!("**{} over**", number(amount / allowed))
            }
            (Some(amount), Some(allowed)) => number(amount / allowed),
            _ => "-".to_owned(),
        };
        format!("| {role} | {what} | {amount} | {allowed} | {factor} | {mechanism} | {from} |\n")
    }
}

/// Formats a number with three significant digits and thousands separators.
fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits > 0 {
        return format!("{value:.*}", digits.min(6) as usize);
    }
    let unit = 10f64.powi(-digits);
    let whole = format!("{:.0}", (value / unit).round() * unit);
    let mut text = String::new();
    for (place, digit) in whole.chars().enumerate() {
        if place > 0 && (whole.len() - place).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

fn root(inputs: &Inputs, derived: &Derived) -> Vec<Row> {
    let Inputs { budget, design, .. } = inputs;
    let role = "root";
    let aimed = derived.queries * design.groups_aimed;
    let message = inputs.value("peer_message_us");
    let copy = inputs.value("rank_entry_ns");
    let entry = inputs.value("node_record_bytes");
    vec![
        Row {
            role,
            what: "state: queries in flight, 300 ms each",
            amount: Some(derived.queries * 0.3),
            unit: "queries",
            allowed: None,
            mechanism: "a task a query, query/src/search.rs",
            from: "size",
        },
        Row {
            role,
            what: "messages to holders, a second; as many answers",
            amount: Some(derived.messages),
            unit: "/s",
            allowed: Some(aimed),
            mechanism: "groups of shards, query/src/groups.rs",
            from: "size, design",
        },
        Row {
            role,
            what: "processor: messages to holders and their answers, both ends",
            amount: message.map(|us| derived.messages * us / 1e6),
            unit: "cores",
            allowed: Some(budget.cores),
            mechanism: "net/src/peer_links.rs, query/src/router.rs",
            from: "peer_message_us",
        },
        Row {
            role,
            what: "processor: copying and sorting the rank of each group asked",
            amount: copy.map(|ns| derived.messages * derived.ranked * ns / 1e9),
            unit: "cores",
            allowed: Some(budget.cores),
            mechanism: "`Router::holders`, query/src/router.rs",
            from: "rank_entry_ns",
        },
        Row {
            role,
            what: "memory: the ranks of all groups",
            amount: entry.map(|bytes| derived.groups * derived.ranked * bytes / MIB),
            unit: "MiB",
            allowed: Some(budget.memory_mib),
            mechanism: "`Ranks`, query/src/groups.rs",
            from: "node_record_bytes",
        },
    ]
}

fn holder(inputs: &Inputs, derived: &Derived) -> Vec<Row> {
    let Inputs { size, budget, design, .. } = inputs;
    let role = "holder";
    let slots = budget.connections / design.service_seconds;
    vec![
        Row {
            role,
            what: "state: replicas held",
            amount: Some(derived.held),
            unit: "replicas",
            allowed: None,
            mechanism: "holder/src/table.rs",
            from: "size, design",
        },
        Row {
            role,
            what: "connections to a replica",
            amount: Some(derived.holders * design.connections),
            unit: "connections",
            allowed: Some(budget.connections),
            mechanism: "holders of each region, query/src/groups.rs; net/src/target_links.rs",
            from: "design",
        },
        Row {
            role,
            what: "messages: sub-requests to targets, a second",
            amount: Some(derived.sub_requests),
            unit: "/s",
            allowed: None,
            mechanism: "one call at a time on a connection, net/src/pool.rs",
            from: "size",
        },
        Row {
            role,
            what: "sub-requests at a replica, a second, against its connections",
            amount: Some(derived.at_replica),
            unit: "/s",
            allowed: Some(slots),
            mechanism: "net/src/pool.rs",
            from: "size, design",
        },
        Row {
            role,
            what: "processor: sub-requests to targets",
            amount: inputs.value("sub_request_us").map(|us| derived.sub_requests * us / 1e6),
            unit: "cores",
            allowed: Some(budget.cores),
            mechanism: "holder/src/calls.rs, net/src/target_links.rs",
            from: "sub_request_us",
        },
        Row {
            role,
            what: "processor: the tick over all declared targets",
            amount: inputs.value("target_idle_percent").map(|each| each * size.replicas),
            unit: "% of a core",
            allowed: Some(budget.cpu_percent),
            mechanism: "`Core::apply_marks`, holder/src/probes.rs",
            from: "target_idle_percent",
        },
        Row {
            role,
            what: "processor: probes of held targets, one a second",
            amount: inputs.value("probe_percent").map(|each| each * derived.held),
            unit: "% of a core",
            allowed: Some(budget.cpu_percent),
            mechanism: "holder/src/probes.rs",
            from: "probe_percent",
        },
        Row {
            role,
            what: "memory: all declared targets",
            amount: inputs.value("target_kib").map(|each| each * size.replicas / 1_024.0),
            unit: "MiB",
            allowed: Some(budget.memory_mib),
            mechanism: "holder/src/table.rs, config documents",
            from: "target_kib",
        },
    ]
}
