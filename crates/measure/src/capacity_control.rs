//! The rows of the table of docs/CAPACITY.md about control traffic.

use crate::{
    capacity::{Derived, Inputs},
    capacity_rows::{MIB, Row},
};

const DAY: f64 = 86_400.0;

/// Returns the rows of membership and of all control together.
pub(crate) fn member(inputs: &Inputs, derived: &Derived) -> Vec<Row> {
    let Inputs { size, budget, .. } = inputs;
    let role = "member";
    let memory = inputs.at("idle_mib", size.nodes);
    let ranks = inputs.value("node_record_bytes");
    let all = memory.zip(inputs.value("target_kib")).zip(ranks).map(|((memory, target), rank)| {
        let targets = target * size.replicas / 1_024.0;
        memory + targets + derived.groups * derived.ranked * rank / MIB
    });
    let control = inputs
        .at("idle_percent", size.nodes)
        .zip(inputs.value("target_idle_percent"))
        .zip(inputs.value("probe_percent"))
        .map(|((base, target), probe)| base + target * size.replicas + probe * derived.held);
    let bytes = inputs
        .at("control_bytes", size.nodes)
        .zip(inputs.value("change_bytes"))
        .zip(inputs.at("death_bytes", size.nodes))
        .zip(inputs.value("head_bytes"))
        .map(|(((base, change), death), heads)| {
            // A replaced VM is announced twice: one node leaves and another joins.
            base + heads + (change * size.changes + 2.0 * death * size.churn) / DAY
        });
    vec![
        Row {
            role,
            what: "state: records of all nodes, with the process itself",
            amount: memory,
            unit: "MiB",
            allowed: Some(budget.memory_mib),
            mechanism: "member/src/table.rs",
            from: "idle_mib",
        },
        Row {
            role,
            what: "messages, bodies of control sent, a second",
            amount: inputs.at("control_bytes", size.nodes),
            unit: "bytes/s",
            allowed: Some(budget.bytes),
            mechanism: "probes and deltas, member/src/probe.rs, member/src/deltas.rs",
            from: "control_bytes",
        },
        Row {
            role,
            what: "processor",
            amount: inputs.at("idle_percent", size.nodes),
            unit: "% of a core",
            allowed: Some(budget.cpu_percent),
            mechanism: "member/src/probe.rs, member/src/exchange.rs",
            from: "idle_percent",
        },
        Row {
            role,
            what: "messages for one node that dies",
            amount: inputs.at("death_bytes", size.nodes),
            unit: "bytes",
            allowed: None,
            mechanism: "member/src/deltas.rs",
            from: "death_bytes",
        },
        Row {
            role: "all of control",
            what: "processor: membership, the tick over targets, probes",
            amount: control,
            unit: "% of a core",
            allowed: Some(budget.cpu_percent),
            mechanism: "as above",
            from: "idle_percent, target_idle_percent, probe_percent",
        },
        Row {
            role: "all of control",
            what: "messages with HTTP's heads: membership, changes, news of VMs",
            amount: bytes,
            unit: "bytes/s",
            allowed: Some(budget.bytes),
            mechanism: "as above",
            from: "control_bytes, head_bytes, change_bytes, death_bytes",
        },
        Row {
            role: "all of control",
            what: "memory: process, records, targets, ranks",
            amount: all,
            unit: "MiB",
            allowed: Some(budget.memory_mib),
            mechanism: "as above",
            from: "idle_mib, target_kib, node_record_bytes",
        },
    ]
}

