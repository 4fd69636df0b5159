//! Packed updates: they survive a message, and bytes of another process are never trusted.

use {
    cumincart_protocol::{
        catalogue::Catalogue,
        heartbeat::{CatalogueChange, CatalogueDelta, CatalogueUpdate},
        number::Revision,
        packed::PackedUpdate,
        peer::PEER_MAX_BYTES,
    },
    miniz_oxide::deflate::compress_to_vec,
    proptest::prelude::*,
    std::sync::Arc,
    test_case::test_case,
};

fn update() -> CatalogueUpdate {
    let delta = CatalogueDelta { from: Revision(3), to: Revision(7), change: CatalogueChange::Nothing };
    CatalogueUpdate::Deltas(vec![delta])
}

/// Returns a packed update with these bytes, as a message may contain it.
fn packed(bytes: &[u8]) -> PackedUpdate {
    let mut message = Vec::new();
    ciborium::into_writer(&ciborium::Value::Bytes(bytes.to_vec()), &mut message).expect("it fits");
    ciborium::from_reader(message.as_slice()).expect("any bytes are accepted")
}

#[test_case(&update(); "changes")]
#[test_case(&CatalogueUpdate::Snapshot(Arc::new(Catalogue::default())); "whole catalogue")]
fn an_update_is_the_same_after_a_message(sent: &CatalogueUpdate) {
    let mut message = Vec::new();
    ciborium::into_writer(&CatalogueUpdate::Packed(PackedUpdate::pack(sent)), &mut message)
        .expect("writing to a vector can't fail");
    let received: CatalogueUpdate = ciborium::from_reader(message.as_slice()).expect("it is valid");
    let CatalogueUpdate::Packed(packed) = received else { panic!("{received:?}") };
    assert_eq!(packed.unpack().expect("it is valid"), *sent);
}

#[test_case(&[]; "nothing")]
#[test_case(&compress_to_vec(b"", 1); "no update")]
#[test_case(&compress_to_vec(&[0x64, b'N', b'o', b'n', b'e', 0], 1); "trailing data")]
#[test_case(&compress_to_vec(&vec![0; PEER_MAX_BYTES + 1], 1); "more bytes than a message may have")]
fn bytes_that_are_no_update_are_rejected(bytes: &[u8]) {
    assert!(packed(bytes).unpack().is_err());
}

#[test]
fn a_packed_update_contains_no_other() {
    let inner = CatalogueUpdate::Packed(PackedUpdate::pack(&update()));
    assert!(PackedUpdate::pack(&inner).unpack().is_err());
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(59), ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn unpacking_arbitrary_bytes_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = packed(&bytes).unpack();
    }
}
