//! Logs are written in pieces that readers keep whole.

use quickcheck::quickcheck;
use rw_host::logging::{WRITE_BYTES, pieces};

quickcheck! {
    fn pieces_are_whole_lines_and_lose_nothing(lines: Vec<u16>) -> bool {
        let mut text = Vec::new();
        for (i, len) in lines.iter().enumerate() {
            text.extend(std::iter::repeat_n(b'a' + (i % 26) as u8, usize::from(*len) % 3000));
            text.push(b'\n');
        }
        let cut: Vec<&[u8]> = pieces(&text).collect();
        let whole = cut.iter().all(|piece| piece.len() <= WRITE_BYTES && piece.ends_with(b"\n"));
        whole && cut.concat() == text
    }
}

#[test]
fn a_line_longer_than_a_piece_stays_whole() {
    let mut text = vec![b'x'; 3 * WRITE_BYTES];
    text.extend_from_slice(b"\nnext\n");
    let cut: Vec<&[u8]> = pieces(&text).collect();
    assert_eq!(cut.len(), 2);
    assert_eq!(cut[1], b"next\n");
}
