//! Entry advice for callers of this node.

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

/// Returns the advice for a caller that may have named its data centre.
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
        // The local stage is newer than the local record: a leaving node stops advising
        // itself before the others learn of it.
        if is_local && stage > Stage::Serving {
            continue;
        }
        // After a freeze a node withholds its document for at most two seconds while it
        // queries other nodes. During that time it omits itself from its advice, but does
        // not announce this to the other nodes: the announcement would spread no faster
        // than the node resumes serving, and callers that are still sent to it receive a
        // retry time.
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
    // A caller that names no data centre, or an unknown one, is assumed to be in the
    // region of the node that it queried.
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
