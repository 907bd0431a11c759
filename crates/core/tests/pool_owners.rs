//! Tests of the record of jobs announced by other entries.

use std::time::Duration;

use quickcheck::quickcheck;
use rw_core::ids::Name;
use rw_core::pool::Uptime;
use rw_core::pool::job::JobId;
use rw_core::pool::owners::Owners;

const SECOND: Duration = Duration::from_secs(1);
const RETENTION: Duration = Duration::from_secs(12);

fn linked(entry: &Name) -> Owners {
    let mut owners = Owners::default();
    owners.link_up(entry);
    owners
}

#[test]
fn an_announced_job_is_kept_for_the_retention_time() {
    let entry = Name::from("e");
    let mut owners = linked(&entry);
    owners.on_jobs_started(SECOND, &entry, vec![JobId(1)]);
    owners.tick(12 * SECOND);
    assert_eq!(owners.owner(JobId(1)), Some(&entry));
    owners.tick(14 * SECOND);
    assert_eq!(owners.owner(JobId(1)), None);
}

#[test]
fn the_retention_time_of_a_job_starts_with_its_latest_announcement() {
    let (first, second) = (Name::from("e1"), Name::from("e2"));
    let mut owners = linked(&first);
    owners.on_jobs_started(SECOND, &first, vec![JobId(1)]);
    owners.on_jobs_started(10 * SECOND, &second, vec![JobId(1)]);
    owners.tick(14 * SECOND);
    assert_eq!(owners.owner(JobId(1)), Some(&second));
    owners.released(JobId(1));
    owners.on_jobs_started(15 * SECOND, &first, vec![JobId(1)]);
    owners.tick(23 * SECOND);
    assert_eq!(
        owners.owner(JobId(1)),
        Some(&first),
        "dropped with the earlier announcement"
    );
}

quickcheck! {
    /// Compares announcements of two entries about four jobs, up to 7 s apart, with a plain list of
    /// all announcements.
    fn the_latest_announcement_in_time_decides(messages: Vec<(u8, bool, u8)>) -> bool {
        let names = [Name::from("e1"), Name::from("e2")];
        let mut owners = linked(&names[0]);
        let mut now = SECOND;
        let mut announced: Vec<(Uptime, JobId, usize)> = Vec::new();
        messages.into_iter().all(|(job, second, pause)| {
            now += SECOND * u32::from(pause % 8);
            let (job, by) = (JobId(u64::from(job % 4)), usize::from(second));
            owners.on_jobs_started(now, &names[by], vec![job]);
            announced.push((now, job, by));
            owners.tick(now);
            (0..4).map(JobId).all(|job| {
                let latest = announced.iter().rev().find(|(_, id, _)| *id == job);
                let kept = latest.filter(|(at, ..)| now <= *at + RETENTION);
                owners.owner(job) == kept.map(|(.., by)| &names[*by])
            })
        })
    }
}
