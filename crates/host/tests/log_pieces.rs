//! Splitting of the log buffer into writes: no line is cut, and none is lost.

use quickcheck::quickcheck;
use rw_host::logging::{MAX_WRITE_BYTES, line_chunks};

quickcheck! {
    fn chunks_are_complete_lines_and_keep_all_text(lines: Vec<u16>) -> bool {
        let mut text = Vec::new();
        for (i, len) in lines.iter().enumerate() {
            text.extend(std::iter::repeat_n(b'a' + (i % 26) as u8, usize::from(*len) % 3000));
            text.push(b'\n');
        }
        let chunks: Vec<&[u8]> = line_chunks(&text).collect();
        let complete = chunks
            .iter()
            .all(|chunk| chunk.len() <= MAX_WRITE_BYTES && chunk.ends_with(b"\n"));
        complete && chunks.concat() == text
    }
}

#[test]
fn a_line_longer_than_a_write_is_not_split() {
    let mut text = vec![b'x'; 3 * MAX_WRITE_BYTES];
    text.extend_from_slice(b"\nnext\n");
    let chunks: Vec<&[u8]> = line_chunks(&text).collect();
    assert_eq!(chunks.len(), 2);
    assert_eq!(chunks[1], b"next\n");
}
