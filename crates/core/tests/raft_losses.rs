//! Acknowledged changes under silent, wiped, replaced and added control servers: on how many disks an
//! acknowledgement rests.

#[path = "support/losses.rs"]
mod losses;
mod support;

use std::time::Duration;

use losses::Losses;

/// Time in which a server that came back has to count again.
const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// The three founders of a cluster of five acknowledged a change on two disks.
#[test]
fn a_new_cluster_accepts_no_change_before_all_its_voters_are_admitted() {
    let mut losses = Losses::with_founders(5, 4);
    losses.silence_joiners();
    losses.run(Duration::from_secs(30));
    assert!(!losses.publishes(), "{}", losses.describe());
    losses.end_disturbances();
    losses.run(CATCH_UP_TIME);
    assert!(losses.publishes(), "{}", losses.describe());
}