/// Returns the rows of the configuration readers.
pub(crate) fn reader(inputs: &Inputs) -> Vec<Row> {
    let Inputs { size, budget, .. } = inputs;
    let role = "configuration reader";
    let everywhere = inputs.at("change_ms", size.nodes);
    vec![
        Row {
            role,
            what: "state: the stored values of the document",
            amount: inputs.value("document_bytes").map(|bytes| bytes / MIB),
            unit: "MiB",
            allowed: None,
            mechanism: "member/src/config_service.rs",
            from: "document_bytes",
        },
        Row {
            role,
            what: "calls of the platform without changes",
            amount: inputs.at("platform_idle", size.nodes),
            unit: "calls/s",
            allowed: Some(budget.reads),
            mechanism: "five readers, member/src/readers.rs",
            from: "platform_idle",
        },
        Row {
            role,
            what: "calls of the platform for a change, the operator's too",
            amount: inputs.value("change_calls"),
            unit: "calls",
            allowed: Some(budget.reads),
            mechanism: "member/src/fetch.rs, config/src/document_store.rs",
            from: "change_calls",
        },
        Row {
            role,
            what: "messages: new values of the changes, a second",
            amount: inputs.value("change_bytes").map(|bytes| bytes * size.changes / DAY),
            unit: "bytes/s",
            allowed: Some(budget.bytes),
            mechanism: "values by digest from peers, member/src/fetch.rs",
            from: "change_bytes",
        },
        Row {
            role,
            what: "a change in force everywhere, the slowest",
            amount: everywhere.map(|ms| ms / 1_000.0),
            unit: "s",
            allowed: Some(budget.change_seconds),
            mechanism: "pushed on by each node, member/src/gossip.rs",
            from: "change_ms",
        },
    ]
}

/// Returns the rows of the operator's status command, which asks all nodes.
pub(crate) fn status(inputs: &Inputs) -> Vec<Row> {
    let Inputs { size, design, .. } = inputs;
    let role = "operator's status";
    let lost = size.nodes / size.centres;
    vec![
        Row {
            role,
            what: "messages: nodes asked",
            amount: Some(size.nodes),
            unit: "messages",
            allowed: None,
            mechanism: "`NodeOperator::config`, kumquatnotch/src/operator.rs",
            from: "size",
        },
        Row {
            role,
            what: "time with all nodes up",
            amount: inputs.at("status_ms", size.nodes).map(|ms| ms / 1_000.0),
            unit: "s",
            allowed: Some(inputs.budget.change_seconds),
            mechanism: "kumquatnotch/src/operator.rs",
            from: "status_ms",
        },
        Row {
            role,
            what: "time more while the nodes of a data centre don't answer",
            amount: Some((lost / design.asked_at_once).ceil() * design.ask_seconds),
            unit: "s",
            allowed: Some(inputs.budget.change_seconds),
            mechanism: "kumquatnotch/src/operator.rs",
            from: "design",
        },
    ]
}

/// Returns the rows of mass starts and failures.
pub(crate) fn storms(inputs: &Inputs) -> Vec<Row> {
    let Inputs { size, budget, design, .. } = inputs;
    let storm = |role, what, name, unit, allowed, mechanism| Row {
        role,
        what,
        amount: inputs.at(name, size.nodes),
        unit,
        allowed,
        mechanism,
        from: name,
    };
    let join = "member/src/exchange.rs, member/src/fetch.rs";
    let probe = "member/src/probe.rs";
    let reads = Some(budget.reads);
    let lost = size.nodes / size.centres;
    let news = inputs.at("death_bytes", size.nodes).map(|bytes| bytes * lost);
    vec![
        storm("a data centre lost", "until all agree", "lost_seconds", "s", None, probe),
        storm("a data centre lost", "calls in a second", "lost_calls", "calls/s", reads, probe),
        Row {
            role: "a data centre lost",
            what: "news that a node sends of it",
            amount: news.map(|bytes| bytes / 1_024.0),
            unit: "KiB",
            allowed: None,
            mechanism: "member/src/deltas.rs",
            from: "death_bytes",
        },
        Row {
            role: "a data centre lost",
            what: "time to send all that news at the limit on it",
            amount: news.map(|bytes| bytes / design.news_rate),
            unit: "s",
            allowed: None,
            mechanism: "member/src/deltas.rs",
            from: "death_bytes, design",
        },
        storm("its return", "until all agree", "return_seconds", "s", None, join),
        storm("its return", "calls in a second", "return_calls", "calls/s", reads, join),
        storm("all started", "until all agree", "start_seconds", "s", None, join),
        storm("all started", "calls in a second", "start_calls", "calls/s", reads, join),
        storm("all restarted", "until all agree", "restart_seconds", "s", None, join),
        storm("all restarted", "calls in a second", "restart_calls", "calls/s", reads, join),
        storm("regions apart and back", "until all agree", "parted_seconds", "s", None, probe),
    ]
}
