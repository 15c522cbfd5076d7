//! Entry advice as this node gives it.

use std::time::Duration;

use kumquatnotch_core::{
    document::Document,
    front::EntryAdvice,
    ids::DataCentre,
    lifecycle::Stage,
    member::{Members, NodeState},
};
use kumquatnotch_policy::advice::{CallerLocation, EntryNode, EntryPolicy};

use crate::router::Router;

/// The advice for a caller that names its data centre, or not.
pub(crate) fn advise(
    policy: &dyn EntryPolicy,
    members: &dyn Members,
    router: &Router,
    document: Option<&Document>,
    (stage, near): (Stage, Option<&str>),
    valid: Duration,
) -> EntryAdvice {
    let local = members.local();
    let mut nodes = Vec::new();
    for record in members.known() {
        let is_local = record.name == local.name;
        // The own stage is newer than the own record: a node that leaves stops
        // advising itself before the others hear of it.
        if is_local && stage > Stage::Serving {
            continue;
        }
        // After a freeze a node holds its document back for at most two seconds,
        // and asks others meanwhile. It then advises others, but does not tell
        // them to do so: the news would spread no faster than it serves again,
        // and whom they advise meanwhile is told when to come back.
        let serves = match is_local {
            true => stage == Stage::Serving && document.is_some(),
            false => record.serving,
        };
        if record.state == NodeState::Gone {
            continue;
        }
        nodes.push(EntryNode {
            address: record.entry,
            centre: record.centre,
            region: record.region,
            state: record.state,
            serving: serves,
            wait: router.wait_at(&record.name),
        });
    }
    let centre = near.map(DataCentre::from);
    // A caller that names no data centre, or one that isn't known, is taken to be
    // in the region whose node it asked.
    let named = centre.as_ref().and_then(|centre| {
        let declared = document.and_then(|document| document.region(centre)).cloned();
        declared.or_else(|| {
            nodes.iter().find(|node| node.centre == *centre).map(|node| node.region.clone())
        })
    });
    let region = named.unwrap_or(local.region);
    let near = CallerLocation { centre: centre.as_ref(), region: Some(&region) };
    EntryAdvice { addresses: policy.order(&nodes, near), valid_ms: valid.as_millis() as u64 }
}
