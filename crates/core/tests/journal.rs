//! The control log's format: torn tails are cut, damage in the middle is an error.

use rw_core::journal::{self, JournalError, MAGIC, Record};
use rw_core::raft::{Command, Entry, VoterId};

fn records() -> Vec<Record> {
    let me = VoterId {
        name: "c1".into(),
        disk: 7,
    };
    let entry = |index| {
        Record::Append(Entry {
            index,
            term: 1,
            command: Command::Noop,
        })
    };
    vec![
        Record::Identity(me.clone()),
        Record::Vote {
            term: 1,
            voted_for: Some(me),
        },
        entry(1),
        entry(2),
        entry(3),
    ]
}

/// The journal, and where each record ends.
fn encoded() -> (Vec<u8>, Vec<usize>) {
    let mut buf = MAGIC.to_vec();
    let mut ends = Vec::new();
    for record in records() {
        journal::encode(&record, &mut buf).unwrap();
        ends.push(buf.len());
    }
    (buf, ends)
}

#[test]
fn a_tail_torn_at_any_byte_is_cut_and_all_whole_records_stay() {
    let (buf, ends) = encoded();
    for cut in MAGIC.len()..=buf.len() {
        let decoded = journal::decode(&buf[..cut]).unwrap();
        let whole = ends.iter().filter(|end| **end <= cut).count();
        assert_eq!(decoded.records, records()[..whole], "cut at {cut}");
        let valid = if whole == 0 {
            MAGIC.len()
        } else {
            ends[whole - 1]
        };
        assert_eq!(decoded.valid_len, valid);
    }
}

#[test]
fn a_flipped_bit_before_the_last_record_is_corruption_never_a_shorter_log() {
    let (buf, ends) = encoded();
    for at in MAGIC.len()..ends[ends.len() - 2] {
        for bit in 0..8 {
            let mut damaged = buf.clone();
            damaged[at] ^= 1 << bit;
            let result = journal::decode(&damaged);
            assert!(
                matches!(result, Err(JournalError::Corrupt { .. })),
                "byte {at} bit {bit}"
            );
        }
    }
}

#[test]
fn a_torn_tail_of_garbage_or_zeros_is_cut() {
    let (buf, _) = encoded();
    for tail in [
        vec![0; 40],
        (0..40).map(|i: u8| i.wrapping_mul(37)).collect::<Vec<u8>>(),
    ] {
        let torn = [buf.clone(), tail].concat();
        let decoded = journal::decode(&torn).unwrap();
        assert_eq!(decoded.records, records());
        assert_eq!(decoded.valid_len, buf.len());
    }
}

#[test]
fn another_format_is_refused() {
    assert!(matches!(
        journal::decode(b"something"),
        Err(JournalError::Magic)
    ));
}
