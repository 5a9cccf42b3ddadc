//! Frames between daemons: what decodes encodes and decodes to the same, a part of a frame is not a
//! frame, and the number of a call is read from its beginning.

#![no_main]

use libfuzzer_sys::fuzz_target;

use coltsfootweir::sidecar::frame::PeerFrame;
use coltsfootweir::sidecar::frame::decode_config;
use coltsfootweir::sidecar::frame::encode_config;
use coltsfootweir::sidecar::frame::frame_size;
use coltsfootweir::sidecar::frame::read_frame;
use coltsfootweir::sidecar::frame::requested_call;
use coltsfootweir::sidecar::frame::write_frame;

fuzz_target!(|bytes: &[u8]| {
    let _ = frame_size(bytes);
    let _ = requested_call(bytes);
    read_all(bytes.to_vec());
    // Without the need to guess the length.
    let mut framed = (bytes.len() as u32).to_be_bytes().to_vec();
    framed.extend_from_slice(bytes);
    read_all(framed);
    if let Ok(config) = decode_config(bytes) {
        let encoded = encode_config(&config).expect("what was decoded encodes");
        let again = decode_config(&encoded).expect("what was encoded decodes");
        // Encodings are compared, as a number may be NaN.
        assert_eq!(encode_config(&again).as_ref(), Ok(&encoded));
    }
});

fn read_all(mut bytes: Vec<u8>) {
    loop {
        let before = bytes.len();
        let size = frame_size(&bytes);
        match read_frame(&mut bytes) {
            Ok(Some(frame)) => {
                assert_eq!(Some(before - bytes.len()), size);
                check_frame(&frame);
            }
            Ok(None) | Err(_) => {
                assert_eq!(bytes.len(), before);
                return;
            }
        }
    }
}

fn check_frame(frame: &PeerFrame) {
    let mut encoded = Vec::new();
    write_frame(frame, &mut encoded).expect("what was decoded encodes");
    assert_eq!(frame_size(&encoded), Some(encoded.len()));
    let expected = match frame {
        PeerFrame::Call(number, _) | PeerFrame::TimedCall(number, _, _) => Some(*number),
        _ => None,
    };
    assert_eq!(requested_call(&encoded), expected);
    let mut short = encoded[..encoded.len() - 1].to_vec();
    assert_eq!(read_frame(&mut short), Ok(None));
    let mut stream = encoded.clone();
    let again = read_frame(&mut stream).expect("what was encoded decodes");
    let again = again.expect("a whole frame");
    assert!(stream.is_empty());
    let mut encoded_again = Vec::new();
    write_frame(&again, &mut encoded_again).expect("it encoded before");
    assert_eq!(encoded_again, encoded);
}
