//! Journal format: a torn tail is dropped, and damage before valid records is an error.

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

/// Returns an encoded journal and the end offset of each record.
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
fn a_tail_torn_at_any_byte_is_dropped_and_all_complete_records_are_kept() {
    let (buf, ends) = encoded();
    for len in MAGIC.len()..=buf.len() {
        let decoded = journal::decode(&buf[..len]).unwrap();
        let complete = ends.iter().filter(|end| **end <= len).count();
        assert_eq!(decoded.records, records()[..complete], "length {len}");
        let valid = if complete == 0 {
            MAGIC.len()
        } else {
            ends[complete - 1]
        };
        assert_eq!(decoded.valid_len, valid);
    }
}

#[test]
fn a_flipped_bit_before_the_last_record_is_corruption_and_not_a_torn_tail() {
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
fn a_torn_tail_of_garbage_or_zeros_is_dropped() {
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
fn a_file_of_another_format_is_rejected() {
    assert!(matches!(
        journal::decode(b"something"),
        Err(JournalError::Magic)
    ));
}

#[test]
fn a_record_above_the_limit_is_not_encoded() {
    let record = Record::Identity(VoterId {
        name: "x".repeat(journal::MAX_RECORD_BYTES + 1).into(),
        disk: 7,
    });
    let mut buf = MAGIC.to_vec();
    let encoded = journal::encode(&record, &mut buf);
    assert!(encoded.is_err(), "{} bytes were encoded", buf.len());
    assert_eq!(buf, MAGIC, "nothing is appended");
}
