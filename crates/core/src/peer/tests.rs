use super::*;

#[test]
fn frames_round_trip_and_invalid_ones_are_rejected() {
    let e = Envelope {
        from: NodeId(1),
        incarnation: 9,
        message: Message::Ping {
            state_reachable: true,
            receives_from: vec![NodeId(2)],
            queued_writes: 3,
            state_loaded: true,
        },
    };
    let f = encode_frame(&e).unwrap();
    let head: [u8; FRAME_HEADER_LEN] = f[..FRAME_HEADER_LEN].try_into().unwrap();
    assert_eq!(decode_header(head).unwrap(), f.len() - FRAME_HEADER_LEN);
    assert_eq!(decode_body(&f[FRAME_HEADER_LEN..]).unwrap(), e);
    assert!(decode_header([0, 0, 0, 0, PROTOCOL_VERSION + 1]).is_err());
    assert!(decode_header([0xff, 0xff, 0xff, 0xff, PROTOCOL_VERSION]).is_err());
    for cut in 0..f.len() - FRAME_HEADER_LEN {
        assert!(decode_body(&f[FRAME_HEADER_LEN..FRAME_HEADER_LEN + cut]).is_err());
    }
}
