//! What an entry remembers of other entries' jobs.

use std::time::Duration;

use quickcheck::quickcheck;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::job::JobId;
use rw_core::pool::owners::Owners;

const SECOND: Duration = Duration::from_secs(1);
const REMEMBERED: Duration = Duration::from_secs(12);

fn linked(entry: &Name) -> Owners {
    let mut owners = Owners::default();
    owners.up(entry);
    owners
}

#[test]
fn a_job_is_remembered_for_longer_than_its_caller_waits_and_then_forgotten() {
    let entry = Name::from("e");
    let mut owners = linked(&entry);
    owners.on_began(SECOND, &entry, vec![JobId(1)]);
    owners.tick(12 * SECOND);
    assert_eq!(owners.holder(JobId(1)), Some(&entry));
    owners.tick(14 * SECOND);
    assert_eq!(owners.holder(JobId(1)), None);
}

#[test]
fn a_job_that_was_told_again_is_remembered_from_the_later_word_on() {
    let (first, second) = (Name::from("e1"), Name::from("e2"));
    let mut owners = linked(&first);
    owners.on_began(SECOND, &first, vec![JobId(1)]);
    owners.on_began(10 * SECOND, &second, vec![JobId(1)]);
    owners.tick(14 * SECOND);
    assert_eq!(owners.holder(JobId(1)), Some(&second));
    owners.released(JobId(1));
    owners.on_began(15 * SECOND, &first, vec![JobId(1)]);
    owners.tick(23 * SECOND);
    assert_eq!(
        owners.holder(JobId(1)),
        Some(&first),
        "not forgotten with the earlier word"
    );
}

quickcheck! {
    /// Words of two entries on few jobs, seconds apart, against a plain list of all words.
    fn the_latest_word_within_the_time_decides(words: Vec<(u8, bool, u8)>) -> bool {
        let names = [Name::from("e1"), Name::from("e2")];
        let mut owners = linked(&names[0]);
        let mut now = SECOND;
        let mut told: Vec<(Uptime, JobId, usize)> = Vec::new();
        words.into_iter().all(|(job, second, pause)| {
            now += SECOND * u32::from(pause % 8);
            let (job, by) = (JobId(u64::from(job % 4)), usize::from(second));
            owners.on_began(now, &names[by], vec![job]);
            told.push((now, job, by));
            owners.tick(now);
            (0..4).map(JobId).all(|job| {
                let latest = told.iter().rev().find(|(_, told, _)| *told == job);
                let kept = latest.filter(|(at, ..)| now <= *at + REMEMBERED);
                owners.holder(job) == kept.map(|(.., by)| &names[*by])
            })
        })
    }
}
