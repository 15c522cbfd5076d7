//! Property tests of parsers and decoders of external input.

use std::collections::BTreeMap;

use kumquatnotch_core::{
    codec,
    document::{Document, TargetSpec},
    ids::{ConfigVersion, Digest, Incarnation, NodeName, TargetName},
    labels::Expression,
    peer::{PeerMessage, PeerReply},
    stored::{self, Manifest},
    ticket::Ticket,
};
use proptest::prelude::*;

fn document(names: &BTreeMap<String, u16>, version: u64) -> Document {
    let targets = names.iter().map(|(name, port)| {
        let spec = TargetSpec {
            address: ([127, 0, 0, 1], *port).into(),
            centre: "c".into(),
            shard: format!("s{port}").into(),
            labels: BTreeMap::from([("port".to_owned(), port.to_string())]),
            drain: port % 2 == 0,
        };
        (TargetName::from(name.as_str()), spec)
    });
    let version = ConfigVersion(version);
    Document { version, targets: targets.collect(), ..Document::default() }
}

proptest! {
    #[test]
    fn parsing_an_expression_never_panics(text in ".{0,60}") {
        if let Ok(expression) = Expression::parse(&text) {
            prop_assert_eq!(expression.as_str(), text);
        }
    }

    #[test]
    fn expression_round_trips_through_codec(
        key in "[a-z]{1,8}",
        values in prop::collection::vec("[a-z0-9.-]{1,8}", 1..4),
    ) {
        let source = format!("{key} in ({}), !other, {key}", values.join(", "));
        let expression = Expression::parse(&source).unwrap();

        let read: Expression = codec::decode(&codec::encode(&expression).unwrap()).unwrap();

        prop_assert_eq!(read, expression);
    }

    #[test]
    fn parsing_a_ticket_never_panics(text in "[a-z0-9:]{0,40}") {
        if let Ok(ticket) = text.parse::<Ticket>() {
            prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
        }
    }

    #[test]
    fn ticket_round_trips_through_text(
        issuer in "[a-z][a-z0-9.-]{0,12}",
        incarnation in any::<u64>(),
        serial in any::<u64>(),
        issued in any::<u64>(),
        seal in any::<u64>(),
    ) {
        let issuer = NodeName::from(issuer.as_str());
        let incarnation = Incarnation(incarnation);
        let ticket = Ticket { issuer, incarnation, serial, issued_ms: issued, seal };

        prop_assert_eq!(ticket.to_string().parse::<Ticket>(), Ok(ticket));
    }

    /// Guards against a node crashing on malformed messages. A peer, or another process
    /// that has taken over its port, may send arbitrary bytes.
    #[test]
    fn malformed_messages_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = codec::decode::<PeerMessage>(&bytes);
        let _ = codec::decode::<PeerReply>(&bytes);
        let _ = codec::decode::<Manifest>(&bytes);
    }

    #[test]
    fn document_round_trips_through_stored_form(
        names in prop::collection::btree_map("[a-z0-9]{1,10}", 1u16.., 0..120),
        version in 1u64..1_000,
    ) {
        let document = document(&names, version);
        let stored = stored::split(&document).unwrap();
        let values: BTreeMap<Digest, &[u8]> =
            stored.values.iter().map(|value| (value.digest, value.value.as_slice())).collect();
        let manifest: Manifest = codec::decode(values[&stored.manifest]).unwrap();

        let read = stored::join(document.version, &manifest, |digest| values.get(&digest).copied());

        prop_assert_eq!(read, Ok(document));
    }
}
